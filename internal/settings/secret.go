package settings

import (
	"crypto/subtle"
	"fmt"
	"io"
)

// redacted stands in every output in place of a secret.
const redacted = "[redacted]"

// Secret is a token that never reaches an output: every fmt verb, JSON, text
// encoding and zap show "[redacted]". The text is behind a pointer because fmt
// calls no methods on unexported fields and would print a plain string there.
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

// Matches compares in constant time. An empty secret matches nothing.
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

// MarshalText returns "[redacted]", also for JSON.
func (Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }
