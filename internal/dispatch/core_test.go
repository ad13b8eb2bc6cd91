package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/structs"
)

// bench drives one Core, with agents and callers whose messages the test writes. It
// collects the effects.
type bench struct {
	*is.I
	core    *Core
	now     time.Time
	reply   ReplyID
	effects []Effect
}

func newBench(t *testing.T) *bench {
	b := &bench{I: is.New(t), now: time.UnixMilli(1_000_000)}
	b.core = New(Options{Self: structs.Peer{Incarnation: 9}, Seed: 1})
	return b
}

func newConfiguredBench(t *testing.T) *bench {
	b := newBench(t)
	b.step(&Configure{Document: benchDocument()})
	return b
}

func benchDocument() *structs.Document {
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
func (b *bench) step(m Message) {
	b.core.Step(b.now, m)
	b.core.Flush(b.now)
	b.effects = append(b.effects, b.core.Effects()...)
}

// pass advances the time in ticks of ten milliseconds.
func (b *bench) pass(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(10 * time.Millisecond)
		b.core.Tick(b.now)
		b.core.Flush(b.now)
	}
	b.effects = append(b.effects, b.core.Effects()...)
}

// worker connects an agent that offers the given number of credits.
func (b *bench) worker(link LinkID, credits uint32) {
	hello := &structs.Hello{
		Endpoint: fmt.Sprintf("w%d", link), Incarnation: structs.Incarnation(link), Connection: 1, Session: 1,
		Pool: "p", Slots: credits, Capacity: structs.Needs{Cores: 4},
	}
	b.step(&AgentMessage{Link: link, Message: &structs.FromAgent{Hello: hello}})
	b.step(&AgentMessage{Link: link, Message: &structs.FromAgent{Offered: structs.Credits{Any: credits}}})
}

func (b *bench) create(team string) structs.JobID {
	b.reply++
	b.step(&CreateJobs{Reply: b.reply, Team: team, Service: "s", Count: 1})
	created := last[*Created](b)
	return created.IDs[0]
}

func (b *bench) submission(team string, tasks int) structs.Submission {
	s := structs.Submission{ID: b.create(team), Team: team, Service: "s"}
	for i := range tasks {
		s.Tasks = append(s.Tasks, structs.Task{Kind: "k", Payload: []byte{byte(i)}})
	}
	return s
}

func (b *bench) submit(s structs.Submission) ReplyID {
	b.reply++
	b.step(&SubmitJob{Reply: b.reply, Submission: s, Wait: true})
	return b.reply
}

// last returns the latest effect of a type, or the type's zero value.
func last[E Effect](b *bench) E {
	var found E
	for _, e := range b.effects {
		if e, ok := e.(E); ok {
			found = e
		}
	}
	return found
}

// grants returns the grants sent since the last call in order, and drops all
// effects collected so far.
func (b *bench) grants() []structs.Grant {
	var grants []structs.Grant
	for _, e := range b.effects {
		if send, ok := e.(*Send); ok {
			grants = append(grants, send.Message.Grants...)
		}
	}
	b.effects = nil
	return grants
}

// finish reports a successful run and offers new credits.
func (b *bench) finish(link LinkID, g structs.Grant, run time.Duration, offered uint32) {
	result := structs.Result{Grant: g.ID, Payload: []byte("r"), RunTime: run}
	b.step(&AgentMessage{Link: link, Message: &structs.FromAgent{Results: []structs.Result{result}, Offered: structs.Credits{Any: offered}}})
}

func TestSubmissionsAreRefusedWithTheirReason(t *testing.T) {
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
			b := newConfiguredBench(t)
			b.worker(1, 1)
			s := b.submission("a", 1)
			c.change(&s)
			b.submit(s)
			b.Equal(last[*Refused](b).Failure.Kind, c.kind)
			b.Equal(len(b.grants()), 0)
		})
	}
}

// A refusal promises that no task runs, so a delayed duplicate of a refused
// submission must not be accepted.
func TestRefusedIDStaysRefused(t *testing.T) {
	b := newConfiguredBench(t)
	s := b.submission("a", 1)
	b.submit(s)
	b.Equal(last[*Refused](b).Failure.Kind, failure.Unavailable) // no worker has connected
	b.worker(1, 1)
	b.submit(s)
	b.Equal(last[*Answered](b).Answer.Failure.Run, failure.NotRun)
	b.Equal(len(b.grants()), 0)
}

func TestResubmissionJoinsTheJob(t *testing.T) {
	b := newConfiguredBench(t)
	b.worker(1, 2)
	s := b.submission("a", 1)
	first := b.submit(s)
	second := b.submit(s)
	grants := b.grants()
	b.Equal(len(grants), 1)
	b.finish(1, grants[0], time.Millisecond, 1)
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
	b.Equal(last[*Refused](b).Failure.Kind, failure.Conflict)
}

func TestTeamsShareAFullPoolByQuota(t *testing.T) {
	b := newBench(t)
	doc := benchDocument()
	service := doc.Services["s"]
	service.StartObjective = 60_000 // admits all tasks of both teams
	doc.Services["s"] = service
	b.step(&Configure{Document: doc})
	b.worker(1, 1)
	b.submit(b.submission("a", 100))
	b.submit(b.submission("b", 100))
	byJob := map[uint64]int{}
	for _, g := range b.grants() {
		byJob[g.ID.Job]++
		b.finish(1, g, 10*time.Millisecond, 1)
	}
	for range 80 {
		for _, g := range b.grants() {
			byJob[g.ID.Job]++
			b.finish(1, g, 10*time.Millisecond, 1)
		}
	}
	b.True(byJob[1] >= 54 && byJob[1] <= 66) // three quarters of 80, plus or minus 10 %
	b.True(byJob[2] >= 18 && byJob[2] <= 22)
}

func TestQuotaBoundsWaitingTasks(t *testing.T) {
	b := newConfiguredBench(t)
	b.worker(1, 1)
	b.submit(b.submission("c", 2))
	b.Equal(last[*Refused](b).Failure.Kind, failure.QuotaExceeded)
}

func TestFullQueueRefusesWithATimeToComeBack(t *testing.T) {
	b := newConfiguredBench(t)
	b.worker(1, 1)
	refused := 0
	for range 20 {
		b.submit(b.submission("a", 10))
		if r := last[*Refused](b); r != nil {
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

func TestLateJobIsShedOnlyIfUntouched(t *testing.T) {
	b := newConfiguredBench(t)
	b.worker(1, 1)
	b.submit(b.submission("a", 2)) // the first task starts, the second waits
	untouched := b.submit(b.submission("a", 2))
	b.pass(1100 * time.Millisecond)
	a := last[*Answered](b)
	b.Equal(a.Reply, untouched)
	b.Equal(a.Answer.Failure.Kind, failure.Overloaded)
	b.Equal(a.Answer.Failure.Run, failure.NotRun)
	b.pass(20 * time.Second)
	b.Equal(last[*Answered](b).Answer.Failure.Kind, failure.Expired)
	b.Equal(last[*Answered](b).Answer.Failure.Run, failure.Unknown)
}

func TestWorkerThatFailsEverythingGoesOnProbation(t *testing.T) {
	b := newConfiguredBench(t)
	for link := LinkID(1); link <= 4; link++ {
		b.worker(link, 1)
	}
	toBad := 0
	for range 100 {
		b.submit(b.submission("a", 1))
		for _, g := range b.grants() {
			link := b.holderOf(g)
			if link != 1 {
				b.finish(link, g, 10*time.Millisecond, 1)
				continue
			}
			toBad++
			result := structs.Result{Grant: g.ID, Outcome: structs.Errored, RunTime: time.Microsecond}
			b.step(&AgentMessage{Link: 1, Message: &structs.FromAgent{Results: []structs.Result{result}, Offered: structs.Credits{Any: 1}}})
		}
	}
	b.True(toBad > 0)
	b.True(toBad <= minOutcomes+1)
	b.Equal(healthChart.StateName(b.core.sessions["w1"].health), "probation")
	b.pass(3 * time.Second)
	b.Equal(healthChart.StateName(b.core.sessions["w1"].health), "trial")
}

// holderOf returns the link of the agent that holds a grant.
func (b *bench) holderOf(g structs.Grant) LinkID {
	for _, s := range b.core.sessions {
		if s.granted[g.ID] != nil {
			return s.link
		}
	}
	b.Fail()
	return 0
}

func TestPlannedStopWaitsForAnswers(t *testing.T) {
	b := newConfiguredBench(t)
	b.worker(1, 1)
	s := b.submission("a", 1)
	b.reply++
	b.step(&SubmitJob{Reply: b.reply, Submission: s})
	grants := b.grants()
	b.step(&Stop{})
	b.True(last[*Drained](b) == nil) // a task is still running
	b.reply++
	b.step(&CreateJobs{Reply: b.reply, Team: "a", Service: "s", Count: 1})
	b.Equal(last[*Refused](b).Failure.Kind, failure.Draining)
	b.finish(1, grants[0], time.Millisecond, 1)
	b.True(last[*Drained](b) == nil) // nobody has fetched the answer
	b.reply++
	b.step(&AwaitJob{Reply: b.reply, ID: s.ID, Team: "a"})
	b.Equal(last[*Answered](b).Answer.State, structs.JobComplete)
	b.True(last[*Drained](b) != nil)
}

func TestOnlyKindsKnownToBeShortUseTheReserve(t *testing.T) {
	b := newConfiguredBench(t)
	b.worker(1, 1)
	for range minOutcomes { // the kind is learnt to be short
		b.submit(b.submissionOf("quick"))
		b.finish(1, b.grants()[0], time.Millisecond, 1)
	}
	b.submit(b.submission("a", 1)) // its kind is learnt to be long
	b.finish(1, b.grants()[0], 5*time.Second, 1)
	b.step(&AgentMessage{Link: 1, Message: &structs.FromAgent{Offered: structs.Credits{Short: 2}}})
	b.submit(b.submission("a", 1))
	grants := b.grants()
	b.Equal(len(grants), 1)
	b.True(!grants[0].Reserved) // the Any credit, not a Short one
	b.submit(b.submissionOf("quick"))
	grants = b.grants()
	b.Equal(len(grants), 1)
	b.True(grants[0].Reserved)
	b.submit(b.submissionOf("unseen")) // an unknown kind counts as long
	b.Equal(len(b.grants()), 0)
}

// submissionOf returns a submission of team b with one task of the given kind.
func (b *bench) submissionOf(kind string) structs.Submission {
	s := b.submission("b", 1)
	s.Tasks[0].Kind = kind
	return s
}

func TestGrantThatReachedNoEndpointGoesElsewhere(t *testing.T) {
	b := newConfiguredBench(t)
	b.worker(1, 1)
	b.submit(b.submission("a", 1))
	first := b.grants()[0]
	b.worker(2, 1)
	refusal := structs.Refusal{Grant: first.ID, Reason: structs.EndpointUnreached}
	b.step(&AgentMessage{Link: 1, Message: &structs.FromAgent{Refusals: []structs.Refusal{refusal}}})
	again := b.grants()
	b.Equal(len(again), 1)
	b.Equal(b.holderOf(again[0]), LinkID(2)) // the credit of worker 1 is used up
	b.finish(2, again[0], time.Millisecond, 1)
	b.Equal(last[*Answered](b).Answer.State, structs.JobComplete)
}
