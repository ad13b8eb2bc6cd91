package cli

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/settings"
)

// readToken reads the token from the file given by the flag, or else from the
// environment. The token may be empty, because not every request requires one.
func readToken(cmd *cli.Command) (settings.Secret, error) {
	path := cmd.String(tokenFileFlag)
	if path == "" {
		return settings.NewSecret(os.Getenv(tokenVariable)), nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return settings.Secret{}, failure.Wrap(err, failure.Invalid, failure.NotRun, "--"+tokenFileFlag)
	}
	return settings.NewSecret(strings.TrimSpace(string(raw))), nil
}

// readTLS returns a configuration that trusts the certificates given by the
// flag, or nil to trust those of the system.
func readTLS(cmd *cli.Command) (*tls.Config, error) {
	path := cmd.String(caFileFlag)
	if path == "" {
		return nil, nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, failure.Wrap(err, failure.Invalid, failure.NotRun, "--"+caFileFlag)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return nil, usageFailure("--" + caFileFlag + " contains no PEM certificate")
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}, nil
}
