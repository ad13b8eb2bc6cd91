package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/structs"
)

// testBench drives one Core, with agents and callers whose messages the test
// writes. It collects the effects.
type testBench struct {
	*is.I
	core      *Core
	now       time.Time
	lastReply ReplyID
	effects   []Effect
}

func newTestBench(t *testing.T) *testBench {
	b := &testBench{I: is.New(t), now: time.UnixMilli(1_000_000)}
	b.core = New(Options{Self: structs.Peer{Incarnation: 9}, Seed: 1})
	return b
}

func newConfiguredTestBench(t *testing.T) *testBench {
	b := newTestBench(t)
	b.step(&Configure{Document: testDocument()})
	return b
}

func testDocument() *structs.Document {
	service := structs.Service{Pool: "p", StartObjective: 1000, Lifetime: 20_000, TaskLimit: 10_000, MaxTasks: 100, MaxTaskBytes: 10}
	return &structs.Document{
		Revision: 1,
		Services: map[string]structs.Service{"s": service},
		Teams: map[string]structs.Team{
			"a": {Quotas: map[string]float64{"s": 3}},
			"b": {Quotas: map[string]float64{"s": 1}},
			"c": {MaxWaiting: 1, Quotas: map[string]float64{"s": 1}},
		},
	}
}

// step handles one message and collects its effects.
func (b *testBench) step(m Message) {
	b.core.Step(b.now, m)
	b.core.Flush(b.now)
	b.effects = append(b.effects, b.core.Effects()...)
}

// advance advances the time in ticks of ten milliseconds.
func (b *testBench) advance(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(10 * time.Millisecond)
		b.core.Tick(b.now)
		b.core.Flush(b.now)
	}
	b.effects = append(b.effects, b.core.Effects()...)
}

// connectWorker connects an agent that offers the given number of credits.
func (b *testBench) connectWorker(link LinkID, credits uint32) {
	hello := &structs.Hello{
		Endpoint: fmt.Sprintf("w%d", link), Incarnation: structs.Incarnation(link), Connection: 1, Session: 1,
		Pool: "p", Slots: credits, Capacity: structs.Needs{Cores: 4},
	}
	b.step(&AgentMessage{Link: link, Message: &structs.FromAgent{Hello: hello}})
	b.step(&AgentMessage{Link: link, Message: &structs.FromAgent{Offered: structs.Credits{Any: credits}}})
}

func (b *testBench) createJob(team string) structs.JobID {
	b.lastReply++
	b.step(&CreateJobs{Reply: b.lastReply, Team: team, Service: "s", Count: 1})
	created := lastEffect[*Created](b)
	return created.IDs[0]
}

func (b *testBench) submission(team string, tasks int) structs.Submission {
	s := structs.Submission{ID: b.createJob(team), Team: team, Service: "s"}
	for i := range tasks {
		s.Tasks = append(s.Tasks, structs.Task{Kind: "k", Payload: []byte{byte(i)}})
	}
	return s
}

func (b *testBench) submit(s structs.Submission) ReplyID {
	b.lastReply++
	b.step(&SubmitJob{Reply: b.lastReply, Submission: s, Wait: true})
	return b.lastReply
}

// lastEffect returns the latest effect of a type, or the type's zero value.
func lastEffect[E Effect](b *testBench) E {
	var found E
	for _, e := range b.effects {
		if e, ok := e.(E); ok {
			found = e
		}
	}
	return found
}

// takeGrants returns the grants sent since the last call in order, and drops all
// effects collected so far.
func (b *testBench) takeGrants() []structs.Grant {
	var grants []structs.Grant
	for _, e := range b.effects {
		if send, ok := e.(*Send); ok {
			grants = append(grants, send.Message.Grants...)
		}
	}
	b.effects = nil
	return grants
}

// reportSuccess reports a successful run and offers new credits.
func (b *testBench) reportSuccess(link LinkID, g structs.Grant, run time.Duration, offered uint32) {
	result := structs.Result{Grant: g.ID, Payload: []byte("r"), RunTime: run}
	b.step(&AgentMessage{Link: link, Message: &structs.FromAgent{Results: []structs.Result{result}, Offered: structs.Credits{Any: offered}}})
}

func TestInvalidSubmissionIsRefusedWithItsReason(t *testing.T) {
	cases := map[string]struct {
		change func(s *structs.Submission)
		kind   failure.Kind
	}{
		"no tasks":        {func(s *structs.Submission) { s.Tasks = nil }, failure.Invalid},
		"too many tasks":  {func(s *structs.Submission) { s.Tasks = make([]structs.Task, 101) }, failure.TooLarge},
		"too many bytes":  {func(s *structs.Submission) { s.Tasks[0].Payload = make([]byte, 11) }, failure.TooLarge},
		"another service": {func(s *structs.Submission) { s.Service = "t" }, failure.Invalid},
		"never runs":      {func(s *structs.Submission) { s.Needs.Accelerators = 1 }, failure.NeverRuns},
		"another team":    {func(s *structs.Submission) { s.Team = "b" }, failure.Forbidden},
		"forged id":       {func(s *structs.Submission) { s.ID.Expiry++ }, failure.UnknownJob},
		"id never issued": {func(s *structs.Submission) { s.ID.Seq += 100 }, failure.UnknownJob},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newConfiguredTestBench(t)
			b.connectWorker(1, 1)
			s := b.submission("a", 1)
			c.change(&s)
			b.submit(s)
			b.Equal(lastEffect[*Refused](b).Failure.Kind, c.kind)
			b.Equal(len(b.takeGrants()), 0)
		})
	}
}

// A refusal promises that no task runs, so a delayed duplicate of a refused
// submission must not be accepted.
func TestRefusedIDStaysRefused(t *testing.T) {
	b := newConfiguredTestBench(t)
	s := b.submission("a", 1)
	b.submit(s)
	b.Equal(lastEffect[*Refused](b).Failure.Kind, failure.Unavailable) // no worker has connected
	b.connectWorker(1, 1)
	b.submit(s)
	b.Equal(lastEffect[*Answered](b).Answer.Failure.Run, failure.NotRun)
	b.Equal(len(b.takeGrants()), 0)
}

func TestResubmissionJoinsTheJob(t *testing.T) {
	b := newConfiguredTestBench(t)
	b.connectWorker(1, 2)
	s := b.submission("a", 1)
	first := b.submit(s)
	second := b.submit(s)
	grants := b.takeGrants()
	b.Equal(len(grants), 1)
	b.reportSuccess(1, grants[0], time.Millisecond, 1)
	answered := map[ReplyID]structs.JobState{}
	for _, e := range b.effects {
		if a, ok := e.(*Answered); ok {
			answered[a.Reply] = a.Answer.State
		}
	}
	b.Equal(answered, map[ReplyID]structs.JobState{first: structs.JobComplete, second: structs.JobComplete})
	other := s
	other.Tasks = []structs.Task{{Kind: "k", Payload: []byte("x")}}
	b.submit(other)
	b.Equal(lastEffect[*Refused](b).Failure.Kind, failure.Conflict)
}

func TestTeamsShareAFullPoolByQuota(t *testing.T) {
	b := newTestBench(t)
	doc := testDocument()
	service := doc.Services["s"]
	service.StartObjective = 60_000 // admits all tasks of both teams
	doc.Services["s"] = service
	b.step(&Configure{Document: doc})
	b.connectWorker(1, 1)
	b.submit(b.submission("a", 100))
	b.submit(b.submission("b", 100))
	byJob := map[uint64]int{}
	for _, g := range b.takeGrants() {
		byJob[g.ID.Job]++
		b.reportSuccess(1, g, 10*time.Millisecond, 1)
	}
	for range 80 {
		for _, g := range b.takeGrants() {
			byJob[g.ID.Job]++
			b.reportSuccess(1, g, 10*time.Millisecond, 1)
		}
	}
	b.True(byJob[1] >= 54 && byJob[1] <= 66) // three quarters of 80, plus or minus 10 %
	b.True(byJob[2] >= 18 && byJob[2] <= 22)
}

func TestQuotaBoundsWaitingTasks(t *testing.T) {
	b := newConfiguredTestBench(t)
	b.connectWorker(1, 1)
	b.submit(b.submission("c", 2))
	b.Equal(lastEffect[*Refused](b).Failure.Kind, failure.QuotaExceeded)
}

func TestFullQueueRefusesWithRetryAfter(t *testing.T) {
	b := newConfiguredTestBench(t)
	b.connectWorker(1, 1)
	refused := 0
	for range 20 {
		b.submit(b.submission("a", 10))
		if r := lastEffect[*Refused](b); r != nil {
			b.Equal(r.Failure.Kind, failure.Overloaded)
			b.Equal(r.Failure.Run, failure.NotRun)
			b.True(r.Failure.RetryAfter > 0)
			refused++
		}
		b.effects = nil
	}
	b.True(refused >= 15) // the queue holds two jobs of half a second within the objective
	b.True(refused < 20)
}

func TestLateJobIsShedOnlyIfNoTaskStarted(t *testing.T) {
	b := newConfiguredTestBench(t)
	b.connectWorker(1, 1)
	b.submit(b.submission("a", 2)) // the first task starts, the second waits
	notStarted := b.submit(b.submission("a", 2))
	b.advance(1100 * time.Millisecond)
	a := lastEffect[*Answered](b)
	b.Equal(a.Reply, notStarted)
	b.Equal(a.Answer.Failure.Kind, failure.Overloaded)
	b.Equal(a.Answer.Failure.Run, failure.NotRun)
	b.advance(20 * time.Second)
	b.Equal(lastEffect[*Answered](b).Answer.Failure.Kind, failure.Expired)
	b.Equal(lastEffect[*Answered](b).Answer.Failure.Run, failure.Unknown)
}

func TestWorkerThatFailsEverythingGoesOnProbation(t *testing.T) {
	b := newConfiguredTestBench(t)
	for link := LinkID(1); link <= 4; link++ {
		b.connectWorker(link, 1)
	}
	failedGrants := 0
	for range 100 {
		b.submit(b.submission("a", 1))
		for _, g := range b.takeGrants() {
			link := b.holderOf(g)
			if link != 1 {
				b.reportSuccess(link, g, 10*time.Millisecond, 1)
				continue
			}
			failedGrants++
			result := structs.Result{Grant: g.ID, Outcome: structs.Errored, RunTime: time.Microsecond}
			b.step(&AgentMessage{Link: 1, Message: &structs.FromAgent{Results: []structs.Result{result}, Offered: structs.Credits{Any: 1}}})
		}
	}
	b.True(failedGrants > 0)
	b.True(failedGrants <= minOutcomes+1)
	b.Equal(healthChart.StateName(b.core.sessions["w1"].health), "probation")
	b.advance(3 * time.Second)
	b.Equal(healthChart.StateName(b.core.sessions["w1"].health), "trial")
}

// holderOf returns the link of the agent that holds a grant.
func (b *testBench) holderOf(g structs.Grant) LinkID {
	for _, s := range b.core.sessions {
		if s.granted[g.ID] != nil {
			return s.link
		}
	}
	b.Fail()
	return 0
}

func TestPlannedStopWaitsForAnswers(t *testing.T) {
	b := newConfiguredTestBench(t)
	b.connectWorker(1, 1)
	s := b.submission("a", 1)
	b.lastReply++
	b.step(&SubmitJob{Reply: b.lastReply, Submission: s})
	grants := b.takeGrants()
	b.step(&Stop{})
	b.True(lastEffect[*Drained](b) == nil) // a task is still running
	b.lastReply++
	b.step(&CreateJobs{Reply: b.lastReply, Team: "a", Service: "s", Count: 1})
	b.Equal(lastEffect[*Refused](b).Failure.Kind, failure.Draining)
	b.reportSuccess(1, grants[0], time.Millisecond, 1)
	b.True(lastEffect[*Drained](b) == nil) // nobody has fetched the answer
	b.lastReply++
	b.step(&AwaitJob{Reply: b.lastReply, ID: s.ID, Team: "a"})
	b.Equal(lastEffect[*Answered](b).Answer.State, structs.JobComplete)
	b.True(lastEffect[*Drained](b) != nil)
}

func TestOnlyKindsKnownToBeShortUseTheReserve(t *testing.T) {
	b := newConfiguredTestBench(t)
	b.connectWorker(1, 1)
	for range minOutcomes { // the kind is learnt to be short
		b.submit(b.submissionOf("quick"))
		b.reportSuccess(1, b.takeGrants()[0], time.Millisecond, 1)
	}
	b.submit(b.submission("a", 1)) // its kind is learnt to be long
	b.reportSuccess(1, b.takeGrants()[0], 5*time.Second, 1)
	b.step(&AgentMessage{Link: 1, Message: &structs.FromAgent{Offered: structs.Credits{Short: 2}}})
	b.submit(b.submission("a", 1))
	grants := b.takeGrants()
	b.Equal(len(grants), 1)
	b.True(!grants[0].Reserved) // the Any credit, not a Short one
	b.submit(b.submissionOf("quick"))
	grants = b.takeGrants()
	b.Equal(len(grants), 1)
	b.True(grants[0].Reserved)
	b.submit(b.submissionOf("unseen")) // an unknown kind counts as long
	b.Equal(len(b.takeGrants()), 0)
}

// submissionOf returns a submission of team b with one task of the given kind.
func (b *testBench) submissionOf(kind string) structs.Submission {
	s := b.submission("b", 1)
	s.Tasks[0].Kind = kind
	return s
}

func TestTaskIsGrantedElsewhereWhenEndpointIsUnreached(t *testing.T) {
	b := newConfiguredTestBench(t)
	b.connectWorker(1, 1)
	b.submit(b.submission("a", 1))
	first := b.takeGrants()[0]
	b.connectWorker(2, 1)
	refusal := structs.Refusal{Grant: first.ID, Reason: structs.EndpointUnreachable}
	b.step(&AgentMessage{Link: 1, Message: &structs.FromAgent{Refusals: []structs.Refusal{refusal}}})
	again := b.takeGrants()
	b.Equal(len(again), 1)
	b.Equal(b.holderOf(again[0]), LinkID(2)) // the credit of worker 1 is used up
	b.reportSuccess(2, again[0], time.Millisecond, 1)
	b.Equal(lastEffect[*Answered](b).Answer.State, structs.JobComplete)
}
