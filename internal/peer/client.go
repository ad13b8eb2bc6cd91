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

// Bounds of a request to another entry.
const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
	// replyMargin is how long beyond the caller's wait the owner may take.
	replyMargin = 2 * time.Second
	// MaxMessageBytes bounds a request and a reply.
	MaxMessageBytes = 64 << 20
	// idleTimeout closes connections that are not used.
	idleTimeout = 30 * time.Second
	// idleConnections bounds the connections kept to one entry.
	idleConnections = 64
)

// Client asks other entries. It may be used by any number of goroutines.
type Client struct {
	transport *http.Transport
}

// NewClient returns a client without connections.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
	}}
}

// Ask passes a request to the entry at the address, IP and port. An error means
// that no reply arrived in time: the owner may or may not have the request.
func (c *Client) Ask(ctx context.Context, address string, r *Request) (*Response, error) {
	ctx, cancel := context.WithTimeout(ctx, r.Wait+replyMargin)
	defer cancel()
	reply, err := c.jobsClient(address).Ask(ctx, connect.NewRequest(requestToPB(r)))
	if err != nil {
		return nil, failure.Wrap(err, failure.Unavailable, failure.Unknown, "ask the entry at "+address)
	}
	return responseFromPB(r.Job, reply.Msg)
}

// Inspect returns the state for operators of the entry at the address, in its
// JSON form. An error means that it could not be had from that incarnation.
func (c *Client) Inspect(ctx context.Context, entry structs.Peer) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, replyMargin)
	defer cancel()
	reply, err := c.jobsClient(entry.PeerAddress).Inspect(ctx, connect.NewRequest(&peerpb.InspectRequest{}))
	if err != nil {
		return nil, failure.Wrap(err, failure.Unavailable, failure.NotRun, "inspect the entry at "+entry.PeerAddress)
	}
	if reply.Msg.Incarnation != uint64(entry.Incarnation) || len(reply.Msg.View) == 0 {
		return nil, failure.New(failure.Unavailable, failure.NotRun, "the entry has no view")
	}
	return reply.Msg.View, nil
}

// Account returns the accounts of service levels of the entry at the address,
// in their JSON form. An error means that they could not be had from that
// incarnation.
func (c *Client) Account(ctx context.Context, entry structs.Peer) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, replyMargin)
	defer cancel()
	reply, err := c.jobsClient(entry.PeerAddress).Account(ctx, connect.NewRequest(&peerpb.AccountRequest{}))
	if err != nil {
		return nil, failure.Wrap(err, failure.Unavailable, failure.NotRun, "ask the entry at "+entry.PeerAddress+" for its accounts")
	}
	if reply.Msg.Incarnation != uint64(entry.Incarnation) || len(reply.Msg.Accounts) == 0 {
		return nil, failure.New(failure.Unavailable, failure.NotRun, "the entry has no accounts")
	}
	return reply.Msg.Accounts, nil
}

func (c *Client) jobsClient(address string) peerpbconnect.JobsClient {
	return peerpbconnect.NewJobsClient(&http.Client{Transport: c.transport}, "http://"+address,
		connect.WithReadMaxBytes(MaxMessageBytes), connect.WithSendMaxBytes(MaxMessageBytes))
}

// Close ends the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }
