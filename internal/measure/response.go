package measure

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Size sets the number and the length of the runs.
type Size struct {
	Seeds []uint64
	// Length is how long jobs arrive in each run.
	Length time.Duration
}

// responseLoads are the loads that Response measures, relative to the capacity.
var responseLoads = []float64{0.30, 0.70, 0.95}

// idealName names the rows of the ideal queue.
const idealName = "ideal queue"

// productName names the rows of the product's policy.
const productName = "cactuspost"

func allPolicies(s setup) []namedPolicy {
	return append([]namedPolicy{{productName, productPolicy(s)}}, baselines()...)
}

func baselines() []namedPolicy {
	return []namedPolicy{
		{"random push", newRandomPush},
		{"two choices", newTwoChoices},
		{"join idle queue", newJoinIdleQueue},
		{"late binding", newLateBinding},
		{idealName, newIdealQueue},
	}
}

const (
	// ratioScale converts ratios to the integers that a histogram records.
	ratioScale = 1000
	maxRatio   = 1 << 40
)

// slowdowns returns the distribution of the slowdowns of the finished tasks that
// keep selects. The slowdown is the response time divided by the sum of the run
// time on the fastest worker and one round trip.
func (r *policyRun) slowdowns(keep func(j *job, r *task) bool) *hdrhistogram.Histogram {
	h := hdrhistogram.New(1, maxRatio, 3)
	for _, j := range r.jobs {
		for i := range j.tasks {
			k := &j.tasks[i]
			if k.finished == 0 || !keep(j, k) {
				continue
			}
			best := k.work + r.deployment.roundTrip()
			ratio := float64(k.finished-j.arrival) / float64(best)
			_ = h.RecordValue(int64(ratio * ratioScale))
		}
	}
	return h
}

func everyTask(*job, *task) bool { return true }

func quantile(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtQuantile(percent)) / ratioScale
}

// taskCounts returns the numbers of all tasks, of starts, and of tasks in jobs
// that were refused or failed.
func (r *policyRun) taskCounts() (all, started, refused int) {
	for _, j := range r.jobs {
		for i := range j.tasks {
			all++
			started += j.tasks[i].starts
			if j.failure != nil {
				refused++
			}
		}
	}
	return all, started, refused
}

// responseMetrics holds the metrics of one row.
type responseMetrics struct {
	quantiles [5]metric
	// relative holds p50 and p99 divided by those of the ideal queue.
	relative [2]metric
	refused  metric
	total    metric
	extra    metric
	wasted   metric
	causes   [causeCount]metric
	refusals metric
}

var responsePercentiles = [5]float64{50, 90, 99, 99.9, 100}

func (f *responseMetrics) record(t *policyRun, ideal *policyRun) {
	own, best := t.slowdowns(everyTask), ideal.slowdowns(everyTask)
	for i, percent := range responsePercentiles {
		f.quantiles[i] = append(f.quantiles[i], quantile(own, percent))
	}
	f.relative[0] = append(f.relative[0], quantile(own, 50)/quantile(best, 50))
	f.relative[1] = append(f.relative[1], quantile(own, 99)/quantile(best, 99))
	all, started, refused := t.taskCounts()
	f.refused = append(f.refused, 100*float64(refused)/float64(all))
	each := float64(max(1, started))
	f.total = append(f.total, float64(t.messages.total())/each)
	f.extra = append(f.extra, float64(t.messages.extra())/each)
	f.wasted = append(f.wasted, float64(t.messages.wasted())/each)
	f.refusals = append(f.refusals, float64(t.messages.refusedGrants)/each)
	for i := range f.causes {
		f.causes[i] = append(f.causes[i], float64(t.messages.sent[i])/each)
	}
}

// comparePolicies runs all policies at one load and returns their metrics by
// name.
func comparePolicies(d Deployment, load float64, size Size) map[string]*responseMetrics {
	metrics := map[string]*responseMetrics{}
	policies := allPolicies(defaultSetup("north"))
	for _, seed := range size.Seeds {
		jobs := newGenerator(seed, &d, defaultKinds()).generate(&d, []string{"north"}, []phase{{size.Length, load}})
		ideal := runPolicy(namedPolicy{idealName, newIdealQueue}, d, seed, jobs, nil)
		for _, c := range policies {
			if metrics[c.name] == nil {
				metrics[c.name] = &responseMetrics{}
			}
			metrics[c.name].record(runPolicy(c, d, seed, jobs, nil), ideal)
		}
	}
	return metrics
}

// Response measures response times and message counts of all policies.
func Response(size Size) []*Table {
	response := &Table{
		Title: "Response time and messages",
		Notes: []string{
			"slowdown: response time of a task over (its run time on the fastest worker + one round trip)",
			"rel: divided by the ideal queue's; targets for cactuspost at 70 % load: p50 <= 1.1, p99 <= 1.5",
			"extra: messages per started task that carry neither a grant nor a result",
			"wasted: messages per started task that neither led to a start nor carried a result, and refused grants; target <= 0.2",
		},
		Columns: []string{"deployment", "load", "policy", "p50", "p90", "p99", "p99.9", "max", "rel p50", "rel p99", "refused %", "msgs", "extra", "wasted"},
	}
	causes := &Table{Title: "Messages per started task, by cause", Columns: []string{"deployment", "load", "policy"}}
	causes.Columns = append(causes.Columns, causeNames[:]...)
	causes.Columns = append(causes.Columns, "refused grants")
	for _, d := range []Deployment{Rivage(), Puthenveettil()} {
		for _, load := range responseLoads {
			metrics := comparePolicies(d, load, size)
			for _, c := range allPolicies(setup{}) {
				addResponseRows(response, causes, d, load, c.name, metrics[c.name])
			}
		}
	}
	return []*Table{response, causes}
}

func addResponseRows(response, causes *Table, d Deployment, load float64, name string, f *responseMetrics) {
	row := []string{d.Name, fmt.Sprintf("%.0f%%", 100*load), name}
	cells := append([]string(nil), row...)
	for _, q := range f.quantiles {
		cells = append(cells, q.String())
	}
	cells = append(cells, f.relative[0].String(), f.relative[1].String(), f.refused.String(), f.total.String(), f.extra.String(), f.wasted.String())
	response.add(cells...)
	for _, n := range f.causes {
		row = append(row, n.String())
	}
	causes.add(append(row, f.refusals.String())...)
}
