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
	// laneLines bounds the lines that wait for a slow reader.
	laneLines = 4096
	// accountPeriod is the time between two looks at what was dropped.
	accountPeriod = time.Second
)

// Bounded writes lines to a writer that may be slow or stuck: nobody who logs
// ever waits for it. Lines over the bounds are dropped and counted, and lines
// about failures go before the others. One goroutine owns the writer.
type Bounded struct {
	out    io.Writer
	faults lane
	infos  lane
	stop   chan struct{}
	ended  chan struct{}
}

// lane is the queue of the lines of a kind.
type lane struct {
	lines   chan []byte
	most    int64
	second  atomic.Int64
	dropped atomic.Uint64
}

// NewBounded returns a logger that writes through a Bounded, and the Bounded
// itself, whose Close writes what waits.
// Each line has the fields.
func NewBounded(out io.Writer, least event.Severity, fields ...Field) (*Logger, *Bounded) {
	b := &Bounded{out: out, stop: make(chan struct{}), ended: make(chan struct{})}
	b.faults = lane{lines: make(chan []byte, laneLines), most: faultPerSecond}
	b.infos = lane{lines: make(chan []byte, laneLines), most: infoPerSecond}
	isFault := zap.LevelEnablerFunc(func(l zapcore.Level) bool { return l >= zapcore.WarnLevel && l >= levels[least] })
	isInfo := zap.LevelEnablerFunc(func(l zapcore.Level) bool { return l < zapcore.WarnLevel && l >= levels[least] })
	log := &Logger{zap: zap.New(zapcore.NewTee(
		zapcore.NewCore(newEncoder(), zapcore.AddSync(&b.faults), isFault),
		zapcore.NewCore(newEncoder(), zapcore.AddSync(&b.infos), isInfo),
	))}
	log = log.With(fields...)
	go b.run(log)
	return log, b
}

// Write queues a line, or drops it. It never waits and never fails.
func (l *lane) Write(line []byte) (int, error) {
	if l.second.Add(1) > l.most {
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
func (b *Bounded) run(log *Logger) {
	defer close(b.ended)
	ticker := time.NewTicker(accountPeriod)
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
			b.account(log)
		case <-b.stop:
			b.drain()
			return
		}
	}
}

// account begins a new second and reports what the last one dropped.
func (b *Bounded) account(log *Logger) {
	b.faults.second.Store(0)
	b.infos.second.Store(0)
	faults, infos := b.faults.dropped.Swap(0), b.infos.dropped.Swap(0)
	if faults+infos > 0 {
		log.Event(event.LogLinesDropped, zap.Uint64("warnings_and_faults", faults), zap.Uint64("infos", infos))
	}
}

// drain writes what waits, without waiting for more.
func (b *Bounded) drain() {
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
func (b *Bounded) write(line []byte) { _, _ = b.out.Write(line) }

// Close writes what waits, for as long as given at most.
func (b *Bounded) Close(limit time.Duration) {
	close(b.stop)
	select {
	case <-b.ended:
	case <-time.After(limit):
	}
}
