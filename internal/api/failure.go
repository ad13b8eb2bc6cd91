package api

import (
	"net/http"
	"strconv"
	"time"

	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/structs"
)

// FailureJSON is the JSON type of a failure.
type FailureJSON struct {
	Kind   failure.Kind `json:"kind"`
	Run    failure.Run  `json:"run"`
	Detail string       `json:"detail,omitempty"`
	// RetryAfter is how long to wait before a retry; zero means that a retry is
	// not useful.
	RetryAfter structs.Millis `json:"retry_after_ms,omitempty"`
}

// FailureAnswer is the body of every answer with an error status.
type FailureAnswer struct {
	Failure *FailureJSON `json:"failure"`
}

// RetryAfterHeader has the RetryAfter of the failure in seconds, rounded up.
const RetryAfterHeader = "Retry-After"

// statusByKind maps each kind of failure to its HTTP status.
var statusByKind = map[failure.Kind]int{
	failure.Internal:        http.StatusInternalServerError,
	failure.Invalid:         http.StatusBadRequest,
	failure.TooLarge:        http.StatusRequestEntityTooLarge,
	failure.Unauthorized:    http.StatusUnauthorized,
	failure.Forbidden:       http.StatusForbidden,
	failure.UnknownService:  http.StatusNotFound,
	failure.UnknownJob:      http.StatusNotFound,
	failure.Conflict:        http.StatusConflict,
	failure.NeverRuns:       http.StatusUnprocessableEntity,
	failure.Overloaded:      http.StatusServiceUnavailable,
	failure.QuotaExceeded:   http.StatusTooManyRequests,
	failure.Draining:        http.StatusServiceUnavailable,
	failure.Unavailable:     http.StatusServiceUnavailable,
	failure.NoConfiguration: http.StatusServiceUnavailable,
	failure.TaskFailed:      http.StatusBadGateway,
	failure.TimeLimit:       http.StatusGatewayTimeout,
	failure.EndpointLost:    http.StatusBadGateway,
	failure.OwnerLost:       http.StatusGone,
	failure.Cancelled:       http.StatusGone,
	failure.Expired:         http.StatusGone,
}

// kindByStatus maps the status of an answer without a valid FailureAnswer, such
// as a load balancer's own, to a kind of failure. Other statuses mean
// Unavailable.
var kindByStatus = map[int]failure.Kind{
	http.StatusBadRequest:            failure.Invalid,
	http.StatusUnauthorized:          failure.Unauthorized,
	http.StatusForbidden:             failure.Forbidden,
	http.StatusNotFound:              failure.Invalid,
	http.StatusMethodNotAllowed:      failure.Invalid,
	http.StatusConflict:              failure.Conflict,
	http.StatusGone:                  failure.OwnerLost,
	http.StatusRequestEntityTooLarge: failure.TooLarge,
	http.StatusUnprocessableEntity:   failure.NeverRuns,
	http.StatusTooManyRequests:       failure.QuotaExceeded,
	http.StatusInternalServerError:   failure.Internal,
}

// Status returns the HTTP status of a kind of failure.
func Status(kind failure.Kind) int {
	if status, ok := statusByKind[kind]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// EncodeFailure returns the status, the body and the value of RetryAfterHeader,
// which is empty when a retry is not useful. The cause of the failure is not
// included.
func EncodeFailure(f *failure.Failure) (status int, body []byte, retryAfter string) {
	body, err := Encode(FailureAnswer{Failure: NewFailureJSON(f)})
	if err != nil {
		body = []byte(`{"failure":{"kind":"internal","run":"unknown"}}`)
	}
	return Status(f.Kind), body, formatRetryAfter(f.RetryAfter)
}

// DecodeFailure returns the failure of an answer with an error status. An answer
// whose body is not a FailureAnswer comes from an intermediary, such as a proxy,
// so its failure has an unknown outcome.
func DecodeFailure(status int, body []byte, retryAfter string) *failure.Failure {
	var answer FailureAnswer
	if err := DecodeLenient(body, &answer); err == nil && answer.Failure != nil {
		return answer.Failure.Failure()
	}
	kind, ok := kindByStatus[status]
	if !ok {
		kind = failure.Unavailable
	}
	f := failure.Newf(kind, failure.Unknown, "HTTP status %d without a failure in its body", status)
	return f.WithRetry(parseRetryAfter(retryAfter))
}

// Failure returns the failure that the JSON type describes.
func (f *FailureJSON) Failure() *failure.Failure {
	return failure.New(f.Kind, f.Run, f.Detail).WithRetry(max(0, f.RetryAfter.Duration()))
}

// NewFailureJSON returns the JSON type of a failure, without its cause.
func NewFailureJSON(f *failure.Failure) *FailureJSON {
	return &FailureJSON{Kind: f.Kind, Run: f.Run, Detail: f.Detail, RetryAfter: ceilMillis(f.RetryAfter)}
}

func ceilMillis(d time.Duration) structs.Millis {
	return structs.Millis((d + time.Millisecond - 1) / time.Millisecond)
}

func formatRetryAfter(d time.Duration) string {
	if d <= 0 {
		return ""
	}
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}

// maxRetryAfterSeconds limits the wait that a header can ask for to one day.
const maxRetryAfterSeconds = 86_400

func parseRetryAfter(text string) time.Duration {
	seconds, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		return 0
	}
	return time.Duration(min(seconds, maxRetryAfterSeconds)) * time.Second
}
