package measure

import "math/rand/v2"

// pushing is the part that the baselines with queues at the workers share.
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

// randomPush sends each task at once to a random worker.
type randomPush struct{ pushing }

func newRandomPush(b *bench) policy { return &randomPush{newPushing(b)} }

func (p *randomPush) submit(j *job) {
	for i := range j.tasks {
		p.push(&j.tasks[i], p.rng.IntN(len(p.workers)))
	}
}

// twoChoices sends each task to the less loaded of two random workers, by the
// load that the entry was last told with a result, and its own pushes since.
type twoChoices struct {
	pushing
	// known has the load of each worker as each entry knows it.
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

// joinIdleQueue lets each idle slot queue up at a random entry; a task goes to
// the first slot of its entry's queue, or to a random worker if there is none.
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

// probesPerTask is that of batch sampling.
const probesPerTask = 2

// lateBinding is batch sampling: probes wait at workers, and a worker whose
// slot is free asks the entry of the first probe for a task of its job.
type lateBinding struct {
	pushing
	probes [][]*waitingJob
}

// waitingJob is a job with the tasks that no worker has fetched.
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

// fetch holds a free slot for one round trip to ask for a task.
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

// bind answers a worker's request with a task, or with none.
func (p *lateBinding) bind(j *waitingJob, w *fakeWorker) {
	var t *task
	if len(j.tasks) > 0 {
		t = j.tasks[0]
		j.tasks = j.tasks[1:]
		p.messages.sent[grantMessage]++
		// The probe and the request.
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
