package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"cactuspost.example/platform/standin"
	"cactuspost.example/test/cluster"
)

const (
	// shortest and longest bound the duration of a fault.
	shortest = 100 * time.Millisecond
	longest  = 4 * time.Second
	// pauseBetween bounds the time between the starts of two faults.
	pauseBetween = 1500 * time.Millisecond
	// restartAfter is how long the platform takes to restart a process.
	restartAfter = 400 * time.Millisecond
	// stopGrace is how long the platform waits for a planned stop before it kills
	// the process.
	stopGrace = 6 * time.Second
)

// fault is a disruption that a run injects and ends later.
type fault struct {
	name string
	// planned is set for planned work, which must not interrupt any request.
	planned bool
	// place names the component that the fault affects. At most one fault at a
	// time is injected there.
	place string
	begin func()
	end   func()
	// lasts is the duration of the fault; zero means a random one.
	lasts time.Duration
}

// stopped is a planned stop of an entry: when it was requested, and when the
// restarted process replaced the old one.
type stopped struct {
	front    *cluster.EntryNode
	at, gone time.Time
}

// faultsOf returns all faults that can be injected into the site.
func (s *soak) faultsOf() []fault {
	var list []fault
	for _, f := range s.site.EntryNodes {
		list = append(list, s.nodeFaults(&f.Node)...)
		list = append(list, s.plannedStop(f))
		list = append(list, linkFaults(f.Name+" agents", f.Links)...)
		list = append(list, linkFaults(f.Name+" store", f.Store)...)
		list = append(list, fault{name: "connections of clients reset", place: f.Name + " clients", begin: func() { f.Clients.Cut() }, end: func() {}})
	}
	for _, d := range s.site.AgentNodes {
		list = append(list, s.nodeFaults(&d.Node)...)
		list = append(list, fault{name: "agent stopped and started", planned: true, place: d.Name, lasts: stopGrace, begin: func() { s.stopNode(&d.Node) }, end: func() {}})
		list = append(list, linkFaults(d.Name+" worker", d.Tasks)...)
		list = append(list, linkFaults(d.Name+" store", d.Store)...)
		list = append(list, workerFaults(d)...)
	}
	return append(list, storeFaults(s.site.Store)...)
}

func (s *soak) nodeFaults(n *cluster.Node) []fault {
	return []fault{
		{name: "killed", place: n.Name, begin: n.Kill, end: func() { s.start(n) }},
		{name: "killed and started at once", place: n.Name, lasts: restartAfter, begin: n.Kill, end: func() { s.start(n) }},
		{name: "frozen", place: n.Name, begin: n.Freeze, end: n.Thaw},
		{name: "told of settings", planned: true, place: n.Name, begin: n.HangUp, end: func() {}},
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
	time.Sleep(restartAfter)
	s.start(n)
}

func (s *soak) plannedStop(f *cluster.EntryNode) fault {
	return fault{name: "entry stopped and started", planned: true, place: f.Name, lasts: stopGrace, begin: func() {
		stop := stopped{front: f, at: time.Now()}
		s.stopNode(&f.Node)
		stop.gone = time.Now()
		s.stops <- stop
	}, end: func() {}}
}

func linkFaults(place string, f *cluster.Forwarder) []fault {
	return []fault{
		{name: "connections reset", place: place, begin: func() { f.Cut() }, end: func() {}},
		{name: "connections gone silent", place: place, begin: f.Mute, end: func() {}},
		{name: "refused", place: place, begin: func() { f.Refuse() }, end: f.Resume},
		{name: "cut off", place: place, begin: f.Hold, end: f.Resume},
		{name: "cut one way", place: place, begin: f.HoldResponses, end: f.Resume},
		{name: "delayed", place: place, begin: f.Delay, end: f.Resume},
	}
}

func workerFaults(d *cluster.AgentNode) []fault {
	w, place := d.Worker, d.Name+" worker itself"
	heal := func() { w.Fire(standin.Events.Heal) }
	return []fault{
		{name: "worker crashes", place: place, begin: func() { w.Fire(standin.Events.Crash) }, end: heal},
		{name: "worker refuses", place: place, begin: func() { w.Fire(standin.Events.Refuse) }, end: heal},
		{name: "worker silent", place: place, begin: func() { w.Fire(standin.Events.Silence) }, end: heal},
		{name: "answers of the worker lost", place: place, begin: func() { w.Fire(standin.Events.Lose) }, end: heal},
		{name: "orders carried out late", place: place, begin: func() { w.Fire(standin.Events.Delay) }, end: heal},
		{name: "tasks stand still", place: place, begin: func() { w.Hang(true) }, end: func() { w.Hang(false) }},
		{name: "tasks fail", place: place, begin: func() { w.FailAll(true) }, end: func() { w.FailAll(false) }},
		{name: "worker leaves and comes back", planned: true, place: place, begin: func() { w.Drain(true) }, end: func() {
			w.Fire(standin.Events.Crash)
			heal()
		}},
	}
}

func storeFaults(s *standin.Store) []fault {
	heal := func() { s.Fire(standin.Events.Heal) }
	return []fault{
		{name: "store refuses", place: "store", begin: func() { s.Fire(standin.Events.Refuse) }, end: heal},
		{name: "store silent", place: "store", begin: func() { s.Fire(standin.Events.Silence) }, end: heal},
		{name: "answers of the store lost", place: "store", begin: func() { s.Fire(standin.Events.Lose) }, end: heal},
		{name: "calls of the store carried out late", place: "store", begin: func() { s.Fire(standin.Events.Delay) }, end: heal},
		{name: "store slow", place: "store", begin: func() { s.Fire(standin.Events.Slow) }, end: heal},
		{name: "store without history", place: "store", begin: s.Compact, end: func() {}},
	}
}

// injected is a fault with the time during which it was in force.
type injected struct {
	fault
	from, to time.Time
}

func (i *injected) String() string {
	return fmt.Sprintf("%s to %s %s: %s", clock(i.from), clock(i.to), i.place, i.name)
}

// inject injects random faults for the given time, several at once, and waits until
// all have ended. Its random choices depend on the seed only.
func (s *soak) inject(rng *rand.Rand, length time.Duration) {
	kinds := s.faultsOf()
	busy := map[string]chan injected{}
	until := time.Now().Add(length)
	for time.Now().Before(until) {
		f := kinds[rng.IntN(len(kinds))]
		lasts := shortest + time.Duration(rng.Int64N(int64(longest-shortest)))
		if f.lasts > 0 {
			lasts = f.lasts
		}
		pause := time.Duration(rng.Int64N(int64(pauseBetween)))
		if free(busy[f.place], &s.injected) {
			ended := make(chan injected, 1)
			busy[f.place] = ended
			go func() { ended <- carryOut(f, lasts) }()
		}
		time.Sleep(pause)
	}
	for _, ended := range busy {
		s.injected = append(s.injected, <-ended)
	}
}

// free reports whether no fault is in force at a place. A fault that has ended
// since is added to the list.
func free(ended chan injected, list *[]injected) bool {
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

// carryOut begins a fault, waits and ends it. A planned stop, marked by stopGrace,
// takes its own time in begin and needs no wait.
func carryOut(f fault, lasts time.Duration) injected {
	i := injected{fault: f, from: time.Now()}
	f.begin()
	if f.lasts != stopGrace {
		time.Sleep(lasts)
	}
	f.end()
	i.to = time.Now()
	return i
}
