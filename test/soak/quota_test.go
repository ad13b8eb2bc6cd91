package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"cactuspost.example/internal/chart"
	"cactuspost.example/test/cluster"
)

// quotaLength is for how long a process has a quota.
var quotaLength = span{time.Second, 3 * time.Second}

const (
	// defaultQuotaShare is the share of the faults of a run with quotas that are one.
	defaultQuotaShare = 0.3
	// firstBurstCaller is the index of the first caller of a burst, higher than those
	// of the load.
	firstBurstCaller = 1 << 20
	// burstBreakShare is the share of the requests of a burst that break.
	burstBreakShare = 0.5
)

// quota says how a process gets only part of the machine's time.
type quota struct {
	// share is for how long the process runs at a time, and rest for how long it is
	// suspended. A process notices a pause of 400 ms.
	share, rest span
	// burst is the number of jobs that are submitted when it begins; there are no
	// quotas if it is 0.
	burst int
	// faults is the share of the faults that are a quota.
	faults float64
}

// newQuota returns a quota with the longest share and the longest rest given.
func newQuota(share, rest time.Duration) quota {
	return quota{share: span{share / 5, share}, rest: span{rest / 2, rest}, faults: defaultQuotaShare}
}

// quotaSeries is a series on a process that gets only part of the machine's time.
type quotaSeries struct {
	processSeries
	// burst sends the jobs that go with it.
	burst func()
}

func newQuotaSeries(rng *rand.Rand, s *soak, n *cluster.Node, burst func()) *quotaSeries {
	base := &series{rng: rng, end: time.Now().Add(quotaLength.random(rng))}
	return &quotaSeries{processSeries: processSeries{series: base, soak: s, node: n}, burst: burst}
}

func (q *quotaSeries) stopping() bool { return !q.toldAt.IsZero() }

var quotaChart = chart.MustCompile(chartFiles, "quota_series", chart.Bindings[*quotaSeries]{
	Guards: map[string]func(*quotaSeries) bool{
		"spent": spent[*quotaSeries], "seldom": chance[*quotaSeries](0.02), "exited": func(q *quotaSeries) bool { return q.exited() },
		"stopping": (*quotaSeries).stopping, "stop_overdue": func(q *quotaSeries) bool { return q.stopping() && time.Since(q.toldAt) > stopGrace },
	},
	Actions: map[string]func(*quotaSeries){
		"send_burst":    func(q *quotaSeries) { q.burst() },
		"await_rest":    func(q *quotaSeries) { q.pause = q.soak.plan.quota.rest.random(q.rng) },
		"await_share":   func(q *quotaSeries) { q.pause = q.soak.plan.quota.share.random(q.rng) },
		"await_restart": await[*quotaSeries](restart),
		"freeze":        func(q *quotaSeries) { q.node.Freeze() }, "thaw": func(q *quotaSeries) { q.node.Thaw() },
		"hang_up": func(q *quotaSeries) { q.node.HangUp() }, "terminate": func(q *quotaSeries) { q.terminate() },
		"kill": func(q *quotaSeries) { q.node.Kill() }, "start": func(q *quotaSeries) { q.soak.start(q.node) },
		"change_configuration": func(q *quotaSeries) { q.soak.requestChange() },
	},
})

var quotaEvents struct {
	Elapsed chart.Event `chart:"elapsed"`
}

func init() { quotaChart.MustBindNames(&quotaEvents) }

// bursts starts the callers of bursts, each of which submits one job.
type bursts struct {
	ctx     context.Context
	soak    *soak
	seed    uint64
	callers atomic.Int64
	running sync.WaitGroup
}

// send submits jobs at the entry all at once.
func (b *bursts) send(entry int) {
	for range b.soak.plan.quota.burst {
		c := newCaller(firstBurstCaller+int(b.callers.Add(1)), b.seed, b.soak.site.EntryNodes, b.soak.ledger)
		c.current, c.plan = entry, b.soak.plan
		if c.plan.brokenClients {
			c.breakShare = burstBreakShare
		}
		b.running.Go(func() {
			c.ledger.Send(ledgerInput{job: c.submitJob(b.ctx)})
			c.close()
		})
	}
}

// quotaFaults returns a quota for each process. A burst goes to an entry that has one,
// and to one at random beside an agent that has one.
func (s *soak) quotaFaults() (list []fault) {
	limited := func(n *cluster.Node, entry func(*rand.Rand) int) fault {
		return fault{name: "quota on the process", target: n.Name, series: func(rng *rand.Rand) {
			first := entry(rng)
			walk(quotaChart, quotaEvents.Elapsed, newQuotaSeries(rng, s, n, func() { s.bursts.send(first) }))
		}}
	}
	for i, e := range s.site.EntryNodes {
		list = append(list, limited(&e.Node, func(*rand.Rand) int { return i }))
	}
	for _, a := range s.site.AgentNodes {
		list = append(list, limited(&a.Node, func(rng *rand.Rand) int { return rng.IntN(len(s.site.EntryNodes)) }))
	}
	return list
}
