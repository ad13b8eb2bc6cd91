package soak

import (
	"embed"
	"math/rand/v2"
	"time"

	"cactuspost.example/internal/chart"
	"cactuspost.example/platform/standin"
	"cactuspost.example/test/cluster"
)

//go:embed process_series.jsonc worker_series.jsonc quota_series.jsonc
var chartFiles embed.FS

// maxSeriesLength bounds the time in which a series begins new faults.
const maxSeriesLength = 6 * time.Second

// span is a range of waits.
type span struct{ shortest, longest time.Duration }

func (w span) random(rng *rand.Rand) time.Duration {
	return w.shortest + time.Duration(rng.Int64N(int64(w.longest-w.shortest)))
}

var (
	// slice is for how long a slow process is suspended, or runs, at a time.
	slice   = span{5 * time.Millisecond, 60 * time.Millisecond}
	freeze  = span{300 * time.Millisecond, 1200 * time.Millisecond}
	step    = span{5 * time.Millisecond, 500 * time.Millisecond}
	restart = span{20 * time.Millisecond, 600 * time.Millisecond}
	trouble = span{200 * time.Millisecond, 4 * time.Second}
)

// series is a random walk through a chart, which injects faults one into the
// other. It runs on one goroutine.
type series struct {
	rng *rand.Rand
	// end is when no new fault is to begin, pause the time until the next step.
	end   time.Time
	pause time.Duration
}

func newSeries(rng *rand.Rand) *series {
	return &series{rng: rng, end: time.Now().Add(time.Duration(rng.Int64N(int64(maxSeriesLength))))}
}

func (s *series) base() *series { return s }

// walker is a series on a process or a worker.
type walker interface{ base() *series }

// chance returns a guard that is true with a probability.
func chance[C walker](p float64) func(C) bool {
	return func(c C) bool { return c.base().rng.Float64() < p }
}

// await returns an action that chooses the time until the next step.
func await[C walker](w span) func(C) {
	return func(c C) {
		c.base().pause = w.random(c.base().rng)
	}
}

func spent[C walker](c C) bool { return time.Now().After(c.base().end) }

// walk fires the only event of a chart until its final state is reached.
func walk[C walker](m *chart.Machine[C], elapsed chart.Event, c C) {
	for state := m.Initial(); !m.Final(state); time.Sleep(c.base().pause) {
		c.base().pause = 0
		m.Fire(&state, elapsed, c)
	}
}

// processSeries is a series on one process, which it alone signals and starts
// meanwhile.
type processSeries struct {
	*series
	soak *soak
	node *cluster.Node
	// toldAt is when the process was last told to stop.
	toldAt time.Time
}

func (p *processSeries) exited() bool {
	select {
	case <-p.node.Ended():
		return true
	default:
		return false
	}
}

func (p *processSeries) terminate() {
	p.toldAt = time.Now()
	p.node.Terminate()
}

var processChart = chart.MustCompile(chartFiles, "process_series", chart.Bindings[*processSeries]{
	Guards: map[string]func(*processSeries) bool{
		"spent": spent[*processSeries], "sometimes": chance[*processSeries](0.2), "rarely": chance[*processSeries](0.06), "exited": (*processSeries).exited,
		"stop_overdue": func(p *processSeries) bool { return time.Since(p.toldAt) > stopGrace },
	},
	Actions: map[string]func(*processSeries){
		"await_slice": await[*processSeries](slice), "await_freeze": await[*processSeries](freeze),
		"await_step": await[*processSeries](step), "await_restart": await[*processSeries](restart),
		"freeze": func(p *processSeries) { p.node.Freeze() }, "thaw": func(p *processSeries) { p.node.Thaw() },
		"hang_up": func(p *processSeries) { p.node.HangUp() }, "terminate": (*processSeries).terminate,
		"kill": func(p *processSeries) { p.node.Kill() }, "start": func(p *processSeries) { p.soak.start(p.node) },
		"change_configuration": func(p *processSeries) { p.soak.requestChange() },
	},
})

// workerSeries is a series on one worker and the connections to it.
type workerSeries struct {
	*series
	node *cluster.AgentNode
}

func fire(e *chart.Event) func(*workerSeries) {
	return func(w *workerSeries) { w.node.Worker.Fire(*e) }
}

var workerChart = chart.MustCompile(chartFiles, "worker_series", chart.Bindings[*workerSeries]{
	Guards: map[string]func(*workerSeries) bool{
		"spent": spent[*workerSeries], "even": chance[*workerSeries](0.5), "sometimes": chance[*workerSeries](0.2),
	},
	Actions: map[string]func(*workerSeries){
		"await_step": await[*workerSeries](step), "await_freeze": await[*workerSeries](freeze),
		"await_restart": await[*workerSeries](restart), "await_trouble": await[*workerSeries](trouble),
		"cut":  func(w *workerSeries) { w.node.Tasks.Cut() },
		"heal": fire(&standin.Events.Heal), "crash": fire(&standin.Events.Crash), "silence": fire(&standin.Events.Silence), "lose": fire(&standin.Events.Lose),
		"delay": fire(&standin.Events.Delay), "delay_half": fire(&standin.Events.DelayHalf), "defer_stops": fire(&standin.Events.DeferStops),
	},
})

var processEvents, workerEvents struct {
	Elapsed chart.Event `chart:"elapsed"`
}

func init() {
	processChart.MustBindNames(&processEvents)
	workerChart.MustBindNames(&workerEvents)
}

// seriesFaults returns a series for each process and each worker. Those of a
// worker overlap with any other fault of it.
func (s *soak) seriesFaults() (list []fault) {
	process := func(n *cluster.Node) fault {
		return fault{name: "series on the process", target: n.Name, series: func(rng *rand.Rand) {
			walk(processChart, processEvents.Elapsed, &processSeries{series: newSeries(rng), soak: s, node: n})
		}}
	}
	for _, e := range s.site.EntryNodes {
		list = append(list, process(&e.Node))
	}
	for _, a := range s.site.AgentNodes {
		list = append(list, process(&a.Node), workerSeriesOf(a))
	}
	return list
}

func workerSeriesOf(a *cluster.AgentNode) fault {
	return fault{name: "series on the worker", target: a.Name + " worker series", series: func(rng *rand.Rand) {
		walk(workerChart, workerEvents.Elapsed, &workerSeries{series: newSeries(rng), node: a})
	}}
}
