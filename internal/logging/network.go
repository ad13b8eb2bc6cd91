package logging

import (
	"fmt"

	"go.uber.org/zap"

	"cactuspost.example/internal/event"
)

// Network returns a logger for the network library. Only its errors are of use
// to operators; the other texts are dropped.
func Network(log *Logger) NetworkLogger { return NetworkLogger{log: log} }

// NetworkLogger takes the texts of the network library.
type NetworkLogger struct{ log *Logger }

// Printf drops the text: servers report refused connections with it.
func (NetworkLogger) Printf(string, ...any) {}

// Debugf drops the text.
func (NetworkLogger) Debugf(string, ...any) {}

// Infof drops the text.
func (NetworkLogger) Infof(string, ...any) {}

// Warnf drops the text.
func (NetworkLogger) Warnf(string, ...any) {}

// Errorf writes the text as an event.
func (n NetworkLogger) Errorf(format string, args ...any) {
	n.log.Event(event.NetworkError, zap.String("detail", fmt.Sprintf(format, args...)))
}

// Fatalf writes the text as an event.
func (n NetworkLogger) Fatalf(format string, args ...any) { n.Errorf(format, args...) }
