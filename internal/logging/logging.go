// Package logging writes the numbered events of package event as JSON lines.
//
// Each line has the event's number and name from the catalogue, so a reader can
// look it up in docs/events.md. There is no way to log a bare text.
package logging

import (
	"io"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"cactuspost.example/internal/event"
)

// Field is one typed value of a line. The functions of package zap make them.
type Field = zap.Field

// Logger writes events. It may be used by any number of goroutines if its
// writer may.
type Logger struct{ zap *zap.Logger }

// Option changes a logger.
type Option = zap.Option

// New returns a logger for events of at least the given severity. Each event is
// one call of Write; the writer must accept calls from several goroutines, as
// an os.File does.
func New(w io.Writer, minSeverity event.Severity, options ...Option) *Logger {
	core := zapcore.NewCore(newEncoder(), zapcore.AddSync(w), zapLevels[minSeverity])
	return &Logger{zap: zap.New(core, options...)}
}

func newEncoder() zapcore.Encoder {
	return zapcore.NewJSONEncoder(zapcore.EncoderConfig{
		TimeKey:        "time",
		LevelKey:       "severity",
		MessageKey:     "name",
		EncodeTime:     zapcore.RFC3339NanoTimeEncoder,
		EncodeLevel:    encodeSeverity,
		EncodeDuration: zapcore.MillisDurationEncoder,
	})
}

// Discard returns a logger that writes nothing.
func Discard() *Logger { return &Logger{zap: zap.NewNop()} }

// With returns a logger that adds fields to each line.
func (l *Logger) With(fields ...Field) *Logger { return &Logger{zap: l.zap.With(fields...)} }

// Event writes one event with its number, name and fields.
func (l *Logger) Event(id event.ID, fields ...Field) {
	d := event.Describe(id)
	line := l.zap.Check(zapLevels[d.Severity], d.Name)
	if line == nil {
		return
	}
	line.Write(append([]Field{zap.Int("event", int(id))}, fields...)...)
}

// Sync flushes the writer where it can be flushed.
func (l *Logger) Sync() error { return l.zap.Sync() }

// zapLevels maps the severities to zap's levels.
var zapLevels = [...]zapcore.Level{
	event.Info:    zapcore.InfoLevel,
	event.Warning: zapcore.WarnLevel,
	event.Fault:   zapcore.ErrorLevel,
}

func encodeSeverity(level zapcore.Level, line zapcore.PrimitiveArrayEncoder) {
	for severity, known := range zapLevels {
		if known == level {
			line.AppendString(event.Severity(severity).String())
		}
	}
}
