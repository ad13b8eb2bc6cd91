package leased

import (
	"cmp"
	"slices"
	"time"

	"cactuspost.example/internal/chart"
	"cactuspost.example/internal/structs"
)

// order is one run that the agent has ordered and whose end it has not
// reported.
type order struct {
	grant structs.GrantID
	run   RunID
	state chart.State
	// until is the lease of the start order on the worker's clock.
	until     time.Duration
	startedAt time.Time
	// answeredAt is when the last order about the run was answered.
	answeredAt time.Time
	verdict    Verdict
	how        How
	// stoppedAt is when the last stop order was sent, stopAt when the next one is
	// due; zero means none.
	stoppedAt time.Time
	stopAt    time.Time
}

func (c *Core) fireOrder(o *order, e chart.Event) {
	orderChart.Fire(&o.state, e, orderStep{core: c, order: o})
	if orderChart.Final(o.state) {
		delete(c.orders, o.grant)
		if c.byTask[o.run.Task] == o {
			delete(c.byTask, o.run.Task)
		}
	}
}

// start orders a run, unless another run of the task may still be there or the
// worker takes no orders.
func (c *Core) start(g *structs.Grant) {
	if c.state != tenureStates.Held || c.byTask[g.Name] != nil {
		c.emit(&Exited{Grant: g.ID, Task: g.Name, Outcome: structs.NotSent, Full: true, Detail: "the worker takes no start of the task"})
		return
	}
	number := max(uint64(g.ID.Attempt), c.numbers[g.Name].number+1)
	c.numbers[g.Name] = lastRun{number: number, at: c.now}
	o := &order{
		grant: g.ID, run: RunID{Task: g.Name, Number: number}, state: orderChart.Initial(),
		until: c.leaseEnd(), startedAt: c.now, answeredAt: c.now,
	}
	c.orders[g.ID] = o
	c.byTask[g.Name] = o
	c.emit(&SendStart{Run: o.run, Payload: g.Payload, Token: c.token, Until: o.until})
}

func (c *Core) startAnswered(m *StartAnswered) {
	if !c.owns(m.Run) {
		return
	}
	o := c.byTask[m.Run.Task]
	o.verdict = m.Verdict
	o.answeredAt = c.now
	switch m.Verdict {
	case Done:
		c.fireOrder(o, orderEvents.Accepted)
	case Unanswered:
		c.fireOrder(o, orderEvents.Unanswered)
	case Fenced, Replaced:
		c.fireOrder(o, orderEvents.Rejected)
		c.over(m.Verdict)
	default:
		c.fireOrder(o, orderEvents.Rejected)
	}
}

func (c *Core) stopAnswered(m *StopAnswered) {
	if !c.owns(m.Run) {
		return
	}
	o := c.byTask[m.Run.Task]
	o.answeredAt = c.now
	if m.Verdict == Done || m.Verdict == Outdated {
		c.lookNow = true
		c.fireOrder(o, orderEvents.Stopped)
		c.look()
		return
	}
	c.fireOrder(o, orderEvents.StopLost)
}

// startExpired reports whether a start order that is still on the way would be
// refused by the worker as late.
func (c *Core) startExpired(o *order) bool {
	elapsed := c.now.Sub(c.clockAt)
	return c.clock+time.Duration((1-clockError)*float64(elapsed)) > o.until
}

func (c *Core) sendStop(o *order) {
	o.stoppedAt = c.now
	o.stopAt = time.Time{}
	c.emit(&SendStop{Run: o.run, Token: c.token})
}

// scheduleStop repeats a stop order: at once if the last one took its whole time.
func (c *Core) scheduleStop(o *order) { o.stopAt = o.stoppedAt.Add(retryPause) }

// repeatStops sends the stop orders that are due.
func (c *Core) repeatStops() {
	for _, o := range c.sortedOrders(func(o *order) bool { return !o.stopAt.IsZero() && !c.now.Before(o.stopAt) }) {
		c.fireOrder(o, orderEvents.StopDue)
	}
}

func (c *Core) reportEnd(o *order) {
	outcome := structs.Lost
	switch o.how {
	case Completed:
		outcome = structs.Succeeded
	case Failed:
		outcome = structs.Errored
	case Halted:
		outcome = structs.Stopped
	}
	c.emit(&Exited{Grant: o.grant, Task: o.run.Task, Outcome: outcome, RunTime: c.now.Sub(o.startedAt)})
}

func (c *Core) reportRejected(o *order) {
	full := o.verdict == Full || o.verdict == Late || o.verdict == Outdated
	c.emit(&Exited{Grant: o.grant, Task: o.run.Task, Outcome: structs.NotSent, Full: full, Detail: o.verdict.String()})
}

func (c *Core) reportUnstarted(o *order) {
	c.emit(&Exited{Grant: o.grant, Task: o.run.Task, Outcome: structs.NotSent, Detail: "the start order was revoked"})
}

func (c *Core) reportLost(o *order) {
	c.emit(&Exited{Grant: o.grant, Task: o.run.Task, Outcome: structs.Lost, RunTime: c.now.Sub(o.startedAt)})
}

// allOrders picks every order.
func allOrders(*order) bool { return true }

// sortedOrders returns the picked orders by task, so that a run is repeatable.
func (c *Core) sortedOrders(pick func(*order) bool) []*order {
	var orders []*order
	for _, o := range c.byTask {
		if pick(o) {
			orders = append(orders, o)
		}
	}
	slices.SortFunc(orders, func(a, b *order) int { return cmp.Compare(a.run.Task, b.run.Task) })
	return orders
}
