package measure

import "time"

// fakeWorker is a simulated worker of the baselines, with slots and a queue.
type fakeWorker struct {
	sim   *bench
	index int
	idle  int
	queue []*task
	// ended is called when a task has left its slot, before the next one starts.
	ended func(w *fakeWorker, t *task)
	// freed is called when a task has ended and a slot is idle, because the queue
	// is empty.
	freed func(w *fakeWorker)
}

func newWorkers(sim *bench) []*fakeWorker {
	var workers []*fakeWorker
	for i := range sim.deployment.Slowness {
		workers = append(workers, &fakeWorker{sim: sim, index: i, idle: sim.deployment.Slots})
	}
	return workers
}

// load returns the number of running and queued tasks.
func (w *fakeWorker) load() int { return w.sim.deployment.Slots - w.idle + len(w.queue) }

func (w *fakeWorker) push(t *task) {
	w.queue = append(w.queue, t)
	w.startWaiting()
}

func (w *fakeWorker) startWaiting() {
	for w.idle > 0 && len(w.queue) > 0 {
		t := w.queue[0]
		w.queue = w.queue[1:]
		w.idle--
		w.run(t)
	}
}

// run executes a task in a slot that the caller has already taken.
func (w *fakeWorker) run(t *task) {
	t.worker = w.index
	t.started = w.sim.now
	t.starts++
	length := time.Duration(float64(t.work) * w.sim.deployment.Slowness[w.index])
	w.sim.after(length, func() {
		w.idle++
		w.sim.messages.sent[resultMessage]++
		t.finished = w.sim.now + w.sim.deployment.OneWay
		if w.ended != nil {
			w.ended(w, t)
		}
		w.startWaiting()
		if w.idle > 0 && w.freed != nil {
			w.freed(w)
		}
	})
}
