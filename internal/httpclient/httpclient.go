// Package httpclient sends single HTTP requests under a context. It retries
// nothing: what may be repeated is the caller's decision.
package httpclient

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"cactuspost.example/internal/api"
	"cactuspost.example/internal/failure"
)

const (
	// maxResponseBytes bounds an answer.
	maxResponseBytes = 256 << 20
	// maxConnsPerHost bounds the connections to one address. Each request that
	// waits for a job's end holds one.
	maxConnsPerHost = 4096
)

// Request is one request.
type Request struct {
	Method string
	URL    string
	// Token is sent as a bearer token unless it is empty.
	Token string
	// Accept and ContentType are left out when empty.
	Accept      string
	ContentType string
	Body        []byte
	// Timeout bounds the whole exchange, connecting included.
	Timeout time.Duration
}

// Response is a whole answer.
type Response struct {
	Status     int
	RetryAfter string
	Body       []byte
}

// Client holds the open connections. Any number of goroutines may use it.
type Client struct{ http *fasthttp.Client }

// New returns a client. A nil config means the system's certificates.
func New(config *tls.Config) *Client {
	return &Client{http: &fasthttp.Client{
		Name:                      "cactuspost",
		TLSConfig:                 config,
		MaxConnsPerHost:           maxConnsPerHost,
		MaxResponseBodySize:       maxResponseBytes,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// Close ends the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// exchangeResult is the message from the goroutine that owns an exchange.
type exchangeResult struct {
	response *Response
	err      error
}

// Exchange sends a request and waits for the answer or the context's end.
// The error is a failure of kind Unavailable. Its outcome is NotRun when the
// request was never sent, else Unknown. It wraps the context's error if that
// was the reason.
func (c *Client) Exchange(ctx context.Context, r Request) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, failure.Wrap(err, failure.Unavailable, failure.NotRun, "nothing was sent")
	}
	done := make(chan exchangeResult, 1)
	go c.send(r, done)
	select {
	case r := <-done:
		return r.response, r.err
	case <-ctx.Done():
		return nil, failure.Wrap(ctx.Err(), failure.Unavailable, failure.Unknown, "the answer was not awaited")
	}
}

// send owns request, response and connection until the answer has arrived
// or the timeout is over, also when nobody waits for it any more.
func (c *Client) send(r Request, done chan<- exchangeResult) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	fillRequest(request, r)
	if err := c.http.DoTimeout(request, response, r.Timeout); err != nil {
		done <- exchangeResult{err: failure.Wrap(err, failure.Unavailable, runState(err), "no answer from "+r.URL)}
		return
	}
	done <- exchangeResult{response: &Response{
		Status:     response.StatusCode(),
		RetryAfter: string(response.Header.Peek(api.RetryAfterHeader)),
		Body:       append([]byte(nil), response.Body()...),
	}}
}

func fillRequest(request *fasthttp.Request, r Request) {
	request.Header.SetMethod(r.Method)
	request.SetRequestURI(r.URL)
	request.SetBodyRaw(r.Body)
	if r.Token != "" {
		request.Header.Set(fasthttp.HeaderAuthorization, api.Authorization(r.Token))
	}
	if r.Accept != "" {
		request.Header.Set(fasthttp.HeaderAccept, r.Accept)
	}
	if r.ContentType != "" {
		request.Header.SetContentType(r.ContentType)
	}
}

// runState is NotRun only for errors that come before the first byte is sent.
func runState(err error) failure.Run {
	var opErr *net.OpError
	dialFailed := errors.As(err, &opErr) && opErr.Op == "dial"
	if dialFailed || errors.Is(err, fasthttp.ErrDialTimeout) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return failure.NotRun
	}
	return failure.Unknown
}
