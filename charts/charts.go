// Package charts embeds the files of the state charts that the code interprets, one
// chart each. Package internal/chart documents and validates their format.
package charts

import "embed"

// Files contains all charts of this directory.
//
//go:embed *.jsonc
var Files embed.FS
