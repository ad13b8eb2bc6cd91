package dispatch

import (
	"time"

	"cactuspost.example/internal/event"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/structs"
)

const (
	// maxCrashes is the number of workers that may crash under a task before it is
	// given up: one crash says little, as it ends all runs on the worker, and each
	// further one takes a worker and its other runs away from all callers.
	maxCrashes = 2
	// crashMemory is how long the crashes under the tasks of a job are remembered after
	// the last one. It is longer than a caller goes on to send its job again.
	crashMemory = time.Minute
	// maxCrashRecords bounds the number of jobs whose crashes are remembered.
	maxCrashRecords = 10_000
)

// crashRecord counts the crashes under the tasks of a named job, over all of its
// submissions to this entry.
type crashRecord struct {
	byTask   map[uint32]int
	expireAt time.Time
}

// countCrash records that a worker crashed under a task, even if the task's job has
// ended meanwhile: its caller may send it again.
func (c *Core) countCrash(t *task) {
	t.crashCount++
	name := t.job.name
	if name == "" {
		return
	}
	record := c.crashes[name]
	if record == nil {
		if len(c.crashes) >= maxCrashRecords {
			return
		}
		record = &crashRecord{byTask: map[uint32]int{}}
		c.crashes[name] = record
	}
	record.byTask[t.index] = t.crashCount
	record.expireAt = c.now.Add(crashMemory)
}

// crashesUnder returns how many workers have crashed under a task of the named job.
func (c *Core) crashesUnder(name string, index uint32) int {
	if record := c.crashes[name]; record != nil {
		return record.byTask[index]
	}
	return 0
}

// answerGivenUp answers a submission of a job that has a task that was given up. It
// reports false if the job has none.
func (c *Core) answerGivenUp(m *RunJob) bool {
	record := c.crashes[m.Submission.Name]
	if record == nil {
		return false
	}
	for index, count := range record.byTask {
		if count >= maxCrashes {
			f := crashFailure(index)
			c.stats.JobsRefused++
			c.emit(&LogEvent{Event: event.JobRefused, Request: m.Submission.Name, RequestID: m.Submission.RequestID, Detail: f.Error()})
			c.emit(&Answered{Reply: m.Reply, Answer: structs.Answer{State: structs.JobFailed, Failure: f}})
			return true
		}
	}
	return false
}

func (c *Core) forgetCrashes() {
	for name, record := range c.crashes {
		if !c.now.Before(record.expireAt) {
			delete(c.crashes, name)
		}
	}
}

func crashFailure(index uint32) *failure.Failure {
	return failure.Newf(failure.TaskFailed, failure.Ran, "task %d: its worker crashed in each of %d runs", index, maxCrashes)
}
