package faults

import (
	"net/http"
	"testing"
	"time"

	"cactuspost.example/cactuspost"
	"cactuspost.example/internal/api"
	"cactuspost.example/internal/httpclient"
	"cactuspost.example/test/cluster"
)

// TestFrozenOwner freezes the owner of a running job until the other entry has
// reported the job as failed and the owner's lease has lapsed, then thaws it.
// The task's result has arrived by then, but the owner must not report the job
// as complete.
func TestFrozenOwner(t *testing.T) {
	b := startTestBed(t, smallSystem)
	owner, other := b.newClient(0), b.newClient(1)
	job := b.newTrackedJob(owner, "frozen", 1, time.Second)
	job.submit(owner)
	b.until("the task runs", func() bool { return b.Starts()["frozen-task-0"] == 1 })
	b.Entries[0].Freeze()
	b.countFaults("entry frozen", 1)
	reported := job.resubmit(other)
	b.is.True(reported != nil && reported.failure != nil)
	b.is.Equal(reported.failure.Kind, cactuspost.Expired)
	b.is.True(reported.failure.Run != cactuspost.NotRun)
	b.until("the frozen owner's lease has lapsed", func() bool { return len(b.views(1)) == 1 })
	// The owner's socket already holds the result. The requests below join it
	// there, so that the owner reads both when it continues.
	states := make(chan string, statusRequests)
	for range statusRequests {
		go func() { states <- b.jobState(b.Entries[0], job.submission.id) }()
	}
	b.Entries[0].Thaw()
	for range statusRequests {
		b.is.True(<-states != string(cactuspost.Complete)) // the other entry reported a failure
	}
	b.is.True(job.awaitOutcome().failure != nil)
	b.awaitEntry(0)
	b.startLoad(defaultLoad)
	b.finishAndCheck()
}

// statusRequests is the number of status requests that wait for the thawed
// owner.
const statusRequests = 16

// jobState returns a job's state at an entry, or the kind of the refusal. It
// does not use the library, which sends no request for a job that has expired.
func (b *testBed) jobState(e *cluster.Entry, id string) string {
	response, err := b.http.Exchange(b.ctx, httpclient.Request{
		Method: http.MethodGet, URL: e.URL() + api.JobPathPrefix + id, Token: cluster.CallerToken,
		Accept: api.JSONType, Timeout: operatorTimeout,
	})
	if err != nil {
		return err.Error()
	}
	if response.Status != http.StatusOK {
		return api.DecodeFailure(response.Status, response.Body, "").Kind.String()
	}
	answer, err := api.DecodeAnswer(response.Body)
	if err != nil {
		return err.Error()
	}
	return answer.State
}

// TestFrozenAgent freezes an agent under load until the entries have removed
// it, then thaws it. It reconnects with results of tasks that the entries have
// reported as lost. The jobs' lifetime is longer than the freeze, so that they
// fail for the lost endpoint and not by expiry; no task of theirs may start
// elsewhere.
func TestFrozenAgent(t *testing.T) {
	b := startTestBed(t, smallSystem)
	lasting := defaultLoad
	lasting.service = longService
	b.startLoad(lasting)
	a := b.Agents[0]
	a.Freeze()
	b.countFaults("agent frozen", 1)
	b.until("the entries remove the agent", func() bool {
		for i := range b.Entries {
			view, ok := b.view(i)
			if !ok || len(view.Endpoints) == len(b.Agents) {
				return false
			}
		}
		return true
	})
	a.Thaw()
	for i := range b.Entries {
		b.awaitEntry(i)
	}
	recovery := b.awaitFullRate()
	counts := b.finishAndCheck()
	t.Logf("recovery %v", recovery)
	b.is.True(counts.Kinds[cactuspost.EndpointLost] > 0)
}
