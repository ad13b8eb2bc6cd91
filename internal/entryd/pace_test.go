package entryd

import (
	"bytes"
	"regexp"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactuspost.example/internal/dispatch"
	"cactuspost.example/internal/event"
	"cactuspost.example/internal/logging"
	"cactuspost.example/internal/structs"
	"cactuspost.example/internal/wire"
)

// pacedLink returns a link to an agent that sends fewer heartbeats while it is not busy.
func pacedLink(conn *stubConn) *link {
	l := establishedLink(conn, logging.Discard())
	l.server.options.idlePeriod = 2 * time.Hour
	l.paced = true
	return l
}

func (l *link) handle(is *is.I, m *structs.FromAgent) {
	is.Helper()
	l.handleFrame(encodeFrame(is, m)[wire.HeaderBytes:])
}

func TestIdleLinkGetsFewerHeartbeats(t *testing.T) {
	is := is.New(t)
	conn := &stubConn{}
	l := pacedLink(conn)
	defer l.stopHeartbeatTimer()
	l.relax()
	is.Equal(l.period(), 2*time.Hour)
	before := conn.frames
	for range 4 * idleSendPeriods {
		l.periodElapsed()
		l.handle(is, &structs.FromAgent{Heartbeat: true})
	}
	is.Equal(conn.frames, before+4)
}

// The agent's confirmation is old by the time of the first grant, and it has to hear of a
// newer one before it gives the entry up.
func TestFirstGrantOnAnIdleLinkHastensItAndConfirmsTheNextMessage(t *testing.T) {
	is := is.New(t)
	conn := &stubConn{}
	l := pacedLink(conn)
	defer l.stopHeartbeatTimer()
	l.relax()
	l.silentPeriods = defaultSilentPeriods - 1
	l.send(&structs.FromEntry{Grants: []structs.Grant{{}}})
	is.Equal(l.period(), time.Hour)
	is.Equal(l.silentPeriods, 0) // the silence is counted from the grant on
	before := conn.frames
	l.handle(is, &structs.FromAgent{Sent: 7, Busy: true, Started: []structs.GrantID{{}}})
	is.Equal(conn.frames, before+1)
	m, err := wire.DecodeFromEntry(conn.last[wire.HeaderBytes:])
	is.NoErr(err)
	is.Equal(m.Seen, structs.Stamp(7))
	l.send(&structs.FromEntry{Grants: []structs.Grant{{}}})
	l.handle(is, &structs.FromAgent{Sent: 8, Busy: true, Heartbeat: true})
	is.Equal(conn.frames, before+2) // only the second grant: heartbeats confirm from here on
}

// Messages arrive, but they show that the agent has not got the grants: what the entry
// sends is lost.
func TestLinkIsClosedIfTheAgentHearsNothingOfItsGrants(t *testing.T) {
	is := is.New(t)
	conn := &stubConn{}
	l := pacedLink(conn)
	l.relax()
	l.send(&structs.FromEntry{Grants: []structs.Grant{{}}})
	for range defaultSilentPeriods - 1 {
		l.handle(is, &structs.FromAgent{Heartbeat: true})
		l.periodElapsed()
		is.True(!conn.closed)
	}
	l.handle(is, &structs.FromAgent{Heartbeat: true})
	l.periodElapsed()
	is.True(conn.closed)
	l.stopHeartbeatTimer()
}

func TestSilenceIsLoggedWithItsAgePaceAndLimit(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	l := establishedLink(&stubConn{}, logging.New(&out, event.Info))
	defer l.stopHeartbeatTimer()
	l.server.options.idlePeriod = 2 * time.Hour
	l.paced = true
	l.receivedAt = l.receivedAt.Add(-time.Minute)
	l.aliveAt = l.aliveAt.Add(-time.Hour)
	l.relax()
	for range defaultSilentPeriods { // the first of them is a fast one and starts the count anew
		l.periodElapsed()
	}
	want := regexp.MustCompile(`"event":1022,.*"endpoint":"w1","received_ms_ago":60...,"alive_ms_ago":3600...,"pace":"slow","limit_ms":36000000,"busy":false}`)
	is.True(want.Match(out.Bytes()))
	is.Equal(l.end, dispatch.EndedBySilence)
}

func TestAgentOfAnEarlierReleaseIsNotExpectedToSayThatItIsBusy(t *testing.T) {
	is := is.New(t)
	conn := &stubConn{}
	l := pacedLink(conn)
	defer l.stopHeartbeatTimer()
	l.paced = false
	l.send(&structs.FromEntry{Grants: []structs.Grant{{}}})
	for range 3 * defaultSilentPeriods {
		l.handle(is, &structs.FromAgent{Heartbeat: true})
		l.periodElapsed()
	}
	is.True(!conn.closed)
}

// The agent goes over to the slow pace with its result, the entry only after the next scan.
// Fast periods that have passed in between are no silence of a slow agent.
func TestLinkIsNotClosedBetweenTheFastAndTheSlowPace(t *testing.T) {
	is := is.New(t)
	conn := &stubConn{}
	l := pacedLink(conn)
	defer l.stopHeartbeatTimer()
	l.handle(is, &structs.FromAgent{Results: []structs.Result{{}}})
	for range defaultSilentPeriods - 1 {
		l.periodElapsed()
	}
	l.relax()
	for range defaultSilentPeriods - 1 { // as on a link that has been slow for long
		l.periodElapsed()
		is.True(!conn.closed)
	}
	l.periodElapsed()
	is.True(conn.closed)
}
