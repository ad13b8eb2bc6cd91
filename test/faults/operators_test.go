package faults

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"cactuspost.example/internal/agent"
	"cactuspost.example/internal/api"
	"cactuspost.example/internal/release"
	"cactuspost.example/internal/standin"
)

const (
	operatorCount    = 4
	notesPerOperator = 3
)

// accepted is a release note whose acceptance an operator received.
type accepted struct {
	service  string
	revision uint64
	at       time.Time
}

// TestRacingOperators lets operators publish concurrently through different
// entries, while links are cut and the table commits writes but loses the
// answers. Every accepted note must come into force everywhere and must stay in
// force.
func TestRacingOperators(t *testing.T) {
	raceOperators(t, smallSystem, notesPerOperator)
}

// raceOperators lets each operator add the given number of services.
func raceOperators(t *testing.T, s systemSize, notesEach int) {
	b := startTestBed(t, s)
	b.startLoad(defaultLoad)
	watch := startWatch(b)
	notes := make(chan accepted, operatorCount*notesEach)
	done := make(chan bool, operatorCount)
	for i := range operatorCount {
		go func() {
			for n := range notesEach {
				notes <- b.addService(i, n)
			}
			done <- true
		}()
	}
	for range operatorCount {
		<-done
	}
	close(notes)
	var all []accepted
	for a := range notes {
		all = append(all, a)
	}
	slowest := watch.awaitEverywhere(all)
	b.is.Equal(watch.stop(), 0) // no process went back to a lower revision
	b.countFaults("answers to commits lost, with links cut", b.lostAnswers(len(all)))
	b.checkDocument(all)
	b.report.accepted, b.report.slowest = len(all), slowest
	counts := b.finishAndCheck()
	t.Logf("accepted=%d reverted=0 slowest in force everywhere=%v", len(all), slowest)
	b.is.Equal(counts.Failed, 0)
}

// lostAnswers returns the number of commits whose answer was lost. One loss is
// configured before each note is sent, and the last may not have taken effect
// yet.
func (b *testBed) lostAnswers(notes int) int { return notes - b.Table.Faults().LoseAnswers }

// addService adds a service with a note of its own and returns when the note is
// accepted. After a conflict it reads the current revision and makes a new note;
// after a lost answer it sends the same note again.
func (b *testBed) addService(operator, n int) accepted {
	entry := b.Entries[operator%len(b.Entries)]
	name := fmt.Sprintf("service-%d-%d", operator, n)
	for attempt := 0; b.ctx.Err() == nil; attempt++ {
		base, ok := b.inForce(entry.URL())
		if !ok {
			sleepOrDone(b.ctx, pollInterval)
			continue
		}
		note := fmt.Sprintf(`{"id": "%s-try-%d", "author": "operator-%d", "summary": "Add %s.", "base": %d, "added": {"services": {%s}}}`,
			name, attempt, operator, name, base.Document.Revision, serviceOf(name, jobLifetime))
		b.Table.SetFaults(standin.Faults{LoseAnswers: 1})
		entry.Link.Cut()
		if revision, ok := b.propose(entry.URL(), note); ok {
			return accepted{service: name, revision: revision, at: time.Now()}
		}
		sleepOrDone(b.ctx, pollInterval)
	}
	return accepted{}
}

// propose sends a note until it is accepted or refused. It returns false for a
// conflict.
func (b *testBed) propose(url, note string) (uint64, bool) {
	for b.ctx.Err() == nil {
		status, body, err := b.operatorRequest(http.MethodPost, url+api.NotesPath, note)
		var answer release.Accepted
		switch {
		case err == nil && status == http.StatusOK && json.Unmarshal(body, &answer) == nil:
			return answer.Revision, true
		case err == nil && status == http.StatusConflict:
			return 0, false
		}
		sleepOrDone(b.ctx, pollInterval)
	}
	return 0, false
}

// inForce returns the configuration that an entry reports as in force.
func (b *testBed) inForce(url string) (*release.ActiveConfig, bool) {
	status, body, err := b.operatorRequest(http.MethodGet, url+api.NotesPath, "")
	var answer struct {
		InForce *release.ActiveConfig `json:"in_force"`
	}
	if err != nil || status != http.StatusOK || json.Unmarshal(body, &answer) != nil || answer.InForce == nil {
		return nil, false
	}
	return answer.InForce, true
}

// checkDocument checks that every accepted note is in force at every entry and
// has a revision of its own.
func (b *testBed) checkDocument(all []accepted) {
	b.t.Helper()
	last := slices.MaxFunc(all, func(x, y accepted) int { return int(x.revision) - int(y.revision) }).revision
	for _, e := range b.Entries {
		b.until("the last revision is in force", func() bool {
			inForce, ok := b.inForce(e.URL())
			return ok && inForce.Document.Revision >= last
		})
		inForce, _ := b.inForce(e.URL())
		for _, a := range all {
			_, kept := inForce.Document.Services[a.service]
			b.is.True(kept) // an accepted note stays in force
		}
	}
	seen := map[uint64]bool{}
	for _, a := range all {
		b.is.True(!seen[a.revision]) // each note creates its own revision
		seen[a.revision] = true
	}
}

// revisionWatch polls the revision of every process.
type revisionWatch struct {
	b *testBed
	// asked receives questions that are answered once their revisions are in
	// force everywhere.
	asked chan watchQuestion
	ended chan int
}

type watchQuestion struct {
	all   []accepted
	reply chan<- time.Duration
}

// watchState is the state of the watch's goroutine.
type watchState struct {
	revisions []uint64
	// everywhere holds the time when a revision was first seen at every process.
	everywhere map[uint64]time.Time
	reverted   int
}

func startWatch(b *testBed) *revisionWatch {
	w := &revisionWatch{b: b, asked: make(chan watchQuestion), ended: make(chan int)}
	go w.run()
	return w
}

func (w *revisionWatch) run() {
	state := &watchState{revisions: make([]uint64, len(w.b.Entries)+len(w.b.Agents)), everywhere: map[uint64]time.Time{}}
	var questions []watchQuestion
	for w.b.ctx.Err() == nil {
		state.poll(w.b)
		questions = slices.DeleteFunc(questions, state.answer)
		select {
		case q := <-w.asked:
			questions = append(questions, q)
		case w.ended <- state.reverted:
			return
		case <-time.After(pollInterval):
		}
	}
}

func (s *watchState) poll(b *testBed) {
	for i := range b.Entries {
		if view, ok := b.view(i); ok {
			s.observe(i, view.Revision)
		}
	}
	for i, a := range b.Agents {
		status, body, err := b.operatorRequest(http.MethodGet, a.URL()+"/v1/state", "")
		var view agent.View
		if err == nil && status == http.StatusOK && json.Unmarshal(body, &view) == nil {
			s.observe(len(b.Entries)+i, view.Revision)
		}
	}
	now := time.Now()
	for r := slices.Min(s.revisions); r > 0 && s.everywhere[r].IsZero(); r-- {
		s.everywhere[r] = now
	}
}

func (s *watchState) observe(process int, revision uint64) {
	if revision < s.revisions[process] {
		s.reverted++
	}
	s.revisions[process] = revision
}

// answer reports whether every revision of the question is in force everywhere.
func (s *watchState) answer(q watchQuestion) bool {
	slowest := time.Duration(0)
	for _, a := range q.all {
		at := s.everywhere[a.revision]
		if at.IsZero() {
			return false
		}
		slowest = max(slowest, at.Sub(a.at))
	}
	q.reply <- slowest
	return true
}

// awaitEverywhere returns the longest time from an acceptance until the
// revision was in force everywhere.
func (w *revisionWatch) awaitEverywhere(all []accepted) time.Duration {
	w.b.t.Helper()
	reply := make(chan time.Duration, 1)
	select {
	case w.asked <- watchQuestion{all: all, reply: reply}:
	case <-w.b.ctx.Done():
	}
	select {
	case slowest := <-reply:
		return slowest
	case <-w.b.ctx.Done():
		w.b.t.Fatal("watchdog: a revision is not in force everywhere")
		return 0
	}
}

// stop ends the watch and returns how often a process reported a lower revision
// than before.
func (w *revisionWatch) stop() int {
	select {
	case reverted := <-w.ended:
		return reverted
	case <-w.b.ctx.Done():
		return -1
	}
}
