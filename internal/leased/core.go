package leased

import (
	"cmp"
	"time"

	"cactuspost.example/internal/chart"
	"cactuspost.example/internal/structs"
)

// Timing holds the time constants.
type Timing struct {
	// Lease is how long the worker goes on without a sign of the agent.
	Lease time.Duration
	// PollWait is how long a look waits for an end.
	PollWait time.Duration
	// UnresponsiveAfter is how long the worker may not answer before no more is started.
	UnresponsiveAfter time.Duration
}

const (
	// defaultLease leaves room for two looks without an answer in a row, and is
	// over before a caller sends its job again.
	defaultLease = 700 * time.Millisecond
	// defaultPollWait makes three renewals fit into a lease.
	defaultPollWait = 200 * time.Millisecond
	// defaultUnresponsiveAfter is longer than one look with its time limit.
	defaultUnresponsiveAfter = 400 * time.Millisecond
	// maxClockDrift bounds the difference of speed between two steady clocks; the
	// platform's workers may be 2 % slow.
	maxClockDrift = 0.03
	// expiryMargin is for the end of the runs once the lease is over.
	expiryMargin = 60 * time.Millisecond
	// overlapPollAfter is how long a look may be without an answer before another one
	// is sent beside it, and maxConcurrentPolls the number of looks side by side.
	overlapPollAfter   = 50 * time.Millisecond
	maxConcurrentPolls = 3
	// retryInterval is the least time between the beginnings of two attempts of a call:
	// a worker that breaks connections at once is not called in a loop. It is longer
	// than an order's time limit.
	retryInterval = 50 * time.Millisecond
	// refusedRetryInterval is the time between two looks at a worker that accepts no
	// connection.
	refusedRetryInterval = 100 * time.Millisecond
	// runNumberRetention is how long the run numbers of a task are remembered: longer
	// than orders without an answer may stay on the way.
	runNumberRetention = 30 * time.Second
)

func (t Timing) withDefaults() Timing {
	t.Lease = cmp.Or(t.Lease, defaultLease)
	t.PollWait = cmp.Or(t.PollWait, defaultPollWait)
	t.UnresponsiveAfter = cmp.Or(t.UnresponsiveAfter, defaultUnresponsiveAfter)
	return t
}

// Core decides for one life of one worker; see the package comment.
type Core struct {
	timing Timing
	now    time.Time
	state  chart.State

	token    uint64
	lastSeen uint64
	born     int64
	// clock is the worker's clock at workerClockAt, a moment before its answer came.
	workerClock   time.Duration
	workerClockAt time.Time
	// leaseExpiresAt is when everything at the worker has ended if it gets no other
	// sign of the agent than those sent so far.
	leaseExpiresAt time.Time
	answeredAt     time.Time
	// looks counts the looks under way, lastPollAt is when the last one was sent,
	// and pollNow asks for one that doesn't wait.
	pollsInFlight int
	lastPollAt    time.Time
	pollNow       bool
	// nextPollAt is when a worker that has failed a look is tried again.
	nextPollAt time.Time

	runs       map[structs.GrantID]*workerRun
	runsByTask map[string]*workerRun
	lastRuns   map[string]lastRun
	polled     *PollAnswered
	endCause   CallResult
	effects    []Effect
}

// lastRun is the highest number given to a task's runs, and when.
type lastRun struct {
	number uint64
	at     time.Time
}

// New returns a core that has not looked at its worker yet.
// Born is the life of the worker that is meant, if it is known.
func New(t Timing, born int64) *Core {
	return &Core{
		born: born, timing: t.withDefaults(), state: leaseChart.Initial(),
		runs: map[structs.GrantID]*workerRun{}, runsByTask: map[string]*workerRun{}, lastRuns: map[string]lastRun{},
	}
}

// Step handles one message at the given time.
func (c *Core) Step(now time.Time, m Message) {
	c.now = now
	switch m := m.(type) {
	case *Start:
		c.start(&m.Grant)
	case *Stop:
		if r := c.runs[m.Grant]; r != nil {
			c.fireRun(r, runEvents.Stop)
		}
	case *StartAnswered:
		c.startAnswered(m)
	case *StopAnswered:
		c.stopAnswered(m)
	case *PollAnswered:
		c.pollAnswered(m)
	}
}

// Tick does what depends on time alone. Call it several times in a lease.
func (c *Core) Tick(now time.Time) {
	c.now = now
	if !c.leaseExpiresAt.IsZero() && now.After(c.leaseExpiresAt) && len(c.runs) > 0 {
		c.fire(leaseEvents.LeaseExpired)
	}
	for task, last := range c.lastRuns {
		if now.Sub(last.at) > runNumberRetention {
			delete(c.lastRuns, task)
		}
	}
	c.resendStops()
	c.pollIfDue()
}

// Effects returns the effects since the last call.
func (c *Core) Effects() []Effect {
	effects := c.effects
	c.effects = nil
	return effects
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) fire(e chart.Event) { leaseChart.Fire(&c.state, e, c) }

// pollIfDue sends the next look if one is due: a look without an answer would hide
// the ends of runs until its time limit, so another one follows it soon.
func (c *Core) pollIfDue() {
	if c.now.Before(c.nextPollAt) || leaseChart.Final(c.state) {
		return
	}
	overlap := len(c.runs) > 0 && c.now.Sub(c.lastPollAt) >= overlapPollAfter && c.pollsInFlight < maxConcurrentPolls
	if c.pollsInFlight > 0 && !overlap && !c.pollNow {
		return
	}
	poll := &SendPoll{Token: c.token, LastSeen: c.lastSeen}
	if c.state == leaseStates.Held {
		poll.Until = c.extendLease()
		if !c.pollNow {
			poll.Wait = c.timing.PollWait
		}
	}
	c.pollsInFlight++
	c.lastPollAt = c.now
	c.pollNow = false
	c.emit(poll)
}

// extendLease returns the end of a lease that begins now, on the worker's clock,
// and notes when it will have run out.
func (c *Core) extendLease() time.Duration {
	sinceAnswer := c.now.Sub(c.workerClockAt)
	maxDrift := time.Duration(maxClockDrift * float64(sinceAnswer+c.timing.Lease))
	if expiresAt := c.now.Add(c.timing.Lease + maxDrift + expiryMargin); expiresAt.After(c.leaseExpiresAt) {
		c.leaseExpiresAt = expiresAt
	}
	return c.workerClock + sinceAnswer + c.timing.Lease
}

func (c *Core) pollAnswered(m *PollAnswered) {
	c.pollsInFlight--
	c.polled = m
	switch m.Result {
	case Done:
		c.recordAnswer(m.Report.Clock)
		c.runsListed(m)
	case Fenced:
		c.recordAnswer(m.Report.Clock)
		c.tokenRejected()
	case Replaced:
		c.endLease(Replaced)
	case ConnectionRefused:
		c.nextPollAt = c.now.Add(refusedRetryInterval)
		c.fire(leaseEvents.ConnectionRefused)
	default:
		c.nextPollAt = c.lastPollAt.Add(retryInterval)
		c.fire(leaseEvents.Unanswered)
	}
	c.polled = nil
	// Outside of the chart's held state a look returns at once, and the next one
	// waits for the tick, but for the first one under the token.
	if c.state == leaseStates.Held || c.pollNow {
		c.pollIfDue()
	}
}

func (c *Core) recordAnswer(clock time.Duration) {
	c.workerClock = clock
	c.workerClockAt = c.now
	c.answeredAt = c.now
}

func (c *Core) runsListed(m *PollAnswered) {
	if c.born != 0 && m.Report.Born != 0 && m.Report.Born != c.born {
		c.endLease(Replaced)
		return
	}
	c.born = cmp.Or(c.born, m.Report.Born)
	if c.state == leaseStates.ReadingClock {
		c.fire(leaseEvents.ClockRead)
		c.pollNow = true
		return
	}
	c.fire(leaseEvents.Listed)
}

// tokenRejected handles a refusal for the fencing token: expected while the agent has
// none, since its predecessor had one.
func (c *Core) tokenRejected() {
	if c.state == leaseStates.ReadingClock {
		c.fire(leaseEvents.ClockRead)
		c.pollNow = true
		return
	}
	c.endLease(Fenced)
}

func (c *Core) endLease(cause CallResult) {
	c.endCause = cause
	c.fire(leaseEvents.Replaced)
}

// deriveToken takes the fencing token from the worker's clock: it is higher than
// that of any predecessor, who read the same clock before, and the worker
// forgets tokens only when it starts anew.
func (c *Core) deriveToken() { c.token = max(1, uint64(c.workerClock.Milliseconds())) }
