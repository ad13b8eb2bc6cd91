package structs

import "time"

// Millis is a duration in whole milliseconds, as it stands in documents.
type Millis int64

// Duration converts to the standard type.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Document is the configuration in force. It is replaced as a whole; Revision
// only rises.
type Document struct {
	Revision uint64             `json:"revision"`
	Services map[string]Service `json:"services"`
	Teams    map[string]Team    `json:"teams"`
}

// Service is a kind of work that callers can submit.
type Service struct {
	// Pool names the workers that serve it.
	Pool string `json:"pool"`
	// StartObjective is the longest acceptable wait from acceptance to a task's
	// start; admission refuses work that would wait longer.
	StartObjective Millis `json:"start_objective_ms"`
	// Target is the share of jobs that should meet the objective, 0 to 1.
	Target float64 `json:"target"`
	// Lifetime bounds a job: when it ends, an unfinished job has failed.
	Lifetime Millis `json:"lifetime_ms"`
	// TaskLimit bounds one task's run; the agent stops it there.
	TaskLimit Millis `json:"task_limit_ms"`
	// MaxTasks bounds the tasks of one job.
	MaxTasks int `json:"max_tasks"`
	// MaxTaskBytes bounds one task's payload.
	MaxTaskBytes int `json:"max_task_bytes"`
	// ShortReserve is the share of each worker's slots that long tasks may not
	// occupy, 0 to 1.
	ShortReserve float64 `json:"short_reserve"`
}

// Team is a group of callers.
type Team struct {
	// Quotas maps a service to the team's weight in its pool under contention.
	Quotas map[string]float64 `json:"quotas"`
	// MaxWaiting bounds the team's waiting tasks at one entry; zero means no
	// bound of its own.
	MaxWaiting int `json:"max_waiting"`
}

// Peer is an entry as others reach it.
type Peer struct {
	Name        string      `json:"name"`
	Incarnation Incarnation `json:"incarnation"`
	DataCentre  string      `json:"data_centre"`
	// LinkAddress is where agents connect, PeerAddress where entries ask each
	// other, HTTPAddress where callers and operators connect.
	LinkAddress string `json:"link_address"`
	PeerAddress string `json:"peer_address"`
	HTTPAddress string `json:"http_address"`
}
