// Package httpclient sends HTTP requests that a context can end. It never retries:
// the caller decides which requests may be repeated.
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
	// maxResponseBytes is the maximum size of a response's body.
	maxResponseBytes = 256 << 20
	// maxConnsPerHost is the maximum number of connections to one address. Each
	// request that waits for a job to end occupies one.
	maxConnsPerHost = 4096
)

// Request is an HTTP request to send.
type Request struct {
	Method string
	URL    string
	// Token is sent as the bearer token unless it is empty.
	Token string
	// Accept and ContentType are the headers of these names; an empty one is not
	// sent.
	Accept      string
	ContentType string
	Body        []byte
	// Timeout is the time limit for the whole exchange, including connecting.
	Timeout time.Duration
}

// Response is the response to a request, with its complete body.
type Response struct {
	Status     int
	RetryAfter string
	Body       []byte
}

// Client sends requests and keeps connections open for reuse. It is safe for
// concurrent use.
type Client struct{ http *fasthttp.Client }

// New returns a client. If config is nil, servers are verified with the system's
// certificates.
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

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// exchangeResult is the message that the goroutine of an exchange sends when it is
// over.
type exchangeResult struct {
	response *Response
	err      error
}

// Exchange sends a request and waits for the response or the end of the context.
// Errors are failures of kind Unavailable. Their Run is NotRun if the request was
// not sent, otherwise Unknown. They wrap the context's error if the context ended
// the exchange.
func (c *Client) Exchange(ctx context.Context, r Request) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, failure.Wrap(err, failure.Unavailable, failure.NotRun, "the request was not sent")
	}
	done := make(chan exchangeResult, 1)
	go c.send(r, done)
	select {
	case r := <-done:
		return r.response, r.err
	case <-ctx.Done():
		return nil, failure.Wrap(ctx.Err(), failure.Unavailable, failure.Unknown, "the context ended before the response arrived")
	}
}

// send owns the request, the response and the connection until the response has
// arrived or the timeout has expired, even if the caller no longer waits.
func (c *Client) send(r Request, done chan<- exchangeResult) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	fillRequest(request, r)
	if err := c.http.DoTimeout(request, response, r.Timeout); err != nil {
		done <- exchangeResult{err: failure.Wrap(err, failure.Unavailable, runState(err), "no response from "+r.URL)}
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
		request.Header.Set(fasthttp.HeaderAuthorization, api.AuthorizationHeader(r.Token))
	}
	if r.Accept != "" {
		request.Header.Set(fasthttp.HeaderAccept, r.Accept)
	}
	if r.ContentType != "" {
		request.Header.SetContentType(r.ContentType)
	}
}

// runState returns NotRun for errors that occur before the first byte is sent, and
// Unknown for all others.
func runState(err error) failure.Run {
	var opErr *net.OpError
	dialFailed := errors.As(err, &opErr) && opErr.Op == "dial"
	if dialFailed || errors.Is(err, fasthttp.ErrDialTimeout) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return failure.NotRun
	}
	return failure.Unknown
}
