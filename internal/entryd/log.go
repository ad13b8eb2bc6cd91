package entryd

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"cactuspost.example/internal/event"
)

// logEvent writes one numbered event.
func logEvent(log *zap.Logger, id event.ID, fields ...zap.Field) {
	description := event.Describe(id)
	fields = append(fields, zap.Int("event", int(id)))
	log.Log(logLevel(description.Severity), description.Name, fields...)
}

func logLevel(s event.Severity) zapcore.Level {
	switch s {
	case event.Info:
		return zapcore.InfoLevel
	case event.Warning:
		return zapcore.WarnLevel
	default:
		return zapcore.ErrorLevel
	}
}
