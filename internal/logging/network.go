package logging

import (
	"fmt"

	"go.uber.org/zap"

	"cactuspost.example/internal/event"
)

// Network returns a logger for the network libraries. Only their errors are
// logged; other messages are of no use to operators and are dropped.
func Network(log *Logger) NetworkLogger { return NetworkLogger{log: log} }

// NetworkLogger implements the logger interfaces of the network libraries.
type NetworkLogger struct{ log *Logger }

// Printf drops the message. HTTP servers report refused connections through it.
func (NetworkLogger) Printf(string, ...any) {}

// Debugf drops the message.
func (NetworkLogger) Debugf(string, ...any) {}

// Infof drops the message.
func (NetworkLogger) Infof(string, ...any) {}

// Warnf drops the message.
func (NetworkLogger) Warnf(string, ...any) {}

// Errorf logs the message as a NetworkError event.
func (n NetworkLogger) Errorf(format string, args ...any) {
	n.log.Event(event.NetworkError, zap.String("detail", fmt.Sprintf(format, args...)))
}

// Fatalf logs the message as a NetworkError event. It does not end the process.
func (n NetworkLogger) Fatalf(format string, args ...any) { n.Errorf(format, args...) }
