package measure

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/structs"
)

const (
	crestBefore = 30 * time.Second
	crestLength = 10 * time.Second
	crestAfter  = 30 * time.Second
	// crestLoad is the demand during the crest (the overload interval) relative to
	// the capacity, and baseLoad the demand before and after it.
	crestLoad = 3
	baseLoad  = 0.5
	// crestObjective is the start objective of the service in this scenario.
	crestObjective = 2 * time.Second
	// objectiveTolerance times the objective is the longest wait of a start that is
	// not late.
	objectiveTolerance = 1.1
	// recoveredWait is the longest wait of a service that has recovered.
	recoveredWait = 500 * time.Millisecond
)

// crestTeams returns the names of the teams and their quotas. The quotas differ,
// while all teams have the same demand.
func crestTeams() ([]string, map[string]structs.Team) {
	names := []string{"north", "south", "west"}
	quotas := []float64{1, 2, 3}
	teams := map[string]structs.Team{}
	for i, name := range names {
		teams[name] = structs.Team{Quotas: map[string]float64{serviceName: quotas[i]}}
	}
	return names, teams
}

// crestMetrics holds the metrics of one row.
type crestMetrics struct {
	useful, late, refused, refusedStarted, refusalP99, noRetry, recovery, shareErrors metric
}

// Crest measures a temporary overload of three times the capacity.
func Crest(size Size) []*Table {
	t := &Table{
		Title: "Crest: demand of 3 x capacity for 10 s",
		Notes: []string{
			"useful %: work of complete jobs done during the crest over the capacity, as run time on the fastest worker; target >= 95",
			"late %: started tasks that missed the start objective of 2 s by more than 10 %; target 0",
			"untrue: refused jobs with a started task; no retry: refusals without a time after which to retry; targets 0",
			"refusal p99: from submission to refusal; target <= 10 ms",
			"recovery: from the end of the crest to the last start that waited more than 500 ms; target <= 2 s",
			"shares: greatest relative difference of a team's slot time from its quota during the crest; target <= 10 %",
		},
		Columns: []string{"deployment", "policy", "useful %", "late %", "refused %", "untrue", "no retry", "refusal p99 ms", "recovery s", "shares %"},
	}
	for _, d := range []Deployment{Rivage(), Puthenveettil()} {
		names, teams := crestTeams()
		s := defaultSetup()
		s.teams = teams
		s.service.StartObjective = structs.Millis(crestObjective.Milliseconds())
		for _, c := range allPolicies(s) {
			f := &crestMetrics{}
			for _, seed := range size.Seeds {
				jobs := newGenerator(seed, &d, defaultKinds()).generate(&d, names, []phase{{crestBefore, baseLoad}, {crestLength, crestLoad}, {crestAfter, baseLoad}})
				f.record(runPolicy(c, d, seed, jobs, nil), teams)
			}
			t.add(d.Name, c.name, f.useful.String(), f.late.String(), f.refused.String(), f.refusedStarted.String(),
				f.noRetry.String(), f.refusalP99.String(), f.recovery.String(), f.shareErrors.String())
		}
	}
	return []*Table{t}
}

func (f *crestMetrics) record(t *policyRun, teams map[string]structs.Team) {
	from := settleTime + crestBefore
	to := from + crestLength
	f.useful = append(f.useful, 100*t.usefulWork(from, to)/(t.deployment.capacity()*crestLength.Seconds()))
	f.shareErrors = append(f.shareErrors, 100*t.shareError(from, to, teams))
	f.recordStarts(t, to)
	f.recordRefusals(t)
}

// useful reports whether the caller can use the job's results. The baselines do
// not answer jobs; their jobs are useful if every task has finished and started
// within the objective.
func (r *policyRun) useful(j *job) bool {
	if r.name == productName {
		return j.complete
	}
	for i := range j.tasks {
		if j.tasks[i].finished == 0 || float64(j.tasks[i].started-j.arrival) > objectiveTolerance*float64(crestObjective) {
			return false
		}
	}
	return true
}

// overlap returns how long a task ran within an interval.
func (r *policyRun) overlap(k *task, from, to time.Duration) time.Duration {
	if k.starts == 0 {
		return 0
	}
	end := k.started + time.Duration(float64(k.work)*r.deployment.Slowness[k.worker])
	return max(0, min(end, to)-max(k.started, from))
}

// usefulWork returns the run time of useful jobs within an interval, in seconds
// on the fastest worker.
func (r *policyRun) usefulWork(from, to time.Duration) float64 {
	sum := 0.0
	for _, j := range r.jobs {
		if !r.useful(j) {
			continue
		}
		for i := range j.tasks {
			k := &j.tasks[i]
			sum += r.overlap(k, from, to).Seconds() / r.deployment.Slowness[k.worker]
		}
	}
	return sum
}

// shareError returns the greatest relative difference between a team's share of
// the slot time and its share of the quotas.
func (r *policyRun) shareError(from, to time.Duration, teams map[string]structs.Team) float64 {
	used := map[string]float64{}
	sum, quotas := 0.0, 0.0
	for _, j := range r.jobs {
		for i := range j.tasks {
			seconds := r.overlap(&j.tasks[i], from, to).Seconds()
			used[j.team] += seconds
			sum += seconds
		}
	}
	for _, team := range teams {
		quotas += team.Quotas[serviceName]
	}
	worst := 0.0
	for name, team := range teams {
		entitled := team.Quotas[serviceName] / quotas
		worst = max(worst, used[name]/sum/entitled-1, 1-used[name]/sum/entitled)
	}
	return worst
}

func (f *crestMetrics) recordStarts(t *policyRun, crestEnd time.Duration) {
	started, late := 0, 0
	recovery := time.Duration(0)
	for _, j := range t.jobs {
		for i := range j.tasks {
			k := &j.tasks[i]
			if k.starts == 0 {
				continue
			}
			started++
			wait := k.started - j.arrival
			if float64(wait) > objectiveTolerance*float64(crestObjective) {
				late++
			}
			if wait > recoveredWait {
				recovery = max(recovery, k.started-crestEnd)
			}
		}
	}
	f.late = append(f.late, 100*float64(late)/float64(started))
	f.recovery = append(f.recovery, recovery.Seconds())
}

func (f *crestMetrics) recordRefusals(r *policyRun) {
	refused, refusedStarted, noRetry := 0, 0, 0
	h := hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
	for _, j := range r.jobs {
		if j.failure == nil {
			continue
		}
		refused++
		_ = h.RecordValue((j.answered - j.arrival).Microseconds())
		if j.failure.Run != failure.NotRun || startsOf(j) > 0 {
			refusedStarted++
		}
		if j.failure.RetryAfter == 0 {
			noRetry++
		}
	}
	f.refused = append(f.refused, 100*float64(refused)/float64(len(r.jobs)))
	f.refusedStarted = append(f.refusedStarted, float64(refusedStarted))
	f.noRetry = append(f.noRetry, float64(noRetry))
	f.refusalP99 = append(f.refusalP99, float64(h.ValueAtQuantile(99))/1000)
}

func startsOf(j *job) int {
	starts := 0
	for i := range j.tasks {
		starts += j.tasks[i].starts
	}
	return starts
}
