package table

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const (
	dialTimeout = time.Second
	// idleConnTimeout closes unused connections before the service closes them.
	idleConnTimeout = 5 * time.Second
	maxResponseSize = 64 << 20 // bytes
)

// Client is a Store over HTTP. It is safe for concurrent use.
type Client struct {
	base    string
	timeout time.Duration
	http    *fasthttp.HostClient
}

// NewClient returns a client of the service at address, which is a host and a
// port. timeout limits each call whose context has no earlier deadline. Cancelling
// the context during a call does not interrupt the call.
func NewClient(address string, timeout time.Duration) *Client {
	return &Client{
		base:    "http://" + address,
		timeout: timeout,
		http: &fasthttp.HostClient{
			Addr:                address,
			Dial:                dial,
			MaxIdleConnDuration: idleConnTimeout,
			MaxResponseBodySize: maxResponseSize,
			// A retry by the library could send a commit again after its
			// answer was lost.
			MaxIdemponentCallAttempts: 1,
		},
	}
}

// dialError is the error of a request that was never sent.
type dialError struct{ cause error }

func (e *dialError) Error() string { return e.cause.Error() }
func (e *dialError) Unwrap() error { return e.cause }

func dial(address string) (net.Conn, error) {
	conn, err := fasthttp.DialTimeout(address, dialTimeout)
	if err != nil {
		return nil, &dialError{cause: err}
	}
	return conn, nil
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	row, _, err := c.GetChanged(ctx, key, 0)
	return row, err
}

// GetChanged implements Store.
func (c *Client) GetChanged(ctx context.Context, key string, version uint64) (Row, bool, error) {
	call := newCall(c.base + RowPath)
	defer call.release()
	call.request.URI().QueryArgs().Set("key", key)
	if version != 0 {
		call.request.Header.Set(fasthttp.HeaderIfNoneMatch, quoteVersion(version))
	}
	if err := c.read(ctx, call); err != nil {
		return Row{}, false, err
	}
	switch call.response.StatusCode() {
	case fasthttp.StatusNotModified:
		return Row{Key: key, Version: version}, false, nil
	case fasthttp.StatusNotFound:
		return Row{Key: key}, version != 0, nil
	}
	var row Row
	if err := call.decode(&row); err != nil {
		return Row{}, false, err
	}
	return row, true, nil
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Row, error) {
	call := newCall(c.base + ListPath)
	defer call.release()
	call.request.URI().QueryArgs().Set("prefix", prefix)
	if err := c.read(ctx, call); err != nil {
		return nil, err
	}
	var answer ListAnswer
	if err := call.decode(&answer); err != nil {
		return nil, err
	}
	return answer.Rows, nil
}

// Commit implements Store.
func (c *Client) Commit(ctx context.Context, tx Transaction) (uint64, error) {
	body, err := json.Marshal(CommitRequest{Operations: tx})
	if err != nil {
		return 0, errors.WithStack(&InvalidError{Detail: err.Error()})
	}
	call := newCall(c.base + CommitPath)
	defer call.release()
	call.request.Header.SetMethod(fasthttp.MethodPost)
	call.request.Header.SetContentType("application/json")
	call.request.SetBody(body)
	if err := c.send(ctx, call); err != nil {
		return 0, commitError(err)
	}
	return call.commitResult()
}

// read sends a request that changes nothing. Every error is an UnavailableError.
func (c *Client) read(ctx context.Context, call *call) error {
	if err := c.send(ctx, call); err != nil {
		return errors.WithStack(&UnavailableError{Cause: err})
	}
	return nil
}

func (c *Client) send(ctx context.Context, call *call) error {
	if err := ctx.Err(); err != nil {
		return &dialError{cause: err}
	}
	deadline := time.Now().Add(c.timeout)
	if earlier, ok := ctx.Deadline(); ok && earlier.Before(deadline) {
		deadline = earlier
	}
	return c.http.DoDeadline(call.request, call.response, deadline)
}

// commitError returns an UnavailableError if the request was never sent, and an
// UnknownOutcomeError if its answer was lost.
func commitError(err error) error {
	var unsent *dialError
	if errors.As(err, &unsent) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return errors.WithStack(&UnavailableError{Cause: err})
	}
	return errors.WithStack(&UnknownOutcomeError{Cause: err})
}

// call is one request to the service and its response.
type call struct {
	request  *fasthttp.Request
	response *fasthttp.Response
}

func newCall(uri string) *call {
	c := &call{request: fasthttp.AcquireRequest(), response: fasthttp.AcquireResponse()}
	c.request.SetRequestURI(uri)
	return c
}

func (c *call) release() {
	fasthttp.ReleaseRequest(c.request)
	fasthttp.ReleaseResponse(c.response)
}

// decode decodes the body of the answer to a read. A status other than 200 is an
// UnavailableError.
func (c *call) decode(target any) error {
	if status := c.response.StatusCode(); status != fasthttp.StatusOK {
		return errors.WithStack(&UnavailableError{Cause: &StatusError{Status: status, Detail: c.refusal().Detail}})
	}
	if err := json.Unmarshal(c.response.Body(), target); err != nil {
		return errors.WithStack(&UnavailableError{Cause: err})
	}
	return nil
}

func (c *call) refusal() Refusal {
	var r Refusal
	if err := json.Unmarshal(c.response.Body(), &r); err != nil {
		return Refusal{Detail: "decode the refusal: " + err.Error()}
	}
	return r
}

// commitResult returns the version of the committed rows, or the error that the
// status of the answer stands for.
func (c *call) commitResult() (uint64, error) {
	status := c.response.StatusCode()
	refusal := c.refusal()
	switch status {
	case fasthttp.StatusOK:
		return c.version()
	case fasthttp.StatusConflict:
		return 0, errors.WithStack(&ConflictError{Key: refusal.Key, Expected: refusal.Expected, Present: refusal.Present})
	case fasthttp.StatusServiceUnavailable:
		return 0, errors.WithStack(&UnavailableError{Cause: &StatusError{Status: status, Detail: refusal.Detail}})
	case fasthttp.StatusBadRequest, fasthttp.StatusRequestEntityTooLarge:
		return 0, errors.WithStack(&InvalidError{Detail: refusal.Detail})
	}
	return 0, errors.WithStack(&UnknownOutcomeError{Cause: &StatusError{Status: status, Detail: refusal.Detail}})
}

func (c *call) version() (uint64, error) {
	var answer CommitAnswer
	if err := json.Unmarshal(c.response.Body(), &answer); err != nil {
		return 0, errors.WithStack(&UnknownOutcomeError{Cause: err})
	}
	return answer.Version, nil
}

func quoteVersion(version uint64) string { return strconv.Quote(strconv.FormatUint(version, 10)) }
