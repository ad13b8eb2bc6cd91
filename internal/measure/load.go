package measure

import (
	"math"
	"math/rand/v2"
	"time"

	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/structs"
)

// Deployment describes the workers and entries of one service.
type Deployment struct {
	Name string
	// OneWay is the one-way network delay between an entry and an agent.
	OneWay  time.Duration
	Entries int
	// Slots is the number of slots of each worker.
	Slots int
	// Slowness holds the run time on each worker relative to the fastest one.
	Slowness []float64
}

const (
	// workerCount and slotCount are the same in both deployments.
	workerCount = 11
	slotCount   = 8
	// speedRange is the speed of the fastest worker relative to the slowest.
	speedRange = 4
)

// Rivage is the deployment of the recession service.
func Rivage() Deployment { return newDeployment("rivage", time.Millisecond) }

// Puthenveettil is the deployment of the booking-desk service.
func Puthenveettil() Deployment { return newDeployment("puthenveettil", 500*time.Microsecond) }

func newDeployment(name string, oneWay time.Duration) Deployment {
	d := Deployment{Name: name, OneWay: oneWay, Entries: 2, Slots: slotCount}
	for i := range workerCount {
		d.Slowness = append(d.Slowness, math.Pow(speedRange, float64(i)/(workerCount-1)))
	}
	return d
}

// capacity returns the work that all workers together complete per unit of time,
// where work is measured as run time on the fastest worker.
func (d *Deployment) capacity() float64 {
	sum := 0.0
	for _, slowness := range d.Slowness {
		sum += float64(d.Slots) / slowness
	}
	return sum
}

// roundTrip returns the network delay from an entry to an agent and back.
func (d *Deployment) roundTrip() time.Duration { return 2 * d.OneWay }

// job is one job of the load, with its outcome.
type job struct {
	arrival time.Duration
	team    string
	service string
	entry   int
	// id is set only by the product's policy.
	id    structs.JobID
	tasks []task
	// answered is when the entry answered the caller. Zero means that the caller
	// received no answer.
	answered time.Duration
	complete bool
	// failure is set if the job was refused or failed.
	failure *failure.Failure
}

// task is one task of the load, with its outcome.
type task struct {
	kind     string
	declared time.Duration
	// work is the run time on the fastest worker.
	work time.Duration
	// worker, started and finished are set during the run; finished is when the
	// entry received the result. A zero time means that it has not happened.
	worker   int
	started  time.Duration
	finished time.Duration
	// starts counts how often the task was started.
	starts int
}

// taskKind is a class of tasks with similar run times.
type taskKind struct {
	name string
	// jobShare is the fraction of all jobs that are of this kind.
	jobShare         float64
	minWork, maxWork time.Duration
	maxTasks         int
}

// stragglerShare is the fraction of tasks whose run time is multiplied by a
// random factor of up to stragglerFactor.
const (
	stragglerShare  = 0.002
	stragglerFactor = 30
)

// defaultKinds returns the default mix of tasks: most run for 50 ms to 1 s and
// some for several seconds. Jobs have 1 to maxTasks tasks.
func defaultKinds() []taskKind {
	return []taskKind{
		{name: "check", jobShare: 0.45, minWork: 50 * time.Millisecond, maxWork: 250 * time.Millisecond, maxTasks: 1},
		{name: "quote", jobShare: 0.30, minWork: 100 * time.Millisecond, maxWork: 500 * time.Millisecond, maxTasks: 8},
		{name: "estimate", jobShare: 0.22, minWork: 200 * time.Millisecond, maxWork: time.Second, maxTasks: 20},
		{name: "survey", jobShare: 0.03, minWork: 2 * time.Second, maxWork: 6 * time.Second, maxTasks: 4},
	}
}

// generator generates the jobs of a load from a seed.
type generator struct {
	rng     *rand.Rand
	kinds   []taskKind
	entries int
}

func newGenerator(seed uint64, d *Deployment, kinds []taskKind) *generator {
	return &generator{rng: rand.New(rand.NewPCG(seed, 1)), kinds: kinds, entries: d.Entries}
}

func (g *generator) newJob(at time.Duration, team string) *job {
	k := g.pickKind()
	j := &job{arrival: at, team: team, service: serviceName, entry: g.rng.IntN(g.entries)}
	for range 1 + g.rng.IntN(k.maxTasks) {
		j.tasks = append(j.tasks, g.newTask(k))
	}
	return j
}

func (g *generator) pickKind() taskKind {
	x := g.rng.Float64()
	for _, k := range g.kinds {
		if x < k.jobShare {
			return k
		}
		x -= k.jobShare
	}
	return g.kinds[0]
}

func (g *generator) newTask(k taskKind) task {
	ratio := float64(k.maxWork) / float64(k.minWork)
	work := float64(k.minWork) * math.Pow(ratio, g.rng.Float64())
	if g.rng.Float64() < stragglerShare {
		work *= 1 + (stragglerFactor-1)*g.rng.Float64()
	}
	return task{kind: k.name, declared: time.Duration(work), work: time.Duration(work)}
}

// meanWork estimates the mean work of a job by sampling.
func meanWork(kinds []taskKind) time.Duration {
	const draws = 20_000
	g := newGenerator(0, &Deployment{Entries: 1}, kinds)
	var sum time.Duration
	for range draws {
		sum += workOf(g.newJob(0, ""))
	}
	return sum / draws
}

func workOf(j *job) time.Duration {
	var sum time.Duration
	for i := range j.tasks {
		sum += j.tasks[i].work
	}
	return sum
}

// phase is a part of a load with a constant mean arrival rate.
type phase struct {
	length time.Duration
	// load is the demand relative to the capacity.
	load float64
}

// generate returns the jobs of consecutive phases in order of arrival. Arrival
// times do not depend on responses. Their rate alternates around the phase's
// mean, so that demand comes in bursts.
func (g *generator) generate(d *Deployment, teams []string, phases []phase) []*job {
	var jobs []*job
	mean := meanWork(g.kinds).Seconds()
	start := time.Duration(0)
	for _, p := range phases {
		rate := p.load * d.capacity() / mean
		end := start + p.length
		for at := g.nextArrival(start, rate); at < end; at = g.nextArrival(at, rate) {
			jobs = append(jobs, g.newJob(at, teams[g.rng.IntN(len(teams))]))
		}
		start = end
	}
	return jobs
}

const (
	// burstPeriod is the time from one burst to the next. In its first half the
	// rate is higher by the fraction burstAmplitude, in the second half lower.
	burstPeriod    = 10 * time.Second
	burstAmplitude = 0.25
)

func (g *generator) nextArrival(at time.Duration, rate float64) time.Duration {
	if at%burstPeriod < burstPeriod/2 {
		rate *= 1 + burstAmplitude
	} else {
		rate *= 1 - burstAmplitude
	}
	return at + time.Duration(g.rng.ExpFloat64()/rate*float64(time.Second))
}

// cloneJobs returns copies of the jobs without their outcomes.
func cloneJobs(jobs []*job) []*job {
	clones := make([]*job, 0, len(jobs))
	for _, j := range jobs {
		c := *j
		c.answered, c.complete, c.failure = 0, false, nil
		c.tasks = append([]task(nil), j.tasks...)
		for i := range c.tasks {
			t := &c.tasks[i]
			t.worker, t.started, t.finished, t.starts = 0, 0, 0, 0
		}
		clones = append(clones, &c)
	}
	return clones
}
