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
	// resendAfter is the delay before a caller repeats an unanswered request.
	resendAfter = 1300 * time.Millisecond
	// patience is the deadline of one request.
	patience = 2 * time.Second
	// tries bounds the number of requests for one job.
	tries = 3
	// leavers is the share of the requests whose deadline is cut short, so that
	// the caller gives up early.
	leavers = 0.05
	// failing is the share of the jobs whose tasks fail.
	failing = 0.02
	// thinkTime is the pause between two jobs of a caller.
	thinkTime = 50 * time.Millisecond
)

// caller submits one job after the other. It runs on one goroutine, which owns its
// connections; its random choices depend on the seed and its index only.
type caller struct {
	index  int
	fronts []*cluster.EntryNode
	// clients holds a client for each entry; at is the index of the current one.
	clients []*standin.Client
	at      int
	rng     *rand.Rand
	ledger  *actor.Inbox[ledgerInput]
	jobs    int
}

func newCaller(index int, seed uint64, fronts []*cluster.EntryNode, ledger *actor.Inbox[ledgerInput]) *caller {
	c := &caller{index: index, fronts: fronts, at: index % len(fronts), rng: rand.New(rand.NewPCG(seed, uint64(index))), ledger: ledger}
	for _, f := range fronts {
		c.clients = append(c.clients, standin.NewClient(f.Clients.Address()))
	}
	return c
}

// run submits jobs until stop is closed; the job in progress is followed to its
// end.
func (c *caller) run(ctx context.Context, stop <-chan struct{}) {
	for ctx.Err() == nil {
		select {
		case <-stop:
			return
		case <-time.After(thinkTime):
			c.ledger.Send(ledgerInput{job: c.follow(ctx)})
		}
	}
}

func (c *caller) newJob() standin.Job {
	c.jobs++
	length := time.Duration(20+c.rng.IntN(100)) * time.Millisecond
	if c.rng.IntN(20) == 0 {
		length *= 6
	}
	cpu := uint32(1000 + 100*c.rng.IntN(10))
	return standin.Job{
		ID: fmt.Sprintf("%08x%08x", c.index+1, c.jobs), Spec: standin.Spec(length, cpu, c.rng.Float64() < failing),
		Tasks: 1 + c.rng.IntN(6), CPU: cpu, MemMB: 64, Estimate: length, Deadline: patience,
	}
}

// follow sends a job until it is answered or refused, the caller gives up, or the
// requests for it are used up.
func (c *caller) follow(ctx context.Context) *caseFile {
	f := &caseFile{job: c.newJob()}
	for ctx.Err() == nil {
		f.left = c.rng.Float64() < leavers
		t := c.send(f)
		f.tries = append(f.tries, t)
		if f.left || len(f.tries) == tries || (t.answered && t.reply.Status != 502 && t.reply.Status != 504) {
			return f
		}
		c.at = (c.at + 1) % len(c.fronts)
		select {
		case <-time.After(resendAfter):
		case <-ctx.Done():
		}
	}
	return f
}

// send makes one request. A caller that gives up early sets a shorter deadline.
func (c *caller) send(f *caseFile) try {
	front := c.fronts[c.at]
	job := f.job
	if f.left {
		job.Deadline = time.Duration(1+c.rng.IntN(80)) * time.Millisecond
	}
	t := try{front: front, sentAt: time.Now()}
	reply, err := c.clients[c.at].Submit(host, jobsPrefix, &job)
	t.endedAt = time.Now()
	t.answered = err == nil
	t.reply = reply
	return t
}
