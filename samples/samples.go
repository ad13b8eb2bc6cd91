// Package samples embeds the sample settings and the sample release note, which are
// used by the commands dev and demo and by tests.
package samples

import "embed"

// Files contains all sample files of this directory.
//
//go:embed *.jsonc
var Files embed.FS
