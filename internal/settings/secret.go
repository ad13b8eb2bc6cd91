package settings

import (
	"crypto/subtle"
	"fmt"
	"io"
)

// redacted replaces a secret in every output.
const redacted = "[redacted]"

// Secret holds a token and keeps it out of all output: every fmt verb, JSON, text
// encoding and zap print "[redacted]". The token is behind a pointer because fmt
// does not call methods on unexported fields and would print a plain string.
type Secret struct{ text *string }

// NewSecret returns a secret that holds text.
func NewSecret(text string) Secret { return Secret{text: &text} }

// Reveal returns the text, for comparison or for use in a request.
func (s Secret) Reveal() string {
	if s.text == nil {
		return ""
	}
	return *s.text
}

// Matches compares the secret with text in constant time. An empty secret matches
// nothing.
func (s Secret) Matches(text string) bool {
	if s.text == nil || *s.text == "" {
		return false
	}
	return subtle.ConstantTimeCompare([]byte(*s.text), []byte(text)) == 1
}

// String returns "[redacted]".
func (Secret) String() string { return redacted }

// Format writes "[redacted]" for every verb.
func (Secret) Format(state fmt.State, _ rune) { _, _ = io.WriteString(state, redacted) }

// MarshalText returns "[redacted]". It is used for JSON, too.
func (Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }
