package structs

import (
	"strings"
	"time"
)

// Millis is a duration in whole milliseconds, as written in JSON documents.
type Millis int64

// Duration converts m to a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Document is a complete configuration. Updates replace it as a whole, under a
// higher Revision each time.
type Document struct {
	Revision uint64             `json:"revision"`
	Services map[string]Service `json:"services"`
	Teams    map[string]Team    `json:"teams"`
	// Routes select the service of requests that don't name one.
	Routes []Route `json:"routes,omitempty"`
	// Ingress limits the size and the time of such requests.
	Ingress Ingress `json:"ingress,omitzero"`
}

// Route maps the requests for a host whose path begins with Prefix to a
// service. The longest matching prefix wins.
type Route struct {
	Host    string `json:"host"`
	Prefix  string `json:"prefix"`
	Service string `json:"service"`
}

// Ingress limits incoming requests. Zero means that the configuration sets no
// limit.
type Ingress struct {
	MaxHeaderBytes int    `json:"max_header_bytes"`
	MaxBodyBytes   int    `json:"max_body_bytes"`
	HeaderTimeout  Millis `json:"header_timeout_ms"`
	IdleTimeout    Millis `json:"idle_timeout_ms"`
}

// Service is a type of work that callers can submit, with its limits and
// objectives.
type Service struct {
	// Pool is the name of the group of workers that run the service's tasks.
	Pool string `json:"pool"`
	// StartObjective is the longest acceptable wait from acceptance to a task's
	// start; admission refuses work that would wait longer.
	StartObjective Millis `json:"start_objective_ms"`
	// Target is the share of jobs that should meet the objective, 0 to 1.
	Target float64 `json:"target"`
	// Lifetime is the maximum age of a job: a job that is older and not complete
	// fails.
	Lifetime Millis `json:"lifetime_ms"`
	// TaskLimit is the maximum run time of one task; the agent stops a task that
	// exceeds it.
	TaskLimit Millis `json:"task_limit_ms"`
	// MaxTasks is the maximum number of tasks in one job.
	MaxTasks int `json:"max_tasks"`
	// MaxTaskBytes is the maximum size of one task's payload.
	MaxTaskBytes int `json:"max_task_bytes"`
	// ShortReserve is the share of each worker's slots that long tasks may not
	// occupy, 0 to 1.
	ShortReserve float64 `json:"short_reserve"`
	// Repeatable allows a task to run again when its outcome is unknown, as long
	// as no two of its runs overlap.
	Repeatable bool `json:"repeatable,omitempty"`
	// MaxAttempts is the number of runs of a task that may end with an error of
	// the task itself before the job fails; with zero or one the first such error
	// fails the job.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// Priority orders the services of a pool; the lowest value is served first.
	Priority int `json:"priority,omitempty"`
	// Stretch and Margin define the response objective of a job: Stretch times the
	// run time of its critical path, plus Margin. If Stretch is zero, the job has
	// no response objective.
	Stretch float64 `json:"stretch,omitempty"`
	Margin  Millis  `json:"margin_ms,omitempty"`
	// UsefulFactor sets how long an answer is of use to the caller, as a multiple of
	// the response objective; zero means until the caller's deadline.
	UsefulFactor float64 `json:"useful_for,omitempty"`
}

// Team is a group of callers that share quotas and limits.
type Team struct {
	// Quotas maps a service to the team's weight in its pool under contention.
	Quotas map[string]float64 `json:"quotas"`
	// MaxWaiting is the maximum number of the team's waiting tasks at one entry;
	// zero means that the team has no limit of its own.
	MaxWaiting int `json:"max_waiting"`
}

// Peer identifies an entry and its addresses.
type Peer struct {
	Name        string      `json:"name"`
	Incarnation Incarnation `json:"incarnation"`
	DataCentre  string      `json:"data_centre"`
	// LinkAddress is for agents, PeerAddress for other entries, and HTTPAddress
	// for callers and operators.
	LinkAddress string `json:"link_address"`
	PeerAddress string `json:"peer_address"`
	HTTPAddress string `json:"http_address"`
}

// FindRoute returns the route with the longest prefix that matches a request, or
// nil.
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
