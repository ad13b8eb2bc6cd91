package settings

import (
	"crypto/tls"
	"strings"
)

// fileReader returns the contents of a file that the settings refer to.
type fileReader func(path string) ([]byte, error)

// tokenReader reads tokens and detects duplicates.
type tokenReader struct {
	readFile fileReader
	// keysByToken maps each token to the key under which it was found.
	keysByToken map[string]string
}

func (t *tokenReader) callers(o *object) []Caller {
	var list []Caller
	for _, element := range o.children("callers", "an array of at least one {team, token or token_file}", true) {
		list = append(list, Caller{Team: element.requiredString("team", nameRule), Token: t.token(element)})
		element.reportUnknownKeys()
	}
	return list
}

func (t *tokenReader) operators(o *object) []Operator {
	var list []Operator
	for _, element := range o.children("operators", "an array of {name, token or token_file}", false) {
		list = append(list, Operator{Name: element.requiredString("name", nameRule), Token: t.token(element)})
		element.reportUnknownKeys()
	}
	return list
}

// token reads either token or token_file.
func (t *tokenReader) token(o *object) Secret {
	inFile := o.has("token_file")
	if inFile == o.has("token") {
		o.take("token")
		o.take("token_file")
		o.addFault("token", "both or neither of token and token_file", "exactly one of them")
		return Secret{}
	}
	if inFile {
		o.take("token")
		return t.unique(o, "token_file", t.fromFile(o))
	}
	o.take("token_file")
	return t.unique(o, "token", o.requiredString("token", tokenRule))
}

func (t *tokenReader) fromFile(o *object) string {
	path := o.requiredString("token_file", pathRule)
	if path == "" {
		return ""
	}
	raw, err := t.readFile(path)
	if err != nil {
		o.addFault("token_file", err.Error(), pathRule.allowed)
		return ""
	}
	text := strings.TrimSpace(string(raw))
	if !tokenRule.valid(text) {
		o.addFault("token_file", "a file without a valid token", tokenRule.allowed)
		return ""
	}
	return text
}

// unique returns the token as a Secret, or reports a fault if it is a duplicate.
func (t *tokenReader) unique(o *object, key, text string) Secret {
	if text == "" {
		return Secret{}
	}
	if other, taken := t.keysByToken[text]; taken {
		o.addFault(key, "the same token as "+other, "a unique token")
		return Secret{}
	}
	t.keysByToken[text] = o.key(key)
	return NewSecret(text)
}

// readTLS reads the TLS settings and checks that the certificate and the key can be
// read and match.
func readTLS(o *object, readFile fileReader) *TLS {
	if o == nil {
		return nil
	}
	t := &TLS{CertFile: o.requiredString("cert_file", pathRule), KeyFile: o.requiredString("key_file", pathRule)}
	o.reportUnknownKeys()
	if t.CertFile == "" || t.KeyFile == "" {
		return t
	}
	cert, certErr := readFile(t.CertFile)
	if certErr != nil {
		o.addFault("cert_file", certErr.Error(), pathRule.allowed)
	}
	key, keyErr := readFile(t.KeyFile)
	if keyErr != nil {
		o.addFault("key_file", keyErr.Error(), pathRule.allowed)
	}
	if certErr != nil || keyErr != nil {
		return t
	}
	if _, err := tls.X509KeyPair(cert, key); err != nil {
		o.addFault("cert_file", err.Error(), "a PEM certificate that matches key_file")
	}
	return t
}
