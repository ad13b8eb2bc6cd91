package entryd

import (
	"sync/atomic"
	"time"
)

// progress says until when the core actor has handled the messages sent to it, with all
// that follows from them queued for the links. Event loops read it: they go on while the
// core actor is behind, and what they alone have read does not say who has disconnected. It
// is one published number because a message to each event loop would wake it up each time.
// Times count from the start of the progress.
type progress struct {
	start time.Time
	until atomic.Int64
}

func newProgress(start time.Time) *progress { return &progress{start: start} }

// at returns a time as one of this progress. It is never zero, so that nothing that was
// read counts as handled before the first publish.
func (p *progress) at(t time.Time) time.Duration { return max(1, t.Sub(p.start)) }

// handledUntil returns the time last published.
func (p *progress) handledUntil() time.Duration { return time.Duration(p.until.Load()) }

// publish is called by the core actor only.
func (p *progress) publish(until time.Duration) { p.until.Store(int64(until)) }
