package agent

import (
	"testing"
	"time"

	"cactuspost.example/internal/structs"
)

// confirm delivers a heartbeat of entry 0 which confirms what was sent at a time.
func (h *harness) confirm(sentAt time.Time) {
	h.step(&EntryMessage{Link: h.links[0], Message: &structs.FromEntry{Heartbeat: true, Seen: h.core.opts.Clock.Stamp(sentAt)}})
}

// newConfirmingHarness returns a harness with the times of the users' platform whose
// entry 0 has just confirmed a message.
func newConfirmingHarness(t *testing.T) *harness {
	h := newHarness(t)
	h.core.tuning = Tuning{SilenceTimeout: 450 * time.Millisecond, EntryGrace: 300 * time.Millisecond}.withDefaults()
	h.Equal(h.core.tuning.ConfirmTimeout, 750*time.Millisecond)
	h.advance(2 * minIdleAge)
	h.confirm(h.now)
	return h
}

// The entry has closed the link, and messages that it sent before still arrive.
func TestLinkIsClosedIfNothingNewIsConfirmed(t *testing.T) {
	h := newConfirmingHarness(t)
	confirmedAt := h.now
	for range 75 {
		h.advance(10 * time.Millisecond)
		h.confirm(confirmedAt)
		h.Equal(h.core.links[0].state, linkStates.Up)
	}
	h.advance(10 * time.Millisecond)
	h.Equal(h.core.links[0].state, linkStates.Waiting)
}

func TestLinkStaysUpWhileTheEntryConfirms(t *testing.T) {
	h := newConfirmingHarness(t)
	for range 40 {
		h.advance(150 * time.Millisecond)
		h.confirm(h.now.Add(-450 * time.Millisecond)) // a heartbeat of each side and a slow round trip
	}
	h.Equal(h.core.links[0].state, linkStates.Up)
}

// An entry of an older release confirms nothing, so the link counts as alive while
// messages arrive.
func TestLinkToAnEntryThatConfirmsNothingStaysUp(t *testing.T) {
	h := newHarness(t)
	h.core.tuning = Tuning{SilenceTimeout: 450 * time.Millisecond, EntryGrace: 300 * time.Millisecond}.withDefaults()
	for range 40 {
		h.step(&EntryMessage{Link: h.links[0], Message: &structs.FromEntry{Heartbeat: true}})
		h.advance(150 * time.Millisecond)
	}
	h.Equal(h.core.links[0].state, linkStates.Up)
}

func TestGrantThatArrivesAfterTheConfirmTimeoutDoesNotStart(t *testing.T) {
	h := newConfirmingHarness(t)
	confirmedAt := h.now
	for range 7 {
		h.advance(100 * time.Millisecond)
		h.confirm(confirmedAt)
	}
	h.now = h.now.Add(60 * time.Millisecond) // no tick notices the age of the confirmation
	h.sendQueuedGrant(0, 1, 4, time.Second)
	h.Equal(len(h.startedJobs()), 0)
	h.Equal(h.core.links[0].state, linkStates.Waiting)
}

func TestQueuedRunStartsOnlyWhileItsLinkIsUp(t *testing.T) {
	h := newConfirmingHarness(t)
	running := h.sendQueuedGrant(0, 1, 20, time.Second)
	h.sendQueuedGrant(0, 2, 20, time.Second)
	h.sendQueuedGrant(1, 3, 10, 2*time.Second)
	h.step(&LinkClosed{Link: h.links[0]})
	h.step(&TaskExited{Grant: running, Outcome: structs.Succeeded})
	h.Equal(h.startedJobs(), []uint64{1, 3}) // the run of the other entry doesn't wait for it
}

func TestRunsAreStoppedInTimeAfterTheLastConfirmation(t *testing.T) {
	h := newConfirmingHarness(t)
	id := h.sendQueuedGrant(0, 1, 4, time.Second)
	confirmedAt := h.now
	for h.now.Sub(confirmedAt) < 600*time.Millisecond {
		h.advance(10 * time.Millisecond)
		h.confirm(confirmedAt)
	}
	h.step(&LinkClosed{Link: h.links[0]})
	for h.now.Sub(confirmedAt) < 840*time.Millisecond {
		h.advance(10 * time.Millisecond)
		h.Equal(h.core.runs[id].state, runStates.Running)
	}
	h.advance(10 * time.Millisecond)
	h.Equal(h.core.runs[id].state, runStates.Orphaned)
}

// newHandlingHarness returns a harness whose entry 0 reports what it has handled, has just
// handled a message, and runs a task.
func newHandlingHarness(t *testing.T) (*harness, structs.GrantID) {
	h := newConfirmingHarness(t)
	h.core.tuning.MaxUnheard = 1200 * time.Millisecond
	h.core.tuning.LongestLease = 790 * time.Millisecond
	h.handle(h.now)
	return h, h.sendQueuedGrant(0, 1, 4, time.Second)
}

// handle delivers a heartbeat of entry 0, which has just read a message and has handled
// what was sent until a time, with grants that it cancels.
func (h *harness) handle(sentAt time.Time, cancels ...structs.GrantID) {
	clock := h.core.opts.Clock
	h.step(&EntryMessage{Link: h.links[0], Message: &structs.FromEntry{Seen: clock.Stamp(h.now), Handled: clock.Stamp(sentAt), Cancels: cancels}})
}

// lastBound returns the bound of the runs that was reported last.
func (h *harness) lastBound() (bound time.Time) {
	for _, e := range h.effects {
		if b, ok := e.(*BoundRuns); ok {
			bound = b.At
		}
	}
	return bound
}

// The entry reads on, but does not know who has left since.
func TestRunsAreBoundByWhatTheirEntryHasHandled(t *testing.T) {
	h, _ := newHandlingHarness(t)
	handledAt := h.now
	for range 9 {
		h.advance(100 * time.Millisecond)
		h.handle(handledAt)
		h.Equal(h.core.links[0].state, linkStates.Up)
	}
	h.Equal(h.lastBound(), handledAt.Add(1200*time.Millisecond))
	h.advance(50 * time.Millisecond) // time is left for a stop
	h.Equal(h.core.links[0].state, linkStates.Waiting)
	h.advance(10 * time.Millisecond)
	h.Equal(h.stops(), 1)
}

func TestLinkWithoutOpenGrantsStaysUpWhileItsEntryIsBehind(t *testing.T) {
	h, id := newHandlingHarness(t)
	h.core.tuning.IdleHeartbeat = 600 * time.Millisecond
	h.core.tuning.IdleSilenceTimeout = 5400 * time.Millisecond
	h.core.links[0].paced = true
	handledAt := h.now
	h.step(&TaskExited{Grant: id, Outcome: structs.Succeeded})
	for range 20 {
		h.advance(100 * time.Millisecond)
		h.handle(handledAt)
	}
	h.Equal(h.core.links[0].state, linkStates.Up)
	late := h.sendQueuedGrant(0, 2, 4, time.Second)
	h.Equal(h.core.runs[late], nil) // refused: the entry may not want it any more
	h.handle(h.now)
	h.sendQueuedGrant(0, 3, 4, time.Second)
	h.Equal(h.startedJobs(), []uint64{1, 3})
}

// The entry was behind when the caller left, and its cancel comes with the news that it has
// caught up.
func TestCancelledRunGetsNoMoreTimeFromItsEntry(t *testing.T) {
	h, id := newHandlingHarness(t)
	handledAt := h.now
	h.advance(400 * time.Millisecond)
	h.handle(h.now, id)
	h.Equal(h.stops(), 1)
	h.advance(300 * time.Millisecond)
	h.handle(h.now)
	h.step(&LinkClosed{Link: h.links[0]})
	h.advanceTo(h.now.Add(time.Second)) // the run is orphaned
	h.Equal(h.core.runsBound, handledAt.Add(1200*time.Millisecond))
}

// stops returns how many runs were stopped.
func (h *harness) stops() (n int) {
	for _, e := range h.effects {
		if _, ok := e.(*StopTask); ok {
			n++
		}
	}
	return n
}

// The entry's core is behind from the welcome on, which its event loops say nothing of. Its
// confirmations alone must not extend the bound.
func TestConfirmationsAfterAReconnectionDontExtendTheBound(t *testing.T) {
	h, _ := newHandlingHarness(t)
	h.step(&LinkClosed{Link: h.links[0]})
	link := h.greet()
	clock := h.core.opts.Clock
	helloAt := h.now
	welcome := &structs.FromEntry{Welcome: &structs.Welcome{Entry: structs.Peer{Incarnation: 1}}, Seen: clock.Stamp(h.now)}
	h.step(&EntryMessage{Link: link, Message: welcome})
	h.Equal(h.core.links[0].state, linkStates.Up)
	for range 20 {
		h.advance(100 * time.Millisecond)
		h.step(&EntryMessage{Link: link, Message: &structs.FromEntry{Heartbeat: true, Seen: clock.Stamp(h.now)}})
	}
	h.True(!h.core.runsBound.After(helloAt.Add(1200 * time.Millisecond)))
}

// A stop takes up to 50 ms and its answer, and the worker's lease ends 60 ms before the bound.
func TestStopsOfAnEntryThatIsBehindLeaveTimeBeforeTheLeaseEnds(t *testing.T) {
	const tick, expiryMargin, stopLength, calls = 25 * time.Millisecond, 60 * time.Millisecond, 50 * time.Millisecond, 20 * time.Millisecond
	worst := time.Duration(0)
	for phase := range 25 {
		h, _ := newHandlingHarness(t)
		handledAt := h.now
		h.core.Tick(h.now.Add(time.Duration(phase) * time.Millisecond))
		h.now = h.now.Add(time.Duration(phase) * time.Millisecond)
		for n := 1; h.stops() == 0 && n < 100; n++ {
			if n%4 == 0 {
				h.handle(handledAt)
			}
			h.now = h.now.Add(tick)
			h.core.Tick(h.now)
			h.core.Flush(h.now)
			h.effects = append(h.effects, h.core.Effects()...)
		}
		worst = max(worst, h.now.Sub(handledAt))
	}
	left := 1200*time.Millisecond - expiryMargin - worst
	if left < stopLength+calls {
		t.Errorf("%v left for a stop of up to %v", left, stopLength)
	}
}

// The lease of a worker, of 700 ms, is never shortened. It was extended for the runs of
// another entry, so a run must not start under a bound that is nearer than that.
func TestQueuedRunDoesNotStartIfItsBoundIsNearerThanTheLease(t *testing.T) {
	h, first := newHandlingHarness(t)
	h.step(&TaskExited{Grant: first, Outcome: structs.Succeeded})
	other := h.sendQueuedGrant(1, 1, 20, time.Second)
	h.handle(h.now)
	h.sendQueuedGrant(0, 2, 20, 2*time.Second)
	handledAt := h.now
	for range 6 {
		h.advance(100 * time.Millisecond)
		h.handle(handledAt)
		h.step(&EntryMessage{Link: h.links[1], Message: &structs.FromEntry{Heartbeat: true}})
	}
	h.effects = nil
	h.step(&TaskExited{Grant: other, Outcome: structs.Succeeded})
	h.Equal(len(h.startedJobs()), 0)
	h.advance(2 * minIdleAge)
	h.handle(h.now)
	h.Equal(h.startedJobs(), []uint64{2})
}

// What the entry had handled before the break is old by then, whatever its welcome says.
func TestLinkIsOpenedAgainAfterALongBreak(t *testing.T) {
	h, id := newHandlingHarness(t)
	h.step(&TaskExited{Grant: id, Outcome: structs.Succeeded})
	h.step(&LinkClosed{Link: h.links[0]})
	h.advanceTo(h.now.Add(2 * time.Second))
	link := h.core.links[0].id
	h.step(&LinkOpened{Link: link})
	h.advance(10 * time.Millisecond)
	h.Equal(h.core.links[0].state, linkStates.Greeting)
	stamp := h.core.opts.Clock.Stamp(h.now)
	h.step(&EntryMessage{Link: link, Message: &structs.FromEntry{Welcome: &structs.Welcome{Entry: structs.Peer{Incarnation: 1}}, Seen: stamp, Handled: stamp}})
	h.Equal(h.core.links[0].state, linkStates.Up)
	h.links[0] = link
	h.advance(2 * minIdleAge)
	h.sendQueuedGrant(0, 2, 4, time.Second)
	h.Equal(h.startedJobs(), []uint64{1, 2})
}
