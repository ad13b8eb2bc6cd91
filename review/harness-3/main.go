// Command harness3 starts a small deployment on loopback addresses and plays the cases
// of this review.
package main

import (
	"fmt"
	"os"
)

// verdict is how a case ended.
type verdict int

const (
	held      verdict = 0
	broken    verdict = 1
	couldntDo verdict = 2
)

// cases maps the names of the cases to what plays them. trouble is false when the
// disruption is left out.
var cases = map[string]func(s *site, trouble bool) (verdict, string){}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: harness3 CASE ROOT RECORD")
		os.Exit(int(couldntDo))
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(int(couldntDo))
	}
	s, err := newSite(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(int(couldntDo))
	}
	result, text := play(s, os.Getenv("TROUBLE") != "0")
	s.note("verdict %d: %s", result, text)
	s.close()
	fmt.Println(text)
	os.Exit(int(result))
}
