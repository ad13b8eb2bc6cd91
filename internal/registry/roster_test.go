package registry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cactuspost.example/internal/structs"
)

func newEntry(i structs.Incarnation, expiry time.Time) Entry {
	return Entry{Record: Record{Peer: peer(i), StartedMS: epoch.UnixMilli(), ExpiryMS: expiry.UnixMilli()}, Version: 1}
}

// published returns the incarnations in the last published list, or nil.
func published(effects []Effect) []structs.Incarnation {
	var list []structs.Incarnation
	for _, e := range effects {
		if p, ok := e.(Publish); ok {
			list = []structs.Incarnation{}
			for _, peer := range p.Peers {
				list = append(list, peer.Incarnation)
			}
		}
	}
	return list
}

func TestRosterListsLiveInstancesAndItself(t *testing.T) {
	is := is.New(t)
	r := NewRoster(peer(1))
	rows := []Entry{newEntry(2, epoch.Add(LeaseDuration)), newEntry(3, epoch.Add(-ClockMargin))}
	r.Listed(epoch, rows)
	is.Equal(published(r.Effects()), []structs.Incarnation{1, 2})
	r.Listed(epoch, rows)
	is.Equal(len(r.Effects()), 0) // nothing changed
	r.Leave()
	is.Equal(published(r.Effects()), []structs.Incarnation{2})
}

func TestRosterKeepsItsListThroughAnOutage(t *testing.T) {
	is := is.New(t)
	r := NewRoster(peer(1))
	rows := []Entry{newEntry(2, epoch.Add(LeaseDuration)), newEntry(3, epoch.Add(LeaseDuration))}
	r.Listed(epoch, rows)
	r.Effects()
	r.Unavailable(epoch.Add(ListPeriod))
	is.Equal(published(r.Effects()), nil)
	// The table is available again; nobody has renewed yet, and the row of
	// instance 3 is gone.
	back := epoch.Add(time.Hour)
	r.Listed(back, rows[:1])
	is.Equal(published(r.Effects()), []structs.Incarnation{1, 2})
	is.Equal(r.State(), "recovering")
	// Instance 2 had time to renew its lease and did not.
	r.Listed(back.Add(LeaseDuration+ClockMargin), rows[:1])
	is.Equal(published(r.Effects()), []structs.Incarnation{1})
	is.Equal(r.State(), "current")
}

func TestRosterWithoutAListWaitsForRenewalsAfterAnOutage(t *testing.T) {
	is := is.New(t)
	r := NewRoster(peer(1))
	r.Unavailable(epoch)
	lapsed := []Entry{newEntry(2, epoch.Add(-time.Minute))}
	r.Listed(epoch, lapsed)
	// A list with only this instance would make agents drop the other instances.
	is.Equal(published(r.Effects()), nil)
	r.Listed(epoch.Add(LeaseDuration+ClockMargin), []Entry{newEntry(2, epoch.Add(time.Minute))})
	is.Equal(published(r.Effects()), []structs.Incarnation{1, 2})
}

func TestRosterDropsASupersededIncarnation(t *testing.T) {
	is := is.New(t)
	r := NewRoster(peer(1))
	old := newEntry(2, epoch.Add(LeaseDuration))
	replacement := newEntry(3, epoch.Add(LeaseDuration))
	replacement.Record.Peer.LinkAddress = old.Record.Peer.LinkAddress
	replacement.Record.StartedMS++
	r.Listed(epoch, []Entry{old, replacement})
	is.Equal(published(r.Effects()), []structs.Incarnation{1, 3})
}

func TestRosterCleansUpABoundedNumberOfOldRows(t *testing.T) {
	is := is.New(t)
	r := NewRoster(peer(1))
	rows := []Entry{newEntry(1, epoch), newEntry(2, epoch.Add(time.Second))}
	for i := range structs.Incarnation(CleanupLimit + 1) {
		rows = append(rows, newEntry(10+i, epoch))
	}
	r.Listed(epoch.Add(CleanupAfter), rows)
	removed := 0
	for _, e := range r.Effects() {
		if c, ok := e.(CleanUp); ok {
			is.True(c.Entry.Record.Peer.Incarnation >= 10) // not itself, not recently expired
			removed++
		}
	}
	is.Equal(removed, CleanupLimit)
}

func TestRosterPublishesSupersededInstances(t *testing.T) {
	is := is.New(t)
	r := NewRoster(peer(1))
	old, successor := newEntry(2, epoch.Add(LeaseDuration)), newEntry(3, epoch.Add(LeaseDuration))
	successor.Record.Peer.LinkAddress = old.Record.Peer.LinkAddress
	successor.Record.StartedMS++
	rows := []Entry{old, successor}
	superseded := PublishSuperseded{Peers: []structs.Peer{old.Record.Peer}}
	r.Listed(epoch, rows)
	effects := r.Effects()
	is.Equal(published(effects), []structs.Incarnation{1, 3})
	is.Equal(effects[len(effects)-1], superseded)
	r.Listed(epoch, rows)
	is.Equal(len(r.Effects()), 0) // nothing changed
	// The row outlives the lease, so the instance is still known as superseded.
	r.Listed(epoch.Add(LeaseDuration+ClockMargin), rows[:1])
	r.Effects()
	r.Listed(epoch.Add(LeaseDuration+ClockMargin), rows)
	effects = r.Effects()
	is.Equal(effects[len(effects)-1], superseded)
}
