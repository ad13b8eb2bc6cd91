package measure

import (
	"slices"
	"time"

	"cactuspost.example/internal/dispatch"
)

const (
	// batchObjective is the start objective of the batch service.
	batchObjective = 10 * time.Minute
	batchStart     = 30 * time.Second
	// blockingWindow is how long the batch fills the pool.
	blockingWindow = 40 * time.Second
	batchJobTasks  = 100
	// batchLoad is the demand of the batch in the window relative to the capacity.
	batchLoad = 1.2
	// declarationErrorFactor is the factor by which wrong declared run times differ
	// from the real ones.
	declarationErrorFactor = 10
)

// declarationMode is a way in which callers declare run times, correctly or not.
type declarationMode struct {
	name         string
	declaredTime func(t *task, number int) time.Duration
}

func declarationModes() []declarationMode {
	return []declarationMode{
		{"right", func(t *task, _ int) time.Duration { return t.work }},
		{"x10", func(t *task, _ int) time.Duration { return t.work * declarationErrorFactor }},
		{"/10", func(t *task, _ int) time.Duration { return t.work / declarationErrorFactor }},
		{"x10 or /10", func(t *task, number int) time.Duration {
			if number%2 == 0 {
				return t.work * declarationErrorFactor
			}
			return t.work / declarationErrorFactor
		}},
	}
}

func withDeclaredTimes(jobs []*job, d declarationMode) []*job {
	clones := cloneJobs(jobs)
	for number, j := range clones {
		for i := range j.tasks {
			j.tasks[i].declared = d.declaredTime(&j.tasks[i], number)
		}
	}
	return clones
}

// shortKinds returns the default mix without the kind that runs for several
// seconds.
func shortKinds() []taskKind { return defaultKinds()[:3] }

// batchJobs returns jobs with long tasks of one kind that fill the pool for the
// window.
func batchJobs(d *Deployment, seed uint64, team string) []*job {
	g := newGenerator(seed+1000, d, nil)
	k := taskKind{name: batchKind, minWork: 3 * time.Second, maxWork: 6 * time.Second}
	var jobs []*job
	work := 0.0
	for work < batchLoad*d.capacity()*blockingWindow.Seconds() {
		j := &job{arrival: batchStart, team: team, service: batchName, entry: len(jobs) % d.Entries}
		for range batchJobTasks {
			j.tasks = append(j.tasks, g.newTask(k))
		}
		work += workOf(j).Seconds()
		jobs = append(jobs, j)
	}
	return jobs
}

// blockingCase is one case of the blocking scenario.
type blockingCase struct {
	name      string
	batchTeam string
	// load is the demand of the short tasks relative to the capacity. A quarter
	// of the slots is reserved for short tasks.
	load float64
}

func blockingCases() []blockingCase {
	return []blockingCase{
		{"own team, load 15 %", "records", 0.15},
		{"same team, load 15 %", "counter", 0.15},
		{"own team, load 40 %", "records", 0.40},
	}
}

// batchKind is the kind of the batch's tasks. No task of this kind runs before
// the batch arrives, so that there are no observed run times for it.
const batchKind = "audit"

// estimateMode is a way to predict run times.
type estimateMode struct {
	name   string
	source dispatch.EstimateSource
}

func estimateModes() []estimateMode {
	return []estimateMode{
		{"observed", dispatch.Observed},
		{"declared", dispatch.Declared},
		{"averages", dispatch.Averaged},
		{"correction only", dispatch.Corrected},
	}
}

// blockingMetrics holds the metrics of one row.
type blockingMetrics struct{ p99Alone, p99WithBatch, ratio, batchLoss metric }

// Blocking measures how a batch of long tasks delays short ones.
func Blocking(size Size) []*Table {
	t := &Table{
		Title: "Short behind long: a batch of 3 to 6 s tasks fills the pool for 40 s",
		Notes: []string{
			"p99: slowdown of short tasks that arrive in these 40 s, without and with the batch; target for the ratio <= 1.5",
			"batch loss %: capacity of the 40 s that neither short tasks nor the batch used; target <= 10",
			"target for run times declared 10 x too long or too short: neither changes by more than 10 %",
		},
		Columns: []string{"deployment", "case", "policy", "estimates", "declared", "p99 alone", "p99 with batch", "ratio", "batch loss %"},
	}
	for _, d := range []Deployment{Rivage(), Puthenveettil()} {
		for _, c := range blockingCases() {
			addEstimateRows(t, d, c, estimateModes()[:1], size)
			for _, b := range baselines() {
				addBlockingRow(t, d, c, declarationModes()[0], b, "-", size)
			}
		}
	}
	addEstimateRows(t, Rivage(), blockingCases()[0], estimateModes()[1:], size)
	return []*Table{t}
}

// addEstimateRows adds a row for each combination of estimates and declared times.
func addEstimateRows(t *Table, d Deployment, c blockingCase, modes []estimateMode, size Size) {
	for _, e := range modes {
		for _, mode := range declarationModes() {
			s := defaultSetup("counter", "records")
			s.dispatch.Estimates = e.source
			addBlockingRow(t, d, c, mode, namedPolicy{productName, productPolicy(s)}, e.name, size)
		}
	}
}

func addBlockingRow(t *Table, d Deployment, c blockingCase, mode declarationMode, p namedPolicy, estimates string, size Size) {
	f := measureBlocking(d, c, mode, p, size)
	t.add(d.Name, c.name, p.name, estimates, mode.name, f.p99Alone.String(), f.p99WithBatch.String(), f.ratio.String(), f.batchLoss.String())
}

func measureBlocking(d Deployment, c blockingCase, mode declarationMode, p namedPolicy, size Size) *blockingMetrics {
	f := &blockingMetrics{}
	for _, seed := range size.Seeds {
		before := newGenerator(seed, &d, defaultKinds()).generate(&d, []string{"counter"}, []phase{{batchStart, c.load}})
		during := newGenerator(seed, &d, shortKinds()).generate(&d, []string{"counter"}, []phase{{blockingWindow, c.load}})
		for _, j := range during {
			j.arrival += batchStart
		}
		jobs := append(before, during...)
		batch := batchJobs(&d, seed, c.batchTeam)
		alone := runPolicy(p, d, seed, withDeclaredTimes(jobs, mode), nil)
		with := runPolicy(p, d, seed, withDeclaredTimes(sortByArrival(append(batch, jobs...)), mode), nil)
		f.record(alone, with)
	}
	return f
}

// sortByArrival sorts jobs by arrival time.
func sortByArrival(jobs []*job) []*job {
	slices.SortStableFunc(jobs, func(a, b *job) int { return int(a.arrival - b.arrival) })
	return jobs
}

func (f *blockingMetrics) record(alone, with *policyRun) {
	from := settleTime + batchStart
	to := from + blockingWindow
	short := func(j *job, _ *task) bool { return j.service == serviceName && j.arrival >= from }
	f.p99Alone = append(f.p99Alone, quantile(alone.slowdowns(short), 99))
	f.p99WithBatch = append(f.p99WithBatch, quantile(with.slowdowns(short), 99))
	f.ratio = append(f.ratio, quantile(with.slowdowns(short), 99)/quantile(alone.slowdowns(short), 99))
	used := 0.0
	for _, j := range with.jobs {
		for i := range j.tasks {
			k := &j.tasks[i]
			used += with.overlap(k, from, to).Seconds() / with.deployment.Slowness[k.worker]
		}
	}
	idle := with.deployment.capacity()*blockingWindow.Seconds() - used
	f.batchLoss = append(f.batchLoss, 100*idle/(with.deployment.capacity()*blockingWindow.Seconds()))
}
