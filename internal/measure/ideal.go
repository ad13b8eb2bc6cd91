package measure

import "time"

// idealQueue is the reference for all policies: a single FIFO queue that knows the
// state of every slot without delay and starts the next task on the fastest idle
// one. It does not know run times in advance, and it neither preempts nor
// reserves. Its only delay is one network round trip per task.
type idealQueue struct {
	*bench
	idle  []int
	queue []*task
}

func newIdealQueue(sim *bench) policy {
	i := &idealQueue{bench: sim}
	for range sim.deployment.Slowness {
		i.idle = append(i.idle, sim.deployment.Slots)
	}
	return i
}

func (i *idealQueue) submit(j *job) {
	i.after(i.deployment.OneWay, func() {
		for k := range j.tasks {
			i.queue = append(i.queue, &j.tasks[k])
		}
		i.startWaiting()
	})
}

func (i *idealQueue) startWaiting() {
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

// fastestIdle returns the fastest worker with an idle slot, or -1. Workers are
// ordered from fastest to slowest.
func (i *idealQueue) fastestIdle() int {
	for worker, idle := range i.idle {
		if idle > 0 {
			return worker
		}
	}
	return -1
}

func (i *idealQueue) start(t *task, worker int) {
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
