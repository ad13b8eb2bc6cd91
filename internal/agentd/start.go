package agentd

import (
	"context"
	"time"

	"cactuspost.example/internal/agent"
	"cactuspost.example/internal/structs"
)

// Start starts an agent. When ctx ends, the agent ends immediately and aborts
// its running tasks, as in a crash; use Daemon.Stop for a planned stop. Start
// returns a failure of kind Invalid for an invalid configuration, and one of
// kind Unavailable if the operators' address can't be opened.
func Start(ctx context.Context, c Config) (*Daemon, error) {
	incarnation := newIncarnation()
	clock := structs.NewClock(time.Now())
	return start(ctx, c, incarnation, clock, newDecisions(c, incarnation, clock))
}

func newDecisions(c Config, incarnation structs.Incarnation, clock structs.Clock) decisions {
	return agent.New(agent.Options{
		Endpoint: c.Endpoint, Pool: c.Pool, DataCentre: c.DataCentre, Incarnation: incarnation,
		Slots: c.Slots, Capacity: c.Capacity, Entries: c.Entries,
		Divided: c.Worker != nil, Takeover: c.Worker != nil, UnackedLimit: c.UnackedLimit, Seed: uint64(incarnation), Clock: clock,
		Tuning: agent.Tuning{SilenceTimeout: c.Timing.SilenceTimeout, EntryGrace: c.Timing.EntryGrace, ConfirmTimeout: c.Timing.ConfirmTimeout, PauseThreshold: c.Timing.PauseThreshold, MaxRetryDelay: c.Timing.MaxRetryDelay,
			IdleHeartbeat: c.Timing.IdleHeartbeat, IdleSilenceTimeout: c.Timing.IdleSilenceTimeout, MaxUnheard: c.Timing.MaxUnheard, LongestLease: c.Lease.LongestLease()},
	})
}
