// Package report builds the service-level report from the accounts of all entries
// and renders it as text or as a self-contained HTML page. It does no I/O and reads
// no clock.
package report

import (
	"time"

	"cactuspost.example/internal/api"
	"cactuspost.example/internal/api/operator"
	"cactuspost.example/internal/burn"
	"cactuspost.example/internal/dispatch"
)

// Report holds the service levels of all services and teams, as reported by the
// entries that answered.
type Report struct {
	At time.Time `json:"at"`
	// Revision is the highest configuration revision of any entry. The objectives are
	// taken from it.
	Revision uint64 `json:"revision"`
	// Entries lists all entries, including those that did not answer.
	Entries  []Entry      `json:"entries"`
	Levels   []burn.Level `json:"levels"`
	Messages Messages     `json:"messages"`
}

// Entry is an entry that was asked for its accounts.
type Entry struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Revision   uint64 `json:"revision"`
	// Failure is the reason why the entry's accounts are missing, or nil.
	Failure *api.FailureJSON `json:"failure,omitempty"`
}

// Messages summarises the messages exchanged since the start of the entries.
type Messages struct {
	Counts       dispatch.MessageCounts `json:"counts"`
	TasksGranted uint64                 `json:"tasks_granted"`
	// Wasted is the number of messages that did not lead to the start of a task.
	Wasted uint64 `json:"wasted"`
	// WastedPerTask is Wasted divided by TasksGranted, or zero if no task was granted.
	WastedPerTask float64 `json:"wasted_per_task"`
}

// New builds the report from the accounts of all entries.
func New(now time.Time, accounts []operator.EntryAccounts) *Report {
	r := &Report{At: now}
	var snapshots []burn.Snapshot
	objectives := map[string]burn.Objective{}
	for i := range accounts {
		a := &accounts[i]
		r.Entries = append(r.Entries, entryOf(a))
		if a.Failure != nil {
			continue
		}
		if a.Revision > r.Revision {
			r.Revision = a.Revision
			objectives = a.Objectives
		}
		snapshots = append(snapshots, a.Snapshot)
		r.Messages.Counts.Add(&a.Stats.Messages)
		r.Messages.TasksGranted += a.Stats.TasksGranted
	}
	r.Levels = burn.Levels(now, snapshots, objectives)
	r.Messages.computeWasted()
	return r
}

func entryOf(a *operator.EntryAccounts) Entry {
	return Entry{Name: a.Entry.Name, DataCentre: a.Entry.DataCentre, Revision: a.Revision, Failure: a.Failure}
}

func (m *Messages) computeWasted() {
	m.Wasted = m.Counts.Wasted()
	if m.TasksGranted > 0 {
		m.WastedPerTask = float64(m.Wasted) / float64(m.TasksGranted)
	}
}

// Missing returns the entries that did not answer.
func (r *Report) Missing() []Entry {
	var missing []Entry
	for _, e := range r.Entries {
		if e.Failure != nil {
			missing = append(missing, e)
		}
	}
	return missing
}

// messageCount is the number of messages of one type.
type messageCount struct {
	messageType string
	count       uint64
}

// byType returns the number of messages by type, in the order of the glossary.
func (m *Messages) byType() []messageCount {
	c := &m.Counts
	return []messageCount{
		{"grants", c.Grants}, {"results", c.Results}, {"refusals", c.Refusals},
		{"offers", c.Offers}, {"revokes", c.Revokes}, {"demands", c.Demands},
		{"acks", c.Acks}, {"cancels", c.Cancels}, {"heartbeats", c.Heartbeats},
	}
}
