package measure

import "time"

// policy dispatches the tasks of arriving jobs to workers.
type policy interface {
	submit(j *job)
}

// bench is the simulated environment of a policy.
type bench struct {
	*loop
	deployment Deployment
	seed       uint64
	messages   *messages
}

// newPolicy creates a policy in an unused bench.
type newPolicy func(b *bench) policy

// contender is a policy with its name in the tables.
type contender struct {
	name  string
	build newPolicy
}

// settleTime is the time before the first arrival, in which links are set up.
const settleTime = time.Second

// drainTime is the time after the last arrival, in which tasks end.
const drainTime = 5 * time.Minute

// trial is one run of a policy on a load.
type trial struct {
	name       string
	deployment Deployment
	jobs       []*job
	messages   *messages
}

// try runs a policy on a copy of the load. If plan is not nil, it schedules
// further events, such as faults.
func try(c contender, d Deployment, seed uint64, jobs []*job, plan func(b *bench, p policy)) *trial {
	b := &bench{loop: &loop{}, deployment: d, seed: seed, messages: &messages{}}
	t := &trial{name: c.name, deployment: d, jobs: cloneJobs(jobs), messages: b.messages}
	p := c.build(b)
	// Messages that set up the links are not counted.
	b.at(settleTime, func() { *b.messages = messages{} })
	for _, j := range t.jobs {
		j.at += settleTime
		b.at(j.at, func() { p.submit(j) })
	}
	if plan != nil {
		plan(b, p)
	}
	b.runUntil(t.end() + drainTime)
	return t
}

// end returns the time of the last arrival.
func (t *trial) end() time.Duration {
	if len(t.jobs) == 0 {
		return settleTime
	}
	return t.jobs[len(t.jobs)-1].at
}
