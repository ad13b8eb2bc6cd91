package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/structs"
)

// harness drives one Core and collects its effects. The test sends the messages of
// its agents and callers.
type harness struct {
	*is.I
	core      *Core
	now       time.Time
	lastReply ReplyID
	effects   []Effect
}

func newHarness(t *testing.T) *harness {
	h := &harness{I: is.New(t), now: time.UnixMilli(1_000_000)}
	h.core = New(Options{Self: structs.Peer{Incarnation: 9}, Seed: 1})
	return h
}

func newConfiguredHarness(t *testing.T) *harness {
	h := newHarness(t)
	h.step(&Configure{Document: testDocument()})
	return h
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
func (h *harness) step(m Message) {
	h.core.Step(h.now, m)
	h.core.Flush(h.now)
	h.effects = append(h.effects, h.core.Effects()...)
}

// advance advances the time in ticks of ten milliseconds.
func (h *harness) advance(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(10 * time.Millisecond)
		h.core.Tick(h.now)
		h.core.Flush(h.now)
	}
	h.effects = append(h.effects, h.core.Effects()...)
}

// connectWorker connects an agent that offers the given number of credits.
func (h *harness) connectWorker(link LinkID, credits uint32) {
	hello := &structs.Hello{
		Endpoint: fmt.Sprintf("w%d", link), Incarnation: structs.Incarnation(link), Connection: 1, Session: 1,
		Pool: "p", Slots: credits, Capacity: structs.Needs{Cores: 4},
	}
	h.step(&AgentMessage{Link: link, Message: &structs.FromAgent{Hello: hello}})
	h.step(&AgentMessage{Link: link, Message: &structs.FromAgent{Offered: structs.Credits{Any: credits}}})
}

func (h *harness) createJob(team string) structs.JobID {
	h.lastReply++
	h.step(&CreateJobs{Reply: h.lastReply, Team: team, Service: "s", Count: 1})
	created := lastEffect[*Created](h)
	return created.IDs[0]
}

func (h *harness) submission(team string, tasks int) structs.Submission {
	s := structs.Submission{ID: h.createJob(team), Team: team, Service: "s"}
	for i := range tasks {
		s.Tasks = append(s.Tasks, structs.Task{Kind: "k", Payload: []byte{byte(i)}})
	}
	return s
}

func (h *harness) submit(s structs.Submission) ReplyID {
	h.lastReply++
	h.step(&SubmitJob{Reply: h.lastReply, Submission: s, Wait: true})
	return h.lastReply
}

// lastEffect returns the latest effect of a type, or the type's zero value.
func lastEffect[E Effect](h *harness) E {
	var found E
	for _, e := range h.effects {
		if e, ok := e.(E); ok {
			found = e
		}
	}
	return found
}

// takeGrants returns the grants sent since the last call in order, and drops all
// effects collected so far.
func (h *harness) takeGrants() []structs.Grant {
	var grants []structs.Grant
	for _, e := range h.effects {
		if send, ok := e.(*Send); ok {
			grants = append(grants, send.Message.Grants...)
		}
	}
	h.effects = nil
	return grants
}

// reportSuccess reports a successful run and offers new credits.
func (h *harness) reportSuccess(link LinkID, g structs.Grant, run time.Duration, offered uint32) {
	result := structs.Result{Grant: g.ID, Payload: []byte("r"), RunTime: run}
	h.step(&AgentMessage{Link: link, Message: &structs.FromAgent{Results: []structs.Result{result}, Offered: structs.Credits{Any: offered}}})
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
			b := newConfiguredHarness(t)
			b.connectWorker(1, 1)
			s := b.submission("a", 1)
			c.change(&s)
			b.submit(s)
			b.Equal(lastEffect[*Refused](b).Failure.Kind, c.kind)
			b.Equal(len(b.takeGrants()), 0)
		})
	}
}

// TestRefusedIDStaysRefused checks that a delayed duplicate of a refused submission
// is not accepted, since the refusal promised that no task runs.
func TestRefusedIDStaysRefused(t *testing.T) {
	h := newConfiguredHarness(t)
	s := h.submission("a", 1)
	h.submit(s)
	h.Equal(lastEffect[*Refused](h).Failure.Kind, failure.Unavailable) // no worker has connected
	h.connectWorker(1, 1)
	h.submit(s)
	h.Equal(lastEffect[*Answered](h).Answer.Failure.Run, failure.NotRun)
	h.Equal(len(h.takeGrants()), 0)
}

func TestResubmissionJoinsTheJob(t *testing.T) {
	h := newConfiguredHarness(t)
	h.connectWorker(1, 2)
	s := h.submission("a", 1)
	first := h.submit(s)
	second := h.submit(s)
	grants := h.takeGrants()
	h.Equal(len(grants), 1)
	h.reportSuccess(1, grants[0], time.Millisecond, 1)
	answered := map[ReplyID]structs.JobState{}
	for _, e := range h.effects {
		if a, ok := e.(*Answered); ok {
			answered[a.Reply] = a.Answer.State
		}
	}
	h.Equal(answered, map[ReplyID]structs.JobState{first: structs.JobComplete, second: structs.JobComplete})
	other := s
	other.Tasks = []structs.Task{{Kind: "k", Payload: []byte("x")}}
	h.submit(other)
	h.Equal(lastEffect[*Refused](h).Failure.Kind, failure.Conflict)
}

func TestTeamsShareAFullPoolByQuota(t *testing.T) {
	h := newHarness(t)
	doc := testDocument()
	service := doc.Services["s"]
	service.StartObjective = 60_000 // admits all tasks of both teams
	doc.Services["s"] = service
	h.step(&Configure{Document: doc})
	h.connectWorker(1, 1)
	h.submit(h.submission("a", 100))
	h.submit(h.submission("b", 100))
	byJob := map[uint64]int{}
	for _, g := range h.takeGrants() {
		byJob[g.ID.Job]++
		h.reportSuccess(1, g, 10*time.Millisecond, 1)
	}
	for range 80 {
		for _, g := range h.takeGrants() {
			byJob[g.ID.Job]++
			h.reportSuccess(1, g, 10*time.Millisecond, 1)
		}
	}
	h.True(byJob[1] >= 54 && byJob[1] <= 66) // three quarters of 80, plus or minus 10 %
	h.True(byJob[2] >= 18 && byJob[2] <= 22)
}

func TestQuotaBoundsWaitingTasks(t *testing.T) {
	h := newConfiguredHarness(t)
	h.connectWorker(1, 1)
	h.submit(h.submission("c", 2))
	h.Equal(lastEffect[*Refused](h).Failure.Kind, failure.QuotaExceeded)
}

func TestFullQueueRefusesWithRetryAfter(t *testing.T) {
	h := newConfiguredHarness(t)
	h.connectWorker(1, 1)
	refused := 0
	for range 20 {
		h.submit(h.submission("a", 10))
		if r := lastEffect[*Refused](h); r != nil {
			h.Equal(r.Failure.Kind, failure.Overloaded)
			h.Equal(r.Failure.Run, failure.NotRun)
			h.True(r.Failure.RetryAfter > 0)
			refused++
		}
		h.effects = nil
	}
	h.True(refused >= 15) // the queue holds two jobs of half a second within the objective
	h.True(refused < 20)
}

func TestLateJobIsShedOnlyIfNoTaskStarted(t *testing.T) {
	h := newConfiguredHarness(t)
	h.connectWorker(1, 1)
	h.submit(h.submission("a", 2)) // the first task starts, the second waits
	notStarted := h.submit(h.submission("a", 2))
	h.advance(1100 * time.Millisecond)
	a := lastEffect[*Answered](h)
	h.Equal(a.Reply, notStarted)
	h.Equal(a.Answer.Failure.Kind, failure.Overloaded)
	h.Equal(a.Answer.Failure.Run, failure.NotRun)
	h.advance(20 * time.Second)
	h.Equal(lastEffect[*Answered](h).Answer.Failure.Kind, failure.Expired)
	h.Equal(lastEffect[*Answered](h).Answer.Failure.Run, failure.Unknown)
}

func TestWorkerThatFailsEverythingGoesOnProbation(t *testing.T) {
	h := newConfiguredHarness(t)
	for link := LinkID(1); link <= 4; link++ {
		h.connectWorker(link, 1)
	}
	failedGrants := 0
	for range 100 {
		h.submit(h.submission("a", 1))
		for _, g := range h.takeGrants() {
			link := h.holderOf(g)
			if link != 1 {
				h.reportSuccess(link, g, 10*time.Millisecond, 1)
				continue
			}
			failedGrants++
			result := structs.Result{Grant: g.ID, Outcome: structs.Errored, RunTime: time.Microsecond}
			h.step(&AgentMessage{Link: 1, Message: &structs.FromAgent{Results: []structs.Result{result}, Offered: structs.Credits{Any: 1}}})
		}
	}
	h.True(failedGrants > 0)
	h.True(failedGrants <= minOutcomes+1)
	h.Equal(healthChart.StateName(h.core.sessions["w1"].health), "probation")
	h.advance(3 * time.Second)
	h.Equal(healthChart.StateName(h.core.sessions["w1"].health), "trial")
}

// holderOf returns the link of the agent that holds a grant.
func (h *harness) holderOf(g structs.Grant) LinkID {
	for _, s := range h.core.sessions {
		if s.granted[g.ID] != nil {
			return s.link
		}
	}
	h.Fail()
	return 0
}

func TestPlannedStopWaitsForAnswers(t *testing.T) {
	h := newConfiguredHarness(t)
	h.connectWorker(1, 1)
	s := h.submission("a", 1)
	h.lastReply++
	h.step(&SubmitJob{Reply: h.lastReply, Submission: s})
	grants := h.takeGrants()
	h.step(&Stop{})
	h.True(lastEffect[*Drained](h) == nil) // a task is still running
	h.lastReply++
	h.step(&CreateJobs{Reply: h.lastReply, Team: "a", Service: "s", Count: 1})
	h.Equal(lastEffect[*Refused](h).Failure.Kind, failure.Draining)
	h.reportSuccess(1, grants[0], time.Millisecond, 1)
	h.True(lastEffect[*Drained](h) == nil) // nobody has fetched the answer
	h.lastReply++
	h.step(&AwaitJob{Reply: h.lastReply, ID: s.ID, Team: "a"})
	h.Equal(lastEffect[*Answered](h).Answer.State, structs.JobComplete)
	h.True(lastEffect[*Drained](h) != nil)
}

func TestOnlyKindsKnownToBeShortUseTheReserve(t *testing.T) {
	h := newConfiguredHarness(t)
	h.connectWorker(1, 1)
	for range minOutcomes { // the kind is learnt to be short
		h.submit(h.submissionOf("quick"))
		h.reportSuccess(1, h.takeGrants()[0], time.Millisecond, 1)
	}
	h.submit(h.submission("a", 1)) // its kind is learnt to be long
	h.reportSuccess(1, h.takeGrants()[0], 5*time.Second, 1)
	h.step(&AgentMessage{Link: 1, Message: &structs.FromAgent{Offered: structs.Credits{Short: 2}}})
	h.submit(h.submission("a", 1))
	grants := h.takeGrants()
	h.Equal(len(grants), 1)
	h.True(!grants[0].Reserved) // the Any credit, not a Short one
	h.submit(h.submissionOf("quick"))
	grants = h.takeGrants()
	h.Equal(len(grants), 1)
	h.True(grants[0].Reserved)
	h.submit(h.submissionOf("unseen")) // an unknown kind counts as long
	h.Equal(len(h.takeGrants()), 0)
}

// submissionOf returns a submission of team b with one task of the given kind.
func (h *harness) submissionOf(kind string) structs.Submission {
	s := h.submission("b", 1)
	s.Tasks[0].Kind = kind
	return s
}

func TestTaskIsGrantedElsewhereWhenEndpointIsUnreachable(t *testing.T) {
	h := newConfiguredHarness(t)
	h.connectWorker(1, 1)
	h.submit(h.submission("a", 1))
	first := h.takeGrants()[0]
	h.connectWorker(2, 1)
	refusal := structs.Refusal{Grant: first.ID, Reason: structs.EndpointUnreachable}
	h.step(&AgentMessage{Link: 1, Message: &structs.FromAgent{Refusals: []structs.Refusal{refusal}}})
	again := h.takeGrants()
	h.Equal(len(again), 1)
	h.Equal(h.holderOf(again[0]), LinkID(2)) // the credit of worker 1 is used up
	h.reportSuccess(2, again[0], time.Millisecond, 1)
	h.Equal(lastEffect[*Answered](h).Answer.State, structs.JobComplete)
}
