package measure

import (
	"container/heap"
	"time"
)

// loop is a virtual clock with the events that are due on it. Events at the
// same time happen in the order in which they were added.
type loop struct {
	now    time.Duration
	timers timerHeap
	added  uint64
}

// timer is something that happens at one time.
type timer struct {
	at    time.Duration
	order uint64
	do    func()
}

// after adds a timer.
func (l *loop) after(d time.Duration, do func()) { l.at(l.now+d, do) }

func (l *loop) at(at time.Duration, do func()) {
	l.added++
	heap.Push(&l.timers, timer{at: at, order: l.added, do: do})
}

// every repeats an event until the loop ends.
func (l *loop) every(period time.Duration, do func()) {
	l.after(period, func() {
		do()
		l.every(period, do)
	})
}

// runUntil lets all events up to the end happen.
func (l *loop) runUntil(end time.Duration) {
	for len(l.timers) > 0 && l.timers[0].at <= end {
		e := heap.Pop(&l.timers).(timer)
		l.now = e.at
		e.do()
	}
	l.now = end
}

// timerHeap orders events by time.
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
