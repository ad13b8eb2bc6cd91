package settings

import (
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"

	"cactuspost.example/internal/event"
)

// rule defines the valid values of a string setting.
type rule struct {
	allowed string
	valid   func(string) bool
	// secret keeps the value out of faults.
	secret bool
}

// Limits on the length of strings.
const (
	maxNameLength  = 64
	minTokenLength = 16
	maxTokenLength = 256
	maxPathLength  = 4096
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

var nameRule = rule{
	allowed: "1 to 64 letters, digits, '.', '_' and '-', the first a letter or digit",
	valid:   namePattern.MatchString,
}

var dataCentreRule = rule{
	allowed: "a place name of 1 to 64 printable characters",
	valid: func(text string) bool {
		return text != "" && utf8.ValidString(text) && utf8.RuneCountInString(text) <= maxNameLength &&
			!strings.ContainsFunc(text, func(r rune) bool { return !unicode.IsPrint(r) })
	},
}

// listenRule allows an unspecified IP such as 0.0.0.0, which means all interfaces.
var listenRule = rule{
	allowed: "IP:port with a numeric IP and a port from 1 to 65535",
	valid: func(text string) bool {
		address, err := netip.ParseAddrPort(text)
		return err == nil && address.Port() != 0
	},
}

var reachableRule = rule{
	allowed: "IP:port with a numeric IP that others can reach (not 0.0.0.0 or [::]) and a port from 1 to 65535",
	valid:   func(text string) bool { return listenRule.valid(text) && !isUnspecified(text) },
}

func isUnspecified(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Addr().IsUnspecified()
}

var pathRule = rule{
	allowed: "the path of a readable file",
	valid:   func(text string) bool { return text != "" && len(text) <= maxPathLength },
}

var tokenRule = rule{
	allowed: "16 to 256 printable ASCII characters without spaces",
	secret:  true,
	valid: func(text string) bool {
		if len(text) < minTokenLength || len(text) > maxTokenLength {
			return false
		}
		return !strings.ContainsFunc(text, func(r rune) bool { return r <= ' ' || r > '~' })
	},
}

var logLevelRule = rule{
	allowed: strings.Join(logLevelNames(), ", "),
	valid:   func(text string) bool { return slices.Contains(logLevelNames(), text) },
}

func logLevelNames() []string {
	return []string{event.Info.String(), event.Warning.String(), event.Fault.String()}
}

func readLogLevel(o *object) event.Severity {
	text := o.stringOr("log_level", event.Info.String(), logLevelRule)
	return event.Severity(max(0, slices.Index(logLevelNames(), text)))
}
