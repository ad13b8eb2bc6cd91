package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"cactuspost.example/internal/burn"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/structs"
)

// counts returns what the core has recorded for a service and a team.
func (h *harness) counts(service, team string) burn.Counts {
	h.Helper()
	h.step(&Account{Reply: 1})
	var sum burn.Counts
	for _, a := range lastEffect[*Accounted](h).Accounts.Snapshot.Accounts {
		if a.Key != (burn.Key{Service: service, Team: team}) {
			continue
		}
		for _, bucket := range a.Buckets {
			sum.Add(bucket.Counts)
		}
	}
	return sum
}

// singleCount returns the counts of a single job with the given cause.
func singleCount(cause burn.Cause) burn.Counts {
	var c burn.Counts
	c[cause] = 1
	return c
}

// endOnlyGrant reports an outcome for the only grant sent since the last call.
func (h *harness) endOnlyGrant(link LinkID, outcome structs.Outcome) {
	h.Helper()
	result := structs.Result{Grant: h.takeGrants()[0].ID, Outcome: outcome, RunTime: time.Millisecond}
	h.step(&AgentMessage{Link: link, Message: &structs.FromAgent{Results: []structs.Result{result}}})
}

func TestRefusedCreateIsRecordedOnce(t *testing.T) {
	h := newConfiguredHarness(t)
	h.core.tuning.MaxJobs = 5
	h.step(&CreateJobs{Reply: 1, Team: "a", Service: "s", Count: 6})
	h.Equal(lastEffect[*Refused](h).Failure.Kind, failure.Overloaded)
	h.Equal(h.counts("s", "a"), singleCount(burn.Refused))
}

func TestInvalidRequestsAreNotRecorded(t *testing.T) {
	h := newConfiguredHarness(t)
	h.step(&CreateJobs{Reply: 1, Team: "a", Service: "none", Count: 1})
	h.step(&CreateJobs{Reply: 2, Team: "nobody", Service: "s", Count: 1})
	h.step(&CreateJobs{Reply: 3, Team: "a", Service: "s", Count: MaxIDsPerCreate + 1})
	empty := h.submission("a", 0)
	h.submit(empty)
	h.Equal(lastEffect[*Refused](h).Failure.Kind, failure.Invalid)
	h.step(&Stop{})
	h.step(&CreateJobs{Reply: 4, Team: "a", Service: "s", Count: 1})
	h.Equal(lastEffect[*Refused](h).Failure.Kind, failure.Draining)
	h.step(&Account{Reply: 5})
	h.Equal(len(lastEffect[*Accounted](h).Accounts.Snapshot.Accounts), 0)
}

func TestRefusalsWithoutConfigurationShareAnAccount(t *testing.T) {
	h := newHarness(t)
	h.step(&CreateJobs{Reply: 1, Team: "a", Service: "made up", Count: 1})
	h.step(&CreateJobs{Reply: 2, Team: "a", Service: "made up too", Count: 1})
	h.Equal(h.counts("", "a")[burn.Refused], uint64(2))
	h.Equal(len(lastEffect[*Accounted](h).Accounts.Snapshot.Accounts), 1)
	h.Equal(len(lastEffect[*Accounted](h).Accounts.Objectives), 0)
}

func TestRefusedSubmitIsRecordedOnce(t *testing.T) {
	h := newConfiguredHarness(t)
	h.connectWorker(1, 0)
	s := h.submission("c", 2) // the team's limit is one waiting task
	for range 3 {
		h.submit(s)
	}
	h.Equal(lastEffect[*Refused](h).Failure.Kind, failure.QuotaExceeded)
	h.Equal(lastEffect[*Answered](h).Answer.State, structs.JobFailed)
	h.advance(21 * time.Second) // past the ID's expiry
	h.Equal(h.counts("s", "c"), singleCount(burn.Refused))
}

func TestResubmittedJobIsRecordedOnce(t *testing.T) {
	outcomes := map[structs.Outcome]burn.Cause{
		structs.Succeeded:     burn.Met,
		structs.Errored:       burn.Failed,
		structs.LimitExceeded: burn.Straggler,
		structs.Lost:          burn.EndpointGone,
	}
	for outcome, cause := range outcomes {
		t.Run(cause.String(), func(t *testing.T) {
			b := newConfiguredHarness(t)
			b.connectWorker(1, 1)
			s := b.submission("a", 1)
			b.submit(s)
			b.submit(s)
			b.endOnlyGrant(1, outcome)
			b.submit(s)
			b.advance(21 * time.Second)
			b.Equal(b.counts("s", "a"), singleCount(cause))
		})
	}
}

func TestShedJobIsRecordedAsQueue(t *testing.T) {
	h := newConfiguredHarness(t)
	h.connectWorker(1, 0)
	s := h.submission("a", 1)
	h.submit(s)
	h.advance(1100 * time.Millisecond) // beyond the objective
	h.Equal(lastEffect[*Answered](h).Answer.Failure.Kind, failure.Overloaded)
	h.submit(s)
	h.Equal(h.counts("s", "a"), singleCount(burn.Queue))
}

func TestLateStartIsRecordedAsQueue(t *testing.T) {
	h := newConfiguredHarness(t)
	h.connectWorker(1, 1)
	h.submit(h.submission("a", 2)) // the second task waits for the first one's slot
	first := h.takeGrants()[0]
	h.advance(1100 * time.Millisecond)
	h.reportSuccess(1, first, time.Second, 1)
	h.endOnlyGrant(1, structs.Succeeded)
	h.Equal(h.counts("s", "a"), singleCount(burn.Queue))
}

func TestCancelledJobIsNotRecorded(t *testing.T) {
	h := newConfiguredHarness(t)
	h.connectWorker(1, 0)
	s := h.submission("a", 1)
	h.submit(s)
	h.step(&CancelJob{Reply: 1, ID: s.ID, Team: "a"})
	h.Equal(h.counts("s", "a"), burn.Counts{})
}

func TestJobOfLostAgentIsRecordedAsEndpointGone(t *testing.T) {
	h := newConfiguredHarness(t)
	h.connectWorker(1, 1)
	h.submit(h.submission("a", 1))
	h.step(&LinkClosed{Link: 1})
	h.advance(11 * time.Second)
	h.Equal(h.counts("s", "a"), singleCount(burn.EndpointGone))
}

func TestAccountsArePaged(t *testing.T) {
	h := newHarness(t)
	const teams = 2*accountsPerPage + 1
	for i := range teams {
		h.step(&CreateJobs{Reply: 1, Team: fmt.Sprintf("team-%02d", i), Service: "s", Count: 1})
	}
	var seen []string
	request := &Account{Reply: 1}
	for more := true; more; {
		h.step(request)
		page := lastEffect[*Accounted](h).Accounts
		h.True(len(page.Snapshot.Accounts) <= accountsPerPage)
		for _, a := range page.Snapshot.Accounts {
			seen = append(seen, a.Team)
			request.After = a.Key
		}
		more = page.More
	}
	h.Equal(len(seen), teams)
	h.True(slices.IsSorted(seen))
}
