// Package logging writes the numbered events of package event as JSON lines.
//
// Each line has the number and name of an event of the catalogue, which is
// documented in docs/events.md. Free text without an event can't be logged.
package logging

import (
	"io"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"cactuspost.example/internal/event"
)

// Field is a typed field of a line. Use the functions of package zap to make one.
type Field = zap.Field

// Logger writes events. It is safe for concurrent use if its writer is.
type Logger struct{ zap *zap.Logger }

// Fields returns the fields of an event that a decision reported.
func Fields(fields []event.Field) []Field {
	typed := make([]Field, 0, len(fields))
	for _, f := range fields {
		if f.Text != "" {
			typed = append(typed, zap.String(f.Name, f.Text))
			continue
		}
		typed = append(typed, zap.Int64(f.Name, f.Value))
	}
	return typed
}

// Option configures a logger.
type Option = zap.Option

// New returns a logger for events of at least the given severity. Each event is
// one call of Write. The writer must be safe for concurrent use, as an os.File is.
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

// Sync flushes the writer if it can be flushed.
func (l *Logger) Sync() error { return l.zap.Sync() }

// zapLevels maps each severity to zap's level.
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
