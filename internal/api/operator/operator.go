// Package operator defines the JSON types of the HTTP interface for operators, in
// the same way as package api does for callers. It is a package of its own because
// its types contain types of package dispatch, which the callers' library must not
// depend on.
package operator

import (
	"cactuspost.example/internal/api"
	"cactuspost.example/internal/burn"
	"cactuspost.example/internal/dispatch"
	"cactuspost.example/internal/structs"
)

// EndpointsAnswer is the body of the answer to GET api.EndpointsPath. It has one
// view per entry.
type EndpointsAnswer struct {
	Entries []EntryView `json:"entries"`
}

// EntryView is the state of one entry. If the entry did not answer, only Entry and
// Failure are set.
type EntryView struct {
	Entry     structs.Peer            `json:"entry"`
	Failure   *api.FailureJSON        `json:"failure,omitempty"`
	Revision  uint64                  `json:"revision"`
	Leaving   bool                    `json:"leaving"`
	OpenJobs  int                     `json:"open_jobs"`
	Waiting   int                     `json:"waiting"`
	Running   int                     `json:"running"`
	Endpoints []dispatch.EndpointView `json:"endpoints"`
	// Stats counts jobs, tasks and messages since the entry's start.
	Stats dispatch.Stats `json:"stats"`
}

// NewEntryView returns the JSON type of a dispatcher's view.
func NewEntryView(view dispatch.View) EntryView {
	return EntryView{
		Entry:     view.Entry,
		Revision:  view.Revision,
		Leaving:   view.Leaving,
		OpenJobs:  view.OpenJobs,
		Waiting:   view.Waiting,
		Running:   view.Running,
		Stats:     view.Stats,
		Endpoints: view.Endpoints,
	}
}

// EntryAccounts are the service-level accounts of one entry. If the entry did not
// answer, only Entry and Failure are set.
type EntryAccounts struct {
	Entry      structs.Peer              `json:"entry"`
	Failure    *api.FailureJSON          `json:"failure,omitempty"`
	Revision   uint64                    `json:"revision"`
	Objectives map[string]burn.Objective `json:"objectives"`
	Snapshot   burn.Snapshot             `json:"snapshot"`
	Stats      dispatch.Stats            `json:"stats"`
}

// NewEntryAccounts returns the JSON type of a dispatcher's accounts.
func NewEntryAccounts(a dispatch.Accounts) EntryAccounts {
	return EntryAccounts{
		Entry:      a.Entry,
		Revision:   a.Revision,
		Objectives: a.Objectives,
		Snapshot:   a.Snapshot,
		Stats:      a.Stats,
	}
}

// DrainAnswer is the body of the answer to POST api.DrainPath on an agent: the
// planned stop has begun. The request is idempotent; repeating it shows the
// progress.
type DrainAnswer struct {
	Endpoint string `json:"endpoint"`
	Leaving  bool   `json:"leaving"`
	// Busy is the number of tasks that are still running, Unacked the number of
	// results that no entry has acknowledged yet. The agent exits when both are
	// zero.
	Busy    int `json:"busy"`
	Unacked int `json:"unacked"`
}
