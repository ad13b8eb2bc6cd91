package registry

import (
	"context"
	"flag"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactuspost.example/internal/event"
	"cactuspost.example/internal/standin"
	"cactuspost.example/internal/structs"
	"cactuspost.example/internal/table"
)

// TestMain fixes the seed of the randomized tests; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// instance is a registry that is called directly by the test, with a simulated
// clock.
type instance struct {
	*Registry
	now    time.Time
	peers  []structs.Peer
	events []event.ID
}

func newInstance(store table.Store, i structs.Incarnation) *instance {
	in := &instance{now: epoch}
	in.Registry = New(Options{
		Self:         peer(i),
		Store:        store,
		PublishPeers: func(list []structs.Peer) { in.peers = list },
		ReportEvent:  func(id event.ID, _ string) { in.events = append(in.events, id) },
		Now:          func() time.Time { return in.now },
	})
	return in
}

func (in *instance) tickAt(now time.Time) {
	in.now = now
	in.Tick(now)
}

func TestInstancesDiscoverEachOtherAndLeave(t *testing.T) {
	is := is.New(t)
	store := standin.NewTable()
	defer store.Close()
	a, b := newInstance(store, 1), newInstance(store, 2)
	a.tickAt(epoch)
	b.tickAt(epoch)
	a.tickAt(epoch.Add(ListPeriod))
	is.Equal(a.peers, []structs.Peer{peer(1), peer(2)})
	is.Equal(b.peers, []structs.Peer{peer(1), peer(2)})
	is.True(!b.Handle(b.now, Stop{})) // the planned stop is complete
	is.Equal(b.peers, []structs.Peer{peer(1)})
	a.tickAt(epoch.Add(2 * ListPeriod))
	is.Equal(a.peers, []structs.Peer{peer(1)})
}

func TestInstancesKeepEachOtherThroughALongOutage(t *testing.T) {
	is := is.New(t)
	store := standin.NewTable()
	defer store.Close()
	a, b := newInstance(store, 1), newInstance(store, 2)
	b.tickAt(epoch)
	a.tickAt(epoch)
	both := []structs.Peer{peer(1), peer(2)}
	is.Equal(a.peers, both)
	store.SetFaults(standin.Faults{Down: true})
	now := epoch
	for range 100 {
		now = now.Add(ListPeriod)
		a.tickAt(now)
		b.tickAt(now)
		is.Equal(a.peers, both)
	}
	is.Equal(a.lease.State(), "lapsed")
	store.SetFaults(standin.Faults{LoseAnswers: 2})
	for range 20 {
		now = now.Add(ListPeriod)
		a.tickAt(now)
		b.tickAt(now)
		is.Equal(a.peers, both)
	}
	is.Equal(a.lease.State(), "held")
	is.Equal(a.roster.State(), "current")
	is.Equal(a.events, []event.ID{
		event.InstanceRegistered, event.PeersChanged, event.TableUnavailable, event.LeaseLapsed, event.TableAvailable,
	})
}

func TestRunEndsAfterAPlannedStop(t *testing.T) {
	is := is.New(t)
	store := standin.NewTable()
	defer store.Close()
	r := New(Options{
		Self: peer(1), Store: store, Now: time.Now,
		PublishPeers: func([]structs.Peer) {}, ReportEvent: func(event.ID, string) {},
	})
	r.Stop()
	r.Run(context.Background())
	<-r.Done()
	rows, err := store.List(context.Background(), prefix)
	is.NoErr(err)
	is.Equal(len(rows), 0)
	is.Equal(store.Counts().Writes, uint64(2)) // registered and removed
}

func TestInvalidRowIsReportedOnceAndSkipped(t *testing.T) {
	is := is.New(t)
	store := standin.NewTable()
	defer store.Close()
	_, err := store.Commit(context.Background(), table.Transaction{table.Put(prefix+"x", 0, []byte("no record"))})
	is.NoErr(err)
	a := newInstance(store, 1)
	a.tickAt(epoch)
	a.tickAt(epoch.Add(ListPeriod))
	is.Equal(a.peers, []structs.Peer{peer(1)})
	is.Equal(a.events, []event.ID{event.InstanceRegistered, event.BadInstanceRow, event.PeersChanged})
}
