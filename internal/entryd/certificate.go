package entryd

import (
	"context"
	"crypto/tls"
	"os"
	"time"

	"cactuspost.example/internal/actor"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/settings"
)

const (
	// certificateInboxSize bounds the handshakes that wait for the certificate;
	// more of them wait for room.
	certificateInboxSize = 64
	// certificatePeriod separates two looks at the files.
	certificatePeriod = 5 * time.Second
)

// certificate is the actor that owns the server's certificate. It reads the
// files again when they were replaced; a pair that can't be used leaves the one
// before in use.
type certificate struct {
	files   settings.TLS
	pair    *tls.Certificate
	changed [2]time.Time
}

// LoadTLS reads the files of the HTTP server's certificate and returns a
// configuration that follows their replacement until the context ends. It
// returns a failure of kind Invalid when the files are not a valid pair, and no
// configuration for no files.
func LoadTLS(ctx context.Context, files *settings.TLS) (*tls.Config, error) {
	if files == nil {
		return nil, nil
	}
	c := &certificate{files: *files}
	if err := c.load(); err != nil {
		return nil, err
	}
	inbox := actor.NewInbox[chan<- *tls.Certificate](certificateInboxSize)
	go actor.Run(ctx, inbox, certificatePeriod, c)
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return ask(inbox)
		},
	}, nil
}

func ask(inbox *actor.Inbox[chan<- *tls.Certificate]) (*tls.Certificate, error) {
	reply := make(chan *tls.Certificate, 1)
	inbox.Send(reply)
	select {
	case pair := <-reply:
		return pair, nil
	case <-inbox.Done():
		return nil, failure.New(failure.Draining, failure.NotRun, "the entry has stopped")
	}
}

// load reads the files if one has changed since the last time.
func (c *certificate) load() error {
	changed := [2]time.Time{modified(c.files.CertFile), modified(c.files.KeyFile)}
	if c.pair != nil && changed == c.changed {
		return nil
	}
	pair, err := tls.LoadX509KeyPair(c.files.CertFile, c.files.KeyFile)
	if err != nil {
		return failure.Wrap(err, failure.Invalid, failure.NotRun, "load the certificate")
	}
	c.pair = &pair
	c.changed = changed
	return nil
}

// modified returns when a file was changed, or the zero time.
func modified(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// Handle implements actor.Handler.
func (c *certificate) Handle(_ time.Time, reply chan<- *tls.Certificate) bool {
	reply <- c.pair
	return true
}

// Tick implements actor.Handler.
func (c *certificate) Tick(time.Time) bool {
	// The two files are replaced one after the other; a pair that doesn't fit
	// yet is read again at the next tick.
	_ = c.load()
	return true
}

// Flush implements actor.Handler.
func (c *certificate) Flush(time.Time) {}
