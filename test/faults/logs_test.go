package faults

import (
	"os"
	"path/filepath"
)

// logTail is the number of bytes at the end of each log that a failed test
// prints.
const logTail = 4096

// printLogs prints the agents' states and the ends of the daemons' logs if the
// test has failed.
func (b *testBed) printLogs(folder string) {
	if !b.t.Failed() {
		return
	}
	for _, a := range b.Agents {
		_, body, err := b.operatorRequest("GET", a.URL()+"/v1/state", "")
		b.t.Logf("%s: %s %v", a.Name, body, err)
	}
	files, _ := filepath.Glob(filepath.Join(folder, "*.log"))
	for _, file := range files {
		raw, _ := os.ReadFile(file)
		if len(raw) > logTail {
			raw = raw[len(raw)-logTail:]
		}
		b.t.Logf("%s:\n%s", filepath.Base(file), raw)
	}
}
