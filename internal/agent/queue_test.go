package agent

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactuspost.example/internal/structs"
)

// harness drives one Core with 20 divided slots and collects its effects. The test
// sends the messages of its two entries.
type harness struct {
	*is.I
	core    *Core
	now     time.Time
	links   []LinkID
	effects []Effect
}

func newHarness(t *testing.T) *harness {
	h := &harness{I: is.New(t), now: time.UnixMilli(1_000_000)}
	h.core = New(Options{
		Endpoint: "w", Incarnation: 7, Pool: "p", Slots: 20, Divided: true,
		Capacity: structs.Needs{Millicores: 2000}, Entries: []string{"e1", "e2"}, Clock: structs.NewClock(h.now),
		Tuning: Tuning{PauseThreshold: 400 * time.Millisecond},
	})
	h.advance(0)
	for _, e := range h.effects {
		if dial, ok := e.(*Dial); ok {
			h.links = append(h.links, dial.Link)
		}
	}
	for i, link := range h.links {
		h.step(&LinkOpened{Link: link})
		h.step(&EntryMessage{Link: link, Message: &structs.FromEntry{Welcome: &structs.Welcome{
			Entry: structs.Peer{Incarnation: structs.Incarnation(i + 1)},
		}}})
	}
	h.step(&EndpointChanged{Up: true})
	return h
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
	h := newHarness(t)
	requests := func() (n int) {
		for _, e := range h.effects {
			if _, ok := e.(*FindEntries); ok {
				n++
			}
		}
		return n
	}
	for _, link := range h.links {
		h.step(&LinkClosed{Link: link})
	}
	for range 11 {
		h.advance(findEntriesAfter / 10)
	}
	h.Equal(requests(), 1)
	h.step(&EntriesFound{Peers: []structs.Peer{{Incarnation: 3, LinkAddress: "e3"}}})
	h.advance(10 * time.Millisecond)
	h.Equal(h.dials("e3"), 1)
}

func TestEntryIsDialledOnlyAfterItsOrphanedRunsHaveEnded(t *testing.T) {
	h := newHarness(t)
	h.advance(2 * minIdleAge)
	id := h.sendQueuedGrant(0, 1, 10, 0)
	h.Equal(h.core.runs[id].state, runStates.Running)
	h.step(&LinkClosed{Link: h.links[0]})
	for h.core.runs[id].state != runStates.Orphaned {
		h.advance(100 * time.Millisecond)
	}
	// A hello would not list the run, so the entry would run the task elsewhere
	// while it still runs here.
	h.effects = nil
	for range 50 {
		h.advance(100 * time.Millisecond)
	}
	h.Equal(h.dials("e1"), 0)
	h.Equal(h.core.links[0].state, linkStates.Waiting) // no attempt to connect is in progress
	h.step(&TaskExited{Grant: id, Outcome: structs.Stopped})
	h.advance(100 * time.Millisecond)
	h.Equal(h.dials("e1"), 1)
}

// The entry is first known under an address from the list of entries, and then
// answers at one from the settings, whose link is kept.
func TestOrphanedRunsOfADroppedDuplicateLinkDelayTheNextDial(t *testing.T) {
	h := newHarness(t)
	h.advance(2 * minIdleAge)
	h.step(&EntryMessage{Link: h.links[0], Message: &structs.FromEntry{Peers: []structs.Peer{
		{Incarnation: 1, LinkAddress: "e1"}, {Incarnation: 3, LinkAddress: "other-e3"},
	}}})
	h.advance(10 * time.Millisecond)
	h.Equal(h.dials("other-e3"), 1)
	duplicate := h.core.links[2]
	id := structs.GrantID{Owner: 3, Job: 1, Attempt: 1}
	h.step(&LinkOpened{Link: duplicate.id})
	h.step(&EntryMessage{Link: duplicate.id, Message: &structs.FromEntry{
		Welcome: &structs.Welcome{Entry: structs.Peer{Incarnation: 3}},
		Grants:  []structs.Grant{{ID: id, Slots: 4, Queued: true, StartWithin: time.Second}},
	}})
	h.Equal(h.core.runs[id].state, runStates.Running)

	kept := h.core.links[1]
	h.step(&LinkClosed{Link: kept.id})
	for kept.state != linkStates.Dialing {
		h.advance(10 * time.Millisecond)
	}
	h.step(&LinkOpened{Link: kept.id})
	h.step(&EntryMessage{Link: kept.id, Message: &structs.FromEntry{Welcome: &structs.Welcome{Entry: structs.Peer{Incarnation: 3}}}})
	h.advance(10 * time.Millisecond)
	h.True(!slices.Contains(h.core.links, duplicate))
	h.Equal(h.core.runs[id].state, runStates.Running)

	h.step(&LinkClosed{Link: kept.id})
	for h.core.runs[id].state != runStates.Orphaned {
		h.advance(100 * time.Millisecond)
	}
	h.effects = nil
	for range 50 {
		h.advance(100 * time.Millisecond)
	}
	h.Equal(h.dials("e2"), 0)
	h.step(&TaskExited{Grant: id, Outcome: structs.Stopped})
	h.advance(100 * time.Millisecond)
	h.Equal(h.dials("e2"), 1)
}

// dials counts the attempts to connect to an entry.
func (h *harness) dials(address string) (n int) {
	for _, e := range h.effects {
		if dial, ok := e.(*Dial); ok && dial.Address == address {
			n++
		}
	}
	return n
}

func (h *harness) step(m Message) {
	h.core.Step(h.now, m)
	h.core.Flush(h.now)
	h.effects = append(h.effects, h.core.Effects()...)
}

// advance lets time pass and handles one tick.
func (h *harness) advance(d time.Duration) {
	h.now = h.now.Add(d)
	h.core.Tick(h.now)
	h.core.Flush(h.now)
	h.effects = append(h.effects, h.core.Effects()...)
}

// sendQueuedGrant delivers a queued grant, which uses no credit, from entry 0 or 1.
func (h *harness) sendQueuedGrant(entry int, job uint64, slots uint32, within time.Duration) structs.GrantID {
	id := structs.GrantID{Owner: structs.Incarnation(entry + 1), Job: job, Attempt: 1}
	h.step(&EntryMessage{Link: h.links[entry], Message: &structs.FromEntry{Grants: []structs.Grant{
		{ID: id, Slots: slots, Queued: true, StartWithin: within},
	}}})
	return id
}

// sendGrant delivers a grant of one slot that uses a credit of entry 0 or 1.
func (h *harness) sendGrant(entry int, job uint64) {
	id := structs.GrantID{Owner: structs.Incarnation(entry + 1), Job: job, Attempt: 1}
	h.step(&EntryMessage{Link: h.links[entry], Message: &structs.FromEntry{Grants: []structs.Grant{{ID: id, Slots: 1}}}})
}

// startedJobs returns the jobs of all started tasks in the order of their starts.
func (h *harness) startedJobs() []uint64 {
	var jobs []uint64
	for _, e := range h.effects {
		if start, ok := e.(*StartTask); ok {
			jobs = append(jobs, start.Grant.ID.Job)
		}
	}
	return jobs
}

// sent returns the messages to an entry since the last call and drops all effects.
func (h *harness) sent(entry int) (messages []*structs.FromAgent) {
	for _, e := range h.effects {
		if send, ok := e.(*Send); ok && send.Link == h.links[entry] {
			messages = append(messages, send.Message)
		}
	}
	h.effects = nil
	return messages
}

func TestIdleCreditsAreRevokedForAQueuedGrant(t *testing.T) {
	h := newHarness(t)
	h.advance(2 * minIdleAge) // the ten credits of each entry are idle
	h.sendQueuedGrant(0, 1, 16, time.Second)
	h.Equal(h.startedJobs(), []uint64{1})
}

func TestMostUrgentQueuedGrantOfAllEntriesStartsNext(t *testing.T) {
	h := newHarness(t)
	h.advance(2 * minIdleAge)
	running := h.sendQueuedGrant(0, 1, 20, time.Second)
	h.sendQueuedGrant(0, 2, 20, time.Second)
	h.sendQueuedGrant(1, 3, 20, 100*time.Millisecond)
	h.sendQueuedGrant(1, 4, 20, -time.Millisecond) // misses its objective anyway
	h.Equal(h.startedJobs(), []uint64{1})
	for _, wantStarted := range [][]uint64{{1, 3}, {1, 3, 2}, {1, 3, 2, 4}} {
		h.step(&TaskExited{Grant: running, Outcome: structs.Succeeded})
		h.Equal(h.startedJobs(), wantStarted)
		running = structs.GrantID{Owner: running.Owner, Job: wantStarted[len(wantStarted)-1], Attempt: 1}
		if running.Job >= 3 {
			running.Owner = 2
		} else {
			running.Owner = 1
		}
	}
}

func TestIdleCreditsAreReportedToOtherEntries(t *testing.T) {
	h := newHarness(t)
	reports := func(entry int) (idle []uint32) {
		for _, e := range h.effects {
			if send, ok := e.(*Send); ok && send.Link == h.links[entry] {
				idle = append(idle, send.Message.Idle)
			}
		}
		h.effects = nil
		return idle
	}
	h.advance(idleReportInterval)
	reports(1)
	h.advance(idleReportInterval)
	h.Equal(len(reports(1)), 0) // nothing has changed
	h.sendQueuedGrant(0, 1, 8, time.Second)
	h.advance(idleReportInterval)
	remaining := h.core.idleSlots(h.core.links[1])
	h.True(remaining < 10) // the other entry held ten idle credits before
	h.Equal(reports(1), []uint32{remaining})
}

func TestStartOfAQueuedGrantIsReported(t *testing.T) {
	h := newHarness(t)
	h.advance(2 * minIdleAge)
	id := h.sendQueuedGrant(0, 1, 16, time.Second)
	reported := false
	for _, e := range h.effects {
		if send, ok := e.(*Send); ok && len(send.Message.Started) == 1 {
			reported = send.Message.Started[0] == id
		}
	}
	h.True(reported)
}

func TestQueuedGrantIsRefusedWhenTheEndpointGoesDown(t *testing.T) {
	h := newHarness(t)
	h.advance(2 * minIdleAge)
	h.sendQueuedGrant(0, 1, 20, time.Second)
	h.sendQueuedGrant(0, 2, 20, time.Second)
	h.step(&EndpointChanged{Up: false})
	refused := 0
	for _, e := range h.effects {
		if send, ok := e.(*Send); ok {
			refused += len(send.Message.Refusals)
		}
	}
	h.Equal(refused, 1)
	h.Equal(len(h.core.queue), 0)
}

func TestGrantsUnreadDuringAPauseDoNotStart(t *testing.T) {
	h := newHarness(t)
	h.now = h.now.Add(3 * time.Second) // the process was paused for longer than PauseThreshold
	h.sendQueuedGrant(0, 1, 4, time.Second)
	h.Equal(len(h.startedJobs()), 0)
}

func TestGrantsUnreadDuringASuspensionDoNotStart(t *testing.T) {
	h := newHarness(t)
	h.advance(2 * minIdleAge)
	h.step(&Suspended{}) // the monotonic clock stopped too, so no time has passed
	h.sendQueuedGrant(0, 1, 4, time.Second)
	h.Equal(len(h.startedJobs()), 0)
}

// greet breaks the link to entry 0 and returns the next one, on which the hello has
// been sent and the welcome has not arrived.
func (h *harness) greet() LinkID {
	h.Helper()
	h.step(&LinkClosed{Link: h.links[0]})
	h.effects = nil
	for h.dials("e1") == 0 {
		h.advance(10 * time.Millisecond)
	}
	link := h.core.links[0].id
	h.step(&LinkOpened{Link: link})
	h.Equal(h.core.links[0].state, linkStates.Greeting)
	return link
}

func (h *harness) welcome(link LinkID) {
	h.step(&EntryMessage{Link: link, Message: &structs.FromEntry{Welcome: &structs.Welcome{Entry: structs.Peer{Incarnation: 1}}}})
	h.advance(10 * time.Millisecond)
}

// refusals returns the refused grants that were sent on a link after a hello that
// lists them.
func (h *harness) refusals(link LinkID) []structs.GrantID {
	var listed, refused []structs.GrantID
	for _, e := range h.effects {
		send, ok := e.(*Send)
		if !ok || send.Link != link {
			continue
		}
		if send.Message.Hello != nil {
			listed = send.Message.Hello.Held
		}
		for _, r := range send.Message.Refusals {
			if slices.Contains(listed, r.Grant) {
				refused = append(refused, r.Grant)
			}
		}
	}
	return refused
}

// The hello has told the entry that the agent holds the grants. Without a refusal the
// entry would wait for their tasks until the job expires.
func TestGrantRefusedAfterTheHelloIsReported(t *testing.T) {
	for name, refuse := range map[string]func(h *harness, running structs.GrantID) (refused uint64){
		"endpoint down": func(h *harness, _ structs.GrantID) uint64 { h.step(&EndpointChanged{Up: false}); return 2 },
		"agent leaving": func(h *harness, _ structs.GrantID) uint64 { h.step(&Stop{}); return 2 },
		"task not sent": func(h *harness, running structs.GrantID) uint64 {
			h.step(&TaskExited{Grant: running, Outcome: structs.NotSent})
			return 1
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.advance(2 * minIdleAge)
			running := h.sendQueuedGrant(0, 1, 20, time.Second)
			h.sendQueuedGrant(0, 2, 20, time.Second)
			link := h.greet()
			refused := refuse(h, running)
			h.welcome(link)
			h.Equal(h.refusals(link), []structs.GrantID{{Owner: 1, Job: refused, Attempt: 1}})
		})
	}
}

// A queued run that gets its slots after the hello starts once the link is up, and
// the entry hears of it.
func TestStartAfterTheHelloIsReported(t *testing.T) {
	h := newHarness(t)
	h.advance(2 * minIdleAge)
	running := h.sendQueuedGrant(0, 1, 20, time.Second)
	id := h.sendQueuedGrant(0, 2, 20, time.Second)
	link := h.greet()
	h.step(&TaskExited{Grant: running, Outcome: structs.Succeeded})
	h.welcome(link)
	h.Equal(h.core.runs[id].state, runStates.Running)
	var started []structs.GrantID
	for _, e := range h.effects {
		if send, ok := e.(*Send); ok && send.Link == link {
			started = append(started, send.Message.Started...)
		}
	}
	h.Equal(started, []structs.GrantID{id})
}
