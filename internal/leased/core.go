package leased

import (
	"cmp"
	"time"

	"cactuspost.example/internal/chart"
	"cactuspost.example/internal/structs"
)

// Tuning holds the time constants.
type Tuning struct {
	// Lease is how long the worker goes on without a sign of the agent.
	Lease time.Duration
	// Wait is how long a look waits for an end.
	Wait time.Duration
	// Patience is how long the worker may not answer before no more is started.
	Patience time.Duration
}

const (
	// defaultLease leaves room for two looks without an answer in a row, and is
	// over before a caller sends its job again.
	defaultLease = 700 * time.Millisecond
	// defaultWait makes three renewals fit into a lease.
	defaultWait = 200 * time.Millisecond
	// defaultPatience is longer than one look with its time limit.
	defaultPatience = 400 * time.Millisecond
	// clockError bounds the difference of speed between two steady clocks; the
	// platform's workers may be 2 % slow.
	clockError = 0.03
	// lapseMargin is for the end of the runs once the lease is over.
	lapseMargin = 60 * time.Millisecond
	// overtakeAfter is how long a look may be without an answer before another one
	// is sent beside it, and maxLooks the number of looks side by side.
	overtakeAfter = 50 * time.Millisecond
	maxLooks      = 3
	// retryPause is the least time between the beginnings of two attempts of a call:
	// a worker that breaks connections at once is not called in a loop. It is longer
	// than an order's time limit.
	retryPause = 50 * time.Millisecond
	// refusedPause is the time between two looks at a worker that accepts no
	// connection.
	refusedPause = 100 * time.Millisecond
	// numberMemory is how long the run numbers of a task are remembered: longer
	// than orders without an answer may stay on the way.
	numberMemory = 30 * time.Second
)

func (t Tuning) withDefaults() Tuning {
	t.Lease = cmp.Or(t.Lease, defaultLease)
	t.Wait = cmp.Or(t.Wait, defaultWait)
	t.Patience = cmp.Or(t.Patience, defaultPatience)
	return t
}

// Core decides for one life of one worker; see the package comment.
type Core struct {
	tuning Tuning
	now    time.Time
	state  chart.State

	token    uint64
	lastSeen uint64
	born     int64
	// clock is the worker's clock at clockAt, a moment before its answer came.
	clock   time.Duration
	clockAt time.Time
	// lapsesAt is when everything at the worker has ended if it gets no other
	// sign of the agent than those sent so far.
	lapsesAt   time.Time
	answeredAt time.Time
	// looks counts the looks under way, lookedAt is when the last one was sent,
	// and lookNow asks for one that doesn't wait.
	looks    int
	lookedAt time.Time
	lookNow  bool
	// lookAt is when a worker that has failed a look is tried again.
	lookAt time.Time

	orders  map[structs.GrantID]*order
	byTask  map[string]*order
	numbers map[string]lastRun
	report  *Looked
	cause   Verdict
	effects []Effect
}

// lastRun is the highest number given to a task's runs, and when.
type lastRun struct {
	number uint64
	at     time.Time
}

// New returns a core that has not looked at its worker yet.
// Born is the life of the worker that is meant, if it is known.
func New(t Tuning, born int64) *Core {
	return &Core{
		born: born, tuning: t.withDefaults(), state: tenureChart.Initial(),
		orders: map[structs.GrantID]*order{}, byTask: map[string]*order{}, numbers: map[string]lastRun{},
	}
}

// Step handles one message at the given time.
func (c *Core) Step(now time.Time, m Message) {
	c.now = now
	switch m := m.(type) {
	case *Start:
		c.start(&m.Grant)
	case *Stop:
		if o := c.orders[m.Grant]; o != nil {
			c.fireOrder(o, orderEvents.Stop)
		}
	case *StartAnswered:
		c.startAnswered(m)
	case *StopAnswered:
		c.stopAnswered(m)
	case *Looked:
		c.looked(m)
	}
}

// Tick does what depends on time alone. Call it several times in a lease.
func (c *Core) Tick(now time.Time) {
	c.now = now
	if !c.lapsesAt.IsZero() && now.After(c.lapsesAt) && len(c.orders) > 0 {
		c.fire(tenureEvents.Lapsed)
	}
	for task, last := range c.numbers {
		if now.Sub(last.at) > numberMemory {
			delete(c.numbers, task)
		}
	}
	c.repeatStops()
	c.look()
}

// Effects returns the effects since the last call.
func (c *Core) Effects() []Effect {
	effects := c.effects
	c.effects = nil
	return effects
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) fire(e chart.Event) { tenureChart.Fire(&c.state, e, c) }

// look sends the next look if one is due: a look without an answer would hide
// the ends of runs until its time limit, so another one follows it soon.
func (c *Core) look() {
	if c.now.Before(c.lookAt) || tenureChart.Final(c.state) {
		return
	}
	overtake := len(c.orders) > 0 && c.now.Sub(c.lookedAt) >= overtakeAfter && c.looks < maxLooks
	if c.looks > 0 && !overtake && !c.lookNow {
		return
	}
	look := &Look{Token: c.token, LastSeen: c.lastSeen}
	if c.state == tenureStates.Held {
		look.Until = c.leaseEnd()
		if !c.lookNow {
			look.Wait = c.tuning.Wait
		}
	}
	c.looks++
	c.lookedAt = c.now
	c.lookNow = false
	c.emit(look)
}

// leaseEnd returns the end of a lease that begins now, on the worker's clock,
// and notes when it will have run out.
func (c *Core) leaseEnd() time.Duration {
	sinceAnswer := c.now.Sub(c.clockAt)
	spread := time.Duration(clockError * float64(sinceAnswer+c.tuning.Lease))
	if lapses := c.now.Add(c.tuning.Lease + spread + lapseMargin); lapses.After(c.lapsesAt) {
		c.lapsesAt = lapses
	}
	return c.clock + sinceAnswer + c.tuning.Lease
}

func (c *Core) looked(m *Looked) {
	c.looks--
	c.report = m
	switch m.Verdict {
	case Done:
		c.heard(m.Report.Clock)
		c.listed(m)
	case Fenced:
		c.heard(m.Report.Clock)
		c.fenced()
	case Replaced:
		c.over(Replaced)
	case Unreached:
		c.lookAt = c.now.Add(refusedPause)
		c.fire(tenureEvents.Refused)
	default:
		c.lookAt = c.lookedAt.Add(retryPause)
		c.fire(tenureEvents.Unanswered)
	}
	c.report = nil
	// Outside of the chart's held state a look returns at once, and the next one
	// waits for the tick, but for the first one under the token.
	if c.state == tenureStates.Held || c.lookNow {
		c.look()
	}
}

func (c *Core) heard(clock time.Duration) {
	c.clock = clock
	c.clockAt = c.now
	c.answeredAt = c.now
}

func (c *Core) listed(m *Looked) {
	if c.born != 0 && m.Report.Born != 0 && m.Report.Born != c.born {
		c.over(Replaced)
		return
	}
	c.born = cmp.Or(c.born, m.Report.Born)
	if c.state == tenureStates.Claiming {
		c.fire(tenureEvents.ClockRead)
		c.lookNow = true
		return
	}
	c.fire(tenureEvents.Listed)
}

// fenced handles a refusal for the fencing token: expected while the agent has
// none, since its predecessor had one.
func (c *Core) fenced() {
	if c.state == tenureStates.Claiming {
		c.fire(tenureEvents.ClockRead)
		c.lookNow = true
		return
	}
	c.over(Fenced)
}

func (c *Core) over(cause Verdict) {
	c.cause = cause
	c.fire(tenureEvents.Replaced)
}

// takeToken takes the fencing token from the worker's clock: it is higher than
// that of any predecessor, who read the same clock before, and the worker
// forgets tokens only when it starts anew.
func (c *Core) takeToken() { c.token = max(1, uint64(c.clock.Milliseconds())) }
