package peer

import (
	"context"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/peer/peerpb"
	"cactuspost.example/internal/peer/peerpb/peerpbconnect"
	"cactuspost.example/internal/structs"
)

// Limits for requests to other entries.
const (
	// dialTimeout is the time limit for opening a connection.
	dialTimeout = time.Second
	// replyMargin is the time that the owner may take in addition to the caller's
	// wait.
	replyMargin = 2 * time.Second
	// MaxMessageBytes is the maximum size of a request or a reply.
	MaxMessageBytes = 64 << 20
	// idleTimeout is the time after which an unused connection is closed.
	idleTimeout = 30 * time.Second
	// idleConnections is the maximum number of unused connections kept open to one
	// entry.
	idleConnections = 64
)

// Client sends requests to other entries. It is safe for concurrent use.
type Client struct {
	transport *http.Transport
}

// NewClient returns a client. It opens connections as they are needed.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
	}}
}

// Ask forwards a caller's request to the entry at address, given as IP and port.
// An error means that no valid reply arrived in time: the owner may or may not have
// received the request.
func (c *Client) Ask(ctx context.Context, address string, r *Request) (*Response, error) {
	ctx, cancel := context.WithTimeout(ctx, r.Wait+replyMargin)
	defer cancel()
	reply, err := c.jobsClient(address).Ask(ctx, connect.NewRequest(requestToPB(r)))
	if err != nil {
		return nil, failure.Wrap(err, failure.Unavailable, failure.Unknown, "forward request to the entry at "+address)
	}
	return responseFromPB(r.Job, reply.Msg)
}

// Inspect returns another entry's state for operators, encoded as JSON. It returns
// an error if that incarnation of the entry did not return one in time.
func (c *Client) Inspect(ctx context.Context, entry structs.Peer) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, replyMargin)
	defer cancel()
	reply, err := c.jobsClient(entry.PeerAddress).Inspect(ctx, connect.NewRequest(&peerpb.InspectRequest{}))
	if err != nil {
		return nil, failure.Wrap(err, failure.Unavailable, failure.NotRun, "inspect the entry at "+entry.PeerAddress)
	}
	if reply.Msg.Incarnation != uint64(entry.Incarnation) || len(reply.Msg.View) == 0 {
		return nil, failure.New(failure.Unavailable, failure.NotRun, "the entry returned no state or has been replaced")
	}
	return reply.Msg.View, nil
}

// Account returns another entry's service level accounts, encoded as JSON. It
// returns an error if that incarnation of the entry did not return them in time.
func (c *Client) Account(ctx context.Context, entry structs.Peer) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, replyMargin)
	defer cancel()
	reply, err := c.jobsClient(entry.PeerAddress).Account(ctx, connect.NewRequest(&peerpb.AccountRequest{}))
	if err != nil {
		return nil, failure.Wrap(err, failure.Unavailable, failure.NotRun, "ask the entry at "+entry.PeerAddress+" for its accounts")
	}
	if reply.Msg.Incarnation != uint64(entry.Incarnation) || len(reply.Msg.Accounts) == 0 {
		return nil, failure.New(failure.Unavailable, failure.NotRun, "the entry returned no accounts or has been replaced")
	}
	return reply.Msg.Accounts, nil
}

func (c *Client) jobsClient(address string) peerpbconnect.JobsClient {
	return peerpbconnect.NewJobsClient(&http.Client{Transport: c.transport}, "http://"+address,
		connect.WithReadMaxBytes(MaxMessageBytes), connect.WithSendMaxBytes(MaxMessageBytes))
}

// Close closes the unused connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }
