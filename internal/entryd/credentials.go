package entryd

import (
	"crypto/sha256"
	"crypto/subtle"

	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/settings"
)

// principal identifies the sender of a request: a caller, by its team, or an
// operator.
type principal struct {
	team     string
	operator string
}

// credentials maps tokens to principals. A lookup compares the digest of the
// token with every stored digest, each in constant time, so that its duration
// reveals nothing about the valid tokens.
type credentials struct{ holders []tokenHolder }

// tokenHolder is a principal with the SHA-256 digest of its token.
type tokenHolder struct {
	digest    [sha256.Size]byte
	principal principal
}

func newCredentials(callers []settings.Caller, operators []settings.Operator) *credentials {
	c := &credentials{}
	for _, caller := range callers {
		c.add(caller.Token, principal{team: caller.Team})
	}
	for _, operator := range operators {
		c.add(operator.Token, principal{operator: operator.Name})
	}
	return c
}

func (c *credentials) add(token settings.Secret, holder principal) {
	c.holders = append(c.holders, tokenHolder{digest: sha256.Sum256([]byte(token.Reveal())), principal: holder})
}

// find returns the principal of a token, or a failure of kind Unauthorized.
func (c *credentials) find(token string) (principal, *failure.Failure) {
	digest := sha256.Sum256([]byte(token))
	var holder principal
	found := 0
	for i := range c.holders {
		if subtle.ConstantTimeCompare(digest[:], c.holders[i].digest[:]) == 1 {
			holder = c.holders[i].principal
			found++
		}
	}
	if found == 0 {
		return principal{}, failure.New(failure.Unauthorized, failure.NotRun, "the token is not valid")
	}
	return holder, nil
}
