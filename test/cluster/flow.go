package cluster

import (
	"io"
	"net"
	"time"
)

// flowDelay is the delay after each read from a delayed direction.
const flowDelay = 40 * time.Millisecond

// flowMode describes how the bytes of one direction are held back or delayed.
type flowMode struct {
	held  bool
	delay time.Duration
}

// flow is one direction of a connection. Its goroutine only copies bytes; the
// owner of the connection sends it modes and stops it by closing the connection.
type flow struct {
	modes  chan flowMode
	closed chan struct{}
}

func newFlow(mode flowMode) *flow {
	f := &flow{modes: make(chan flowMode, 1), closed: make(chan struct{})}
	f.modes <- mode
	return f
}

// set replaces the mode. Only the owner of the connection calls it.
func (f *flow) set(mode flowMode) {
	select {
	case <-f.modes:
	default:
	}
	f.modes <- mode
}

// copy forwards bytes until one side ends. It returns nil after an orderly end
// of the stream.
func (f *flow) copy(to, from net.Conn) error {
	mode := <-f.modes
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		mode = f.wait(mode)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return to.(*net.TCPConn).CloseWrite()
		}
		if err != nil {
			return err
		}
	}
}

// wait blocks until bytes may be forwarded and returns the current mode.
func (f *flow) wait(mode flowMode) flowMode {
	select {
	case mode = <-f.modes:
	default:
	}
	if mode.delay > 0 {
		time.Sleep(mode.delay)
	}
	for mode.held {
		select {
		case mode = <-f.modes:
		case <-f.closed:
			return mode
		}
	}
	return mode
}
