package main

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cactuspost.example/internal/agentd"
	"cactuspost.example/internal/event"
	"cactuspost.example/internal/follow"
	"cactuspost.example/internal/leased"
	"cactuspost.example/internal/settings"
	"cactuspost.example/internal/structs"
	"cactuspost.example/platform"
)

const (
	// unackedLimit limits the number of results that no entry has acknowledged.
	unackedLimit = 100_000
	// resendMargin is how long before a client sends its job again the runs of an entry
	// that has ended must be gone. It allows for the time by which the client noticed
	// the end of the entry earlier than the platform counts.
	resendMargin = 100 * time.Millisecond
	// controlStopTimeout is the timeout for shutting down the server for heartbeats.
	controlStopTimeout = 200 * time.Millisecond
)

// runAgent runs the agent of the worker on the same machine until a signal stops it
// and the planned stop is complete.
func runAgent(ctx context.Context, n *node) error {
	store := platform.NewStore(n.platform.StoreAddress)
	findEntries := func(ctx context.Context) ([]structs.Peer, error) { return follow.ReadMembers(ctx, store, n.log) }
	announcements := agentd.NewAnnouncementStore(store, n.platform.Node, n.log)
	supervisor := agentd.NewSupervisor(func(a agentd.Announcement) agentd.Config { return agentConfig(n, a, findEntries) }, announcements.Save, n.log)
	control, err := platform.StartControl(n.platform, supervisor.Announce, n.log)
	if err != nil {
		n.log.Event(event.ListenFailed, zap.String("error", err.Error()))
		return err
	}
	n.log.Event(event.DaemonStarted, zap.String("control", n.platform.ControlAddress))
	go func() {
		<-n.stopSignals
		n.log.Event(event.StopRequested)
		supervisor.Stop()
	}()
	saveCtx, stopSaving := context.WithCancel(ctx)
	defer stopSaving()
	go announcements.Run(saveCtx, supervisor.Announce)
	supervisor.Run(ctx)
	stopCtx, cancel := context.WithTimeout(ctx, controlStopTimeout)
	defer cancel()
	control.Stop(stopCtx)
	n.log.Event(event.DaemonStopped)
	return nil
}

func agentConfig(n *node, a agentd.Announcement, findEntries func(context.Context) ([]structs.Peer, error)) agentd.Config {
	s, p := n.settings, n.platform
	return agentd.Config{
		Agent: settings.Agent{
			Endpoint: p.Node, DataCentre: p.DataCentre, Pool: a.Pool,
			Slots: agentd.SlotCount(a.Capacity), Capacity: a.Capacity,
			Entries: p.Seeds, HTTPAddress: p.Address(s.MetricsPort), UnackedLimit: unackedLimit,
		},
		Worker:      platform.NewWorker(p.WorkerAddress, a.Worker),
		Born:        a.Born,
		Lease:       leased.Timing{Lease: s.Lease, MaxLease: p.MaxLease, PollWait: s.PollWait},
		Timing:      agentd.Timing{HeartbeatInterval: s.Heartbeat, SilenceTimeout: s.EntrySilence, EntryGrace: s.EntryGrace, PauseThreshold: s.Pause, DialTimeout: s.Dial, MaxRetryDelay: s.Redial, IdleHeartbeat: s.IdleHeartbeat, IdleSilenceTimeout: s.IdleSilence(), MaxUnheard: max(0, p.Resend-resendMargin)},
		FindEntries: findEntries,
		Log:         n.log,
	}
}
