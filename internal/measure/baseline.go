package measure

import "math/rand/v2"

// pushing is the common part of the baseline policies that push tasks to queues
// at the workers.
type pushing struct {
	*bench
	rng     *rand.Rand
	workers []*fakeWorker
}

func newPushing(b *bench) pushing {
	return pushing{bench: b, rng: rand.New(rand.NewPCG(b.seed, 2)), workers: newWorkers(b)}
}

func (p *pushing) push(t *task, worker int) {
	p.messages.sent[grantMessage]++
	p.after(p.deployment.OneWay, func() { p.workers[worker].push(t) })
}

// randomPush sends each task immediately to a random worker.
type randomPush struct{ pushing }

func newRandomPush(b *bench) policy { return &randomPush{newPushing(b)} }

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
	// known holds each worker's load as known to each entry, by entry and worker.
	known [][]int
	owner map[*task]int
}

func newTwoChoices(b *bench) policy {
	p := &twoChoices{pushing: newPushing(b), owner: map[*task]int{}}
	for range b.deployment.Entries {
		p.known = append(p.known, make([]int, len(p.workers)))
	}
	for _, w := range p.workers {
		w.ended = p.report
	}
	return p
}

func (p *twoChoices) submit(j *job) {
	known := p.known[j.entry]
	for i := range j.tasks {
		worker := p.rng.IntN(len(known))
		if other := p.rng.IntN(len(known)); known[other] < known[worker] {
			worker = other
		}
		known[worker]++
		p.owner[&j.tasks[i]] = j.entry
		p.push(&j.tasks[i], worker)
	}
}

func (p *twoChoices) report(w *fakeWorker, t *task) {
	load, entry := w.load(), p.owner[t]
	delete(p.owner, t)
	p.after(p.deployment.OneWay, func() { p.known[entry][w.index] = load })
}

// joinIdleQueue queues each idle slot at a random entry. A task goes to the
// first slot in its entry's queue, or to a random worker if the queue is empty.
type joinIdleQueue struct {
	pushing
	idle [][]int
}

func newJoinIdleQueue(b *bench) policy {
	p := &joinIdleQueue{pushing: newPushing(b), idle: make([][]int, b.deployment.Entries)}
	for _, w := range p.workers {
		w.freed = p.join
		for range b.deployment.Slots {
			p.join(w)
		}
	}
	return p
}

func (p *joinIdleQueue) join(w *fakeWorker) {
	entry := p.rng.IntN(len(p.idle))
	p.messages.sent[offerMessage]++
	p.after(p.deployment.OneWay, func() { p.idle[entry] = append(p.idle[entry], w.index) })
}

func (p *joinIdleQueue) submit(j *job) {
	for i := range j.tasks {
		idle := p.idle[j.entry]
		if len(idle) == 0 {
			p.push(&j.tasks[i], p.rng.IntN(len(p.workers)))
			continue
		}
		p.idle[j.entry] = idle[1:]
		p.messages.useful++
		p.push(&j.tasks[i], idle[0])
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
	probes [][]*waitingJob
}

// waitingJob holds the tasks of a job that no worker has received yet.
type waitingJob struct{ tasks []*task }

func newLateBinding(b *bench) policy {
	p := &lateBinding{pushing: newPushing(b)}
	p.probes = make([][]*waitingJob, len(p.workers))
	for _, w := range p.workers {
		w.freed = p.fetch
	}
	return p
}

func (p *lateBinding) submit(j *job) {
	waiting := &waitingJob{}
	for i := range j.tasks {
		waiting.tasks = append(waiting.tasks, &j.tasks[i])
	}
	order := p.rng.Perm(len(p.workers))
	for i := range probesPerTask * len(j.tasks) {
		p.probe(waiting, p.workers[order[i%len(order)]])
	}
}

func (p *lateBinding) probe(j *waitingJob, w *fakeWorker) {
	p.messages.sent[probeMessage]++
	p.after(p.deployment.OneWay, func() {
		p.probes[w.index] = append(p.probes[w.index], j)
		p.fetch(w)
	})
}

// fetch requests a task for a free slot, which stays reserved for the round
// trip.
func (p *lateBinding) fetch(w *fakeWorker) {
	probes := p.probes[w.index]
	if w.idle == 0 || len(probes) == 0 {
		return
	}
	j := probes[0]
	p.probes[w.index] = probes[1:]
	w.idle--
	p.messages.sent[requestMessage]++
	p.after(p.deployment.OneWay, func() { p.bind(j, w) })
}

// bind answers a worker's request with a task, or with a refusal if the job has
// none left.
func (p *lateBinding) bind(j *waitingJob, w *fakeWorker) {
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
		p.fetch(w)
	})
}
