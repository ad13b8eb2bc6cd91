package measure

import "math/rand/v2"

// pushing is the common part of the baseline policies that push tasks to queues
// at the workers.
type pushing struct {
	*bench
	rng     *rand.Rand
	workers []*fakeWorker
}

func newPushPolicy(sim *bench) pushing {
	return pushing{bench: sim, rng: rand.New(rand.NewPCG(sim.seed, 2)), workers: newWorkers(sim)}
}

func (p *pushing) push(t *task, worker int) {
	p.messages.sent[grantMessage]++
	p.after(p.deployment.OneWay, func() { p.workers[worker].push(t) })
}

// randomPush sends each task immediately to a random worker.
type randomPush struct{ pushing }

func newRandomPush(sim *bench) policy { return &randomPush{newPushPolicy(sim)} }

func (p *randomPush) submit(j *job) {
	for i := range j.tasks {
		p.push(&j.tasks[i], p.rng.IntN(len(p.workers)))
	}
}

// twoChoices sends each task to the less loaded of two random workers. An entry
// estimates a worker's load from the latest result it received and the tasks it
// has pushed since.
type twoChoices struct {
	pushing
	// loads holds each worker's load as known to each entry, by entry and worker.
	loads   [][]int
	entryOf map[*task]int
}

func newTwoChoices(sim *bench) policy {
	p := &twoChoices{pushing: newPushPolicy(sim), entryOf: map[*task]int{}}
	for range sim.deployment.Entries {
		p.loads = append(p.loads, make([]int, len(p.workers)))
	}
	for _, w := range p.workers {
		w.ended = p.reportLoad
	}
	return p
}

func (p *twoChoices) submit(j *job) {
	loads := p.loads[j.entry]
	for i := range j.tasks {
		worker := p.rng.IntN(len(loads))
		if other := p.rng.IntN(len(loads)); loads[other] < loads[worker] {
			worker = other
		}
		loads[worker]++
		p.entryOf[&j.tasks[i]] = j.entry
		p.push(&j.tasks[i], worker)
	}
}

func (p *twoChoices) reportLoad(w *fakeWorker, t *task) {
	load, entry := w.load(), p.entryOf[t]
	delete(p.entryOf, t)
	p.after(p.deployment.OneWay, func() { p.loads[entry][w.index] = load })
}

// joinIdleQueue queues each idle slot at a random entry. A task goes to the
// first slot in its entry's queue, or to a random worker if the queue is empty.
type joinIdleQueue struct {
	pushing
	idleWorkers [][]int
}

func newJoinIdleQueue(sim *bench) policy {
	p := &joinIdleQueue{pushing: newPushPolicy(sim), idleWorkers: make([][]int, sim.deployment.Entries)}
	for _, w := range p.workers {
		w.freed = p.announceIdle
		for range sim.deployment.Slots {
			p.announceIdle(w)
		}
	}
	return p
}

func (p *joinIdleQueue) announceIdle(w *fakeWorker) {
	entry := p.rng.IntN(len(p.idleWorkers))
	p.messages.sent[offerMessage]++
	p.after(p.deployment.OneWay, func() { p.idleWorkers[entry] = append(p.idleWorkers[entry], w.index) })
}

func (p *joinIdleQueue) submit(j *job) {
	for i := range j.tasks {
		queue := p.idleWorkers[j.entry]
		if len(queue) == 0 {
			p.push(&j.tasks[i], p.rng.IntN(len(p.workers)))
			continue
		}
		p.idleWorkers[j.entry] = queue[1:]
		p.messages.useful++
		p.push(&j.tasks[i], queue[0])
	}
}

// probesPerTask is the probe ratio of batch sampling, as in the Sparrow
// scheduler.
const probesPerTask = 2

// lateBinding implements batch sampling with late binding. Probes queue at the
// workers, and a worker with a free slot requests a task of the job whose probe
// is first in its queue.
type lateBinding struct {
	pushing
	probes [][]*unboundJob
}

// unboundJob holds the tasks of a job that no worker has received yet.
type unboundJob struct{ tasks []*task }

func newLateBinding(sim *bench) policy {
	p := &lateBinding{pushing: newPushPolicy(sim)}
	p.probes = make([][]*unboundJob, len(p.workers))
	for _, w := range p.workers {
		w.freed = p.requestTask
	}
	return p
}

func (p *lateBinding) submit(j *job) {
	waiting := &unboundJob{}
	for i := range j.tasks {
		waiting.tasks = append(waiting.tasks, &j.tasks[i])
	}
	order := p.rng.Perm(len(p.workers))
	for i := range probesPerTask * len(j.tasks) {
		p.sendProbe(waiting, p.workers[order[i%len(order)]])
	}
}

func (p *lateBinding) sendProbe(j *unboundJob, w *fakeWorker) {
	p.messages.sent[probeMessage]++
	p.after(p.deployment.OneWay, func() {
		p.probes[w.index] = append(p.probes[w.index], j)
		p.requestTask(w)
	})
}

// requestTask requests a task for a free slot, which stays reserved for the round
// trip.
func (p *lateBinding) requestTask(w *fakeWorker) {
	probes := p.probes[w.index]
	if w.idle == 0 || len(probes) == 0 {
		return
	}
	j := probes[0]
	p.probes[w.index] = probes[1:]
	w.idle--
	p.messages.sent[requestMessage]++
	p.after(p.deployment.OneWay, func() { p.answerRequest(j, w) })
}

// answerRequest answers a worker's request with a task, or with a refusal if the
// job has none left.
func (p *lateBinding) answerRequest(j *unboundJob, w *fakeWorker) {
	var t *task
	if len(j.tasks) > 0 {
		t = j.tasks[0]
		j.tasks = j.tasks[1:]
		p.messages.sent[grantMessage]++
		// The probe and the request both led to a start.
		p.messages.useful += 2
	} else {
		p.messages.sent[refusalMessage]++
	}
	p.after(p.deployment.OneWay, func() {
		if t != nil {
			w.run(t)
			return
		}
		w.idle++
		p.requestTask(w)
	})
}
