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
	longWatchdog = 8 * time.Minute
	// roundsEach is the number of times that each fault is injected by itself.
	roundsEach = 12
	// stormTime is how long faults of all kinds are injected concurrently.
	stormTime = 150 * time.Second
	// stopsEach is the number of times that each daemon is stopped and restarted.
	stopsEach = 3
	longNotes = 8
)

var (
	large      = size{entries: 3, agents: 4, slots: 6, watchdog: longWatchdog}
	largeCrowd = load{service: service, callers: 24, maxTasks: 4, sleep: 20 * time.Millisecond}
)

// single is a kind of fault that is injected by itself.
type single struct {
	name string
	// inject injects the fault, ends it and returns the number of faults.
	inject func(b *bench, round int) int
}

var singles = []single{
	{"entry killed and started", func(b *bench, round int) int {
		e := b.Entries[round%len(b.Entries)]
		e.Kill()
		b.is.NoErr(e.Start())
		return 1
	}},
	{"agent killed and started", func(b *bench, round int) int {
		a := b.Agents[round%len(b.Agents)]
		a.Kill()
		b.is.NoErr(a.Start())
		return 1
	}},
	{"entry frozen for 2 s", func(b *bench, round int) int {
		e := b.Entries[round%len(b.Entries)]
		e.Freeze()
		pause(b.ctx, 2*time.Second)
		e.Thaw()
		return 1
	}},
	{"agent frozen for 2 s", func(b *bench, round int) int {
		a := b.Agents[round%len(b.Agents)]
		a.Freeze()
		pause(b.ctx, 2*time.Second)
		a.Thaw()
		return 1
	}},
	{"links of an entry cut", func(b *bench, round int) int {
		return b.Entries[round%len(b.Entries)].Link.Cut()
	}},
	{"callers' connections cut", func(b *bench, round int) int {
		return b.Entries[round%len(b.Entries)].HTTP.Cut()
	}},
	{"connections to an endpoint cut", func(b *bench, round int) int {
		return b.Agents[round%len(b.Agents)].Tasks.Cut()
	}},
	{"table down for 2 s", func(b *bench, _ int) int {
		b.Table.SetFaults(standin.Faults{Down: true})
		pause(b.ctx, 2*time.Second)
		b.Table.SetFaults(standin.Faults{})
		return 1
	}},
	{"table's answers lost after the effect", func(b *bench, _ int) int {
		b.Table.SetFaults(standin.Faults{LoseAnswers: len(b.Entries)})
		return len(b.Entries)
	}},
}

// TestLongSingles injects each kind of fault by itself and measures the time from
// the fault's end until the system is back at full rate.
func TestLongSingles(t *testing.T) {
	b := startBench(t, large)
	b.startLoad(largeCrowd)
	for _, s := range singles {
		b.measure()
		var times []time.Duration
		for round := range roundsEach {
			b.injected(s.name, s.inject(b, round))
			times = append(times, b.awaitRate())
		}
		slices.Sort(times)
		t.Logf("recovery: %s: median %v, slowest %v, base %d/s", s.name, times[len(times)/2], times[len(times)-1], b.base)
	}
	b.finish()
}

// TestLongPlannedStops stops and restarts every daemon several times while long
// tasks run.
func TestLongPlannedStops(t *testing.T) {
	b := startBench(t, large)
	b.startLoad(largeCrowd)
	late, slowest := uint64(0), time.Duration(0)
	for round := range stopsEach {
		for i, a := range b.Agents {
			b.launchLong(b.newClient(i%len(b.Entries)), fmt.Sprintf("leave-%d-%d", round, i), large.slots)
			a.Terminate()
			pause(b.ctx, leaveTime)
			before := a.Endpoint.Totals().Started
			b.awaitEnd(a.Ended())
			late += a.Endpoint.Totals().Started - before
			b.is.NoErr(a.Start())
			b.injected("agent stopped", 1)
			slowest = max(slowest, b.awaitRate())
		}
		for i, e := range b.Entries {
			b.launchLong(b.newClient(i), fmt.Sprintf("stop-%d-%d", round, i), large.slots)
			e.Terminate()
			b.awaitEnd(e.Ended())
			b.is.NoErr(e.Start())
			b.injected("entry stopped", 1)
			slowest = max(slowest, b.awaitRate())
			b.awaitEntry(i)
		}
	}
	b.report.planned, b.report.late = true, late
	f := b.finish()
	t.Logf("cut off=%d %q started late=%d slowest recovery=%v", f.CutOff, f.Cuts, late, slowest)
	b.is.Equal(late, uint64(0))
	b.is.Equal(f.CutOff, 0)
}

// TestLongOperators is TestRacingOperators with more notes on a larger system.
func TestLongOperators(t *testing.T) { raceOperators(t, large, longNotes) }

// injector injects faults from its own goroutine, into parts of the system that no
// other injector uses, and reports their counts at the end.
type injector struct {
	b   *bench
	rng *rand.Rand
	end time.Time
	// counts belongs to the goroutine until it is sent on done.
	counts map[string]int
	done   chan map[string]int
}

func (b *bench) startInjector(index uint64, work func(*injector)) *injector {
	i := &injector{
		b: b, rng: rand.New(rand.NewPCG(seed, index)), end: time.Now().Add(stormTime),
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

// between returns a random duration of at least low and less than high.
func (i *injector) between(low, high time.Duration) time.Duration {
	return low + time.Duration(i.rng.Int64N(int64(high-low)))
}

// disturb kills and restarts a process, freezes it for a while, or kills it during
// a planned stop.
func (i *injector) disturb(name string, p func() *cluster.Process, start func() error) {
	switch i.rng.IntN(5) {
	case 0, 1:
		p().Kill()
		i.restart(name, start)
		i.counts[name+" killed"]++
	case 2, 3:
		p().Freeze()
		pause(i.b.ctx, i.between(50*time.Millisecond, 2500*time.Millisecond))
		p().Thaw()
		i.counts[name+" frozen"]++
	case 4:
		p().Terminate()
		pause(i.b.ctx, i.between(0, time.Second))
		p().Kill()
		i.restart(name, start)
		i.counts[name+" killed while it stops"]++
	}
	pause(i.b.ctx, i.between(100*time.Millisecond, 700*time.Millisecond))
}

func (i *injector) restart(name string, start func() error) {
	if err := start(); err != nil {
		i.b.t.Errorf("start %s: %v", name, err)
	}
}

func (i *injector) cut() {
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
	pause(i.b.ctx, i.between(100*time.Millisecond, 500*time.Millisecond))
}

func (i *injector) disturbTable() {
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
	pause(i.b.ctx, i.between(500*time.Millisecond, 4*time.Second))
	i.b.Table.SetFaults(standin.Faults{})
	pause(i.b.ctx, i.between(500*time.Millisecond, 2*time.Second))
}

// TestLongStorm injects faults of all kinds concurrently. One entry and one agent
// are spared from process faults.
func TestLongStorm(t *testing.T) {
	b := startBench(t, large)
	b.startLoad(largeCrowd)
	injectors := []*injector{
		b.startInjector(1, func(i *injector) {
			e := b.Entries[i.rng.IntN(len(b.Entries)-1)]
			i.disturb("entry", func() *cluster.Process { return e.Process }, e.Start)
		}),
		b.startInjector(2, func(i *injector) {
			a := b.Agents[i.rng.IntN(len(b.Agents)-1)]
			i.disturb("agent", func() *cluster.Process { return a.Process }, a.Start)
		}),
		b.startInjector(3, (*injector).cut),
		b.startInjector(4, (*injector).disturbTable),
	}
	for _, i := range injectors {
		for name, count := range <-i.done {
			b.injected(name, count)
		}
	}
	recovery := b.awaitRate()
	for i := range b.Entries {
		b.awaitEntry(i)
	}
	b.finish()
	t.Logf("full rate %v after the last fault", recovery)
}
