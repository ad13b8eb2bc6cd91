// Package operator defines the JSON forms of the operators' HTTP interface, in
// the manner of package api. It is apart from it because these forms contain
// the views of the daemons' cores, which the callers' library does not need.
package operator

import (
	"cactuspost.example/internal/api"
	"cactuspost.example/internal/burn"
	"cactuspost.example/internal/dispatch"
	"cactuspost.example/internal/structs"
)

// EndpointsAnswer answers GET api.EndpointsPath: one view per entry.
type EndpointsAnswer struct {
	Entries []EntryView `json:"entries"`
}

// EntryView is what one entry knows. Failure is set, and the rest after Entry
// empty, when the entry did not answer.
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

// ViewOf returns the form of a core's view.
func ViewOf(view dispatch.View) EntryView {
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

// EntryAccounts is what one entry knows of service levels. Failure is set, and
// the rest after Entry empty, when the entry did not answer.
type EntryAccounts struct {
	Entry      structs.Peer              `json:"entry"`
	Failure    *api.FailureJSON          `json:"failure,omitempty"`
	Revision   uint64                    `json:"revision"`
	Objectives map[string]burn.Objective `json:"objectives"`
	Snapshot   burn.Snapshot             `json:"snapshot"`
	Stats      dispatch.Stats            `json:"stats"`
}

// AccountsOf returns the form of a core's accounts.
func AccountsOf(a dispatch.Accounts) EntryAccounts {
	return EntryAccounts{
		Entry:      a.Entry,
		Revision:   a.Revision,
		Objectives: a.Objectives,
		Snapshot:   a.Snapshot,
		Stats:      a.Stats,
	}
}

// DrainAnswer answers POST api.DrainPath on an agent: the planned stop has
// begun. Asking again changes nothing and tells how much is left.
type DrainAnswer struct {
	Endpoint string `json:"endpoint"`
	Leaving  bool   `json:"leaving"`
	// Busy counts tasks that still run, Unacked results that no entry has
	// acknowledged yet. The agent ends when both are zero.
	Busy    int `json:"busy"`
	Unacked int `json:"unacked"`
}
