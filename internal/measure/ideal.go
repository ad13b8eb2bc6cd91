package measure

import "time"

// ideal is the queue that the policies are compared with: one queue in the
// order of arrival that sees every slot at once and puts the next task on the
// fastest idle one. It knows no run times in advance, preempts nothing and
// reserves nothing. Its only delay is the one round trip.
type ideal struct {
	*bench
	idle  []int
	queue []*task
}

func newIdeal(b *bench) policy {
	i := &ideal{bench: b}
	for range b.deployment.Slowness {
		i.idle = append(i.idle, b.deployment.Slots)
	}
	return i
}

func (i *ideal) submit(j *job) {
	i.after(i.deployment.OneWay, func() {
		for k := range j.tasks {
			i.queue = append(i.queue, &j.tasks[k])
		}
		i.startWaiting()
	})
}

func (i *ideal) startWaiting() {
	for len(i.queue) > 0 {
		worker := i.fastestIdle()
		if worker < 0 {
			return
		}
		t := i.queue[0]
		i.queue = i.queue[1:]
		i.start(t, worker)
	}
}

// fastestIdle returns a worker with an idle slot, or -1. Workers are in the
// order of their speed.
func (i *ideal) fastestIdle() int {
	for worker, idle := range i.idle {
		if idle > 0 {
			return worker
		}
	}
	return -1
}

func (i *ideal) start(t *task, worker int) {
	i.idle[worker]--
	t.worker = worker
	t.started = i.now
	t.starts++
	run := time.Duration(float64(t.work) * i.deployment.Slowness[worker])
	i.after(run, func() {
		i.idle[worker]++
		t.finished = i.now + i.deployment.OneWay
		i.startWaiting()
	})
}
