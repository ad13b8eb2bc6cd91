package logging

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"cactuspost.example/internal/event"
)

func TestBlockedWriterDoesNotBlockLogging(t *testing.T) {
	is := is.New(t)
	reader, writer := io.Pipe() // writes block, as nothing is read
	defer reader.Close()
	log, bounded := NewBounded(writer, event.Info)
	done := make(chan struct{})
	go func() {
		for i := range 3 * queueCapacity {
			log.Event(event.DaemonStarted, zap.Int("n", i))
			log.Event(event.TokenRefused, zap.Int("n", i))
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("logging blocked on the writer")
	}
	is.True(bounded.infos.dropped.Load() > 0)
	is.True(bounded.faults.dropped.Load() > 0)
}

func TestRateLimitCountsDroppedLines(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log, bounded := NewBounded(&out, event.Info)
	for range infoPerSecond + 500 {
		log.Event(event.DaemonStarted)
	}
	bounded.startSecond(log) // the first second ends
	bounded.Close(10 * time.Second)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	started, dropped := 0, ""
	for _, line := range lines {
		switch {
		case strings.Contains(line, `"daemon started"`):
			started++
		case strings.Contains(line, `"lines dropped"`):
			dropped = line
		}
	}
	is.Equal(started, infoPerSecond)
	is.True(strings.Contains(dropped, `"infos":500`))
}

func TestFaultsAreWrittenFirst(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	b := &BoundedWriter{out: &out, stop: make(chan struct{}), done: make(chan struct{})}
	b.faults = lineQueue{lines: make(chan []byte, 4), maxPerSecond: 4}
	b.infos = lineQueue{lines: make(chan []byte, 4), maxPerSecond: 4}
	_, _ = b.infos.Write([]byte("info\n"))
	_, _ = b.faults.Write([]byte("fault\n"))
	go b.run(Discard())
	is.True(len(b.infos.lines) <= 1)
	b.Close(10 * time.Second)
	is.Equal(strings.Index(out.String(), "fault"), 0)
}
