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
	// wrongFactor is the factor by which wrong declared run times differ from the
	// real ones.
	wrongFactor = 10
)

// declaration is a way in which callers declare run times, correctly or not.
type declaration struct {
	name   string
	change func(t *task, number int) time.Duration
}

func declarations() []declaration {
	return []declaration{
		{"right", func(t *task, _ int) time.Duration { return t.work }},
		{"x10", func(t *task, _ int) time.Duration { return t.work * wrongFactor }},
		{"/10", func(t *task, _ int) time.Duration { return t.work / wrongFactor }},
		{"x10 or /10", func(t *task, number int) time.Duration {
			if number%2 == 0 {
				return t.work * wrongFactor
			}
			return t.work / wrongFactor
		}},
	}
}

func declare(jobs []*job, d declaration) []*job {
	clones := cloneJobs(jobs)
	for number, j := range clones {
		for i := range j.tasks {
			j.tasks[i].declared = d.change(&j.tasks[i], number)
		}
	}
	return clones
}

// shortKinds returns the default mix without the kind that runs for several
// seconds.
func shortKinds() []kind { return usualKinds()[:3] }

// batchJobs returns jobs with long tasks of one kind that fill the pool for the
// window.
func batchJobs(d *Deployment, seed uint64, team string) []*job {
	s := newSource(seed+1000, d, nil)
	k := kind{name: batchKind, least: 3 * time.Second, most: 6 * time.Second}
	var jobs []*job
	work := 0.0
	for work < batchLoad*d.capacity()*blockingWindow.Seconds() {
		j := &job{at: batchStart, team: team, service: batchName, entry: len(jobs) % d.Entries}
		for range batchJobTasks {
			j.tasks = append(j.tasks, s.task(k))
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

// estimates is a way to predict run times.
type estimates struct {
	name   string
	source dispatch.EstimateSource
}

func allEstimates() []estimates {
	return []estimates{
		{"observed", dispatch.Observed},
		{"declared", dispatch.Declared},
		{"averages", dispatch.Averaged},
		{"correction only", dispatch.Corrected},
	}
}

// blockingFigures holds the metrics of one row.
type blockingFigures struct{ alone, with, ratio, loss figure }

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
			addEstimates(t, d, c, allEstimates()[:1], size)
			for _, b := range baselines() {
				addBlocking(t, d, c, declarations()[0], b, "-", size)
			}
		}
	}
	addEstimates(t, Rivage(), blockingCases()[0], allEstimates()[1:], size)
	return []*Table{t}
}

// addEstimates adds a row for each combination of estimates and declared times.
func addEstimates(t *Table, d Deployment, c blockingCase, list []estimates, size Size) {
	for _, e := range list {
		for _, w := range declarations() {
			s := usualSetup("counter", "records")
			s.dispatch.Estimates = e.source
			addBlocking(t, d, c, w, contender{chosenName, chosen(s)}, e.name, size)
		}
	}
}

func addBlocking(t *Table, d Deployment, c blockingCase, w declaration, p contender, estimates string, size Size) {
	f := blockingOf(d, c, w, p, size)
	t.add(d.Name, c.name, p.name, estimates, w.name, f.alone.String(), f.with.String(), f.ratio.String(), f.loss.String())
}

func blockingOf(d Deployment, c blockingCase, w declaration, p contender, size Size) *blockingFigures {
	f := &blockingFigures{}
	for _, seed := range size.Seeds {
		before := newSource(seed, &d, usualKinds()).draw(&d, []string{"counter"}, []phase{{batchStart, c.load}})
		during := newSource(seed, &d, shortKinds()).draw(&d, []string{"counter"}, []phase{{blockingWindow, c.load}})
		for _, j := range during {
			j.at += batchStart
		}
		jobs := append(before, during...)
		batch := batchJobs(&d, seed, c.batchTeam)
		alone := try(p, d, seed, declare(jobs, w), nil)
		with := try(p, d, seed, declare(inOrder(append(batch, jobs...)), w), nil)
		f.take(alone, with)
	}
	return f
}

// inOrder sorts jobs by arrival time.
func inOrder(jobs []*job) []*job {
	slices.SortStableFunc(jobs, func(a, b *job) int { return int(a.at - b.at) })
	return jobs
}

func (f *blockingFigures) take(alone, with *trial) {
	from := settleTime + batchStart
	to := from + blockingWindow
	short := func(j *job, _ *task) bool { return j.service == serviceName && j.at >= from }
	f.alone = append(f.alone, quantile(alone.slowdowns(short), 99))
	f.with = append(f.with, quantile(with.slowdowns(short), 99))
	f.ratio = append(f.ratio, quantile(with.slowdowns(short), 99)/quantile(alone.slowdowns(short), 99))
	used := 0.0
	for _, j := range with.jobs {
		for i := range j.tasks {
			k := &j.tasks[i]
			used += with.overlap(k, from, to).Seconds() / with.deployment.Slowness[k.worker]
		}
	}
	idle := with.deployment.capacity()*blockingWindow.Seconds() - used
	f.loss = append(f.loss, 100*idle/(with.deployment.capacity()*blockingWindow.Seconds()))
}
