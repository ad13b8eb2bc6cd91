package leased

import (
	"cmp"
	"math"
	"time"

	"cactuspost.example/internal/chart"
	"cactuspost.example/internal/structs"
)

// Timing configures lease renewal and polling. Zero fields select the defaults.
type Timing struct {
	// Lease is how long the worker keeps running tasks without a renewal.
	Lease time.Duration
	// MaxLease is the longest lease that the worker grants to any agent.
	MaxLease time.Duration
	// PollWait is how long the worker may hold a poll open until a run ends.
	PollWait time.Duration
	// UnresponsiveAfter is how long the worker may go without answering before the
	// agent stops starting tasks on it.
	UnresponsiveAfter time.Duration
}

const (
	// defaultLease survives two consecutive unanswered polls and expires before a
	// caller resubmits its job.
	defaultLease = 700 * time.Millisecond
	// defaultMaxLease is the limit of the platform's workers.
	defaultMaxLease = time.Second
	// defaultPollWait lets three renewals fit into one lease.
	defaultPollWait = 200 * time.Millisecond
	// defaultUnresponsiveAfter is longer than one poll including its timeout.
	defaultUnresponsiveAfter = 400 * time.Millisecond
	// maxClockDrift bounds the relative drift between two monotonic clocks; the
	// platform's workers may run 2 % slow.
	maxClockDrift = 0.03
	// expiryMargin is the time allowed for runs to end after the lease has expired.
	expiryMargin = 60 * time.Millisecond
	// overlapPollAfter is how long a poll may go unanswered before another one is
	// sent concurrently. maxConcurrentPolls bounds the polls in flight.
	overlapPollAfter   = 50 * time.Millisecond
	maxConcurrentPolls = 3
	// retryInterval is the minimum time between the starts of two attempts of a
	// call, so that a worker that drops connections at once is not called in a
	// tight loop. It is longer than the timeout of a start or stop request.
	retryInterval = 50 * time.Millisecond
	// refusedRetryInterval is the time between polls of a worker that refuses
	// connections.
	refusedRetryInterval = 100 * time.Millisecond
	// fencingRetryInterval takes its place while a start may be executed late: until its
	// first poll with a token, the worker's next incarnation would execute it.
	fencingRetryInterval = 25 * time.Millisecond
	// stopPatience is how long a stop request may stay unconfirmed before the lease is
	// no longer extended. It allows two attempts; without it, a run whose stop gets no
	// answer would outlive the time after which its task is repeated.
	stopPatience = 100 * time.Millisecond
	// stopOverdueAfter is how long a stop may take until it is reported. It allows for
	// three attempts, and is far below the time after which an entry repeats a task.
	stopOverdueAfter = 150 * time.Millisecond
	// runNumberRetention is how long the last run number of a task is kept. It is
	// longer than an unanswered request can stay in transit.
	runNumberRetention = 30 * time.Second
	// runNumberExamination is the interval at which run numbers are examined.
	runNumberExamination = time.Second
	// bornWeight is how many milliseconds of a worker's clock a millisecond between the
	// starts of two of its lives outweighs in the fencing token.
	bornWeight = 1 << 20
	// maxToken is the highest fencing token, so that a worker may keep it as a signed number.
	maxToken = math.MaxInt64
)

func (t Timing) withDefaults() Timing {
	t.Lease = cmp.Or(t.Lease, defaultLease)
	t.MaxLease = cmp.Or(t.MaxLease, defaultMaxLease)
	t.PollWait = cmp.Or(t.PollWait, defaultPollWait)
	t.UnresponsiveAfter = cmp.Or(t.UnresponsiveAfter, defaultUnresponsiveAfter)
	return t
}

// LongestLease returns how long runs may go on, at most, after the last extension of their
// lease was decided. The lease of a worker is never shortened.
func (t Timing) LongestLease() time.Duration {
	t = t.withDefaults()
	return t.Lease + time.Duration(maxClockDrift*float64(t.Lease+t.UnresponsiveAfter)) + expiryMargin
}

// Core makes the decisions for one incarnation of one worker; see the package
// comment.
type Core struct {
	timing Timing
	now    time.Time
	state  chart.State

	// token is the fencing token; zero until it is derived. It is higher than tokenFloor.
	token      uint64
	tokenFloor uint64
	// tokenStep is by how much the token was raised last, zero if it was not.
	tokenStep uint64
	// lastSeen is the highest serial of an end that was processed.
	lastSeen uint64
	// born is the time of the worker's start in Unix milliseconds, which identifies
	// its incarnation; zero while unknown.
	born int64
	// workerClock is the worker's clock as read shortly before its answer arrived
	// at workerClockAt.
	workerClock   time.Duration
	workerClockAt time.Time
	// leaseExpiresAt is when all runs on the worker will have ended if it
	// receives no renewals beyond those sent so far.
	leaseExpiresAt time.Time
	// bound is the time by which runs must have ended; zero means none.
	bound time.Time
	// answeredAt is when the worker last answered a poll.
	answeredAt time.Time
	// processGoneAt is when a poll last showed that the process that had been there is
	// gone: nothing listens at its address, or another incarnation answers.
	processGoneAt time.Time
	// pollsInFlight counts the unanswered polls, lastPollAt is when the last one
	// was sent, and pollNow requests one that the worker answers without waiting.
	pollsInFlight int
	lastPollAt    time.Time
	pollNow       bool
	// nextPollAt is the earliest time of the next poll after a failed one.
	nextPollAt time.Time

	runs       map[structs.GrantID]*workerRun
	runsByTask map[string]*workerRun
	lastRuns   map[string]lastRun
	// startUnansweredAt is when a start request last got no answer.
	startUnansweredAt time.Time
	// numbersExaminedAt is when lastRuns was last examined.
	numbersExaminedAt time.Time
	// foreignRuns holds the runs that the worker lists and this agent did not request
	// or has reported, with the time at which each was first listed.
	foreignRuns map[RunID]time.Time
	// pollAnswer is the poll answer being handled, nil otherwise.
	pollAnswer *PollAnswered
	// endCause is why the lease has ended.
	endCause CallResult
	effects  []Effect
}

// lastRun is the highest run number assigned to a task and when it was assigned.
type lastRun struct {
	number uint64
	at     time.Time
}

// New returns a Core that has not polled its worker yet. born identifies the
// expected incarnation of the worker; zero means that it is not known.
func New(t Timing, born int64) *Core {
	return &Core{
		born: born, timing: t.withDefaults(), state: leaseChart.Initial(),
		runs: map[structs.GrantID]*workerRun{}, runsByTask: map[string]*workerRun{}, lastRuns: map[string]lastRun{},
		foreignRuns: map[RunID]time.Time{},
	}
}

// SetTokenFloor sets a token that an earlier agent has used at a worker of this id. It must
// be called before the first Tick.
func (c *Core) SetTokenFloor(floor uint64) { c.tokenFloor = floor }

// Token returns the fencing token, zero if there is none yet.
func (c *Core) Token() uint64 { return c.token }

// Step handles one message at the given time.
func (c *Core) Step(now time.Time, m Message) {
	c.now = now
	switch m := m.(type) {
	case *Start:
		c.handleStart(&m.Grant)
	case *Stop:
		if r := c.runs[m.Grant]; r != nil {
			c.fireRun(r, runEvents.Stop)
		}
	case *Bound:
		c.bound = m.At
	case *StartAnswered:
		c.handleStartAnswered(m)
	case *StopAnswered:
		c.handleStopAnswered(m)
	case *PollAnswered:
		c.handlePollAnswered(m)
	}
}

// Tick handles everything that depends on time alone. It must be called several
// times per lease.
func (c *Core) Tick(now time.Time) {
	c.now = now
	if c.leaseExpired() {
		c.fireLease(leaseEvents.LeaseExpired)
	}
	c.forgetRunNumbers()
	c.resendStops()
	c.reportOverdueStops()
	c.pollIfDue()
}

// forgetRunNumbers deletes the run numbers that are no longer needed. A busy worker has
// hundreds of them, so they are examined only now and then.
func (c *Core) forgetRunNumbers() {
	if c.now.Sub(c.numbersExaminedAt) < runNumberExamination {
		return
	}
	c.numbersExaminedAt = c.now
	for task, last := range c.lastRuns {
		if c.now.Sub(last.at) > runNumberRetention {
			delete(c.lastRuns, task)
		}
	}
}

// Effects returns the effects collected since the last call.
func (c *Core) Effects() []Effect {
	effects := c.effects
	c.effects = nil
	return effects
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) fireLease(e chart.Event) { leaseChart.Fire(&c.state, e, c) }

// leaseExpired reports whether the lease has expired on a worker with runs, on one that
// another agent has taken over, or on one whose new incarnation is fenced.
func (c *Core) leaseExpired() bool {
	matters := len(c.runs) > 0 || c.state == leaseStates.Overtaken || c.state == leaseStates.Fencing
	return !c.leaseExpiresAt.IsZero() && c.now.After(c.leaseExpiresAt) && matters
}

// pollIfDue sends the next poll if one is due. While runs are active, an unanswered
// poll is soon followed by another one; otherwise it would hide the ends of runs
// until its timeout. So is one that fences a new incarnation.
func (c *Core) pollIfDue() {
	if c.now.Before(c.nextPollAt) || c.state == leaseStates.Overtaken || leaseChart.Final(c.state) {
		return
	}
	overlap := (len(c.runs) > 0 || c.state == leaseStates.Fencing) && c.now.Sub(c.lastPollAt) >= overlapPollAfter && c.pollsInFlight < maxConcurrentPolls
	if c.pollsInFlight > 0 && !overlap && !c.pollNow {
		return
	}
	poll := &SendPoll{Token: c.token, LastSeen: c.lastSeen}
	if c.state == leaseStates.Held {
		poll.Until, _ = c.extendLease()
		if !c.pollNow {
			poll.Wait = c.timing.PollWait
		}
	}
	c.pollsInFlight++
	c.lastPollAt = c.now
	c.pollNow = false
	c.emit(poll)
}

// beginLease begins this agent's lease on a worker without foreign runs. A lease never
// shortens, so one that was given before may outlast those that follow.
func (c *Core) beginLease() {
	c.foreignRuns = map[RunID]time.Time{}
	c.leaseExpiresAt = c.longestForeignLease()
}

// awaitForeignLease postpones the end of the lease of this agent's runs on a worker that
// another agent has taken over, which may have extended it until now.
func (c *Core) awaitForeignLease() {
	if at := c.longestForeignLease(); len(c.runs) > 0 && at.After(c.leaseExpiresAt) {
		c.leaseExpiresAt = at
	}
}

// longestForeignLease returns when the lease has expired of whatever runs on the worker now.
func (c *Core) longestForeignLease() time.Time {
	return c.now.Add(c.timing.MaxLease + c.maxDrift(c.timing.MaxLease) + expiryMargin)
}

// maxDrift returns how much longer the given time on the worker's clock may take on
// this machine's.
func (c *Core) maxDrift(d time.Duration) time.Duration {
	return time.Duration(maxClockDrift * float64(d))
}

// extendLease returns the expiry, on the worker's clock, of a lease that begins now,
// and updates leaseExpiresAt to match. It returns false if the lease must not be
// extended, because a run has not been stopped in time.
func (c *Core) extendLease() (time.Duration, bool) {
	lease := min(c.timing.Lease, c.longestLease())
	if lease <= 0 {
		return 0, false
	}
	sinceAnswer := c.now.Sub(c.workerClockAt)
	if expiresAt := c.now.Add(lease + c.maxDrift(sinceAnswer+lease) + expiryMargin); expiresAt.After(c.leaseExpiresAt) {
		c.leaseExpiresAt = expiresAt
	}
	return c.workerClock + sinceAnswer + lease, true
}

// longestLease returns the longest lease that may begin now. The lease holds for all
// runs on the worker, so it must expire soon after the stop of one of them was first
// requested, unless the end of that run is known, and by the bound of all runs.
func (c *Core) longestLease() time.Duration {
	longest := c.timing.Lease
	if !c.bound.IsZero() {
		left := c.bound.Sub(c.now) - expiryMargin - c.maxDrift(c.now.Sub(c.workerClockAt))
		longest = min(longest, time.Duration(float64(left)/(1+maxClockDrift)))
	}
	limitFrom := func(stopRequestedAt time.Time) {
		if !stopRequestedAt.IsZero() {
			longest = min(longest, stopPatience+c.timing.Lease-c.now.Sub(stopRequestedAt))
		}
	}
	for _, r := range c.runs {
		limitFrom(r.stopAskedAt)
	}
	for _, at := range c.foreignRuns {
		limitFrom(at)
	}
	return longest
}

func (c *Core) handlePollAnswered(m *PollAnswered) {
	c.pollsInFlight--
	if m.Token != c.token && (c.state == leaseStates.Fencing || m.Result == Fenced) {
		return // an answer to an earlier token says nothing of the present one
	}
	c.pollAnswer = m
	switch m.Result {
	case Done:
		c.recordAnswer(m.Report.Clock)
		c.handleReport(m)
	case Fenced:
		c.born = cmp.Or(c.born, m.Report.Born)
		c.recordAnswer(m.Report.Clock)
		c.handleTokenRejected()
	case Replaced:
		c.handleReplaced()
	case ConnectionRefused:
		c.processGoneAt = c.now
		c.nextPollAt = c.now.Add(c.refusedInterval())
		c.fireLease(leaseEvents.ConnectionRefused)
	default:
		c.nextPollAt = c.lastPollAt.Add(retryInterval)
		c.fireLease(leaseEvents.Unanswered)
	}
	c.pollAnswer = nil
	// Outside the held state, polls are answered at once, so the next one waits for
	// the tick. The first poll that carries the fencing token is sent immediately.
	if c.state == leaseStates.Held || c.pollNow {
		c.pollIfDue()
	}
}

// refusedInterval returns the time until the next poll of a worker that refuses connections.
func (c *Core) refusedInterval() time.Duration {
	if !c.startUnansweredAt.IsZero() && c.now.Sub(c.startUnansweredAt) < runNumberRetention {
		return fencingRetryInterval
	}
	return refusedRetryInterval
}

func (c *Core) recordAnswer(clock time.Duration) {
	c.workerClock = clock
	c.workerClockAt = c.now
	c.answeredAt = c.now
}

func (c *Core) handleReport(m *PollAnswered) {
	if c.born != 0 && m.Report.Born != 0 && m.Report.Born != c.born {
		c.handleReborn(m.Report.Born)
		return
	}
	c.born = cmp.Or(c.born, m.Report.Born)
	if c.state == leaseStates.ReadingClock {
		c.fireLease(leaseEvents.ClockRead)
		c.pollNow = true
		return
	}
	c.fireLease(leaseEvents.RunsListed)
}

// handleTokenRejected handles an answer that rejects the fencing token.
func (c *Core) handleTokenRejected() {
	c.endCause = Fenced
	if c.token > 0 {
		c.emit(&TokenRejected{Token: c.token, State: leaseChart.StateName(c.state)})
	}
	// The first poll that carries the token follows at once.
	c.pollNow = c.state == leaseStates.ReadingClock
	c.fireLease(leaseEvents.TokenRejected)
}

// handleReplaced handles an answer of another incarnation of the worker.
func (c *Core) handleReplaced() {
	c.processGoneAt = c.now
	c.endCause = Replaced
	c.fireLease(leaseEvents.Replaced)
}

// handleReborn handles an answer of another incarnation under the worker's id. It has seen
// no stop and no token of this agent's, so it would execute starts of the earlier incarnation
// that were left unanswered there, and whose tasks run elsewhere by now. Answers may overtake
// each other, so one of an earlier incarnation changes nothing while a later one is fenced.
func (c *Core) handleReborn(born int64) {
	if c.state == leaseStates.Fencing && born < c.born {
		return
	}
	c.processGoneAt = c.now
	c.endCause = Replaced
	c.born = born
	c.tokenFloor = max(c.tokenFloor, c.token)
	c.lastSeen = 0
	c.nextPollAt = time.Time{}
	c.pollNow = true
	c.leaseExpiresAt = c.longestForeignLease()
	c.fireLease(leaseEvents.Reborn)
}

// forgetRuns drops all runs without a report: the worker's new incarnation may execute the
// last starts. Entries learn from the next agent that the runs are lost.
func (c *Core) forgetRuns() {
	c.runs, c.runsByTask = map[structs.GrantID]*workerRun{}, map[string]*workerRun{}
}

func (c *Core) tenure() structs.Tenure { return structs.Tenure{Born: c.born, Token: c.token} }

// deriveToken derives the fencing token from the time of the worker's start and its
// clock. The token is higher than that of any previous agent of this life, which read the
// same clock earlier, and than the tokens of earlier lives: a call of one of these that is
// executed late must neither start a task nor fence this agent off. The floor covers a time
// of day that has gone back between two lives.
func (c *Core) deriveToken() {
	c.tokenStep = 0
	c.takeToken(max(tokenAt(c.born, c.workerClock), c.tokenFloor+1))
}

// tokenAt returns the fencing token of an agent that reads the given clock of a worker
// born at the given Unix millisecond. The clock of a life may begin anywhere, so the times of
// the starts outweigh it.
func tokenAt(born int64, clock time.Duration) uint64 {
	born = min(max(born, 0), maxToken/bornWeight)
	return min(uint64(born)*bornWeight+uint64(max(clock.Milliseconds(), 1)), maxToken)
}

// canRaiseToken reports whether a rejected token may be raised. The agent may have heard of
// an earlier life only, and its calls must not outrank the agents of the present one; so it
// ends, and one that begins with the worker's next announcement may raise the token if an
// earlier agent of the process had one of the same start.
func (c *Core) canRaiseToken() bool {
	return c.tokenFloor >= tokenAt(c.born, 0) && c.token < maxToken
}

// raiseToken takes a higher token in place of one that the worker rejected. The worker does
// not tell which one it knows, so each step is twice as long as the one before, and the first
// goes up to the present time.
func (c *Core) raiseToken() {
	c.tokenFloor = c.token
	c.tokenStep = max(bornWeight, 2*c.tokenStep)
	raised := c.token + min(c.tokenStep, maxToken-c.token)
	c.takeToken(max(raised, tokenAt(c.now.UnixMilli(), c.workerClock)))
	c.pollNow = true
}

func (c *Core) takeToken(token uint64) {
	c.token = token
	c.emit(&TokenDerived{Token: c.token, Floor: c.tokenFloor, Born: c.born, Clock: c.workerClock})
}
