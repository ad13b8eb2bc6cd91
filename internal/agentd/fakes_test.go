package agentd

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactuspost.example/internal/actor"
	"cactuspost.example/internal/agent"
	"cactuspost.example/internal/settings"
	"cactuspost.example/internal/standin"
	"cactuspost.example/internal/structs"
	"cactuspost.example/internal/wire"
)

// collector passes the messages of an inbox to a channel.
type collector[M any] struct{ messages chan M }

func (c *collector[M]) Handle(_ time.Time, m M) bool { c.messages <- m; return true }
func (c *collector[M]) Tick(time.Time) bool          { return true }
func (c *collector[M]) Flush(time.Time)              {}

// collect returns an inbox and a channel that receives its messages.
func collect[M any](t *testing.T) (*actor.Inbox[M], <-chan M) {
	t.Helper()
	in := actor.NewInbox[M](64)
	c := &collector[M]{messages: make(chan M, 1024)}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go actor.Run(ctx, in, time.Hour, c)
	return in, c.messages
}

// fakeDecisions replaces the decisions of package agent. It starts every grant,
// sends every result once, dials again whenever there is no link, and is drained
// when it is leaving and no task runs.
type fakeDecisions struct {
	entry    string
	link     agent.LinkID
	up       bool
	dialling bool
	running  int
	leaving  bool
	effects  []agent.Effect
}

func (d *fakeDecisions) Tick(time.Time)  {}
func (d *fakeDecisions) Flush(time.Time) {}

func (d *fakeDecisions) Effects() []agent.Effect {
	if d.link == 0 || !d.up && !d.dialling {
		d.link++
		d.dialling = true
		d.effects = append(d.effects, &agent.Dial{Link: d.link, Address: d.entry})
	}
	if d.leaving && d.running == 0 {
		d.effects = append(d.effects, &agent.Drained{})
	}
	effects := d.effects
	d.effects = nil
	return effects
}

func (d *fakeDecisions) Step(_ time.Time, m agent.Message) {
	switch m := m.(type) {
	case *agent.LinkOpened:
		d.up, d.dialling = true, false
		d.send(&structs.FromAgent{Hello: &structs.Hello{Endpoint: "w1"}})
	case *agent.LinkClosed:
		d.up, d.dialling = false, false
	case *agent.EntryMessage:
		for _, g := range m.Message.Grants {
			d.running++
			d.effects = append(d.effects, &agent.StartTask{Grant: g})
		}
		for _, id := range m.Message.Cancels {
			d.effects = append(d.effects, &agent.StopTask{Grant: id})
		}
	case *agent.TaskExited:
		d.running--
		d.send(&structs.FromAgent{Results: []structs.Result{{Grant: m.Grant, Outcome: m.Outcome, Payload: m.Payload}}})
	case *agent.Stop:
		d.leaving = true
	case *agent.Inspect:
		d.effects = append(d.effects, &agent.Inspected{Reply: m.Reply, View: agent.View{Leaving: d.leaving}})
	}
}

func (d *fakeDecisions) send(m *structs.FromAgent) {
	d.effects = append(d.effects, &agent.Send{Link: d.link, Message: m})
}

// fakeEntry is the entry's side of one connection.
type fakeEntry struct {
	is   *is.I
	conn net.Conn
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func accept(t *testing.T, l net.Listener) *fakeEntry {
	t.Helper()
	conn, err := l.Accept()
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	return &fakeEntry{is: is.New(t), conn: conn}
}

func (e *fakeEntry) send(m *structs.FromEntry) {
	e.is.Helper()
	frame, err := wire.AppendFromEntry(nil, m)
	e.is.NoErr(err)
	_, err = e.conn.Write(frame)
	e.is.NoErr(err)
}

// receive returns the next message that is not a heartbeat, or nil when the
// connection has ended.
func (e *fakeEntry) receive() *structs.FromAgent {
	e.is.Helper()
	for {
		if m := e.receiveAny(); m == nil || !m.Heartbeat {
			return m
		}
	}
}

// receiveAny returns the next message, or nil when the connection has ended.
func (e *fakeEntry) receiveAny() *structs.FromAgent {
	e.is.Helper()
	header := make([]byte, wire.HeaderBytes)
	if _, err := io.ReadFull(e.conn, header); err != nil {
		return nil
	}
	size, err := wire.FrameLength(header)
	e.is.NoErr(err)
	body := make([]byte, size)
	_, err = io.ReadFull(e.conn, body)
	e.is.NoErr(err)
	m, err := wire.DecodeFromAgent(body)
	e.is.NoErr(err)
	return m
}

func startEndpoint(t *testing.T) *standin.Endpoint {
	t.Helper()
	e, err := standin.StartEndpoint(standin.EndpointOptions{Listen: "127.0.0.1:0"})
	is.New(t).NoErr(err)
	t.Cleanup(e.Kill)
	return e
}

func newGrant(task uint32, payload string) structs.Grant {
	return structs.Grant{ID: structs.GrantID{Owner: 1, Job: 1, Task: task, Attempt: 1}, Service: "s", Kind: "k", Payload: []byte(payload)}
}

func testConfig(endpoint, entry string) Config {
	return Config{Agent: settings.Agent{
		Endpoint: "w1", Pool: "p", DataCentre: "Matane", EndpointAddress: endpoint, HTTPAddress: "127.0.0.1:0",
		Entries: []string{entry}, Slots: 8, Connections: 64, Capacity: structs.Needs{Cores: 16, MemoryMB: 32768},
	}}
}
