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
	// the capacity, and calmLoad the demand before and after it.
	crestLoad = 3
	calmLoad  = 0.5
	// crestObjective is the start objective of the service in this scenario.
	crestObjective = 2 * time.Second
	// objectiveSlack is the factor on the objective above which a start is late.
	objectiveSlack = 1.1
	// calmWait is the longest wait of a service that has recovered.
	calmWait = 500 * time.Millisecond
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

// crestFigures holds the metrics of one row.
type crestFigures struct {
	useful, late, refused, untrue, refusalP99, noRetry, recovery, shares figure
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
		s := usualSetup()
		s.teams = teams
		s.service.StartObjective = structs.Millis(crestObjective.Milliseconds())
		for _, c := range contenders(s) {
			f := &crestFigures{}
			for _, seed := range size.Seeds {
				jobs := newSource(seed, &d, usualKinds()).draw(&d, names, []phase{{crestBefore, calmLoad}, {crestLength, crestLoad}, {crestAfter, calmLoad}})
				f.take(try(c, d, seed, jobs, nil), teams)
			}
			t.add(d.Name, c.name, f.useful.String(), f.late.String(), f.refused.String(), f.untrue.String(),
				f.noRetry.String(), f.refusalP99.String(), f.recovery.String(), f.shares.String())
		}
	}
	return []*Table{t}
}

func (f *crestFigures) take(t *trial, teams map[string]structs.Team) {
	from := settleTime + crestBefore
	to := from + crestLength
	f.useful = append(f.useful, 100*t.usefulWork(from, to)/(t.deployment.capacity()*crestLength.Seconds()))
	f.shares = append(f.shares, 100*t.shareError(from, to, teams))
	f.takeStarts(t, to)
	f.takeRefusals(t)
}

// useful reports whether the caller can use the job's results. The baselines do
// not answer jobs; their jobs are useful if every task has finished and started
// within the objective.
func (t *trial) useful(j *job) bool {
	if t.name == chosenName {
		return j.complete
	}
	for i := range j.tasks {
		if j.tasks[i].finished == 0 || float64(j.tasks[i].started-j.at) > objectiveSlack*float64(crestObjective) {
			return false
		}
	}
	return true
}

// overlap returns how long a task ran within an interval.
func (t *trial) overlap(k *task, from, to time.Duration) time.Duration {
	if k.starts == 0 {
		return 0
	}
	end := k.started + time.Duration(float64(k.work)*t.deployment.Slowness[k.worker])
	return max(0, min(end, to)-max(k.started, from))
}

// usefulWork returns the run time of useful jobs within an interval, in seconds
// on the fastest worker.
func (t *trial) usefulWork(from, to time.Duration) float64 {
	sum := 0.0
	for _, j := range t.jobs {
		if !t.useful(j) {
			continue
		}
		for i := range j.tasks {
			k := &j.tasks[i]
			sum += t.overlap(k, from, to).Seconds() / t.deployment.Slowness[k.worker]
		}
	}
	return sum
}

// shareError returns the greatest relative difference between a team's share of
// the slot time and its share of the quotas.
func (t *trial) shareError(from, to time.Duration, teams map[string]structs.Team) float64 {
	used := map[string]float64{}
	sum, quotas := 0.0, 0.0
	for _, j := range t.jobs {
		for i := range j.tasks {
			seconds := t.overlap(&j.tasks[i], from, to).Seconds()
			used[j.team] += seconds
			sum += seconds
		}
	}
	for _, team := range teams {
		quotas += team.Quotas[serviceName]
	}
	worst := 0.0
	for name, team := range teams {
		due := team.Quotas[serviceName] / quotas
		worst = max(worst, used[name]/sum/due-1, 1-used[name]/sum/due)
	}
	return worst
}

func (f *crestFigures) takeStarts(t *trial, crestEnd time.Duration) {
	started, late := 0, 0
	recovery := time.Duration(0)
	for _, j := range t.jobs {
		for i := range j.tasks {
			k := &j.tasks[i]
			if k.starts == 0 {
				continue
			}
			started++
			wait := k.started - j.at
			if float64(wait) > objectiveSlack*float64(crestObjective) {
				late++
			}
			if wait > calmWait {
				recovery = max(recovery, k.started-crestEnd)
			}
		}
	}
	f.late = append(f.late, 100*float64(late)/float64(started))
	f.recovery = append(f.recovery, recovery.Seconds())
}

func (f *crestFigures) takeRefusals(t *trial) {
	refused, untrue, noRetry := 0, 0, 0
	h := hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
	for _, j := range t.jobs {
		if j.failure == nil {
			continue
		}
		refused++
		_ = h.RecordValue((j.answered - j.at).Microseconds())
		if j.failure.Run != failure.NotRun || startsOf(j) > 0 {
			untrue++
		}
		if j.failure.RetryAfter == 0 {
			noRetry++
		}
	}
	f.refused = append(f.refused, 100*float64(refused)/float64(len(t.jobs)))
	f.untrue = append(f.untrue, float64(untrue))
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
