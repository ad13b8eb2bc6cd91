package measure

import (
	"container/heap"
	"time"
)

// loop is a discrete-event scheduler with a virtual clock. Events that are due at
// the same time run in the order in which they were added.
type loop struct {
	now      time.Duration
	timers   timerHeap
	sequence uint64
}

// timer is a function to call at a given time.
type timer struct {
	at    time.Duration
	order uint64
	do    func()
}

// after calls do once d has passed.
func (l *loop) after(d time.Duration, do func()) { l.at(l.now+d, do) }

func (l *loop) at(at time.Duration, do func()) {
	l.sequence++
	heap.Push(&l.timers, timer{at: at, order: l.sequence, do: do})
}

// every calls do periodically until the loop ends.
func (l *loop) every(period time.Duration, do func()) {
	l.after(period, func() {
		do()
		l.every(period, do)
	})
}

// runUntil runs all events that are due up to and including end.
func (l *loop) runUntil(end time.Duration) {
	for len(l.timers) > 0 && l.timers[0].at <= end {
		e := heap.Pop(&l.timers).(timer)
		l.now = e.at
		e.do()
	}
	l.now = end
}

// timerHeap is a min-heap of timers, ordered by time and then by insertion.
type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, k int) bool {
	if h[i].at != h[k].at {
		return h[i].at < h[k].at
	}
	return h[i].order < h[k].order
}
func (h timerHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = timer{}
	*h = old[:len(old)-1]
	return last
}
