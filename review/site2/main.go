// Command site2 plays the cases of the review that are scripts. Each starts the programs
// of the deploy file on loopback addresses, with stand-ins of the store, the workers and
// the clients.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// cases maps the name of a case to its function, which reports whether the rule held.
var cases = map[string]func(s *site, trouble bool) (bool, error){
	"reborn": reborn,
	"deaf":   deaf,
}

// maxFds is that of the settings, of which 200 are reserved for files. The programs have
// no more than ten of those open.
const maxFds = 4100 - 200 + 10

// runLimited replaces this process by a program that may have maxFds descriptors.
func runLimited(args []string) error {
	limit := syscall.Rlimit{Cur: maxFds, Max: maxFds}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	return syscall.Exec(args[0], args, os.Environ())
}

func main() {
	if len(os.Args) > 2 && os.Args[1] == "limited" {
		fmt.Fprintln(os.Stderr, runLimited(os.Args[2:]))
		os.Exit(2)
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: site2 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	s, err := newSite(rec)
	if err != nil {
		rec.add("could not run: %v", err)
		return 2
	}
	defer s.close()
	held, err := cases[name](s, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.add("could not run: %v", err)
		return 2
	case !held:
		rec.add("the rule was broken")
		return 1
	}
	rec.add("the rule held")
	return 0
}
