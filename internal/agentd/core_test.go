package agentd

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactuspost.example/internal/actor"
	"cactuspost.example/internal/agent"
	"cactuspost.example/internal/event"
	"cactuspost.example/internal/logging"
	"cactuspost.example/internal/pause"
	"cactuspost.example/internal/structs"
)

// scriptedDecisions replaces the decisions of package agent. It returns the given
// effects once and records its inputs.
type scriptedDecisions struct {
	effects  []agent.Effect
	received []agent.Message
}

func (s *scriptedDecisions) Step(_ time.Time, m agent.Message) { s.received = append(s.received, m) }
func (s *scriptedDecisions) Tick(time.Time)                    {}
func (s *scriptedDecisions) Flush(time.Time)                   {}
func (s *scriptedDecisions) Effects() []agent.Effect {
	effects := s.effects
	s.effects = nil
	return effects
}

// inboxReader records a given number of messages and then ends its actor.
type inboxReader[M any] struct {
	remaining int
	received  []M
}

func (r *inboxReader[M]) Handle(_ time.Time, m M) bool {
	r.received = append(r.received, m)
	r.remaining--
	return r.remaining > 0
}
func (r *inboxReader[M]) Tick(time.Time) bool { return true }
func (r *inboxReader[M]) Flush(time.Time)     {}

// receiveAll returns the messages in an inbox. It waits for one if there is none.
func receiveAll[M any](in *actor.Inbox[M]) []M {
	r := &inboxReader[M]{remaining: in.Len()}
	actor.Run(context.Background(), in, time.Hour, r)
	return r.received
}

// A core that blocked on another actor's inbox could deadlock with it, because
// the other actors block on the core's inbox.
func TestCoreDoesNotBlockOnFullInboxes(t *testing.T) {
	is := is.New(t)
	links := actor.NewInbox[linksInput](1)
	runner := actor.NewInbox[runnerInput](1)
	s := &scriptedDecisions{}
	c := newCore(actor.NewInbox[coreInput](1), s, links, runner, logging.Discard(), newCounters())
	now := time.Unix(1, 0)

	id := structs.GrantID{Task: 2}
	s.effects = []agent.Effect{
		&agent.Send{Link: 1, Message: &structs.FromAgent{Revision: 1}}, // fills the inbox
		&agent.Send{Link: 1, Message: &structs.FromAgent{Revision: 2}}, // inbox full: the link is to be closed
		&agent.Dial{Link: 2, Address: "a"},                             // inbox full: the attempt fails
		&agent.StartTask{Grant: newGrant(1, "x")},                      // fills the inbox
		&agent.StartTask{Grant: structs.Grant{ID: id}},                 // inbox full: reported as not sent
		&agent.StopTask{Grant: newGrant(1, "x").ID},                    // inbox full: sent later
	}
	c.Flush(now)
	is.Equal(len(receiveAll(links)), 1)
	is.Equal(len(receiveAll(runner)), 1)

	c.links, c.runner = actor.NewInbox[linksInput](4), actor.NewInbox[runnerInput](4)
	s.effects = []agent.Effect{&agent.Send{Link: 1, Message: &structs.FromAgent{Revision: 3}}}
	c.Flush(now) // the link is to be closed: nothing else is sent on it
	is.True(c.Tick(now))
	is.Equal(receiveAll(c.links), []linksInput{&closeLink{link: 1}})
	is.Equal(receiveAll(c.runner), []runnerInput{&stopTask{grant: newGrant(1, "x").ID}})
	is.Equal(s.received[0], &agent.LinkClosed{Link: 2})
	exited := s.received[1].(*agent.TaskExited)
	is.Equal(exited.Grant, id)
	is.Equal(exited.Outcome, structs.NotSent)
}

func TestLongestWaitOfAnEntrysMessageIsLoggedAndMeasured(t *testing.T) {
	is := is.New(t)
	var out, text bytes.Buffer
	counters := newCounters()
	c := newCore(actor.NewInbox[coreInput](1), &scriptedDecisions{}, nil, nil, logging.New(&out, event.Info), counters)
	now := time.Now()
	for _, wait := range []time.Duration{30, 150, 90} {
		c.Handle(now, coreInput{message: &agent.EntryMessage{}, receivedAt: now.Add(-wait * time.Millisecond)})
	}
	c.Handle(now, coreInput{message: &agent.EndpointChanged{}})
	c.Tick(now)
	c.Tick(now) // no message since the last tick
	is.Equal(strings.Count(out.String(), "\n"), 1)
	is.True(strings.Contains(out.String(), `"event":4033,"part":"core","wait_ms":150,"limit_ms":100,"queued":0}`))
	counters.set.WritePrometheus(&text)
	is.True(strings.Contains(text.String(), "cactuspost_agent_core_wait_seconds_count 1\n"))
}

// On links without open grants no message may come for seconds, and a tick starts what waits.
func TestSuspensionIsNoticedWithoutAMessage(t *testing.T) {
	is := is.New(t)
	s := &scriptedDecisions{}
	c := newCore(actor.NewInbox[coreInput](1), s, actor.NewInbox[linksInput](1), actor.NewInbox[runnerInput](1), logging.Discard(), newCounters())
	boot := time.Hour
	c.suspendDetector = pause.NewDetector(func() (time.Duration, error) { return boot, nil })
	now := time.Unix(1, 0)
	c.Handle(now, coreInput{message: &agent.LinkOpened{Link: 1}})
	boot += 5 * time.Second
	is.True(c.Tick(now.Add(coreTickInterval)))
	is.Equal(s.received[len(s.received)-1], &agent.Suspended{})
}
