package dispatch

import (
	"time"

	"cactuspost.example/internal/chart"
	"cactuspost.example/internal/event"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/structs"
)

// Events about jobs and tasks are logged for attached jobs only. Their callers
// name them, so that the log can be searched from the name to the cause of a
// failure.

func (c *Core) logJob(id event.ID, j *job, detail string, fields ...event.Field) {
	if !j.attached {
		return
	}
	c.emit(&LogEvent{Event: id, Job: j.id, Request: j.name, RequestID: j.requestID, Detail: detail, Fields: fields})
}

func (c *Core) logTask(id event.ID, t *task, s *session, detail string, fields ...event.Field) {
	if !t.job.attached {
		return
	}
	c.emit(&LogEvent{
		Event: id, Job: t.job.id, Request: t.job.name, Task: t.name, Endpoint: s.endpoint, Detail: detail, Fields: fields,
	})
}

// loadFields returns the load figures on which admission control decides.
func (c *Core) loadFields(p *pool) []event.Field {
	return []event.Field{
		event.Int("workers", len(p.sessions)), event.Int("slots_free", p.freeCredits()), event.Int("slots_busy", p.busySlots),
		event.Int("slots_waiting", p.slotsWaiting()), {Name: "revision", Value: int64(c.revision())},
	}
}

func (c *Core) logAccepted(j *job, p *pool) {
	if !j.attached {
		return
	}
	fields := append(c.loadFields(p), event.Int("tasks", len(j.tasks)), event.Millis("start_in_ms", p.startWithin(j, c.now)),
		event.Millis("deadline_in_ms", j.deadline.Sub(c.now)))
	c.logJob(event.JobAccepted, j, "", fields...)
}

func (c *Core) logRefused(j *job, f *failure.Failure) {
	if !j.attached || c.doc == nil {
		return
	}
	c.logJob(event.JobRefused, j, f.Error(), c.loadFields(c.pool(c.serviceSettings(j.service).Pool))...)
}

func (c *Core) logEnd(j *job) {
	if !j.attached || len(j.tasks) == 0 {
		return
	}
	waiting := 0
	for i := range j.tasks {
		if j.tasks[i].state == taskStates.Waiting {
			waiting++
		}
	}
	id, detail := event.JobComplete, ""
	if j.failure != nil {
		id, detail = event.JobFailed, j.failure.Error()
	}
	fields := []event.Field{event.Millis("took_ms", c.now.Sub(j.acceptedAt)), event.Int("done", j.tasksDone), event.Int("waiting", waiting), event.Int("tasks", len(j.tasks))}
	if !j.callerLeftAt.IsZero() {
		fields = append(fields, event.Millis("caller_left_ms_ago", c.now.Sub(j.callerLeftAt)))
	}
	c.logJob(id, j, detail, fields...)
}

// logReturn logs why a granted task went back to the queue. e is the event that
// returned it. r is nil if the agent refused the grant or is gone.
func (c *Core) logReturn(t *task, e chart.Event, r *structs.Result) {
	detail := "the grant was not started, or its agent is gone"
	if r != nil {
		detail = r.Outcome.String()
	}
	c.logTask(event.TaskRequeued, t, t.holder, detail,
		event.Int("attempt", int(t.attempt)), event.Millis("granted_for_ms", c.now.Sub(t.grantedAt)),
		event.Text("follows", t.holder.returnCause(e)))
}

// returnCause names what the return of a task granted to the session follows from.
// Only a refusal, a result and a reconnection without the grant are reports of the
// agent that no run goes on.
func (s *session) returnCause(e chart.Event) string {
	switch {
	case e == taskEvents.Refused:
		return "refused"
	case e == taskEvents.Errored:
		return "result"
	case e == taskEvents.Unlisted:
		return "unlisted"
	case s.successor == 0:
		return "grace_over"
	case s.successor == s.incarnation:
		return "new_session"
	default:
		return "agent_replaced"
	}
}

// continuity says whether the session goes on with a hello that has just arrived, and
// for how long its agent has been away.
func (s *session) continuity(now time.Time) []event.Field {
	if s.link == 0 && s.lostAt.IsZero() {
		return []event.Field{event.Text("session", "new")}
	}
	return []event.Field{event.Text("session", "kept"), event.Millis("away_ms", s.away(now))}
}

// away returns how long the agent has been away: zero if its link is still open.
func (s *session) away(now time.Time) time.Duration {
	if s.link != 0 {
		return 0
	}
	return now.Sub(s.lostAt)
}

// logConnected logs what a hello made of the entry's grants.
func (c *Core) logConnected(s *session, hello *structs.Hello, continuity []event.Field) {
	r := &s.reconciled
	c.logEvent(event.AgentConnected, s.endpoint, "", append(continuity, event.Int("held", len(hello.Held)),
		event.Int("listed", r.listed), event.Int("unlisted", r.unlisted), event.Int("given_up", r.givenUp),
		event.Text("agent", hello.Incarnation.String()))...)
}

// logReplaced logs the end of a session with the given number of lost grants.
func (c *Core) logReplaced(old *session, hello *structs.Hello, lost int) {
	c.logEvent(event.AgentReplaced, old.endpoint, "", event.Text("cause", old.returnCause(taskEvents.AgentGone)),
		event.Millis("away_ms", old.away(c.now)), event.Int("held", len(hello.Held)), event.Int("lost", lost),
		event.Text("agent", hello.Incarnation.String()), event.Text("replaced", old.incarnation.String()))
}
