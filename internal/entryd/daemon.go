// Package entryd implements the entry daemon: the HTTP server for callers, the
// server for agents, the RPC service for other entries, and the actor that runs
// the dispatcher.
//
// Each component owns its sockets and its state, and components communicate by
// messages:
//
//   - coreActor owns the dispatcher and the channels of all waiting callers;
//   - linkServer accepts the agents' connections, each owned by one event loop;
//   - peersActor owns the list of entries and forwards requests to them;
//   - shutdown owns the state of the planned stop (graceful shutdown);
//   - frontend serves HTTP, and each of its handlers owns a single request.
//
// The core actor never waits for another component, whereas the others may wait
// for it.
package entryd

import (
	"context"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"cactuspost.example/internal/actor"
	"cactuspost.example/internal/dispatch"
	"cactuspost.example/internal/event"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/peer"
	"cactuspost.example/internal/structs"
)

// peerHeaderTimeout is how long the headers of a request from another entry may
// take to arrive.
const peerHeaderTimeout = 5 * time.Second

// Daemon is a running entry.
type Daemon struct {
	self       structs.Peer
	components *components
	shutdown   *shutdown
	done       chan struct{}
	// cancel stops all components immediately.
	cancel context.CancelFunc
}

// components are the running components of a daemon.
type components struct {
	core  *actor.Inbox[coreMessage]
	peers *actor.Inbox[peerMessage]
	// drained receives a value when the dispatcher has drained.
	drained chan struct{}
	// progress is the core actor's, read by the links.
	progress   *progress
	linkServer *linkServer
	frontend   *frontend
	peerServer *http.Server
	peerClient *peer.Client
	// platform is nil if the entry has no platform table.
	platform *platform
	gateway  *Gateway
	// ingress is nil if the entry has no additional front end.
	ingress Ingress
}

// listeners are the open listeners of a daemon that is about to start.
type listeners struct {
	http net.Listener
	peer net.Listener
}

func (l *listeners) close() {
	if l.http != nil {
		_ = l.http.Close()
	}
	if l.peer != nil {
		_ = l.peer.Close()
	}
}

// Start starts an entry, which runs until Stop. Cancelling the context stops it
// immediately, as a crash would. Start returns a failure of kind Internal if the
// entry can't listen on one of its addresses, or the error of NewIngress.
func Start(ctx context.Context, config Config) (*Daemon, error) {
	config = config.withDefaults()
	open, err := openListeners(&config)
	if err != nil {
		return nil, err
	}
	components := &components{
		core:       actor.NewInbox[coreMessage](coreInboxSize),
		peers:      actor.NewInbox[peerMessage](peersInboxSize),
		drained:    make(chan struct{}, 1),
		peerClient: peer.NewClient(),
		progress:   newProgress(time.Now()),
	}
	if config.Document != nil {
		components.core.Send(&notification{message: &dispatch.Configure{Document: config.Document}})
	}
	components.linkServer, err = startLinks(linkOptions{
		address:         config.LinkAddress,
		maxLinks:        config.MaxLinks,
		eventLoops:      eventLoops,
		heartbeatPeriod: config.Heartbeat,
		silentPeriods:   config.SilentBeats,
		idlePeriod:      config.IdleHeartbeat,
	}, components.core, components.progress, config.Log)
	if err != nil {
		open.close()
		return nil, err
	}
	if err := fillAddresses(&config.Self, open, components.linkServer); err != nil {
		open.close()
		_ = components.linkServer.stop(ctx)
		return nil, err
	}
	d := startComponents(ctx, &config, open, components)
	if config.NewIngress != nil {
		if components.ingress, err = config.NewIngress(components.gateway); err != nil {
			d.cancel()
			<-d.done
			return nil, err
		}
	}
	return d, nil
}

// openListeners listens on the addresses for callers and for other entries.
func openListeners(config *Config) (*listeners, error) {
	l := &listeners{}
	var err error
	if l.http, err = net.Listen("tcp", config.HTTPAddress); err != nil {
		return nil, failure.Wrap(err, failure.Internal, failure.NotRun, "listen for callers")
	}
	if l.peer, err = net.Listen("tcp", config.PeerAddress); err != nil {
		l.close()
		return nil, failure.Wrap(err, failure.Internal, failure.NotRun, "listen for other entries")
	}
	return l, nil
}

// fillAddresses sets the advertised addresses that are not configured to those
// that the entry listens on.
func fillAddresses(self *structs.Peer, open *listeners, server *linkServer) error {
	link, err := server.address()
	if err != nil {
		return err
	}
	setIfEmpty(&self.HTTPAddress, open.http.Addr())
	setIfEmpty(&self.PeerAddress, open.peer.Addr())
	setIfEmpty(&self.LinkAddress, link)
	return nil
}

func setIfEmpty(address *string, actual net.Addr) {
	if *address == "" {
		*address = actual.String()
	}
}

// startComponents starts the actors and the servers.
func startComponents(ctx context.Context, config *Config, open *listeners, components *components) *Daemon {
	ctx, cancel := context.WithCancel(ctx)
	self := config.Self
	core := &coreClient{inbox: components.core}
	components.gateway = &Gateway{core: core}
	jobs := &jobRouter{self: self.Incarnation, core: core, peers: components.peers}
	cluster := &cluster{core: core, peers: components.peers}
	d := &Daemon{self: self, components: components, done: make(chan struct{}), cancel: cancel}
	components.platform = newPlatform(config, d)
	if components.platform != nil && config.Notes == nil {
		config.Notes = (&notesHandler{inbox: components.platform.notes, store: config.Store, cluster: cluster, log: config.Log}).serve
	}
	if config.Report == nil {
		config.Report = cluster.report
	}
	components.frontend = newFrontend(frontendOptions{
		limits:      config.Limits,
		credentials: newCredentials(config.Callers, config.Operators),
		tls:         config.TLS,
		pprof:       config.Pprof,
		notes:       config.Notes,
		report:      config.Report,
	}, open.http, jobs, cluster, components.linkServer, config.Log)
	components.peerServer = &http.Server{
		Handler:           peer.NewHandler(self.Incarnation, jobs),
		ReadHeaderTimeout: peerHeaderTimeout,
	}
	d.shutdown = newShutdown(ctx, components, config)
	coreActor := newCoreActor(config.NewCore(self, config.Seed), components.core, components.progress, config.Log, components.drained)
	coreActor.gateway = components.gateway
	coreActor.waits = newCoreWaits(components.frontend.metrics)
	peersActor := &peersActor{ctx: ctx, self: self.Incarnation, client: components.peerClient, log: config.Log, inbox: components.peers}
	go actor.Run(ctx, components.core, idleTickInterval, coreActor)
	go actor.Run(ctx, components.peers, peersTickInterval, peersActor)
	go components.frontend.serve()
	go d.servePeers(open.peer, config)
	go d.awaitShutdown(ctx)
	if components.platform != nil {
		components.platform.start(d.shutdown.ctx)
	}
	config.Log.Event(event.DaemonStarted, zap.Stringer("incarnation", self.Incarnation),
		zap.String("http", self.HTTPAddress), zap.String("link", self.LinkAddress), zap.String("peer", self.PeerAddress))
	return d
}

func (d *Daemon) servePeers(listener net.Listener, config *Config) {
	err := d.components.peerServer.Serve(listener)
	if err != http.ErrServerClosed {
		config.Log.Event(event.ActorFailed, zap.String("part", "peers"), errorField(err))
	}
}

// awaitShutdown runs the shutdown actor until the planned stop is complete. If
// the context is cancelled first, it stops the servers immediately.
func (d *Daemon) awaitShutdown(ctx context.Context) {
	defer close(d.done)
	defer d.cancel()
	actor.Run(ctx, d.shutdown.inbox, shutdownTickInterval, d.shutdown)
	if ctx.Err() != nil {
		_ = d.components.frontend.shutdown(ctx)
		_ = d.components.peerServer.Close()
		_ = d.components.linkServer.stop(context.Background())
	}
	<-d.components.core.Done()
	<-d.components.peers.Done()
	d.components.peerClient.Close()
}

// Self returns the identity and the addresses of the entry.
func (d *Daemon) Self() structs.Peer { return d.self }

// Configure passes a configuration document to the dispatcher. It takes effect
// if its revision is higher than the one in force.
func (d *Daemon) Configure(document *structs.Document) {
	d.components.core.Send(&notification{message: &dispatch.Configure{Document: document}})
}

// SetPeers replaces the list of entries, which includes this one.
func (d *Daemon) SetPeers(peers []structs.Peer) {
	d.components.core.Send(&notification{message: &dispatch.SetPeers{Peers: peers}})
	d.components.peers.Send(&setPeers{peers: peers})
}

// setSuperseded replaces the list of entries that a later incarnation has
// replaced.
func (d *Daemon) setSuperseded(peers []structs.Peer) {
	d.components.peers.Send(&setSuperseded{peers: peers})
}

// Stop begins the planned stop: the entry reports that it is not ready, refuses
// new submissions after Config.Settle, finishes its open jobs and answers all
// requests in progress. Stop does not wait for that; further calls have no
// effect.
func (d *Daemon) Stop() { d.shutdown.inbox.TrySend(shutdownEvents.Stop) }

// Done returns a channel that is closed when the entry has stopped.
func (d *Daemon) Done() <-chan struct{} { return d.done }

// Wait blocks until the entry has stopped.
func (d *Daemon) Wait() { <-d.done }
