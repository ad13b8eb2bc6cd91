package settings

import (
	"crypto/tls"
	"strings"
)

// fileReader returns the contents of a file that the settings refer to.
type fileReader func(path string) ([]byte, error)

// tokenReader reads tokens and detects duplicates.
type tokenReader struct {
	files fileReader
	// seen maps each token to the key under which it was found.
	seen map[string]string
}

func (t *tokenReader) callers(o *object) []Caller {
	var list []Caller
	for _, element := range o.children("callers", "an array of at least one {team, token or token_file}", true) {
		list = append(list, Caller{Team: element.text("team", nameRule), Token: t.token(element)})
		element.finish()
	}
	return list
}

func (t *tokenReader) operators(o *object) []Operator {
	var list []Operator
	for _, element := range o.children("operators", "an array of {name, token or token_file}", false) {
		list = append(list, Operator{Name: element.text("name", nameRule), Token: t.token(element)})
		element.finish()
	}
	return list
}

// token reads either token or token_file.
func (t *tokenReader) token(o *object) Secret {
	inFile := o.has("token_file")
	if inFile == o.has("token") {
		o.take("token")
		o.take("token_file")
		o.faultAt("token", "both or neither of token and token_file", "exactly one of them")
		return Secret{}
	}
	if inFile {
		o.take("token")
		return t.unique(o, "token_file", t.fromFile(o))
	}
	o.take("token_file")
	return t.unique(o, "token", o.text("token", tokenRule))
}

func (t *tokenReader) fromFile(o *object) string {
	path := o.text("token_file", pathRule)
	if path == "" {
		return ""
	}
	raw, err := t.files(path)
	if err != nil {
		o.faultAt("token_file", err.Error(), pathRule.allowed)
		return ""
	}
	text := strings.TrimSpace(string(raw))
	if !tokenRule.ok(text) {
		o.faultAt("token_file", "a file without a valid token", tokenRule.allowed)
		return ""
	}
	return text
}

// unique returns the token as a Secret, or reports a fault if it is a duplicate.
func (t *tokenReader) unique(o *object, key, text string) Secret {
	if text == "" {
		return Secret{}
	}
	if holder, taken := t.seen[text]; taken {
		o.faultAt(key, "the same token as "+holder, "a unique token")
		return Secret{}
	}
	t.seen[text] = o.key(key)
	return NewSecret(text)
}

// readTLS reads the TLS settings and checks that the certificate and the key can be
// read and match.
func readTLS(o *object, files fileReader) *TLS {
	if o == nil {
		return nil
	}
	t := &TLS{CertFile: o.text("cert_file", pathRule), KeyFile: o.text("key_file", pathRule)}
	o.finish()
	if t.CertFile == "" || t.KeyFile == "" {
		return t
	}
	cert, certErr := files(t.CertFile)
	if certErr != nil {
		o.faultAt("cert_file", certErr.Error(), pathRule.allowed)
	}
	key, keyErr := files(t.KeyFile)
	if keyErr != nil {
		o.faultAt("key_file", keyErr.Error(), pathRule.allowed)
	}
	if certErr != nil || keyErr != nil {
		return t
	}
	if _, err := tls.X509KeyPair(cert, key); err != nil {
		o.faultAt("cert_file", err.Error(), "a PEM certificate that matches key_file")
	}
	return t
}
