package structs

import (
	"strings"
	"time"
)

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
	// Routes lead requests of callers who name no service to one.
	Routes []Route `json:"routes,omitempty"`
	// Ingress bounds the requests of such callers.
	Ingress Ingress `json:"ingress,omitzero"`
}

// Route leads the requests for a host whose path begins with Prefix to a
// service. The longest prefix goes first.
type Route struct {
	Host    string `json:"host"`
	Prefix  string `json:"prefix"`
	Service string `json:"service"`
}

// Ingress bounds requests; zero means no bound of its own.
type Ingress struct {
	MaxHeaderBytes int    `json:"max_header_bytes"`
	MaxBodyBytes   int    `json:"max_body_bytes"`
	HeaderTimeout  Millis `json:"header_timeout_ms"`
	IdleTimeout    Millis `json:"idle_timeout_ms"`
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
	// Repeatable says that a task may run again when its outcome is unknown, as
	// long as no two runs of it overlap.
	Repeatable bool `json:"repeatable,omitempty"`
	// MaxAttempts bounds the runs of a task that end with an error of its own;
	// zero and one mean that the first one fails the job.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// Priority orders the services of a pool; zero goes first.
	Priority int `json:"priority,omitempty"`
	// Stretch and Margin set the response objective of a job: Stretch times the
	// run time of its longest chain of tasks, and Margin more. Without Stretch
	// there is none.
	Stretch float64 `json:"stretch,omitempty"`
	Margin  Millis  `json:"margin_ms,omitempty"`
	// UsefulFor is how many times the response objective an answer is still of
	// use; zero means until the caller's deadline.
	UsefulFor float64 `json:"useful_for,omitempty"`
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

// FindRoute returns the route of a request, or nil.
func (d *Document) FindRoute(host, path string) *Route {
	var best *Route
	for i := range d.Routes {
		r := &d.Routes[i]
		if r.Host != host || !strings.HasPrefix(path, r.Prefix) {
			continue
		}
		if best == nil || len(r.Prefix) > len(best.Prefix) {
			best = r
		}
	}
	return best
}
