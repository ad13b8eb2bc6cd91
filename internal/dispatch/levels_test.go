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
func (b *testBench) counts(service, team string) burn.Counts {
	b.Helper()
	b.step(&Account{Reply: 1})
	var sum burn.Counts
	for _, a := range lastEffect[*Accounted](b).Accounts.Snapshot.Accounts {
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
func (b *testBench) endOnlyGrant(link LinkID, outcome structs.Outcome) {
	b.Helper()
	result := structs.Result{Grant: b.takeGrants()[0].ID, Outcome: outcome, RunTime: time.Millisecond}
	b.step(&AgentMessage{Link: link, Message: &structs.FromAgent{Results: []structs.Result{result}}})
}

func TestRefusedCreateIsRecordedOnce(t *testing.T) {
	b := newConfiguredTestBench(t)
	b.core.tuning.MaxJobs = 5
	b.step(&CreateJobs{Reply: 1, Team: "a", Service: "s", Count: 6})
	b.Equal(lastEffect[*Refused](b).Failure.Kind, failure.Overloaded)
	b.Equal(b.counts("s", "a"), singleCount(burn.Refused))
}

func TestInvalidRequestsAreNotRecorded(t *testing.T) {
	b := newConfiguredTestBench(t)
	b.step(&CreateJobs{Reply: 1, Team: "a", Service: "none", Count: 1})
	b.step(&CreateJobs{Reply: 2, Team: "nobody", Service: "s", Count: 1})
	b.step(&CreateJobs{Reply: 3, Team: "a", Service: "s", Count: MaxIDsPerCreate + 1})
	empty := b.submission("a", 0)
	b.submit(empty)
	b.Equal(lastEffect[*Refused](b).Failure.Kind, failure.Invalid)
	b.step(&Stop{})
	b.step(&CreateJobs{Reply: 4, Team: "a", Service: "s", Count: 1})
	b.Equal(lastEffect[*Refused](b).Failure.Kind, failure.Draining)
	b.step(&Account{Reply: 5})
	b.Equal(len(lastEffect[*Accounted](b).Accounts.Snapshot.Accounts), 0)
}

func TestRefusalsWithoutConfigurationShareAnAccount(t *testing.T) {
	b := newTestBench(t)
	b.step(&CreateJobs{Reply: 1, Team: "a", Service: "made up", Count: 1})
	b.step(&CreateJobs{Reply: 2, Team: "a", Service: "made up too", Count: 1})
	b.Equal(b.counts("", "a")[burn.Refused], uint64(2))
	b.Equal(len(lastEffect[*Accounted](b).Accounts.Snapshot.Accounts), 1)
	b.Equal(len(lastEffect[*Accounted](b).Accounts.Objectives), 0)
}

func TestRefusedSubmitIsRecordedOnce(t *testing.T) {
	b := newConfiguredTestBench(t)
	b.connectWorker(1, 0)
	s := b.submission("c", 2) // the team's limit is one waiting task
	for range 3 {
		b.submit(s)
	}
	b.Equal(lastEffect[*Refused](b).Failure.Kind, failure.QuotaExceeded)
	b.Equal(lastEffect[*Answered](b).Answer.State, structs.JobFailed)
	b.advance(21 * time.Second) // past the id's expiry
	b.Equal(b.counts("s", "c"), singleCount(burn.Refused))
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
			b := newConfiguredTestBench(t)
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
	b := newConfiguredTestBench(t)
	b.connectWorker(1, 0)
	s := b.submission("a", 1)
	b.submit(s)
	b.advance(1100 * time.Millisecond) // beyond the objective
	b.Equal(lastEffect[*Answered](b).Answer.Failure.Kind, failure.Overloaded)
	b.submit(s)
	b.Equal(b.counts("s", "a"), singleCount(burn.Queue))
}

func TestLateStartIsRecordedAsQueue(t *testing.T) {
	b := newConfiguredTestBench(t)
	b.connectWorker(1, 1)
	b.submit(b.submission("a", 2)) // the second task waits for the first one's slot
	first := b.takeGrants()[0]
	b.advance(1100 * time.Millisecond)
	b.reportSuccess(1, first, time.Second, 1)
	b.endOnlyGrant(1, structs.Succeeded)
	b.Equal(b.counts("s", "a"), singleCount(burn.Queue))
}

func TestCancelledJobIsNotRecorded(t *testing.T) {
	b := newConfiguredTestBench(t)
	b.connectWorker(1, 0)
	s := b.submission("a", 1)
	b.submit(s)
	b.step(&CancelJob{Reply: 1, ID: s.ID, Team: "a"})
	b.Equal(b.counts("s", "a"), burn.Counts{})
}

func TestJobOfLostAgentIsRecordedAsEndpointGone(t *testing.T) {
	b := newConfiguredTestBench(t)
	b.connectWorker(1, 1)
	b.submit(b.submission("a", 1))
	b.step(&LinkClosed{Link: 1})
	b.advance(11 * time.Second)
	b.Equal(b.counts("s", "a"), singleCount(burn.EndpointGone))
}

func TestAccountsArePaged(t *testing.T) {
	b := newTestBench(t)
	const teams = 2*accountsPerPage + 1
	for i := range teams {
		b.step(&CreateJobs{Reply: 1, Team: fmt.Sprintf("team-%02d", i), Service: "s", Count: 1})
	}
	var seen []string
	request := &Account{Reply: 1}
	for more := true; more; {
		b.step(request)
		page := lastEffect[*Accounted](b).Accounts
		b.True(len(page.Snapshot.Accounts) <= accountsPerPage)
		for _, a := range page.Snapshot.Accounts {
			seen = append(seen, a.Team)
			request.After = a.Key
		}
		more = page.More
	}
	b.Equal(len(seen), teams)
	b.True(slices.IsSorted(seen))
}
