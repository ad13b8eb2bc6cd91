//go:build long

package faults

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cactuspost.example/internal/standin"
	"cactuspost.example/test/cluster"
)

const (
	longTestTimeout = 8 * time.Minute
	// roundsPerFault is the number of times that each fault is injected by
	// itself.
	roundsPerFault = 12
	// stormDuration is how long faults of all kinds are injected concurrently.
	stormDuration = 150 * time.Second
	// stopsPerDaemon is the number of times that each daemon is stopped and
	// restarted.
	stopsPerDaemon       = 3
	longNotesPerOperator = 8
)

var (
	largeSystem = systemSize{entries: 3, agents: 4, slots: 6, testTimeout: longTestTimeout}
	largeLoad   = load{service: service, callers: 24, maxTasks: 4, sleep: 20 * time.Millisecond}
)

// faultKind is a kind of fault that is injected by itself.
type faultKind struct {
	name string
	// inject injects the fault, ends it and returns the number of faults.
	inject func(b *testBed, round int) int
}

var faultKinds = []faultKind{
	{"entry killed and restarted", func(b *testBed, round int) int {
		e := b.Entries[round%len(b.Entries)]
		e.Kill()
		b.is.NoErr(e.Start())
		return 1
	}},
	{"agent killed and restarted", func(b *testBed, round int) int {
		a := b.Agents[round%len(b.Agents)]
		a.Kill()
		b.is.NoErr(a.Start())
		return 1
	}},
	{"entry frozen for 2 s", func(b *testBed, round int) int {
		e := b.Entries[round%len(b.Entries)]
		e.Freeze()
		sleepOrDone(b.ctx, 2*time.Second)
		e.Thaw()
		return 1
	}},
	{"agent frozen for 2 s", func(b *testBed, round int) int {
		a := b.Agents[round%len(b.Agents)]
		a.Freeze()
		sleepOrDone(b.ctx, 2*time.Second)
		a.Thaw()
		return 1
	}},
	{"links of an entry cut", func(b *testBed, round int) int {
		return b.Entries[round%len(b.Entries)].Link.Cut()
	}},
	{"callers' connections cut", func(b *testBed, round int) int {
		return b.Entries[round%len(b.Entries)].HTTP.Cut()
	}},
	{"connections to an endpoint cut", func(b *testBed, round int) int {
		return b.Agents[round%len(b.Agents)].Tasks.Cut()
	}},
	{"table down for 2 s", func(b *testBed, _ int) int {
		b.Table.SetFaults(standin.Faults{Down: true})
		sleepOrDone(b.ctx, 2*time.Second)
		b.Table.SetFaults(standin.Faults{})
		return 1
	}},
	{"table's answers to commits lost", func(b *testBed, _ int) int {
		b.Table.SetFaults(standin.Faults{LoseAnswers: len(b.Entries)})
		return len(b.Entries)
	}},
}

// TestLongSingles injects each kind of fault by itself and measures the time
// from the fault's end until the system is back at full rate.
func TestLongSingles(t *testing.T) {
	b := startTestBed(t, largeSystem)
	b.startLoad(largeLoad)
	for _, s := range faultKinds {
		b.measureBaseline()
		var times []time.Duration
		for round := range roundsPerFault {
			b.countFaults(s.name, s.inject(b, round))
			times = append(times, b.awaitFullRate())
		}
		slices.Sort(times)
		t.Logf("recovery: %s: median %v, slowest %v, base %d/s", s.name, times[len(times)/2], times[len(times)-1], b.baselineRate)
	}
	b.finishAndCheck()
}

// TestLongPlannedStops stops and restarts every daemon several times while long
// tasks run.
func TestLongPlannedStops(t *testing.T) {
	b := startTestBed(t, largeSystem)
	b.startLoad(largeLoad)
	late, slowest := uint64(0), time.Duration(0)
	for round := range stopsPerDaemon {
		for i, a := range b.Agents {
			b.startLongJob(b.newClient(i%len(b.Entries)), fmt.Sprintf("leave-%d-%d", round, i), largeSystem.slots)
			a.Terminate()
			sleepOrDone(b.ctx, drainStartBound)
			before := a.Endpoint.Totals().Started
			b.awaitExit(a.Ended())
			late += a.Endpoint.Totals().Started - before
			b.is.NoErr(a.Start())
			b.countFaults("agent stopped", 1)
			slowest = max(slowest, b.awaitFullRate())
		}
		for i, e := range b.Entries {
			b.startLongJob(b.newClient(i), fmt.Sprintf("stop-%d-%d", round, i), largeSystem.slots)
			e.Terminate()
			b.awaitExit(e.Ended())
			b.is.NoErr(e.Start())
			b.countFaults("entry stopped", 1)
			slowest = max(slowest, b.awaitFullRate())
			b.awaitEntry(i)
		}
	}
	b.report.plannedOnly, b.report.startedLate = true, late
	counts := b.finishAndCheck()
	t.Logf("cut off=%d %q started late=%d slowest recovery=%v", counts.CutOff, counts.Cuts, late, slowest)
	b.is.Equal(late, uint64(0))
	b.is.Equal(counts.CutOff, 0)
}

// TestLongOperators is TestRacingOperators with more notes on a larger system.
func TestLongOperators(t *testing.T) { raceOperators(t, largeSystem, longNotesPerOperator) }

// injector injects faults from its own goroutine, into parts of the system that
// no other injector uses, and reports their counts at the end.
type injector struct {
	b   *testBed
	rng *rand.Rand
	end time.Time
	// counts belongs to the goroutine until it is sent on done.
	counts map[string]int
	done   chan map[string]int
}

func (b *testBed) startInjector(index uint64, work func(*injector)) *injector {
	i := &injector{
		b: b, rng: rand.New(rand.NewPCG(seed, index)), end: time.Now().Add(stormDuration),
		counts: map[string]int{}, done: make(chan map[string]int, 1),
	}
	go func() {
		for time.Now().Before(i.end) && b.ctx.Err() == nil {
			work(i)
		}
		i.done <- i.counts
	}()
	return i
}

// randomDuration returns a random duration of at least low and less than high.
func (i *injector) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(i.rng.Int64N(int64(high-low)))
}

// disruptProcess kills and restarts a process, freezes it for a while, or kills
// it during a planned stop.
func (i *injector) disruptProcess(name string, p func() *cluster.Process, start func() error) {
	switch i.rng.IntN(5) {
	case 0, 1:
		p().Kill()
		i.restart(name, start)
		i.counts[name+" killed"]++
	case 2, 3:
		p().Freeze()
		sleepOrDone(i.b.ctx, i.randomDuration(50*time.Millisecond, 2500*time.Millisecond))
		p().Thaw()
		i.counts[name+" frozen"]++
	case 4:
		p().Terminate()
		sleepOrDone(i.b.ctx, i.randomDuration(0, time.Second))
		p().Kill()
		i.restart(name, start)
		i.counts[name+" killed during a planned stop"]++
	}
	sleepOrDone(i.b.ctx, i.randomDuration(100*time.Millisecond, 700*time.Millisecond))
}

func (i *injector) restart(name string, start func() error) {
	if err := start(); err != nil {
		i.b.t.Errorf("start %s: %v", name, err)
	}
}

func (i *injector) cutConnections() {
	entry := i.b.Entries[i.rng.IntN(len(i.b.Entries))]
	a := i.b.Agents[i.rng.IntN(len(i.b.Agents))]
	switch i.rng.IntN(8) {
	case 0, 1, 2:
		i.counts["agents' links cut"] += entry.Link.Cut()
	case 3, 4:
		i.counts["callers' connections cut"] += entry.HTTP.Cut()
	case 5, 6:
		i.counts["entries' connections cut"] += entry.Peer.Cut()
	case 7:
		i.counts["endpoints' connections cut"] += a.Tasks.Cut()
	}
	sleepOrDone(i.b.ctx, i.randomDuration(100*time.Millisecond, 500*time.Millisecond))
}

func (i *injector) disruptTable() {
	switch i.rng.IntN(3) {
	case 0:
		i.b.Table.SetFaults(standin.Faults{Down: true})
		i.counts["table down"]++
	case 1:
		i.b.Table.SetFaults(standin.Faults{SlowMS: 500 + i.rng.Int64N(2500)})
		i.counts["table slow"]++
	case 2:
		i.b.Table.SetFaults(standin.Faults{LoseAnswers: 3})
		i.counts["table loses answers"]++
	}
	sleepOrDone(i.b.ctx, i.randomDuration(500*time.Millisecond, 4*time.Second))
	i.b.Table.SetFaults(standin.Faults{})
	sleepOrDone(i.b.ctx, i.randomDuration(500*time.Millisecond, 2*time.Second))
}

// TestLongStorm injects faults of all kinds concurrently. One entry and one
// agent are spared from process faults.
func TestLongStorm(t *testing.T) {
	b := startTestBed(t, largeSystem)
	b.startLoad(largeLoad)
	injectors := []*injector{
		b.startInjector(1, func(i *injector) {
			e := b.Entries[i.rng.IntN(len(b.Entries)-1)]
			i.disruptProcess("entry", func() *cluster.Process { return e.Process }, e.Start)
		}),
		b.startInjector(2, func(i *injector) {
			a := b.Agents[i.rng.IntN(len(b.Agents)-1)]
			i.disruptProcess("agent", func() *cluster.Process { return a.Process }, a.Start)
		}),
		b.startInjector(3, (*injector).cutConnections),
		b.startInjector(4, (*injector).disruptTable),
	}
	for _, i := range injectors {
		for name, count := range <-i.done {
			b.countFaults(name, count)
		}
	}
	recovery := b.awaitFullRate()
	for i := range b.Entries {
		b.awaitEntry(i)
	}
	b.finishAndCheck()
	t.Logf("full rate %v after the last fault", recovery)
}
