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

// TestFrozenOwner freezes the owner of a running job until other entries call
// the job failed and its lease has lapsed, and thaws it. It must not call the job complete then.
func TestFrozenOwner(t *testing.T) {
	b := startBench(t, small)
	owner, other := b.newClient(0), b.newClient(1)
	f := b.prepare(owner, "frozen", 1, time.Second)
	f.submit(owner)
	b.until("the task runs", func() bool { return b.Starts()["frozen-task-0"] == 1 })
	b.Entries[0].Freeze()
	b.injected("entry frozen", 1)
	said := f.resubmit(other)
	b.is.True(said != nil && said.failure != nil)
	b.is.Equal(said.failure.Kind, cactuspost.Expired)
	b.is.True(said.failure.Run != cactuspost.NotRun)
	b.until("the frozen owner's lease has lapsed", func() bool { return len(b.views(1)) == 1 })
	// The result has reached the owner's socket meanwhile, and so do questions.
	states := make(chan string, questions)
	for range questions {
		go func() { states <- b.stateOf(b.Entries[0], f.s.id) }()
	}
	b.Entries[0].Thaw()
	for range questions {
		b.is.True(<-states != string(cactuspost.Complete)) // others have said failed
	}
	b.is.True(f.end().failure != nil)
	b.awaitEntry(0)
	b.startLoad(crowd)
	b.finish()
}

// questions are asked of an owner that wakes up.
const questions = 16

// stateOf asks an entry for a job's state, without the library, which does not
// ask for jobs that have expired. It returns the kind of a refusal.
func (b *bench) stateOf(e *cluster.Entry, id string) string {
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

// TestFrozenAgent freezes an agent under load until its entries give it up, and
// thaws it. It comes back with results that nobody waits for any more: their
// jobs live on for longer than that, and none of their tasks starts elsewhere.
func TestFrozenAgent(t *testing.T) {
	b := startBench(t, small)
	lasting := crowd
	lasting.service = longService
	b.startLoad(lasting)
	a := b.Agents[0]
	a.Freeze()
	b.injected("agent frozen", 1)
	b.until("the agent is given up", func() bool {
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
	recovery := b.awaitRate()
	f := b.finish()
	t.Logf("recovery %v", recovery)
	b.is.True(f.Kinds[cactuspost.EndpointLost] > 0)
}
