package dispatch

import (
	"time"

	"cactuspost.example/internal/structs"
)

// handleResults handles the results in an agent's message. Results of grants that
// are no longer held are acknowledged and otherwise ignored.
func (c *Core) handleResults(s *session, results []structs.Result) {
	for i := range results {
		r := &results[i]
		c.stats.Messages.Results++
		c.acknowledge(s, r.Grant)
		t := s.granted[r.Grant]
		if t == nil {
			continue
		}
		if r.WorkerCrashed {
			c.countCrash(t)
		}
		c.recordOutcome(s, t, r)
		if r.Outcome == structs.Succeeded {
			c.fireTask(t, taskEvents.Succeeded, nil, r)
		} else {
			c.fireTask(t, taskEvents.Errored, nil, r)
		}
	}
}

// acknowledge queues the acknowledgement of a result.
func (c *Core) acknowledge(s *session, id structs.GrantID) {
	m := s.outgoingMessage()
	if len(m.Acks) == 0 {
		s.firstAckAt = c.now
	}
	m.Acks = append(m.Acks, id)
}

// recordOutcome corrects the team's charged slot time by the actual run time, and
// updates the run time estimate of the kind and the worker's health and speed.
func (c *Core) recordOutcome(s *session, t *task, r *structs.Result) {
	if r.Outcome == structs.Succeeded || !c.mayRepeat(t, r) {
		t.payload = nil // the task won't be granted again
	}
	t.lane.adjustUsage(r.RunTime*time.Duration(t.slots) - t.cost)
	switch r.Outcome {
	case structs.Succeeded:
		c.recordTaskResult(s, t, r)
		s.learnSlowness(t.kind, r.RunTime)
		t.kind.observe(r.RunTime)
		c.fireHealth(s, healthEvents.Succeeded)
	case structs.Errored, structs.Lost:
		c.fireHealth(s, healthEvents.Failed)
	default:
		c.fireHealth(s, healthEvents.Returned)
	}
}

func (c *Core) handleRefusals(s *session, refusals []structs.Refusal) {
	s.refusedSlots = 0
	for _, r := range refusals {
		c.stats.Messages.Refusals++
		t := s.granted[r.Grant]
		if t == nil {
			continue
		}
		if r.Reason == structs.NoRoom && (s.refusedSlots == 0 || t.slots < s.refusedSlots) {
			s.refusedSlots = t.slots
		}
		c.applyRefusal(s, t, r.Reason)
		c.fireTask(t, taskEvents.Refused, nil, nil)
	}
}

// applyRefusal updates the worker's state for a grant that its agent refused.
func (c *Core) applyRefusal(s *session, t *task, reason structs.RefusalReason) {
	switch reason {
	case structs.NoRoom:
		c.recordRefusedTry(s, t)
		c.fireHealth(s, healthEvents.Returned)
		return
	case structs.Unconfirmed:
		t.unconfirmedAt = s
		if !t.queuedAtAgent {
			s.credits.add(t.reserved, t.slots) // the agent did not deduct the credits
		}
		c.fireHealth(s, healthEvents.Returned)
		return
	}
	// A queued grant that was cancelled by this entry says nothing about the
	// agent.
	if t.queuedAtAgent && t.state == taskStates.Granted {
		s.queuePausedUntil = c.now.Add(queueRetryDelay)
	}
	if t.mustNotWait {
		c.recordRefusedTry(s, t)
	}
	switch reason {
	case structs.QueueFull:
		c.fireHealth(s, healthEvents.Returned)
	case structs.EndpointUnreachable:
		t.avoidedWorker = s
		c.fireHealth(s, healthEvents.Failed)
	case structs.EndpointFull:
		c.fireHealth(s, healthEvents.Returned)
	default:
		// The agent did not deduct the credit of a grant that it refused on
		// arrival.
		if !t.queuedAtAgent {
			s.credits.add(t.reserved, t.slots)
		}
		c.fireHealth(s, healthEvents.Returned)
	}
}

// handleStarts handles the agent's reports that queued grants have started.
func (c *Core) handleStarts(s *session, started []structs.GrantID) {
	for _, id := range started {
		if t := s.granted[id]; t != nil {
			t.leaveAgentQueue()
			t.grantedAt = c.now
			c.fireJob(t.job, jobEvents.TaskStarted, nil)
		}
	}
}

// handleCredits applies the credits that the agent offered and revoked.
func (c *Core) handleCredits(s *session, m *structs.FromAgent) {
	s.idleSlots = m.Idle
	if s.refusedSlots > 0 {
		// The agent keeps what it reports beyond this for a grant that waits there.
		s.idleSlots = min(s.idleSlots, uint32(s.refusedSlots-1))
	}
	s.slotsWaiting = m.Waiting
	if s.state != sessionStates.Up {
		return
	}
	s.credits.any += int(m.Offered.Any) - int(m.Revoked.Any)
	s.credits.short += int(m.Offered.Short) - int(m.Revoked.Short)
	s.reduceDemand(m.Offered)
}

func (n *creditCount) add(reserved bool, count int) {
	if reserved {
		n.short += count
	} else {
		n.any += count
	}
}
