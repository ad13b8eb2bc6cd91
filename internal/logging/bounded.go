package logging

import (
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"cactuspost.example/internal/event"
)

const (
	// infoPerSecond and faultPerSecond limit the lines that a process logs per
	// second. A line has about 300 bytes, so that a process writes less than 1 MB
	// per second.
	infoPerSecond  = 2000
	faultPerSecond = 1000
	// queueCapacity is the number of lines that each queue holds for a slow writer.
	queueCapacity = 4096
	// ratePeriod is the period of the rate limits, after which dropped lines are
	// reported.
	ratePeriod = time.Second
)

// BoundedWriter writes log lines to a writer that may be slow or blocked, without
// ever blocking the code that logs. Lines over the limits are dropped and counted,
// and warnings and faults are written before other lines. One goroutine owns the
// underlying writer.
type BoundedWriter struct {
	out    io.Writer
	faults lineQueue
	infos  lineQueue
	stop   chan struct{}
	done   chan struct{}
}

// lineQueue is a queue of lines with a rate limit.
type lineQueue struct {
	lines        chan []byte
	maxPerSecond int64
	thisSecond   atomic.Int64
	dropped      atomic.Uint64
}

// NewBounded returns a logger that adds the fields to each line, and the
// BoundedWriter through which it writes, whose Close writes the queued lines.
func NewBounded(out io.Writer, minSeverity event.Severity, fields ...Field) (*Logger, *BoundedWriter) {
	b := &BoundedWriter{out: out, stop: make(chan struct{}), done: make(chan struct{})}
	b.faults = lineQueue{lines: make(chan []byte, queueCapacity), maxPerSecond: faultPerSecond}
	b.infos = lineQueue{lines: make(chan []byte, queueCapacity), maxPerSecond: infoPerSecond}
	isFault := zap.LevelEnablerFunc(func(l zapcore.Level) bool { return l >= zapcore.WarnLevel && l >= zapLevels[minSeverity] })
	isInfo := zap.LevelEnablerFunc(func(l zapcore.Level) bool { return l < zapcore.WarnLevel && l >= zapLevels[minSeverity] })
	log := &Logger{zap: zap.New(zapcore.NewTee(
		zapcore.NewCore(newEncoder(), zapcore.AddSync(&b.faults), isFault),
		zapcore.NewCore(newEncoder(), zapcore.AddSync(&b.infos), isInfo),
	))}
	log = log.With(fields...)
	go b.run(log)
	return log, b
}

// Write queues a line or drops it. It never blocks and never fails.
func (l *lineQueue) Write(line []byte) (int, error) {
	if l.thisSecond.Add(1) > l.maxPerSecond {
		l.dropped.Add(1)
		return len(line), nil
	}
	select {
	case l.lines <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// run writes queued lines until Close is called, faults first.
func (b *BoundedWriter) run(log *Logger) {
	defer close(b.done)
	ticker := time.NewTicker(ratePeriod)
	defer ticker.Stop()
	for {
		select {
		case line := <-b.faults.lines:
			b.write(line)
			continue
		default:
		}
		select {
		case line := <-b.faults.lines:
			b.write(line)
		case line := <-b.infos.lines:
			b.write(line)
		case <-ticker.C:
			b.startSecond(log)
		case <-b.stop:
			b.flush()
			return
		}
	}
}

// startSecond resets the rate limits and logs the number of lines dropped since
// the last reset.
func (b *BoundedWriter) startSecond(log *Logger) {
	b.faults.thisSecond.Store(0)
	b.infos.thisSecond.Store(0)
	faults, infos := b.faults.dropped.Swap(0), b.infos.dropped.Swap(0)
	if faults+infos > 0 {
		log.Event(event.LogLinesDropped, zap.Uint64("warnings_and_faults", faults), zap.Uint64("infos", infos))
	}
}

// flush writes the lines that are queued.
func (b *BoundedWriter) flush() {
	for {
		select {
		case line := <-b.faults.lines:
			b.write(line)
		case line := <-b.infos.lines:
			b.write(line)
		default:
			return
		}
	}
}

// write ignores errors of the writer, as there is nowhere else to report them.
func (b *BoundedWriter) write(line []byte) { _, _ = b.out.Write(line) }

// Close writes the queued lines, waiting for at most limit.
func (b *BoundedWriter) Close(limit time.Duration) {
	close(b.stop)
	select {
	case <-b.done:
	case <-time.After(limit):
	}
}
