package agent

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cactuspost.example/internal/structs"
)

// queueHarness drives the core of one agent with 20 divided slots. The test sends
// the messages of its two entries.
type queueHarness struct {
	*is.I
	core    *Core
	now     time.Time
	links   []LinkID
	effects []Effect
}

func newQueueHarness(t *testing.T) *queueHarness {
	b := &queueHarness{I: is.New(t), now: time.UnixMilli(1_000_000)}
	b.core = New(Options{
		Endpoint: "w", Incarnation: 7, Pool: "p", Slots: 20, Divided: true,
		Capacity: structs.Needs{Millicores: 2000}, Entries: []string{"e1", "e2"},
		Tuning: Tuning{PauseThreshold: 400 * time.Millisecond},
	})
	b.advance(0)
	for _, e := range b.effects {
		if dial, ok := e.(*Dial); ok {
			b.links = append(b.links, dial.Link)
		}
	}
	for i, link := range b.links {
		b.step(&LinkOpened{Link: link})
		b.step(&EntryMessage{Link: link, Message: &structs.FromEntry{Welcome: &structs.Welcome{
			Entry: structs.Peer{Incarnation: structs.Incarnation(i + 1)},
		}}})
	}
	b.step(&EndpointChanged{Up: true})
	return b
}

func TestNoEntryIsDialledBeforeThePredecessorsRunsHaveEnded(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_000_000)
	c := New(Options{Endpoint: "w", Incarnation: 7, Pool: "p", Slots: 2, Takeover: true, Entries: []string{"e1"}})
	dials := func() (n int) {
		c.Tick(now)
		c.Flush(now)
		for _, e := range c.Effects() {
			if _, ok := e.(*Dial); ok {
				n++
			}
		}
		return n
	}
	// An entry that gets the hello of a new agent runs the old agent's tasks elsewhere.
	is.Equal(dials(), 0)
	c.Step(now, &EndpointChanged{Up: true})
	is.Equal(dials(), 1)
}

func TestEntryListIsRequestedWhileNoLinkIsUp(t *testing.T) {
	b := newQueueHarness(t)
	requests := func() (n int) {
		for _, e := range b.effects {
			if _, ok := e.(*FindEntries); ok {
				n++
			}
		}
		return n
	}
	for _, link := range b.links {
		b.step(&LinkClosed{Link: link})
	}
	for range 11 {
		b.advance(findEntriesAfter / 10)
	}
	b.Equal(requests(), 1)
	b.step(&EntriesFound{Peers: []structs.Peer{{Incarnation: 3, LinkAddress: "e3"}}})
	b.advance(10 * time.Millisecond)
	b.Equal(b.dials("e3"), 1)
}

func TestEntryIsDialledOnlyAfterItsOrphanedRunsHaveEnded(t *testing.T) {
	b := newQueueHarness(t)
	b.advance(2 * minIdleAge)
	id := b.sendQueuedGrant(0, 1, 10, 0)
	b.Equal(b.core.runs[id].state, runStates.Running)
	b.step(&LinkClosed{Link: b.links[0]})
	for b.core.runs[id].state != runStates.Orphaned {
		b.advance(100 * time.Millisecond)
	}
	// A hello would not list the run, so the entry would run the task elsewhere
	// while it still runs here.
	b.effects = nil
	for range 50 {
		b.advance(100 * time.Millisecond)
	}
	b.Equal(b.dials("e1"), 0)
	b.Equal(b.core.links[0].state, linkStates.Waiting) // no attempt to connect is in progress
	b.step(&TaskExited{Grant: id, Outcome: structs.Stopped})
	b.advance(100 * time.Millisecond)
	b.Equal(b.dials("e1"), 1)
}

// dials counts the attempts to connect to an entry.
func (b *queueHarness) dials(address string) (n int) {
	for _, e := range b.effects {
		if dial, ok := e.(*Dial); ok && dial.Address == address {
			n++
		}
	}
	return n
}

func (b *queueHarness) step(m Message) {
	b.core.Step(b.now, m)
	b.core.Flush(b.now)
	b.effects = append(b.effects, b.core.Effects()...)
}

// advance lets time pass and handles one tick.
func (b *queueHarness) advance(d time.Duration) {
	b.now = b.now.Add(d)
	b.core.Tick(b.now)
	b.core.Flush(b.now)
	b.effects = append(b.effects, b.core.Effects()...)
}

// sendQueuedGrant delivers a queued grant, which uses no credit, from entry 0 or 1.
func (b *queueHarness) sendQueuedGrant(entry int, job uint64, slots uint32, within time.Duration) structs.GrantID {
	id := structs.GrantID{Owner: structs.Incarnation(entry + 1), Job: job, Attempt: 1}
	b.step(&EntryMessage{Link: b.links[entry], Message: &structs.FromEntry{Grants: []structs.Grant{
		{ID: id, Slots: slots, Queued: true, StartWithin: within},
	}}})
	return id
}

// startedJobs returns the jobs of all started tasks in the order of their starts.
func (b *queueHarness) startedJobs() []uint64 {
	var jobs []uint64
	for _, e := range b.effects {
		if start, ok := e.(*StartTask); ok {
			jobs = append(jobs, start.Grant.ID.Job)
		}
	}
	return jobs
}

func TestIdleCreditsAreRevokedForAQueuedGrant(t *testing.T) {
	b := newQueueHarness(t)
	b.advance(2 * minIdleAge) // the ten credits of each entry are idle
	b.sendQueuedGrant(0, 1, 16, time.Second)
	b.Equal(b.startedJobs(), []uint64{1})
}

func TestMostUrgentQueuedGrantOfAllEntriesStartsNext(t *testing.T) {
	b := newQueueHarness(t)
	b.advance(2 * minIdleAge)
	first := b.sendQueuedGrant(0, 1, 20, time.Second)
	b.sendQueuedGrant(0, 2, 20, time.Second)
	b.sendQueuedGrant(1, 3, 20, 100*time.Millisecond)
	b.sendQueuedGrant(1, 4, 20, -time.Millisecond) // misses its objective anyway
	b.Equal(b.startedJobs(), []uint64{1})
	for _, next := range [][]uint64{{1, 3}, {1, 3, 2}, {1, 3, 2, 4}} {
		b.step(&TaskExited{Grant: first, Outcome: structs.Succeeded})
		b.Equal(b.startedJobs(), next)
		first = structs.GrantID{Owner: first.Owner, Job: next[len(next)-1], Attempt: 1}
		if first.Job >= 3 {
			first.Owner = 2
		} else {
			first.Owner = 1
		}
	}
}

func TestIdleCreditsAreReportedToOtherEntries(t *testing.T) {
	b := newQueueHarness(t)
	reports := func(entry int) (idle []uint32) {
		for _, e := range b.effects {
			if send, ok := e.(*Send); ok && send.Link == b.links[entry] {
				idle = append(idle, send.Message.Idle)
			}
		}
		b.effects = nil
		return idle
	}
	b.advance(idleReportInterval)
	reports(1)
	b.advance(idleReportInterval)
	b.Equal(len(reports(1)), 0) // nothing has changed
	b.sendQueuedGrant(0, 1, 8, time.Second)
	b.advance(idleReportInterval)
	remaining := b.core.idleCreditsElsewhere(b.core.links[1])
	b.True(remaining < 10) // the other entry held ten idle credits before
	b.Equal(reports(1), []uint32{remaining})
}

func TestStartOfAQueuedGrantIsReported(t *testing.T) {
	b := newQueueHarness(t)
	b.advance(2 * minIdleAge)
	id := b.sendQueuedGrant(0, 1, 16, time.Second)
	reported := false
	for _, e := range b.effects {
		if send, ok := e.(*Send); ok && len(send.Message.Started) == 1 {
			reported = send.Message.Started[0] == id
		}
	}
	b.True(reported)
}

func TestQueuedGrantIsRefusedWhenTheEndpointGoesDown(t *testing.T) {
	b := newQueueHarness(t)
	b.advance(2 * minIdleAge)
	b.sendQueuedGrant(0, 1, 20, time.Second)
	b.sendQueuedGrant(0, 2, 20, time.Second)
	b.step(&EndpointChanged{Up: false})
	refused := 0
	for _, e := range b.effects {
		if send, ok := e.(*Send); ok {
			refused += len(send.Message.Refusals)
		}
	}
	b.Equal(refused, 1)
	b.Equal(len(b.core.queue), 0)
}

func TestGrantsUnreadDuringAPauseDoNotStart(t *testing.T) {
	b := newQueueHarness(t)
	b.now = b.now.Add(3 * time.Second) // the process was paused for longer than Tuning.Pause
	b.sendQueuedGrant(0, 1, 4, time.Second)
	b.Equal(len(b.startedJobs()), 0)
}

func TestGrantsUnreadDuringASuspensionDoNotStart(t *testing.T) {
	b := newQueueHarness(t)
	b.advance(2 * minIdleAge)
	b.step(&Suspended{}) // the monotonic clock stopped too, so no time has passed
	b.sendQueuedGrant(0, 1, 4, time.Second)
	b.Equal(len(b.startedJobs()), 0)
}
