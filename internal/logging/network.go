package logging

import (
	"fmt"

	"go.uber.org/zap"

	"cactuspost.example/internal/event"
)

// Network returns a logger for the network library. Only its errors are of use
// to operators; the other texts are dropped.
func Network(log *Logger) NetworkLog { return NetworkLog{log: log} }

// NetworkLog takes the texts of the network library.
type NetworkLog struct{ log *Logger }

// Printf drops the text: servers report refused connections with it.
func (NetworkLog) Printf(string, ...any) {}

// Debugf drops the text.
func (NetworkLog) Debugf(string, ...any) {}

// Infof drops the text.
func (NetworkLog) Infof(string, ...any) {}

// Warnf drops the text.
func (NetworkLog) Warnf(string, ...any) {}

// Errorf writes the text as an event.
func (n NetworkLog) Errorf(format string, args ...any) {
	n.log.Event(event.NetworkError, zap.String("detail", fmt.Sprintf(format, args...)))
}

// Fatalf writes the text as an event.
func (n NetworkLog) Fatalf(format string, args ...any) { n.Errorf(format, args...) }
