// Package api defines the HTTP interface for callers: the paths, the JSON types
// and their validation. It does no I/O, so that the server, the client library
// and tests can share it.
//
// Requests are decoded strictly: an unknown field is an error, so that a misspelt
// field is not silently ignored. Answers are decoded leniently, so that an older
// client accepts the additional fields of a newer server.
package api

import (
	"strconv"
	"strings"
	"time"

	"cactuspost.example/internal/failure"
)

// Paths for callers. The path of a job is JobPathPrefix followed by its id.
const (
	// JobsPath accepts POST, which issues ids for new jobs and starts nothing.
	JobsPath = "/v1/jobs"
	// JobPathPrefix precedes the id of a job. PUT submits the job's tasks and is
	// idempotent, GET returns its state, and DELETE cancels it.
	JobPathPrefix = "/v1/jobs/"
	// SubmitPath accepts POST of a job without an id. It is not idempotent: each
	// request submits a new job, so a client must not retry it.
	SubmitPath = "/v1/submit"
)

// Paths for operators and for the platform.
const (
	EndpointsPath = "/v1/endpoints"
	// NotesPath accepts GET of a release note and POST of a new one.
	NotesPath  = "/v1/notes"
	ReportPath = "/v1/report"
	// DrainPath is served by each agent at its own address. POST begins the
	// agent's planned stop.
	DrainPath   = "/v1/drain"
	HealthPath  = "/healthz"
	ReadyPath   = "/readyz"
	MetricsPath = "/metrics"
)

// Query parameters.
const (
	// WaitParameter is how long to wait for a job's end, in milliseconds.
	WaitParameter = "wait_ms"
	// RevisionParameter selects a release note by the revision that it created.
	RevisionParameter = "revision"
	// DryRunParameter set to 1 checks a release note without applying it.
	DryRunParameter = "dry_run"
)

// Content types. An operators' path answers with plain text if the Accept header
// asks for it. The report can also be had as an HTML page.
const (
	JSONType = "application/json"
	TextType = "text/plain"
	HTMLType = "text/html"
)

// MaxWait limits the wait of one request. A caller that wants to wait longer
// sends another request.
const MaxWait = 60 * time.Second

// ParseWait parses the value of WaitParameter. An empty value means no wait, and
// a longer wait than MaxWait is reduced to it. The error is a failure of kind
// Invalid.
func ParseWait(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		return 0, invalid(WaitParameter + " must be a number of milliseconds")
	}
	return min(time.Duration(ms)*time.Millisecond, MaxWait), nil
}

// FormatWait returns the value of WaitParameter.
func FormatWait(wait time.Duration) string { return strconv.FormatInt(wait.Milliseconds(), 10) }

const bearerScheme = "bearer"

// BearerToken returns the token in the value of an Authorization header.
// The error is a failure of kind Unauthorized.
func BearerToken(header string) (string, error) {
	scheme, token, _ := strings.Cut(header, " ")
	token = strings.TrimSpace(token)
	if !strings.EqualFold(scheme, bearerScheme) || token == "" {
		return "", failure.New(failure.Unauthorized, failure.NotRun, "the Authorization header has no bearer token")
	}
	return token, nil
}

// AuthorizationHeader returns the value of the Authorization header for a token.
func AuthorizationHeader(token string) string { return "Bearer " + token }

func invalid(detail string) *failure.Failure {
	return failure.New(failure.Invalid, failure.NotRun, detail)
}
