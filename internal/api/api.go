// Package api defines the callers' HTTP interface: paths, JSON forms and their
// checks. It serves and sends nothing, so that the server, the library and
// tests share it.
//
// Requests are read strictly: an unknown field is a fault, so that a misspelt
// one is not lost. Answers are read leniently: an older client ignores the
// fields of a newer server.
package api

import (
	"strconv"
	"strings"
	"time"

	"cactuspost.example/internal/failure"
)

// Paths for callers. A job's own path is JobPathPrefix + its id.
const (
	// JobsPath takes POST to issue ids of new jobs; nothing starts.
	JobsPath = "/v1/jobs"
	// JobPathPrefix precedes a job's id: PUT brings its tasks and is idempotent, GET
	// asks for its answer, DELETE withdraws it.
	JobPathPrefix = "/v1/jobs/"
	// SubmitPath takes POST of a job without an id. Each post is a new
	// submission: a client must not repeat it.
	SubmitPath = "/v1/submit"
)

// Paths for operators and for the platform.
const (
	EndpointsPath = "/v1/endpoints"
	// NotesPath takes GET of a release note and POST of a new one.
	NotesPath  = "/v1/notes"
	ReportPath = "/v1/report"
	// DrainPath is on the agent's own address: POST begins its planned stop.
	DrainPath   = "/v1/drain"
	HealthPath  = "/healthz"
	ReadyPath   = "/readyz"
	MetricsPath = "/metrics"
)

// Query parameters.
const (
	// WaitParameter is how long to wait for a job's end, in milliseconds.
	WaitParameter = "wait_ms"
	// RevisionParameter chooses a release note by the revision that it made.
	RevisionParameter = "revision"
	// DryRunParameter set to 1 checks a release note without applying it.
	DryRunParameter = "dry_run"
)

// Content types. An operator's path answers text when Accept asks for it, and the
// report also a page.
const (
	JSONType = "application/json"
	TextType = "text/plain"
	HTMLType = "text/html"
)

// MaxWait bounds the wait of one request. A caller that wants to wait longer
// asks again.
const MaxWait = 60 * time.Second

// ParseWait reads the value of WaitParameter; an empty one means no wait, and
// one over MaxWait is cut to it. The error is a failure of kind Invalid.
func ParseWait(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		return 0, invalid(WaitParameter + " is not a number of milliseconds")
	}
	return min(time.Duration(ms)*time.Millisecond, MaxWait), nil
}

// FormatWait returns the value of WaitParameter.
func FormatWait(wait time.Duration) string { return strconv.FormatInt(wait.Milliseconds(), 10) }

const bearerScheme = "bearer"

// BearerToken returns the token of an Authorization header.
// The error is a failure of kind Unauthorized.
func BearerToken(header string) (string, error) {
	scheme, token, _ := strings.Cut(header, " ")
	token = strings.TrimSpace(token)
	if !strings.EqualFold(scheme, bearerScheme) || token == "" {
		return "", failure.New(failure.Unauthorized, failure.NotRun, "the Authorization header has no bearer token")
	}
	return token, nil
}

// AuthorizationHeader returns the header's value for a token.
func AuthorizationHeader(token string) string { return "Bearer " + token }

func invalid(detail string) *failure.Failure {
	return failure.New(failure.Invalid, failure.NotRun, detail)
}
