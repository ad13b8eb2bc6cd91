package measure

import "time"

// policy takes the jobs of a load as they arrive and runs their tasks.
type policy interface {
	submit(j *job)
}

// bench is what a policy is built on.
type bench struct {
	*loop
	deployment Deployment
	seed       uint64
	messages   *messages
}

// newPolicy builds a policy on an unused bench.
type newPolicy func(b *bench) policy

// contender is a policy under its name in the tables.
type contender struct {
	name  string
	build newPolicy
}

// settleTime passes before the first arrival, so that links are up.
const settleTime = time.Second

// drainTime passes after the last arrival, so that tasks end.
const drainTime = 5 * time.Minute

// trial is one run of one policy over one load.
type trial struct {
	name       string
	deployment Deployment
	jobs       []*job
	messages   *messages
}

// try runs a policy over a copy of the load. Further events, such as faults, are
// planned by plan, which may be nil.
func try(c contender, d Deployment, seed uint64, jobs []*job, plan func(b *bench, p policy)) *trial {
	b := &bench{loop: &loop{}, deployment: d, seed: seed, messages: &messages{}}
	t := &trial{name: c.name, deployment: d, jobs: cloneJobs(jobs), messages: b.messages}
	p := c.build(b)
	// The messages that set the links up are not part of the figures.
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
