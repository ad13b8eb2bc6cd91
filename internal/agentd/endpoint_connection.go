package agentd

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

const (
	// maxIdleTime is how long an unused connection to the endpoint is kept. It is
	// shorter than the usual keep-alive timeouts of servers, so that unused
	// connections are closed by the agent and not by the endpoint.
	maxIdleTime = 3 * time.Second
	// endpointBufferBytes is the size of the read buffer and of the write buffer of
	// a connection to the endpoint. It bounds the header of a response.
	endpointBufferBytes = 16 << 10
)

// endpointConnection is a buffered connection to the endpoint. It has one owner
// at a time: the runner while it is idle, else one exchange.
type endpointConnection struct {
	net.Conn
	reader    *bufio.Reader
	writer    *bufio.Writer
	idleSince time.Time
}

func newEndpointConnection(conn net.Conn) *endpointConnection {
	return &endpointConnection{
		Conn:   conn,
		reader: bufio.NewReaderSize(conn, endpointBufferBytes),
		writer: bufio.NewWriterSize(conn, endpointBufferBytes),
	}
}

// reusable reports whether the connection is open and has no unread bytes.
// Unexpected bytes would be taken for the response to the next request.
func (c *endpointConnection) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	peekErr := error(nil)
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, peekErr = syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && peekErr == syscall.EAGAIN
}

// idleConnections is a bounded stack of idle connections. The most recently used
// one is taken first, so that the others can expire.
type idleConnections struct {
	limit int
	stack []*endpointConnection
}

// take returns the most recently used connection, or nil.
func (i *idleConnections) take(now time.Time) *endpointConnection {
	i.expire(now)
	last := len(i.stack) - 1
	if last < 0 {
		return nil
	}
	c := i.stack[last]
	i.stack = i.stack[:last]
	return c
}

// put adds a connection, or closes it if that would bring the number of idle and
// busy connections over the limit. It ignores nil.
func (i *idleConnections) put(now time.Time, c *endpointConnection, busy int) {
	if c == nil {
		return
	}
	if len(i.stack)+busy >= i.limit {
		_ = c.Close()
		return
	}
	c.idleSince = now
	i.stack = append(i.stack, c)
}

// expire closes the connections that have been idle for longer than maxIdleTime.
func (i *idleConnections) expire(now time.Time) {
	expired := 0
	for expired < len(i.stack) && now.Sub(i.stack[expired].idleSince) > maxIdleTime {
		_ = i.stack[expired].Close()
		expired++
	}
	i.stack = append(i.stack[:0], i.stack[expired:]...)
}

func (i *idleConnections) closeAll() {
	for _, c := range i.stack {
		_ = c.Close()
	}
	i.stack = nil
}
