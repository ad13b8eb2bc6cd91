package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"cactuspost.example/internal/actor"
	"cactuspost.example/platform/standin"
	"cactuspost.example/test/cluster"
)

const (
	// host and jobsPrefix address the queue that the load submits to.
	host       = "soak.example"
	jobsPrefix = "/jobs/"
	// resendDelay is the delay before a caller repeats an unanswered request.
	resendDelay = 1300 * time.Millisecond
	// requestTimeout is the deadline of one request, unless the plan sets another one.
	requestTimeout = 2 * time.Second
	// maxRequests bounds the number of requests for one job.
	maxRequests = 3
	// earlyLeaveShare is the share of the requests whose deadline is cut short,
	// so that the caller gives up early.
	earlyLeaveShare = 0.05
	// failingShare is the share of the jobs whose tasks fail.
	failingShare = 0.02
	// defaultBreakShare is the share of the requests of the load that break, in a plan
	// with broken clients.
	defaultBreakShare = 0.15
	// thinkTime is the pause between two jobs of a caller.
	thinkTime = 50 * time.Millisecond
)

// breakAfter is when a client that breaks its connection does so.
var breakAfter = span{time.Millisecond, 700 * time.Millisecond}

// lateArrival is how long after a request the earlier one arrives that it repeats.
var lateArrival = span{5 * time.Millisecond, 500 * time.Millisecond}

// caller submits one job after the other. It runs on one goroutine, which owns
// its connections; its random choices depend on the seed and its index only.
type caller struct {
	index      int
	entryNodes []*cluster.EntryNode
	// clients holds a client for each entry; current is the index of the one in
	// use.
	clients []*standin.Client
	current int
	rng     *rand.Rand
	ledger  *actor.Inbox[ledgerInput]
	jobs    int
	plan    plan
	// breakShare is the share of the requests that break.
	breakShare float64
	// rhythm is nil if the caller submits jobs all the time.
	rhythm *rhythm
}

func newCaller(index int, seed uint64, entryNodes []*cluster.EntryNode, ledger *actor.Inbox[ledgerInput]) *caller {
	c := &caller{index: index, entryNodes: entryNodes, current: index % len(entryNodes), rng: rand.New(rand.NewPCG(seed, uint64(index))), ledger: ledger}
	for _, e := range entryNodes {
		c.clients = append(c.clients, standin.NewClient(e.Clients.Address()))
	}
	return c
}

// resetting makes the caller end its connections with a reset.
func (c *caller) resetting() {
	for i, e := range c.entryNodes {
		c.clients[i] = standin.NewResettingClient(e.Clients.Address())
	}
}

func (c *caller) close() {
	for _, client := range c.clients {
		client.Close()
	}
}

// pause returns the time until the next job.
func (c *caller) pause() time.Duration {
	switch {
	case c.rhythm == nil:
		return thinkTime
	case c.index%loneCallers == 0:
		return loneThinkTime.random(c.rng)
	default:
		return max(c.rhythm.untilBusy(time.Now()), thinkTime)
	}
}

// run submits jobs until stop is closed; the job in progress is followed to its
// end.
func (c *caller) run(ctx context.Context, stop <-chan struct{}) {
	for ctx.Err() == nil {
		select {
		case <-stop:
			return
		case <-time.After(c.pause()):
			c.ledger.Send(ledgerInput{job: c.submitJob(ctx)})
		}
	}
}

func (c *caller) newJob() standin.Job {
	c.jobs++
	length := time.Duration(20+c.rng.IntN(100)) * time.Millisecond
	if c.rng.IntN(20) == 0 {
		length *= 6
	}
	if c.plan.longTasks && c.jobs%4 == 0 {
		length *= 8 * c.plan.timeout / requestTimeout
	}
	cpu := uint32(1000 + 100*c.rng.IntN(10))
	return standin.Job{
		ID: fmt.Sprintf("%08x%08x", c.index+1, c.jobs), Spec: standin.Spec(length, cpu, c.rng.Float64() < failingShare),
		Tasks: 1 + c.rng.IntN(6), CPU: cpu, MemMB: 64, Estimate: length, Deadline: c.plan.timeout,
	}
}

// submitJob sends a job until it is answered or refused, the caller gives up for
// good, or the requests for it are used up.
func (c *caller) submitJob(ctx context.Context) *jobRecord {
	j := &jobRecord{job: c.newJob()}
	// Every other caller that gives up early repeats the request later.
	repeats := c.jobs%2 == 0
	for ctx.Err() == nil {
		j.leftEarly = c.rng.Float64() < earlyLeaveShare
		a := c.send(j)
		j.attempts = append(j.attempts, a)
		if (j.leftEarly && !repeats) || len(j.attempts) == maxRequests || (a.answered && a.reply.Status != 502 && a.reply.Status != 504) {
			return j
		}
		c.current = (c.current + 1) % len(c.entryNodes)
		select {
		case <-time.After(resendDelay):
		case <-ctx.Done():
		}
	}
	return j
}

// arriveLate makes an earlier request for the job arrive at another entry, while the
// present one is served: its client has given it up, and so its connection ends with it.
func (c *caller) arriveLate(entry int, job standin.Job, after time.Duration) {
	time.Sleep(after)
	_ = standin.NewClient(c.entryNodes[entry].Clients.Address()).SubmitAndLeave(host, jobsPrefix, &job)
}

// send makes one request. A caller that gives up early sets a shorter deadline.
func (c *caller) send(j *jobRecord) attempt {
	node := c.entryNodes[c.current]
	job := j.job
	if j.leftEarly {
		job.Deadline = time.Duration(1+c.rng.IntN(80)) * time.Millisecond
	}
	if c.plan.lateRequests > 0 && len(j.attempts) == 0 && c.rng.Float64() < c.plan.lateRequests {
		j.late = true
		go c.arriveLate((c.current+1)%len(c.clients), job, lateArrival.random(c.rng))
	}
	a := attempt{entryNode: node, sentAt: time.Now(), leftEarly: j.leftEarly}
	if c.breakShare > 0 && len(j.attempts) < maxRequests-1 && c.rng.Float64() < c.breakShare {
		a.broken = true
		job.BreakAfter = breakAfter.random(c.rng)
	}
	reply, err := c.clients[c.current].Submit(host, jobsPrefix, &job)
	a.endedAt = time.Now()
	a.answered = err == nil
	a.reply = reply
	return a
}
