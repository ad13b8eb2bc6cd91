package agentd

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"cactuspost.example/internal/agent"
	"cactuspost.example/internal/event"
	"cactuspost.example/internal/structs"
)

// eventLog writes numbered events.
type eventLog struct{ zap *zap.Logger }

func newEventLog(logger *zap.Logger) eventLog {
	if logger == nil {
		logger = zap.NewNop()
	}
	return eventLog{zap: logger}
}

// happened writes one event with the number, name and severity that the
// catalogue gives it.
func (l eventLog) happened(id event.ID, fields ...zap.Field) {
	d := event.Describe(id)
	fields = append(fields, zap.Int("event", int(id)))
	l.zap.Log(level(d.Severity), d.Name, fields...)
}

// decided writes an event that the decisions reported.
func (l eventLog) decided(e *agent.Happened) {
	var fields []zap.Field
	if e.Entry != "" {
		fields = append(fields, zap.String("entry", e.Entry))
	}
	if e.Grant != (structs.GrantID{}) {
		fields = append(fields, grantField(e.Grant))
	}
	if e.Detail != "" {
		fields = append(fields, zap.String("detail", e.Detail))
	}
	l.happened(e.Event, fields...)
}

func grantField(id structs.GrantID) zap.Field { return zap.String("grant", grantText(id)) }

func level(s event.Severity) zapcore.Level {
	switch s {
	case event.Info:
		return zapcore.InfoLevel
	case event.Warning:
		return zapcore.WarnLevel
	default:
		return zapcore.ErrorLevel
	}
}
