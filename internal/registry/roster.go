package registry

import (
	"slices"
	"strings"
	"time"

	"cactuspost.example/charts"
	"cactuspost.example/internal/chart"
	"cactuspost.example/internal/event"
	"cactuspost.example/internal/structs"
)

var rosterChart = chart.MustCompile(charts.Files, "roster", chart.Bindings[*Roster]{
	Guards: map[string]func(*Roster) bool{
		"has_list":            func(r *Roster) bool { return r.hasList },
		"renewal_time_passed": func(r *Roster) bool { return !r.now.Before(r.recoveredAt.Add(LeaseDuration + ClockMargin)) },
	},
	Actions: map[string]func(*Roster){
		"adopt":            func(r *Roster) { r.adopt(r.live) },
		"adopt_and_retain": func(r *Roster) { r.adopt(r.liveOrListed) },
		"report_outage":    func(r *Roster) { r.report(event.TableUnavailable, "") },
		"report_recovery":  (*Roster).reportRecovery,
	},
})

var rosterEvents struct {
	Listed      chart.Event `chart:"listed"`
	Unavailable chart.Event `chart:"unavailable"`
}

func init() { rosterChart.MustBindNames(&rosterEvents) }

// Roster decides which instances are listed. It does no I/O and is not safe for
// concurrent use.
type Roster struct {
	state chart.State
	self  structs.Peer
	// leaving excludes this instance from the list.
	leaving bool
	// hasList reports whether a list has been published.
	hasList         bool
	peers           []structs.Peer
	supersededPeers []structs.Peer
	rows            []Entry
	// recoveredAt is when the table could be read again after the last outage.
	recoveredAt time.Time
	now         time.Time
	effects     []Effect
}

// NewRoster returns the roster of an instance. The instance itself is listed from
// the first list on.
func NewRoster(self structs.Peer) *Roster {
	return &Roster{state: rosterChart.Initial(), self: self}
}

// Listed handles the rows of all instances. It emits Publish and
// PublishSuperseded for lists that changed, CleanUp for rows that expired long
// ago, and LogEvent.
func (r *Roster) Listed(now time.Time, rows []Entry) {
	r.now = now
	r.rows = rows
	rosterChart.Fire(&r.state, rosterEvents.Listed, r)
	r.cleanUp()
}

// Unavailable handles a failure to read the rows: the last list is kept.
func (r *Roster) Unavailable(now time.Time) {
	r.now = now
	rosterChart.Fire(&r.state, rosterEvents.Unavailable, r)
}

// Leave removes this instance from the list.
func (r *Roster) Leave() {
	r.leaving = true
	if r.hasList {
		r.publish(slices.DeleteFunc(slices.Clone(r.peers), r.isSelf))
	}
}

// Effects returns the pending effects in the order in which they must be executed,
// and clears them.
func (r *Roster) Effects() []Effect {
	effects := r.effects
	r.effects = nil
	return effects
}

// State returns the name of the current state in the roster chart.
func (r *Roster) State() string { return rosterChart.StateName(r.state) }

func (r *Roster) report(id event.ID, detail string) {
	r.effects = append(r.effects, LogEvent{Event: id, Detail: detail})
}

func (r *Roster) reportRecovery() {
	r.recoveredAt = r.now
	r.report(event.TableAvailable, "")
}

func (r *Roster) isSelf(p structs.Peer) bool { return p.Incarnation == r.self.Incarnation }

func (r *Roster) live(e Entry) bool { return r.now.Before(e.Record.Expiry().Add(ClockMargin)) }

func (r *Roster) liveOrListed(e Entry) bool {
	return r.live(e) || slices.ContainsFunc(r.peers, func(p structs.Peer) bool {
		return p.Incarnation == e.Record.Peer.Incarnation
	})
}

// adopt publishes a list of this instance and of the other instances for which
// include returns true, without those that are superseded.
func (r *Roster) adopt(include func(Entry) bool) {
	var peers []structs.Peer
	if !r.leaving {
		peers = append(peers, r.self)
	}
	for _, e := range r.rows {
		if !r.isSelf(e.Record.Peer) && include(e) && !r.isSuperseded(e) {
			peers = append(peers, e.Record.Peer)
		}
	}
	sortPeers(peers)
	r.publish(peers)
	r.publishSuperseded()
}

// publishSuperseded publishes the instances whose addresses are served by later
// ones. Their rows are kept for as long as clients may ask for their jobs.
func (r *Roster) publishSuperseded() {
	var superseded []structs.Peer
	for _, e := range r.rows {
		if !r.isSelf(e.Record.Peer) && r.isSuperseded(e) {
			superseded = append(superseded, e.Record.Peer)
		}
	}
	sortPeers(superseded)
	if slices.Equal(superseded, r.supersededPeers) {
		return
	}
	r.supersededPeers = superseded
	r.effects = append(r.effects, PublishSuperseded{Peers: slices.Clone(superseded)})
}

func sortPeers(peers []structs.Peer) {
	slices.SortFunc(peers, func(a, b structs.Peer) int {
		return strings.Compare(a.Incarnation.String(), b.Incarnation.String())
	})
}

// isSuperseded reports whether a later incarnation serves the same address.
func (r *Roster) isSuperseded(e Entry) bool {
	return slices.ContainsFunc(r.rows, func(other Entry) bool {
		sameAddress := other.Record.Peer.LinkAddress == e.Record.Peer.LinkAddress
		return sameAddress && other.Record.StartedMS > e.Record.StartedMS
	})
}

func (r *Roster) publish(peers []structs.Peer) {
	if r.hasList && slices.Equal(peers, r.peers) {
		return
	}
	r.hasList = true
	r.peers = peers
	r.effects = append(r.effects, Publish{Peers: slices.Clone(peers)})
	r.report(event.PeersChanged, peerNames(peers))
}

func peerNames(peers []structs.Peer) string {
	var names []string
	for _, p := range peers {
		names = append(names, p.Name)
	}
	return strings.Join(names, " ")
}

// cleanUp removes a bounded number of rows that expired long ago.
func (r *Roster) cleanUp() {
	removed := 0
	for _, e := range r.rows {
		if removed == CleanupLimit {
			return
		}
		if r.isSelf(e.Record.Peer) || r.now.Before(e.Record.Expiry().Add(CleanupAfter)) {
			continue
		}
		r.effects = append(r.effects, CleanUp{Entry: e})
		removed++
	}
}
