package measure

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactuspost.example/internal/dispatch"
	"cactuspost.example/internal/structs"
)

// Size of a site on which an entry's share of a worker is smaller than a task: 160 slots
// of which a task takes 38, among 20 entries.
const (
	manyEntries  = 20
	manyWorkers  = 80
	workerSlots  = 160
	tasksAWorker = 4
)

func manyEntriesKinds() []taskKind {
	return []taskKind{
		{name: "check", jobShare: 0.25, minWork: 30 * time.Millisecond, maxWork: 80 * time.Millisecond, maxTasks: 16},
		{name: "estimate", jobShare: 0.05, minWork: 500 * time.Millisecond, maxWork: time.Second, maxTasks: 8},
		{name: "tie", jobShare: 0.70, minWork: 100 * time.Millisecond, maxWork: 250 * time.Millisecond, maxTasks: 4},
	}
}

func manyEntriesSetup() setup {
	s := defaultSetup("team")
	s.dispatch = dispatch.Tuning{QueueDepth: 1, LongTaskThreshold: time.Hour, Estimates: dispatch.Declared}
	s.needs = structs.Needs{Millicores: 3800, MemoryMB: 64}
	s.capacity = structs.Needs{Millicores: 16_000, MemoryMB: 64 << 10}
	return s
}

func manyEntriesDeployment() Deployment {
	return Deployment{
		Name: "many entries", OneWay: 1500 * time.Microsecond, Entries: manyEntries, Slots: workerSlots,
		Slowness: slices.Repeat([]float64{1}, manyWorkers),
	}
}

// manyEntriesRun is a run on a site with many entries.
type manyEntriesRun struct {
	system *system
	jobs   []*job
	// samples is the number of moments at which a task had waited longer than longWait,
	// and idleTasks the number of further tasks that the workers had room for then.
	samples, idleTasks int
	// answered is the number of jobs at the start of the list that were answered.
	answered int
}

const (
	// sampleInterval is the interval between two samples.
	sampleInterval = 5 * time.Millisecond
	// finishTime is the time after the last arrival in which the jobs end.
	finishTime = 3 * time.Second
)

// longWait allows for the messages by which a task is granted, refused and granted again.
const longWait = 20 * time.Millisecond

// runManyEntries runs a load relative to the capacity. The workers from the given index
// on are added at a given time after the start of the load.
func runManyEntries(load float64, length time.Duration, added int, addedAt time.Duration) *manyEntriesRun {
	d := manyEntriesDeployment()
	capacity := d
	capacity.Slots = tasksAWorker
	jobs := newGenerator(1, &capacity, manyEntriesKinds()).generate(&capacity, []string{"team"}, []phase{{length: length, load: load}})
	d.Slowness = d.Slowness[:len(d.Slowness)-added]
	sim := &bench{loop: &loop{}, deployment: d, seed: 1, messages: &messageCounts{}}
	r := &manyEntriesRun{system: newSystem(sim, manyEntriesSetup()), jobs: jobs}
	for _, j := range jobs {
		j.arrival += settleTime
		sim.at(j.arrival, func() { r.system.submit(j) })
	}
	sim.at(settleTime+addedAt, func() { r.addWorkers(added) })
	sim.every(sampleInterval, func() { r.sample(sim.now) })
	sim.runUntil(settleTime + length + finishTime)
	return r
}

func (r *manyEntriesRun) addWorkers(count int) {
	for range count {
		r.system.deployment.Slowness = append(r.system.deployment.Slowness, 1)
		r.system.addAgent(len(r.system.deployment.Slowness) - 1)
	}
}

// sample counts a moment at which a task waits while a worker has room for it.
func (r *manyEntriesRun) sample(now time.Duration) {
	if now < settleTime {
		return
	}
	waits := false
	for r.answered < len(r.jobs) && r.jobs[r.answered].answered != 0 {
		r.answered++
	}
	for _, j := range r.jobs[r.answered:] {
		if j.arrival+longWait > now {
			break
		}
		if j.answered == 0 && slices.ContainsFunc(j.tasks, func(t task) bool { return t.starts == 0 }) {
			waits = true
			break
		}
	}
	if !waits {
		return
	}
	r.samples++
	for _, a := range r.system.agents {
		r.idleTasks += tasksAWorker - len(a.runs)
	}
}

// overIdeal returns the response times of the completed jobs over that on idle workers
// of the same speed.
func overIdeal(d *Deployment, jobs []*job) []float64 {
	var ratios []float64
	for _, j := range jobs {
		longest, end := time.Duration(0), time.Duration(0)
		for i := range j.tasks {
			longest = max(longest, j.tasks[i].work)
			end = max(end, j.tasks[i].finished)
		}
		if slices.ContainsFunc(j.tasks, func(t task) bool { return t.finished == 0 }) {
			continue
		}
		ratios = append(ratios, float64(end-j.arrival)/float64(longest+d.roundTrip()))
	}
	slices.Sort(ratios)
	return ratios
}

func atQuantile(sorted []float64, q float64) float64 { return sorted[int(q*float64(len(sorted)-1))] }

// Load pattern: many entries, each with a small part of a load that is well under the
// capacity. Entries that choose by the same reports must not choose the same workers.
func TestManyEntriesSpreadTheirTasks(t *testing.T) {
	is := is.New(t)
	for _, load := range []float64{0.5, 0.8} {
		// The jobs of these seconds come in a burst above the mean rate.
		r := runManyEntries(load/(1+burstAmplitude), 4*time.Second, 0, 0)
		d := manyEntriesDeployment()
		d.Slots = tasksAWorker
		ideal := overIdeal(&d, runPolicy(namedPolicy{idealName, newIdealQueue}, d, 1, r.jobs, nil).jobs)
		own := overIdeal(&d, r.jobs)
		idle := float64(r.idleTasks) / float64(max(1, r.samples)*tasksAWorker*manyWorkers)
		t.Logf("load %.2f: %d jobs, response over that on idle workers, in brackets with an ideal queue: p50 %.2f (%.2f), p90 %.2f (%.2f), p99 %.2f (%.2f); %.3f of the room idle in %d moments with a wait; %d refusals",
			load, len(own), atQuantile(own, 0.5), atQuantile(ideal, 0.5), atQuantile(own, 0.9), atQuantile(ideal, 0.9), atQuantile(own, 0.99), atQuantile(ideal, 0.99),
			idle, r.samples, r.system.messages.refusedGrants)
		is.Equal(len(own), len(r.jobs))
		is.True(atQuantile(own, 0.99) <= 1.5*atQuantile(ideal, 0.99))
	}
}

// Load pattern: more work than the workers can do, and empty workers are added. The work
// that waits must reach them without waiting for the next report or a queue to empty.
func TestAddedWorkersTakeUpWaitingWork(t *testing.T) {
	is := is.New(t)
	const (
		added     = 16
		addedAt   = time.Second
		firstTask = 300 * time.Millisecond
		evenAfter = 2 * time.Second
		length    = 4 * time.Second
	)
	r := runManyEntries(0.95, length, added, addedAt)
	first := map[int]time.Duration{}
	late, lateOnAdded := 0, 0
	for _, j := range r.jobs {
		for i := range j.tasks {
			k := &j.tasks[i]
			sinceAdded := k.started - settleTime - addedAt
			if k.starts == 0 || sinceAdded < 0 {
				continue
			}
			if at, ok := first[k.worker]; !ok || sinceAdded < at {
				first[k.worker] = sinceAdded
			}
			if sinceAdded > evenAfter && sinceAdded < length-addedAt {
				late++
				if k.worker >= manyWorkers-added {
					lateOnAdded++
				}
			}
		}
	}
	slowest := time.Duration(0)
	for worker := manyWorkers - added; worker < manyWorkers; worker++ {
		at, ok := first[worker]
		is.True(ok) // each added worker runs tasks
		slowest = max(slowest, at)
	}
	share := float64(lateOnAdded) / float64(late)
	t.Logf("first tasks on added workers within %v; after %v, %.3f of the starts are on them, %.3f of the workers", slowest, evenAfter, share, float64(added)/manyWorkers)
	is.True(slowest <= firstTask)
	is.True(share >= 0.9*added/manyWorkers)
}
