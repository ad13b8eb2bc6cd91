package entryd

import (
	"crypto/tls"
	"io"
	"net"
	"sync/atomic"
	"time"
)

// Limits on what is read from a connection that is closed before its request was
// read completely.
const (
	// lingerTimeout is how long the rest of the request is read and discarded.
	lingerTimeout = 2 * time.Second
	// maxLingerBytes is the maximum number of bytes read and discarded.
	maxLingerBytes = 64 << 20
)

// lingerListener accepts connections that support a lingering close. Closing a
// socket with unread input resets the connection, and a client may then lose the
// answer that says why its request was refused.
type lingerListener struct{ net.Listener }

// Accept waits for the next connection.
func (l lingerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lingerConn{Conn: conn}, nil
}

// lingerConn is a connection whose Close reads and discards the remaining input
// first, if enableLinger was called.
type lingerConn struct {
	net.Conn
	// enabled is set by enableLinger.
	enabled atomic.Bool
}

// enableLinger makes Close of a lingerConn discard the remaining input first,
// up to lingerTimeout and maxLingerBytes. Other connections are left as they
// are.
func enableLinger(conn net.Conn) {
	if tlsConn, ok := conn.(*tls.Conn); ok {
		conn = tlsConn.NetConn()
	}
	if l, ok := conn.(*lingerConn); ok {
		l.enabled.Store(true)
	}
}

// Close closes the connection.
func (c *lingerConn) Close() error {
	if c.enabled.Swap(false) {
		c.discardInput()
	}
	return c.Conn.Close()
}

// discardInput shuts down the sending side, so that the client sees the end of
// the answer, and discards the remaining input.
func (c *lingerConn) discardInput() {
	if writeCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = writeCloser.CloseWrite()
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, maxLingerBytes))
}
