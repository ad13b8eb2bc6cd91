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
	// lingerTime is how long the rest of the request is read and discarded.
	lingerTime = 2 * time.Second
	// lingerBytes is the maximum number of bytes read and discarded.
	lingerBytes = 64 << 20
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
// first, if linger was called.
type lingerConn struct {
	net.Conn
	lingers atomic.Bool
}

// linger makes Close of a lingerConn discard the remaining input first, up to
// lingerTime and lingerBytes. Other connections are left as they are.
func linger(conn net.Conn) {
	if encrypted, ok := conn.(*tls.Conn); ok {
		conn = encrypted.NetConn()
	}
	if l, ok := conn.(*lingerConn); ok {
		l.lingers.Store(true)
	}
}

// Close closes the connection.
func (c *lingerConn) Close() error {
	if c.lingers.Swap(false) {
		c.drop()
	}
	return c.Conn.Close()
}

// drop shuts down the sending side, so that the client sees the end of the
// answer, and discards the remaining input.
func (c *lingerConn) drop() {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, lingerBytes))
}
