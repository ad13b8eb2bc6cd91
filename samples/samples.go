// Package samples holds the sample settings and the first release note, for
// the command line's dev and demo and for tests.
package samples

import "embed"

// Files contains every sample of this folder.
//
//go:embed *.jsonc
var Files embed.FS
