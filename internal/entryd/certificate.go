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
	// certificateInboxSize limits the handshakes that are queued for the
	// certificate; further ones block until there is room.
	certificateInboxSize = 64
	// certificateCheckInterval is the interval between checks of the files.
	certificateCheckInterval = 5 * time.Second
)

// certificateReloader is the actor that owns the server's certificate. It reloads
// the files after they were replaced. If the new pair is not valid, the previous
// one stays in use.
type certificateReloader struct {
	files    settings.TLS
	pair     *tls.Certificate
	modTimes [2]time.Time
}

// LoadTLS loads the certificate of the HTTP server and returns a configuration
// that reloads it when the files are replaced, until the context ends. It returns
// a failure of kind Invalid when the files are not a valid pair, and a nil
// configuration when files is nil.
func LoadTLS(ctx context.Context, files *settings.TLS) (*tls.Config, error) {
	if files == nil {
		return nil, nil
	}
	c := &certificateReloader{files: *files}
	if err := c.load(); err != nil {
		return nil, err
	}
	inbox := actor.NewInbox[chan<- *tls.Certificate](certificateInboxSize)
	go actor.Run(ctx, inbox, certificateCheckInterval, c)
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return currentCertificate(inbox)
		},
	}, nil
}

// currentCertificate asks the actor for the certificate in use.
func currentCertificate(inbox *actor.Inbox[chan<- *tls.Certificate]) (*tls.Certificate, error) {
	reply := make(chan *tls.Certificate, 1)
	inbox.Send(reply)
	select {
	case pair := <-reply:
		return pair, nil
	case <-inbox.Done():
		return nil, failure.New(failure.Draining, failure.NotRun, "the entry has stopped")
	}
}

// load reads the files if one of them has changed since they were last read.
func (c *certificateReloader) load() error {
	modTimes := [2]time.Time{modTime(c.files.CertFile), modTime(c.files.KeyFile)}
	if c.pair != nil && modTimes == c.modTimes {
		return nil
	}
	pair, err := tls.LoadX509KeyPair(c.files.CertFile, c.files.KeyFile)
	if err != nil {
		return failure.Wrap(err, failure.Invalid, failure.NotRun, "load the TLS certificate")
	}
	c.pair = &pair
	c.modTimes = modTimes
	return nil
}

// modTime returns the modification time of a file, or the zero time if the file
// can't be examined.
func modTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// Handle sends the certificate in use.
func (c *certificateReloader) Handle(_ time.Time, reply chan<- *tls.Certificate) bool {
	reply <- c.pair
	return true
}

// Tick reloads the files if they have changed.
func (c *certificateReloader) Tick(time.Time) bool {
	// The two files are replaced one after the other. While the certificate and
	// the key don't match, they are read again at each tick.
	_ = c.load()
	return true
}

// Flush has nothing to do.
func (c *certificateReloader) Flush(time.Time) {}
