package soak

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	// busySpell and quietSpell are the times for which callers with a rhythm submit
	// jobs, and wait, in turn.
	busySpell  = span{150 * time.Millisecond, 900 * time.Millisecond}
	quietSpell = span{400 * time.Millisecond, 2500 * time.Millisecond}
	// loneThinkTime is the pause between two jobs of a caller that ignores the rhythm,
	// and whose tasks so start on links without open grants.
	loneThinkTime = span{200 * time.Millisecond, 1500 * time.Millisecond}
)

// loneCallers is how many callers there are for each one that ignores the rhythm.
const loneCallers = 6

// rhythm says when the callers that share it submit jobs. It does not change.
type rhythm struct {
	start time.Time
	// turns are the times, since the start, at which a busy and a quiet spell begin in
	// turn.
	turns []time.Duration
}

// newRhythm returns a rhythm of at least the given length, which repeats.
func newRhythm(rng *rand.Rand, start time.Time, length time.Duration) *rhythm {
	r := &rhythm{start: start}
	for at := time.Duration(0); at < length; {
		r.turns = append(r.turns, at)
		at += busySpell.random(rng)
		r.turns = append(r.turns, at)
		at += quietSpell.random(rng)
	}
	return r
}

// untilBusy returns how long the present quiet spell lasts, or 0 in a busy one.
func (r *rhythm) untilBusy(now time.Time) time.Duration {
	last := r.turns[len(r.turns)-1]
	at := now.Sub(r.start) % last
	for i, turn := range r.turns {
		if turn > at && i%2 == 0 {
			return turn - at
		}
		if turn > at {
			return 0
		}
	}
	return 0
}

func TestCallersWithARhythmWaitForTheNextBusySpell(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	r := newRhythm(rand.New(rand.NewPCG(1, 0)), start, 20*time.Second)
	busy, quiet := r.turns[1], r.turns[2]
	is.Equal(r.untilBusy(start), time.Duration(0))
	is.Equal(r.untilBusy(start.Add(busy-1)), time.Duration(0))
	is.Equal(r.untilBusy(start.Add(busy)), quiet-busy)
	is.Equal(r.untilBusy(start.Add(quiet)), time.Duration(0))
}
