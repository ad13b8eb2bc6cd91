// Package drain is the planned stop of a daemon's decisions, entry or agent,
// after the chart drain.
package drain

import (
	"cactuspost.example/charts"
	"cactuspost.example/internal/chart"
)

// Drain is one planned stop. It belongs to the goroutine that owns the
// decisions.
type Drain struct {
	state    chart.State
	announce func()
	finish   func()
}

var machine = chart.MustCompile(charts.Files, "drain", chart.Bindings[*Drain]{
	Actions: map[string]func(*Drain){
		"announce": func(d *Drain) { d.announce() },
		"finish":   func(d *Drain) { d.finish() },
	},
})

var events struct {
	Stop chart.Event `chart:"stop"`
	Idle chart.Event `chart:"idle"`
}

func init() { machine.MustBindNames(&events) }

// New returns a drain that has not begun. It calls announce when it begins and
// finish when no work is left, once each.
func New(announce, finish func()) *Drain {
	return &Drain{state: machine.Initial(), announce: announce, finish: finish}
}

// Stop begins the planned stop; asking again changes nothing.
func (d *Drain) Stop() { machine.Fire(&d.state, events.Stop, d) }

// Idle says that no work is left; before Stop and after the end it changes
// nothing.
func (d *Drain) Idle() { machine.Fire(&d.state, events.Idle, d) }

// Leaving reports whether the planned stop has begun.
func (d *Drain) Leaving() bool { return d.state != machine.Initial() }
