package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"cactuspost.example/platform/standin"
	"cactuspost.example/test/cluster"
)

const (
	// minFaultDuration and maxFaultDuration bound the duration of a fault.
	minFaultDuration = 100 * time.Millisecond
	maxFaultDuration = 4 * time.Second
	// restartDelay is how long the platform takes to restart a process.
	restartDelay = 400 * time.Millisecond
	// refusedDialShare is the share of the faults that close a worker's listener.
	refusedDialShare = 0.1
	// stopGrace is how long the platform waits for a planned stop before it
	// kills the process.
	stopGrace = 6 * time.Second
)

// fault is a disruption that a run injects and ends later.
type fault struct {
	name string
	// planned is set for planned work, which must not interrupt any request.
	planned bool
	// target names the component that the fault affects. Faults with the same
	// target never overlap.
	target string
	begin  func()
	end    func()
	// series is set in place of begin and end for a fault that takes its own time.
	series func(*rand.Rand)
	// duration is the duration of the fault; zero means a random one.
	duration time.Duration
}

// walked returns the series with its own random choices.
func (f fault) walked(rng *rand.Rand) fault {
	walk := rand.New(rand.NewPCG(rng.Uint64(), 0))
	f.begin, f.end = func() { f.series(walk) }, func() {}
	return f
}

// stopRecord is a planned stop of an entry: when it was requested, and when the
// restarted process replaced the old one.
type stopRecord struct {
	entryNode               *cluster.EntryNode
	requestedAt, replacedAt time.Time
}

// possibleFaults returns all faults that can be injected into the site.
func (s *soak) possibleFaults() []fault {
	var list []fault
	for _, e := range s.site.EntryNodes {
		list = append(list, s.nodeFaults(&e.Node)...)
		list = append(list, s.plannedStop(e))
		list = append(list, linkFaults(e.Name+" agents", e.Links)...)
		list = append(list, linkFaults(e.Name+" store", e.Store)...)
		list = append(list, fault{name: "connections of clients reset", target: e.Name + " clients", begin: func() { e.Clients.Cut() }, end: func() {}})
	}
	for _, a := range s.site.AgentNodes {
		list = append(list, s.nodeFaults(&a.Node)...)
		list = append(list, fault{name: "agent stopped and started", planned: true, target: a.Name, duration: stopGrace, begin: func() { s.stopNode(&a.Node) }, end: func() {}})
		list = append(list, linkFaults(a.Name+" worker", a.Tasks)...)
		list = append(list, linkFaults(a.Name+" store", a.Store)...)
		list = append(list, workerFaults(a)...)
	}
	return append(list, storeFaults(s.site.Store)...)
}

// nodeFaults returns the faults of a node's process. They look the process up when
// they begin, because each start replaces it.
func (s *soak) nodeFaults(n *cluster.Node) []fault {
	kill := func() { n.Kill() }
	return []fault{
		{name: "killed", target: n.Name, begin: kill, end: func() { s.start(n) }},
		{name: "killed and started at once", target: n.Name, duration: restartDelay, begin: kill, end: func() { s.start(n) }},
		{name: "frozen", target: n.Name, begin: func() { n.Freeze() }, end: func() { n.Thaw() }},
		{name: "SIGHUP sent", planned: true, target: n.Name, begin: func() { n.HangUp() }, end: func() {}},
	}
}

// stopNode requests a planned stop, kills the process if that takes longer than
// stopGrace, and restarts it.
func (s *soak) stopNode(n *cluster.Node) {
	n.Terminate()
	select {
	case <-n.Ended():
	case <-time.After(stopGrace):
		n.Kill()
	}
	time.Sleep(restartDelay)
	s.start(n)
}

func (s *soak) plannedStop(e *cluster.EntryNode) fault {
	return fault{name: "entry stopped and started", planned: true, target: e.Name, duration: stopGrace, begin: func() {
		stop := stopRecord{entryNode: e, requestedAt: time.Now()}
		s.stopNode(&e.Node)
		stop.replacedAt = time.Now()
		s.stops <- stop
	}, end: func() {}}
}

func linkFaults(target string, f *cluster.Forwarder) []fault {
	return []fault{
		{name: "connections reset", target: target, begin: func() { f.Cut() }, end: func() {}},
		{name: "connections silenced", target: target, begin: f.Mute, end: func() {}},
		{name: "connections refused", target: target, begin: func() { f.Refuse() }, end: f.Resume},
		{name: "traffic held", target: target, begin: f.Hold, end: f.Resume},
		{name: "responses held", target: target, begin: f.HoldResponses, end: f.Resume},
		{name: "traffic delayed", target: target, begin: f.Delay, end: f.Resume},
	}
}

// refusedDialFaults returns the faults in which a worker's system refuses
// connections while its runs go on, with the open connections of its agent kept or
// reset. They are not in possibleFaults, so that plans without them keep their faults.
func (s *soak) refusedDialFaults() (list []fault) {
	for _, a := range s.site.AgentNodes {
		target := a.Name + " worker"
		list = append(list,
			fault{name: "new connections refused by the system", target: target, begin: a.Tasks.StopListening, end: a.Tasks.Resume},
			fault{name: "connections reset, new ones refused by the system", target: target, begin: func() {
				a.Tasks.StopListening()
				a.Tasks.Cut()
			}, end: a.Tasks.Resume})
	}
	return list
}

// clientFaults returns the faults in which requests reach an entry after their clients
// have sent them again to another one.
func (s *soak) clientFaults() (list []fault) {
	for _, e := range s.site.EntryNodes {
		list = append(list,
			fault{name: "traffic held", target: e.Name + " clients", begin: e.Clients.Hold, end: e.Clients.Resume},
			fault{name: "traffic delayed", target: e.Name + " clients", begin: e.Clients.Delay, end: e.Clients.Resume})
	}
	return list
}

func workerFaults(a *cluster.AgentNode) []fault {
	w, target := a.Worker, a.Name+" worker itself"
	heal := func() { w.Fire(standin.Events.Heal) }
	return []fault{
		workerCrash(a),
		{name: "worker refuses requests", target: target, begin: func() { w.Fire(standin.Events.Refuse) }, end: heal},
		{name: "worker silent", target: target, begin: func() { w.Fire(standin.Events.Silence) }, end: heal},
		{name: "answers of the worker lost", target: target, begin: func() { w.Fire(standin.Events.Lose) }, end: heal},
		{name: "calls to the worker executed late", target: target, begin: func() { w.Fire(standin.Events.Delay) }, end: heal},
		{name: "tasks hang", target: target, begin: func() { w.Hang(true) }, end: func() { w.Hang(false) }},
		{name: "tasks fail", target: target, begin: func() { w.FailAll(true) }, end: func() { w.FailAll(false) }},
		{name: "worker drains and returns", planned: true, target: target, begin: func() { w.Drain(true) }, end: func() {
			w.Fire(standin.Events.Crash)
			heal()
		}},
	}
}

func workerCrash(a *cluster.AgentNode) fault {
	return fault{name: "worker crashes", target: a.Name + " worker itself", begin: func() { a.Worker.Fire(standin.Events.Crash) }, end: func() { a.Worker.Fire(standin.Events.Heal) }}
}

// lifeFaults returns the faults that end a life of an agent or a worker, with calls of
// earlier lives executed late.
func (s *soak) lifeFaults() (list []fault) {
	for _, a := range s.site.AgentNodes {
		list = append(list, fault{name: "killed and started at once", target: a.Name, duration: restartDelay, begin: func() { a.Kill() }, end: func() { s.start(&a.Node) }})
		list = append(list, fault{name: "agent stopped and started", planned: true, target: a.Name, duration: stopGrace, begin: func() { s.stopNode(&a.Node) }, end: func() {}})
		list = append(list, workerCrash(a), workerSeriesOf(a))
	}
	return list
}

// killAll kills all processes at once and starts them again.
func (s *soak) killAll() {
	var nodes []*cluster.Node
	for _, e := range s.site.EntryNodes {
		nodes = append(nodes, &e.Node)
	}
	for _, a := range s.site.AgentNodes {
		nodes = append(nodes, &a.Node)
	}
	all := fault{name: "all processes killed", target: "site", duration: restartDelay, begin: func() {
		for _, n := range nodes {
			n.Kill()
		}
	}, end: func() {
		for _, n := range nodes {
			s.start(n)
		}
	}}
	s.injected = append(s.injected, applyFault(all, restartDelay))
}

func storeFaults(s *standin.Store) []fault {
	heal := func() { s.Fire(standin.Events.Heal) }
	return []fault{
		{name: "store refuses requests", target: "store", begin: func() { s.Fire(standin.Events.Refuse) }, end: heal},
		{name: "store silent", target: "store", begin: func() { s.Fire(standin.Events.Silence) }, end: heal},
		{name: "answers of the store lost", target: "store", begin: func() { s.Fire(standin.Events.Lose) }, end: heal},
		{name: "calls to the store executed late", target: "store", begin: func() { s.Fire(standin.Events.Delay) }, end: heal},
		{name: "store slow", target: "store", begin: func() { s.Fire(standin.Events.Slow) }, end: heal},
		{name: "store history compacted", target: "store", begin: s.Compact, end: func() {}},
	}
}

// timedFault is a fault with the time during which it was in force.
type timedFault struct {
	fault
	from, to time.Time
}

func (f *timedFault) String() string {
	return fmt.Sprintf("%s to %s %s: %s", clockTime(f.from), clockTime(f.to), f.target, f.name)
}

// inject injects random faults as planned, several at once, and waits until all
// have ended. Its random choices depend on the seed and the plan only.
func (s *soak) inject(rng *rand.Rand) {
	faults, series, refusedDials := s.possibleFaults(), s.seriesFaults(), s.refusedDialFaults()
	busy := map[string]chan timedFault{}
	quotas, clients := s.quotaFaults(), s.clientFaults()
	if s.plan.livesOnly {
		faults = s.lifeFaults()
	}
	if s.plan.faultless {
		time.Sleep(s.plan.length)
		return
	}
	until := time.Now().Add(s.plan.length)
	for time.Now().Before(until) {
		f := faults[rng.IntN(len(faults))]
		if f.series != nil {
			f = f.walked(rng)
		}
		if s.plan.series && rng.IntN(2) == 0 {
			f = series[rng.IntN(len(series))].walked(rng)
		}
		if s.plan.quota.burst > 0 && rng.Float64() < s.plan.quota.faults {
			f = quotas[rng.IntN(len(quotas))].walked(rng)
		}
		if s.plan.refusedDials && rng.Float64() < refusedDialShare {
			f = refusedDials[rng.IntN(len(refusedDials))]
		}
		if s.plan.heldRequests > 0 && rng.Float64() < s.plan.heldRequests {
			f = clients[rng.IntN(len(clients))]
		}
		duration := minFaultDuration + time.Duration(rng.Int64N(int64(maxFaultDuration-minFaultDuration)))
		if f.duration > 0 {
			duration = f.duration
		}
		pause := time.Duration(rng.Int64N(int64(s.plan.spacing)))
		if targetIdle(busy[f.target], &s.injected) {
			ended := make(chan timedFault, 1)
			busy[f.target] = ended
			go func() { ended <- applyFault(f, duration) }()
		}
		time.Sleep(pause)
	}
	for _, ended := range busy {
		s.injected = append(s.injected, <-ended)
	}
}

// targetIdle reports whether no fault is in force at a target, given the
// channel of its last fault. If that fault has ended since, it is added to the
// list.
func targetIdle(ended chan timedFault, list *[]timedFault) bool {
	if ended == nil {
		return true
	}
	select {
	case i := <-ended:
		*list = append(*list, i)
		return true
	default:
		return false
	}
}

// applyFault begins a fault, waits and ends it. A planned stop, marked by
// stopGrace, or a series takes its own time in begin and needs no wait.
func applyFault(f fault, duration time.Duration) timedFault {
	applied := timedFault{fault: f, from: time.Now()}
	f.begin()
	if f.duration != stopGrace && f.series == nil {
		time.Sleep(duration)
	}
	f.end()
	applied.to = time.Now()
	return applied
}
