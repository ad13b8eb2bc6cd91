package agentd

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"cactuspost.example/internal/agent"
	"cactuspost.example/internal/structs"
)

func startRunner(t *testing.T, endpoint string, slots int) (*runner, <-chan coreInput) {
	t.Helper()
	core, seen := collect[coreInput](t)
	probe, _ := collect[probeInput](t)
	c := testConfig(endpoint, "")
	c.Slots = slots
	c.Connections = slots + probeConnections
	r := newRunner(newRunnerInbox(slots), core, probe, c, newCounters())
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go r.run(ctx)
	return r, seen
}

func TestEveryStartedTaskExitsExactlyOnce(t *testing.T) {
	is := is.New(t)
	const tasks = 300
	endpoint := startEndpoint(t)
	r, seen := startRunner(t, endpoint.Address(), tasks)
	for i := range uint32(tasks) {
		payload := `{"sleep_us":500}`
		if i%3 == 0 {
			payload = `{"sleep_us":60000000}`
		}
		g := newGrant(i, payload)
		is.True(r.inbox.TrySend(&startTask{grant: g}))
		if i%3 < 2 { // of two stopped tasks, one runs until it is stopped and one may end first
			is.True(r.inbox.TrySend(&stopTask{grant: g.ID}))
			is.True(r.inbox.TrySend(&stopTask{grant: g.ID}))
		}
	}
	exits := map[structs.GrantID]structs.Outcome{}
	for range tasks {
		exited := (<-seen).message.(*agent.TaskExited)
		_, twice := exits[exited.Grant]
		is.True(!twice)
		exits[exited.Grant] = exited.Outcome
	}
	for id, outcome := range exits {
		if id.Task%3 == 0 {
			is.Equal(outcome, structs.Stopped)
		}
		if id.Task%3 == 2 {
			is.Equal(outcome, structs.Succeeded)
		}
	}
	is.Equal(len(seen), 0)
	for _, count := range endpoint.Starts() {
		is.Equal(count, 1)
	}
}

func TestConnectionsAreReused(t *testing.T) {
	is := is.New(t)
	endpoint := startEndpoint(t)
	r, seen := startRunner(t, endpoint.Address(), 1)
	for i := range uint32(20) {
		r.inbox.Send(&startTask{grant: newGrant(i, "x")})
		is.Equal((<-seen).message.(*agent.TaskExited).Outcome, structs.Succeeded)
	}
	is.Equal(endpoint.Totals().Connections, uint64(1))
}

func TestRunningTasksAreLostWhenTheEndpointDies(t *testing.T) {
	is := is.New(t)
	endpoint := startEndpoint(t)
	r, seen := startRunner(t, endpoint.Address(), 2)
	r.inbox.Send(&startTask{grant: newGrant(1, "x")})
	<-seen
	r.inbox.Send(&startTask{grant: newGrant(2, `{"sleep_us":60000000}`)})
	endpoint.AwaitStarts(2)
	endpoint.Kill()
	is.Equal((<-seen).message.(*agent.TaskExited).Outcome, structs.Lost)
}
