package follow

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"cactuspost.example/internal/logging"
)

// Guards against a call for changes that outlives the time after which a machine
// counts as in contact with the store again: what was confirmed meanwhile is read
// only after that call. Calls that get no answer follow each other, so that the
// retry delay grows.
func TestChangesAreReadWithinContactAfterTheConnectionFellSilent(t *testing.T) {
	for _, contact := range []time.Duration{3 * time.Second, 4 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			store := newFakeStore()
			f := New(Options{Feed: store, Table: "op", PollWait: PollWait(3*time.Second, contact), OnRows: func([]Row, bool) {}, Log: logging.Discard()})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go f.Run(ctx)
			first := <-store.calls
			first.answer <- callResult{version: 1, all: true}
			<-store.calls
			sent := time.Now()
			for range 40 {
				<-store.calls
				if gap := time.Since(sent); gap > contact {
					t.Fatalf("a call that got no answer is followed by the next after %v, limit %v", gap, contact)
				}
				sent = time.Now()
			}
			cancel()
			synctest.Wait()
		})
	}
}
