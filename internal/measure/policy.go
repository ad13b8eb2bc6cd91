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
	messages   *messageCounts
}

// policyBuilder creates a policy in a new bench.
type policyBuilder func(b *bench) policy

// namedPolicy is a policy with its name in the tables.
type namedPolicy struct {
	name  string
	build policyBuilder
}

// settleTime is the time before the first arrival, in which links are set up.
const settleTime = time.Second

// drainTime is the time after the last arrival, in which tasks end.
const drainTime = 5 * time.Minute

// policyRun is one run of a policy on a load.
type policyRun struct {
	name       string
	deployment Deployment
	jobs       []*job
	messages   *messageCounts
}

// runPolicy runs a policy on a copy of the load. If plan is not nil, it schedules
// further events, such as faults.
func runPolicy(c namedPolicy, d Deployment, seed uint64, jobs []*job, plan func(sim *bench, p policy)) *policyRun {
	sim := &bench{loop: &loop{}, deployment: d, seed: seed, messages: &messageCounts{}}
	t := &policyRun{name: c.name, deployment: d, jobs: cloneJobs(jobs), messages: sim.messages}
	p := c.build(sim)
	// Messages that set up the links are not counted.
	sim.at(settleTime, func() { *sim.messages = messageCounts{} })
	for _, j := range t.jobs {
		j.arrival += settleTime
		sim.at(j.arrival, func() { p.submit(j) })
	}
	if plan != nil {
		plan(sim, p)
	}
	sim.runUntil(t.end() + drainTime)
	return t
}

// end returns the time of the last arrival.
func (r *policyRun) end() time.Duration {
	if len(r.jobs) == 0 {
		return settleTime
	}
	return r.jobs[len(r.jobs)-1].arrival
}
