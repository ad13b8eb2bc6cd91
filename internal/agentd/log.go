package agentd

import (
	"fmt"

	"go.uber.org/zap"

	"cactuspost.example/internal/agent"
	"cactuspost.example/internal/event"
	"cactuspost.example/internal/logging"
	"cactuspost.example/internal/structs"
)

// logDecided writes an event that the decisions reported.
func logDecided(log *logging.Logger, e *agent.Happened) {
	var fields []logging.Field
	if e.Entry != "" {
		fields = append(fields, zap.String("entry", e.Entry))
	}
	if e.Grant != (structs.GrantID{}) {
		fields = append(fields, zap.String("grant", grantText(e.Grant)))
	}
	if e.Detail != "" {
		fields = append(fields, zap.String("detail", e.Detail))
	}
	log.Event(e.Event, fields...)
}

// networkLog takes the texts of the network library. Only its errors are of
// use to operators.
type networkLog struct{ log *logging.Logger }

// Debugf drops the text.
func (networkLog) Debugf(string, ...any) {}

// Infof drops the text.
func (networkLog) Infof(string, ...any) {}

// Warnf drops the text.
func (networkLog) Warnf(string, ...any) {}

// Errorf writes the text as an event.
func (n networkLog) Errorf(format string, args ...any) {
	n.log.Event(event.NetworkFault, zap.String("detail", fmt.Sprintf(format, args...)))
}

// Fatalf writes the text as an event.
func (n networkLog) Fatalf(format string, args ...any) { n.Errorf(format, args...) }
