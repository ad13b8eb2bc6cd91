// Package charts holds the state charts that the code interprets, one file
// each. internal/chart describes the format of the files and checks them.
package charts

import "embed"

// Files contains every chart of this folder.
//
//go:embed *.jsonc
var Files embed.FS
