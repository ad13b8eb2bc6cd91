package measure

import (
	"math"
	"math/rand/v2"
	"time"

	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/structs"
)

// Deployment is a set of workers of one service, with the entries before it.
type Deployment struct {
	Name string
	// OneWay is the delay of a message between an entry and an agent.
	OneWay  time.Duration
	Entries int
	Slots   int
	// Slowness has the run time of each worker relative to the fastest one.
	Slowness []float64
}

const (
	// workerCount and slotCount are those of both services of the brief.
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

// capacity is the run time on the fastest worker that the workers complete per
// unit of time.
func (d *Deployment) capacity() float64 {
	sum := 0.0
	for _, slowness := range d.Slowness {
		sum += float64(d.Slots) / slowness
	}
	return sum
}

// roundTrip is the time from an entry to an agent and back.
func (d *Deployment) roundTrip() time.Duration { return 2 * d.OneWay }

// job is one arrival of the load, with what became of it.
type job struct {
	at      time.Duration
	team    string
	service string
	entry   int
	// id is set by the chosen policy.
	id    structs.JobID
	tasks []task
	// answered is when the entry had the answer for the caller; zero means that
	// the caller got none.
	answered time.Duration
	complete bool
	// failure is the answer of a job that was refused or has failed.
	failure *failure.Failure
}

// task is one task of the load, with what became of it.
type task struct {
	kind     string
	declared time.Duration
	// work is the run time on the fastest worker.
	work time.Duration
	// worker, started and finished are set by the run; finished is when the
	// entry has the result. Zero means not yet.
	worker   int
	started  time.Duration
	finished time.Duration
	starts   int
}

// kind is a class of tasks with like run times.
type kind struct {
	name string
	// share is the part of all jobs that are of this kind.
	share       float64
	least, most time.Duration
	largest     int
}

// stragglerShare is the part of the tasks that run many times longer than
// their kind, by up to stragglerFactor.
const (
	stragglerShare  = 0.002
	stragglerFactor = 30
)

// usualKinds is the mix of the brief: 50 ms to 1 s mostly, some of several
// seconds. Jobs have up to largest tasks.
func usualKinds() []kind {
	return []kind{
		{name: "check", share: 0.45, least: 50 * time.Millisecond, most: 250 * time.Millisecond, largest: 1},
		{name: "quote", share: 0.30, least: 100 * time.Millisecond, most: 500 * time.Millisecond, largest: 8},
		{name: "estimate", share: 0.22, least: 200 * time.Millisecond, most: time.Second, largest: 20},
		{name: "survey", share: 0.03, least: 2 * time.Second, most: 6 * time.Second, largest: 4},
	}
}

// source draws the jobs of a load from a seed.
type source struct {
	rng     *rand.Rand
	kinds   []kind
	entries int
}

func newSource(seed uint64, d *Deployment, kinds []kind) *source {
	return &source{rng: rand.New(rand.NewPCG(seed, 1)), kinds: kinds, entries: d.Entries}
}

func (s *source) job(at time.Duration, team string) *job {
	k := s.pickKind()
	j := &job{at: at, team: team, service: serviceName, entry: s.rng.IntN(s.entries)}
	for range 1 + s.rng.IntN(k.largest) {
		j.tasks = append(j.tasks, s.task(k))
	}
	return j
}

func (s *source) pickKind() kind {
	x := s.rng.Float64()
	for _, k := range s.kinds {
		if x < k.share {
			return k
		}
		x -= k.share
	}
	return s.kinds[0]
}

func (s *source) task(k kind) task {
	ratio := float64(k.most) / float64(k.least)
	work := float64(k.least) * math.Pow(ratio, s.rng.Float64())
	if s.rng.Float64() < stragglerShare {
		work *= 1 + (stragglerFactor-1)*s.rng.Float64()
	}
	return task{kind: k.name, declared: time.Duration(work), work: time.Duration(work)}
}

// meanWork estimates the run time of a job on the fastest worker.
func meanWork(kinds []kind) time.Duration {
	const draws = 20_000
	s := newSource(0, &Deployment{Entries: 1}, kinds)
	var sum time.Duration
	for range draws {
		sum += workOf(s.job(0, ""))
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

// phase is a part of a load with one rate of arrivals.
type phase struct {
	length time.Duration
	// load is the demand relative to the capacity.
	load float64
}

// draw returns the arrivals of the phases at their planned times. Within a
// phase the rate alternates about its mean, so that demand comes in bursts.
func (s *source) draw(d *Deployment, teams []string, phases []phase) []*job {
	var jobs []*job
	mean := meanWork(s.kinds).Seconds()
	start := time.Duration(0)
	for _, p := range phases {
		rate := p.load * d.capacity() / mean
		end := start + p.length
		for at := s.next(start, rate); at < end; at = s.next(at, rate) {
			jobs = append(jobs, s.job(at, teams[s.rng.IntN(len(teams))]))
		}
		start = end
	}
	return jobs
}

const (
	// burstPeriod is the time from one burst to the next, burstSwing the part
	// by which the rate rises in its first half and falls in the second.
	burstPeriod = 10 * time.Second
	burstSwing  = 0.25
)

func (s *source) next(at time.Duration, rate float64) time.Duration {
	if at%burstPeriod < burstPeriod/2 {
		rate *= 1 + burstSwing
	} else {
		rate *= 1 - burstSwing
	}
	return at + time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second))
}

// cloneJobs returns the same arrivals without what became of them.
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
