// Package drain implements the planned stop of an entry's or an agent's decision
// logic, as defined by the state chart in charts/drain.jsonc.
package drain

import (
	"cactuspost.example/charts"
	"cactuspost.example/internal/chart"
)

// Drain tracks one planned stop. Only the goroutine that owns the decision logic
// may use it.
type Drain struct {
	state    chart.State
	announce func()
	finish   func()
}

var drainChart = chart.MustCompile(charts.Files, "drain", chart.Bindings[*Drain]{
	Actions: map[string]func(*Drain){
		"announce": func(d *Drain) { d.announce() },
		"finish":   func(d *Drain) { d.finish() },
	},
})

var drainEvents struct {
	Stop chart.Event `chart:"stop"`
	Idle chart.Event `chart:"idle"`
}

func init() { drainChart.MustBindNames(&drainEvents) }

// New returns a drain that has not begun. It calls announce once when it begins,
// and finish once when no work is left.
func New(announce, finish func()) *Drain {
	return &Drain{state: drainChart.Initial(), announce: announce, finish: finish}
}

// Stop begins the planned stop. Further calls have no effect.
func (d *Drain) Stop() { drainChart.Fire(&d.state, drainEvents.Stop, d) }

// Idle reports to the drain that no work is left, which completes a planned stop.
// Before Stop and after the completion it has no effect.
func (d *Drain) Idle() { drainChart.Fire(&d.state, drainEvents.Idle, d) }

// Leaving reports whether the planned stop has begun.
func (d *Drain) Leaving() bool { return d.state != drainChart.Initial() }
