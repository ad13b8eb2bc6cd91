package entryd

import (
	"crypto/tls"
	"io"
	"net"
	"sync/atomic"
	"time"
)

// Bounds of a connection that is closed before its request was read.
const (
	// lingerTime bounds the time for which the rest is read and dropped.
	lingerTime = 2 * time.Second
	// lingerBytes bounds the rest.
	lingerBytes = 64 << 20
)

// lingerListener accepts connections that can be closed without losing the
// answer: closing a socket with unread bytes resets it, and the client may not
// see why its request was refused.
type lingerListener struct{ net.Listener }

// Accept waits for the next connection.
func (l lingerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lingerConn{Conn: conn}, nil
}

// lingerConn reads and drops what the client still sends before it closes, if
// linger was called.
type lingerConn struct {
	net.Conn
	lingers atomic.Bool
}

// linger makes Close wait for the client, within bounds.
func linger(conn net.Conn) {
	if encrypted, ok := conn.(*tls.Conn); ok {
		conn = encrypted.NetConn()
	}
	if l, ok := conn.(*lingerConn); ok {
		l.lingers.Store(true)
	}
}

// Close ends the connection.
func (c *lingerConn) Close() error {
	if c.lingers.Swap(false) {
		c.drop()
	}
	return c.Conn.Close()
}

func (c *lingerConn) drop() {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, lingerBytes))
}
