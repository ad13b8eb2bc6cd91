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
	// infoPerSecond and faultPerSecond bound the lines of a process: a line is
	// about 300 bytes, so that a process writes under 1 MB a second.
	infoPerSecond  = 2000
	faultPerSecond = 1000
	// queueCapacity bounds the lines that wait for a slow reader.
	queueCapacity = 4096
	// ratePeriod is the time between two looks at what was dropped.
	ratePeriod = time.Second
)

// BoundedWriter writes lines to a writer that may be slow or stuck: nobody who logs
// ever waits for it. Lines over the bounds are dropped and counted, and lines
// about failures go before the others. One goroutine owns the writer.
type BoundedWriter struct {
	out    io.Writer
	faults lineQueue
	infos  lineQueue
	stop   chan struct{}
	done   chan struct{}
}

// lineQueue is the queue of the lines of a kind.
type lineQueue struct {
	lines        chan []byte
	maxPerSecond int64
	thisSecond   atomic.Int64
	dropped      atomic.Uint64
}

// NewBounded returns a logger that writes through a Bounded, and the Bounded
// itself, whose Close writes what waits.
// Each line has the fields.
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

// Write queues a line, or drops it. It never waits and never fails.
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

// run writes the lines until Close.
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

// startSecond begins a new second and reports what the last one dropped.
func (b *BoundedWriter) startSecond(log *Logger) {
	b.faults.thisSecond.Store(0)
	b.infos.thisSecond.Store(0)
	faults, infos := b.faults.dropped.Swap(0), b.infos.dropped.Swap(0)
	if faults+infos > 0 {
		log.Event(event.LogLinesDropped, zap.Uint64("warnings_and_faults", faults), zap.Uint64("infos", infos))
	}
}

// flush writes what waits, without waiting for more.
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

// write drops a line that the writer does not take: there is nowhere else to
// report that.
func (b *BoundedWriter) write(line []byte) { _, _ = b.out.Write(line) }

// Close writes what waits, for as long as given at most.
func (b *BoundedWriter) Close(limit time.Duration) {
	close(b.stop)
	select {
	case <-b.done:
	case <-time.After(limit):
	}
}
