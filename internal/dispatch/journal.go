package dispatch

import (
	"time"

	"cactuspost.example/internal/event"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/structs"
)

// Events about jobs and tasks are logged for attached jobs only. Their callers name
// them, so that the log can be searched from the name to the cause of a failure.

func (c *Core) journalJob(id event.ID, j *job, detail string, facts ...Fact) {
	if !j.attached {
		return
	}
	c.emit(&Happened{Event: id, Job: j.id, Request: j.name, RequestID: j.requestID, Detail: detail, Facts: facts})
}

func (c *Core) journalTask(id event.ID, t *task, s *session, detail string, facts ...Fact) {
	if !t.job.attached {
		return
	}
	c.emit(&Happened{
		Event: id, Job: t.job.id, Request: t.job.name, Task: t.name, Endpoint: s.endpoint, Detail: detail, Facts: facts,
	})
}

func fact(name string, value int) Fact { return Fact{Name: name, Value: int64(value)} }

func millisFact(name string, d time.Duration) Fact { return Fact{Name: name, Value: d.Milliseconds()} }

// room returns the load figures on which admission control decides.
func (c *Core) room(p *pool) []Fact {
	return []Fact{
		fact("workers", len(p.sessions)), fact("slots_free", p.freeCredits()), fact("slots_busy", p.busySlots),
		fact("slots_waiting", p.slotsWaiting()), {Name: "revision", Value: int64(c.revision())},
	}
}

func (c *Core) journalAccepted(j *job, p *pool) {
	if !j.attached {
		return
	}
	facts := append(c.room(p), fact("tasks", len(j.tasks)), millisFact("start_in_ms", p.startWithin(j, c.now)),
		millisFact("deadline_in_ms", j.deadline.Sub(c.now)))
	c.journalJob(event.JobAccepted, j, "", facts...)
}

func (c *Core) journalRefused(j *job, f *failure.Failure) {
	if !j.attached || c.doc == nil {
		return
	}
	c.journalJob(event.JobRefused, j, f.Error(), c.room(c.pool(c.serviceOf(j.service).Pool))...)
}

func (c *Core) journalEnd(j *job) {
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
	c.journalJob(id, j, detail, millisFact("took_ms", c.now.Sub(j.acceptedAt)), fact("done", j.done), fact("waiting", waiting), fact("tasks", len(j.tasks)))
}

// journalReturn logs why a granted task went back to the queue. r is nil if the
// agent refused the grant or is gone.
func (c *Core) journalReturn(t *task, r *structs.Result) {
	detail := "the grant was not started, or its agent is gone"
	if r != nil {
		detail = r.Outcome.String()
	}
	c.journalTask(event.TaskReturned, t, t.holder, detail,
		fact("attempt", int(t.attempt)), millisFact("granted_for_ms", c.now.Sub(t.grantedAt)))
}
