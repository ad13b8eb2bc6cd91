package main

import (
	"cmp"
	"context"
	"time"

	"go.uber.org/zap"

	"cactuspost.example/internal/dispatch"
	"cactuspost.example/internal/entryd"
	"cactuspost.example/internal/event"
	"cactuspost.example/internal/follow"
	"cactuspost.example/internal/settings"
	"cactuspost.example/internal/structs"
	"cactuspost.example/platform"
)

// peerPortOffset is the port for other entries, as an offset into the port range
// that the platform reserves.
const peerPortOffset = 0

const (
	// longTaskThreshold is longer than any task, so that no slots are reserved for
	// short tasks on these workers.
	longTaskThreshold = time.Hour
	// queueDepth of 1 keeps a worker busy during the round trip to an entry, and
	// still lets it start the most urgent task of all entries next.
	queueDepth = 1
	// finalAnswerPeriod is the time that a draining entry reserves for sending the
	// answers of its last jobs.
	finalAnswerPeriod = 400 * time.Millisecond
)

// operatorLimits limit the HTTP interface for operators. Callers don't use it on
// this platform.
var operatorLimits = settings.Limits{MaxBody: 1 << 20, MaxConnections: 64, HeaderTimeout: 2 * time.Second}

// runEntry runs an entry until a signal stops it and the planned stop is complete.
func runEntry(ctx context.Context, n *node) error {
	daemon, err := entryd.Start(ctx, entryConfig(n))
	if err != nil {
		n.log.Event(event.ListenFailed, zap.String("error", err.Error()))
		return err
	}
	followCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	store := platform.NewStore(n.platform.StoreAddress)
	pollWait := follow.PollWait(n.settings.FeedWait, n.platform.Contact)
	members := follow.NewMembers(store, daemon.Self(), pollWait, daemon.SetPeers, n.log)
	config := platform.FollowConfig(follow.Options{PollWait: pollWait, Log: n.log}, store, func(raw []byte) {
		adoptConfig(n, daemon, raw)
	})
	go members.Run(followCtx)
	go config.Run(followCtx)
	select {
	case <-n.stopSignals:
		daemon.Stop()
	case <-daemon.Done():
	}
	daemon.Wait()
	cancel()
	members.Deregister(ctx)
	return nil
}

func adoptConfig(n *node, daemon *entryd.Daemon, raw []byte) {
	doc, err := platform.DecodeConfig(raw)
	if err != nil {
		n.log.Event(event.BadConfigurationRow, zap.String("error", err.Error()))
		return
	}
	n.log.Event(event.ConfigurationAdopted, zap.Uint64("revision", doc.Revision))
	daemon.Configure(doc)
}

func entryConfig(n *node) entryd.Config {
	s, p := n.settings, n.platform
	return entryd.Config{
		Self: structs.Peer{
			Name: p.Node, DataCentre: p.DataCentre, LinkAddress: cmp.Or(s.AdvertisedLink, p.ControlAddress),
		},
		HTTPAddress: p.Address(s.MetricsPort),
		PeerAddress: p.OwnAddress(peerPortOffset),
		LinkAddress: p.ControlAddress,
		Limits:      operatorLimits,
		Settle:      s.Settle, DrainTimeout: s.DrainTimeout,
		Heartbeat: s.Heartbeat, SilentBeats: s.SilentBeats, IdleHeartbeat: s.IdleHeartbeat,
		NewCore: func(self structs.Peer, seed uint64) entryd.Core {
			return dispatch.New(dispatch.Options{Self: self, Seed: seed, Tuning: dispatchTuning(s), Paced: true})
		},
		NewIngress: func(g *entryd.Gateway) (entryd.Ingress, error) { return platform.StartFrontend(p, g, n.log) },
		Log:        n.log,
	}
}

func dispatchTuning(s *settings.Node) dispatch.Tuning {
	return dispatch.Tuning{
		AgentGrace:        s.AgentGrace,
		Estimates:         dispatch.Declared,
		LongTaskThreshold: longTaskThreshold,
		QueueDepth:        queueDepth,
		DrainAcceptPeriod: s.DrainTimeout / 2,
		DrainFinishPeriod: s.DrainTimeout - finalAnswerPeriod,
	}
}
