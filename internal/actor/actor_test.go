package actor

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

type recorder struct {
	seen    []int
	flushes int
	last    int
}

func (r *recorder) Handle(_ time.Time, m int) bool {
	r.seen = append(r.seen, m)
	return m != r.last
}

func (r *recorder) Tick(time.Time) bool { return true }
func (r *recorder) Flush(time.Time)     { r.flushes++ }

func TestRunHandlesMessagesInOrderAndEnds(t *testing.T) {
	is := is.New(t)
	const count = 3 * batchLimit
	in := NewInbox[int](count)
	for i := range count {
		is.True(in.TrySend(i))
	}
	is.True(!in.TrySend(count)) // full
	r := &recorder{last: count - 1}
	Run(context.Background(), in, time.Hour, r)
	is.Equal(len(r.seen), count)
	for i, m := range r.seen {
		is.Equal(m, i)
	}
	is.True(r.flushes > 1) // a long queue is flushed in several batches
}

func TestSendReportsEndedActor(t *testing.T) {
	is := is.New(t)
	in := NewInbox[int](1)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	Run(ctx, in, time.Hour, &recorder{})
	is.True(in.TrySend(1))
	is.True(!in.Send(2)) // the queue is full and the actor has ended, so Send does not wait
}
