package leased

// hasStrangers reports whether runs are listed that this agent did not order.
func (c *Core) hasStrangers() bool {
	for _, run := range c.report.Report.Running {
		if !c.owns(run) {
			return true
		}
	}
	return false
}

func (c *Core) owns(run RunID) bool {
	o := c.byTask[run.Task]
	return o != nil && o.run == run
}

func (c *Core) stopStrangers() {
	c.noteEnds()
	for _, run := range c.report.Report.Running {
		if !c.owns(run) {
			c.emit(&SendStop{Run: run, Token: c.token})
		}
	}
}

// noteEnds passes the listed ends to the orders that they are of.
func (c *Core) noteEnds() {
	for _, end := range c.report.Report.Ended {
		if end.Serial <= c.lastSeen {
			continue
		}
		c.lastSeen = end.Serial
		if c.owns(end.Run) {
			o := c.byTask[end.Run.Task]
			o.how = end.How
			c.fireOrder(o, orderEvents.Listed)
		}
	}
}

// reconcile applies the worker's lists. A run that is in neither, although the
// look began after the last order about it was answered, is not there.
func (c *Core) reconcile() {
	c.noteEnds()
	running := map[RunID]bool{}
	for _, run := range c.report.Report.Running {
		running[run] = true
	}
	for _, o := range c.sortedOrders(allOrders) {
		if !running[o.run] && c.report.Began.After(o.answeredAt) {
			c.fireOrder(o, orderEvents.Missing)
		}
	}
}

func (c *Core) unheardForLong() bool { return c.now.Sub(c.answeredAt) > c.tuning.Patience }

func (c *Core) loseOrders() {
	for _, o := range c.sortedOrders(allOrders) {
		c.fireOrder(o, orderEvents.Lapsed)
	}
}
