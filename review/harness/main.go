// Command harness runs one case of the review: it starts the project's programs as
// processes of their own, with stand-ins of the platform's store, of workers and of
// clients, and checks one rule.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// watchdog ends a case that takes too long.
const watchdog = 110 * time.Second

var cases = map[string]func(root string, log *record, trouble bool) (int, error){
	"planned-stop":            plannedStop,
	"cancel-elsewhere":        cancelElsewhere,
	"cancel-then-late-copy":   cancelThenLateCopy,
	"late-start-in-next-life": lateStartInNextLife,
	"foreign-heartbeat":       foreignHeartbeat,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Println("usage: harness CASE ROOT FOLDER")
		os.Exit(notRun)
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(notRun)
	}
	file, err := os.Create(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Println(err)
		os.Exit(notRun)
	}
	log := &record{file: file, started: time.Now()}
	type result struct {
		code int
		err  error
	}
	done := make(chan result, 1)
	go func() {
		code, err := cases[os.Args[1]](root, log, os.Getenv("TROUBLE") != "0")
		done <- result{code, err}
	}()
	code := notRun
	select {
	case r := <-done:
		code = r.code
		if r.err != nil {
			code = notRun
			log.printf("the case could not run: %v", r.err)
			fmt.Println(r.err)
		}
	case <-time.After(watchdog):
		killAll()
		log.printf("the case took too long")
	}
	log.printf("exit %d", code)
	_ = file.Close()
	os.Exit(code)
}
