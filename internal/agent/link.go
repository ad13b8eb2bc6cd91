package agent

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"cactuspost.example/internal/chart"
	"cactuspost.example/internal/event"
	"cactuspost.example/internal/structs"
)

// link is what the agent keeps about one entry: its connection, if there is one,
// and the state that outlives a connection.
type link struct {
	address string
	// seed is set if the address comes from the settings; the link is then never
	// forgotten.
	seed bool
	// listed is set if the latest list of entries has the entry.
	listed bool
	state  chart.State
	// id is the latest attempt to connect.
	id LinkID
	// incarnation is that of the entry whose grants the agent holds, and
	// welcomedIncarnation the one in the latest welcome. If they differ, the entry
	// was replaced, and its successor's is adopted.
	incarnation         structs.Incarnation
	welcomedIncarnation structs.Incarnation
	// session is the first connection since which the agent has kept every grant
	// of the entry. Zero means that the next connection begins a new session.
	session LinkID
	// paced is set if the entry sends heartbeats less often while openGrants is zero.
	paced bool
	// openGrants counts the entry's grants that are queued or run here.
	openGrants int
	// established is set from the welcome to the end of the connection.
	established bool
	// released is set once the entry has reported that it holds no grant at the
	// leaving agent and will send none.
	released bool
	// entryLeaving is set while the entry is draining: it accepts no new jobs, and
	// gets only the credits that it asks for to finish those it has accepted.
	entryLeaving bool

	retry    *backoff.ExponentialBackOff
	retryAt  time.Time
	graceEnd time.Time
	// lastReceivedAt is when the connection was opened or last carried a message
	// from the entry.
	lastReceivedAt time.Time
	// confirmedAt is when the newest message was sent that the entry has read on the
	// latest connection. Zero means that the entry doesn't report it.
	confirmedAt time.Time

	// vouchedAt is when the newest message was sent that the entry has handled, with all
	// that it had heard before, on any connection to it. An entry that doesn't report this
	// counts as having handled what it has confirmed.
	vouchedAt time.Time
	// handles is set once the entry in its known incarnation has reported what it has
	// handled. Its confirmations alone vouch for nothing any more.
	handles bool

	// credits counts the credits that the entry holds.
	credits structs.Credits
	// demand is the entry's demand, less the credits offered for it since.
	demand structs.Demand

	// outgoing collects the next message to the entry; nil means there is none.
	outgoing *structs.FromAgent
	// reportedIdle is the number of idle credits in the last message to the entry,
	// reportedAt the time of that message.
	reportedIdle uint32
	reportedAt   time.Time
}

// outgoingMessage returns the next message to the entry, which flushLink sends.
func (l *link) outgoingMessage() *structs.FromAgent {
	if l.outgoing == nil {
		l.outgoing = &structs.FromAgent{}
	}
	return l.outgoing
}

func (l *link) view() LinkView {
	return LinkView{
		Address: l.address, Entry: l.incarnation, State: linkChart.StateName(l.state),
		Credits: int(l.credits.Total()), Outstanding: int(l.demand.Short + l.demand.Long),
	}
}

func (c *Core) addLink(address string, seed bool) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = c.tuning.MinRetryDelay
	retry.MaxInterval = c.tuning.MaxRetryDelay
	// scheduleRetry adds the jitter from the core's seeded generator.
	retry.RandomizationFactor = 0
	c.links = append(c.links, &link{address: address, seed: seed, listed: true, state: linkChart.Initial(), retry: retry})
}

func (c *Core) fireLink(l *link, e chart.Event) bool {
	return linkChart.Fire(&l.state, e, linkContext{core: c, link: l, event: e})
}

func (c *Core) tickLink(l *link) {
	if !l.graceEnd.IsZero() && !c.now.Before(l.graceEnd) {
		if c.fireLink(l, linkEvents.GraceOver) {
			l.graceEnd = time.Time{}
		}
	}
	if l.state == linkStates.Waiting && !l.listed && !l.seed {
		c.fireLink(l, linkEvents.Unlisted)
		c.logEvent(event.EntryRemoved, l.address, structs.GrantID{}, "")
	}
	if !c.now.Before(l.retryAt) && c.shouldConnect(l) {
		c.fireLink(l, linkEvents.Retry)
	}
	c.closeIfSilent(l)
}

// closeIfSilent closes the link if the entry may have closed it, and reports whether
// it did.
func (c *Core) closeIfSilent(l *link) bool {
	if !c.linkSilent(l) {
		return false
	}
	if l.state == linkStates.Up {
		c.logEvent(event.LinkSilent, l.address, structs.GrantID{}, c.silenceDetail(l), c.linkFields(l)...)
	}
	c.fireLink(l, linkEvents.Silent)
	return true
}

// silenceDetail says how old the signs of life of the entry are.
func (c *Core) silenceDetail(l *link) string {
	received, confirmed := c.silenceLimits(l)
	detail := fmt.Sprintf("received %d ms ago, limit %d ms", c.now.Sub(l.lastReceivedAt).Milliseconds(), received.Milliseconds())
	if !l.confirmedAt.IsZero() {
		detail += fmt.Sprintf("; confirmed %d ms ago, limit %d ms", c.now.Sub(l.confirmedAt).Milliseconds(), confirmed.Milliseconds())
	}
	if l.handles && c.tuning.MaxUnheard > 0 && !l.idle() {
		detail += fmt.Sprintf("; handled %d ms ago, limit %d ms", c.now.Sub(l.vouchedAt).Milliseconds(), (c.tuning.MaxUnheard - stopTime).Milliseconds())
	}
	return detail
}

// linkSilent reports whether the entry may have closed the link: nothing has arrived
// for too long, or only messages that don't show that the entry still reads what the
// agent sends. The latter may have been under way since before the entry closed the
// link, and the entry then runs the tasks elsewhere. Nor is a link of use whose entry
// reads messages but is behind: a client may have disconnected and have its job run
// elsewhere.
func (c *Core) linkSilent(l *link) bool {
	received, confirmed := c.silenceLimits(l)
	if c.now.Sub(l.lastReceivedAt) > received || (!l.idle() && c.handlingOverdue(l)) {
		return true
	}
	return !l.confirmedAt.IsZero() && c.now.Sub(l.confirmedAt) > confirmed
}

// silenceLimits returns how old the last message of the entry and its newest
// confirmation may be. Nothing can outlive the entry on a link without open grants, so
// the entry is given more time there.
func (c *Core) silenceLimits(l *link) (received, confirmed time.Duration) {
	if l.idle() {
		return c.tuning.IdleSilenceTimeout, c.tuning.IdleSilenceTimeout
	}
	return c.tuning.SilenceTimeout, c.tuning.ConfirmTimeout
}

// idle reports whether both sides send heartbeats at the slower pace on the link.
func (l *link) idle() bool { return l.paced && l.openGrants == 0 }

// confirmedRecently reports whether a grant that has just arrived may be accepted. The
// entry had read the newest confirmed message before it sent the grant, so the age of
// the confirmation bounds the age of the grant. On an idle link the rest of
// ConfirmTimeout has to suffice for the next confirmation.
func (c *Core) confirmedRecently(l *link) bool {
	if !l.idle() || l.confirmedAt.IsZero() {
		return true
	}
	oldest := c.now.Add(confirmExchange - c.tuning.ConfirmTimeout)
	return !l.confirmedAt.Before(oldest) && c.boundOutlastsLease(l)
}

// mayStart reports whether grants of the link's entry may be started.
func (c *Core) mayStart(l *link) bool {
	return l.state == linkStates.Up && !c.linkSilent(l) && c.boundOutlastsLease(l)
}

// recordConfirmation notes the newest message that the entry has read.
func (c *Core) recordConfirmation(l *link, seen structs.Stamp) {
	if seen == 0 {
		return
	}
	sentAt := c.opts.Clock.Time(seen)
	if sentAt.After(l.confirmedAt) && !sentAt.After(c.now) {
		l.confirmedAt = sentAt
	}
}

// startGrace starts the time after which the entry's runs are abandoned. The entry
// has heard nothing since the newest confirmed message, so its own time for the
// agent may have started long before this. That matters only for open grants; without
// them there may be results to send again.
func (c *Core) startGrace(l *link) {
	l.graceEnd = c.now.Add(c.tuning.EntryGrace)
	if l.confirmedAt.IsZero() || l.openGrants == 0 {
		return
	}
	longest := max(c.tuning.ConfirmTimeout+reconnectTime, c.tuning.SilenceTimeout+c.tuning.EntryGrace)
	l.endGraceBy(l.confirmedAt.Add(longest))
	if l.handles && c.tuning.MaxUnheard > 0 {
		l.endGraceBy(c.endBy(l).Add(-stopTime))
	}
}

func (l *link) endGraceBy(latest time.Time) {
	if latest.Before(l.graceEnd) {
		l.graceEnd = latest
	}
}

// shouldConnect reports whether the agent may and should connect to the entry. It
// must not while tasks may run which the entry would take for lost and run again
// elsewhere: tasks of a predecessor, and orphaned runs of the entry. A leaving
// agent connects only to deliver results.
func (c *Core) shouldConnect(l *link) bool {
	if !c.predecessorEnded || (l.session == 0 && c.hasOrphanedRuns(l)) {
		return false
	}
	return !c.leaving() || len(c.runsOfEntry(l)) > 0
}

// hasOrphanedRuns reports whether abandoned runs of the entry have not ended yet.
// Those of its present incarnation count under whatever address it granted them.
func (c *Core) hasOrphanedRuns(l *link) bool {
	for _, r := range c.runs {
		if r.state == runStates.Orphaned && (r.link.address == l.address || r.grant.ID.Owner == l.incarnation) {
			return true
		}
	}
	return false
}

func (c *Core) removeForgottenLinks() {
	c.links = slices.DeleteFunc(c.links, func(l *link) bool { return l.state == linkStates.Forgotten })
}

func (c *Core) dial(l *link) {
	c.lastLinkID++
	l.id = c.lastLinkID
	l.confirmedAt = time.Time{}
	l.paced = false
	if l.session == 0 {
		l.session = l.id
	}
	c.linksByID[l.id] = l
	c.emit(&Dial{Link: l.id, Address: l.address})
}

func (c *Core) handleLinkOpened(id LinkID) {
	if l := c.linksByID[id]; l != nil {
		l.lastReceivedAt = c.now
		c.fireLink(l, linkEvents.Connected)
	}
}

func (c *Core) handleLinkClosed(id LinkID) {
	l := c.linksByID[id]
	if l == nil {
		return
	}
	delete(c.linksByID, id)
	if l.state == linkStates.Up && !l.entryLeaving {
		c.logEvent(event.LinkBroken, l.address, structs.GrantID{}, "", c.linkFields(l)...)
	}
	l.outgoing = nil
	l.established = false
	c.fireLink(l, linkEvents.Broken)
}

// closeLink closes a connection; messages that still arrive on it are ignored.
func (c *Core) closeLink(l *link) {
	delete(c.linksByID, l.id)
	l.outgoing = nil
	l.established = false
	c.emit(&CloseLink{Link: l.id})
}

func (c *Core) scheduleRetry(l *link) {
	delay := l.retry.NextBackOff()
	jitter := time.Duration(c.rng.Int64N(int64(delay)/2 + 1))
	l.retryAt = c.now.Add(delay/2 + jitter)
}

// sendHello sends the list of all runs. The entry concludes from it that its
// other grants were not started and never will be: grants still unread on an
// earlier connection are ignored from here on. The list includes the grants of
// other entries, since it isn't known yet which incarnation will answer.
func (c *Core) sendHello(l *link) {
	hello := &structs.Hello{
		Endpoint: c.opts.Endpoint, Incarnation: c.opts.Incarnation, Tenure: c.tenure, Connection: uint64(l.id), Session: uint64(l.session), Pool: c.opts.Pool, DataCentre: c.opts.DataCentre,
		Slots: uint32(c.opts.Slots), Capacity: c.opts.Capacity, Divided: c.opts.Divided, Leaving: c.leaving(),
		Paced: c.tuning.IdleHeartbeat > 0,
	}
	for _, r := range c.sortedRuns() {
		hello.Held = append(hello.Held, r.grant.ID)
	}
	l.outgoingMessage().Hello = hello
	l.outgoingMessage().Revision = c.revision()
}

func (c *Core) handleEntryMessage(m *EntryMessage) {
	l := c.linksByID[m.Link]
	if l == nil {
		return
	}
	l.lastReceivedAt = c.now
	c.recordConfirmation(l, m.Message.Seen)
	vouchedBefore := l.vouchedAt
	if l.state == linkStates.Up { // a message that vouches keeps the link; before the welcome none does
		c.vouch(l, m.Message.Handled)
	}
	if c.closeIfSilent(l) {
		return
	}
	if m.Message.Welcome != nil {
		c.handleWelcome(l, m.Message.Welcome)
	}
	if l.state != linkStates.Up {
		return
	}
	c.vouch(l, m.Message.Handled)
	c.adoptConfig(m.Message.Config)
	c.setPeers(m.Message.Peers)
	if m.Message.ConfigWanted {
		l.outgoingMessage().Config = c.config
	}
	c.handleAcks(m.Message.Acks)
	for i := range m.Message.Grants {
		c.handleGrant(l, &m.Message.Grants[i])
	}
	for _, id := range m.Message.Cancels {
		if r := c.runs[id]; r != nil {
			c.cancelRun(r, vouchedBefore)
		}
	}
	l.released = l.released || m.Message.Released
	if m.Message.Leaving {
		l.entryLeaving = true
		c.withdrawLinkCredits(l)
	}
	if m.Message.Demand != nil {
		c.handleDemand(l, m.Message.Demand)
	}
}

func (c *Core) handleWelcome(l *link, w *structs.Welcome) {
	l.welcomedIncarnation = w.Entry.Incarnation
	l.entryLeaving = false
	l.paced = w.Paced && c.tuning.IdleHeartbeat > 0
	l.established = true
	l.released = false
	if l.incarnation != 0 && l.incarnation != l.welcomedIncarnation {
		c.logEvent(event.EntryReplaced, l.address, structs.GrantID{}, "")
	}
	c.fireLink(l, linkEvents.Welcomed)
	c.dropDuplicateLink(l)
	c.logEvent(event.LinkUp, l.address, structs.GrantID{}, "", c.linkFields(l)...)
	if w.Revision < c.revision() {
		l.outgoingMessage().Config = c.config
	}
}

// dropDuplicateLink closes one of two links to the same entry under two addresses:
// the entry keeps one session with the agent, so each hello would end the other
// link, and the two would reconnect in turn for ever.
func (c *Core) dropDuplicateLink(l *link) {
	for _, other := range c.links {
		if other == l || other.incarnation != l.incarnation || l.incarnation == 0 {
			continue
		}
		kept, dropped := other, l
		if l.seed && !other.seed {
			kept, dropped = l, other
		}
		// The entry has the session of the latest hello.
		kept.session = l.session
		for _, r := range c.runs {
			if r.link == dropped {
				r.moveTo(kept)
			}
		}
		c.dropLink(dropped)
	}
}

// dropLink closes a duplicate link without abandoning the runs of its entry:
// those go on over the link that is kept.
func (c *Core) dropLink(l *link) {
	l.incarnation = 0
	l.seed = false
	l.listed = false
	c.fireLink(l, linkEvents.Silent)
}

func (c *Core) adoptIncarnation(l *link) {
	l.incarnation = l.welcomedIncarnation
	l.handles = false
}

// startExchange resets a link that has come up, tells the entry the agent's
// revision and whether it is leaving, and frees a share of the slots for it.
func (c *Core) startExchange(l *link) {
	l.graceEnd = time.Time{}
	l.retry.Reset()
	l.demand = structs.Demand{}
	m := l.outgoingMessage()
	m.Revision = c.revision()
	m.Leaving = c.leaving()
	c.rebalanceCredits(l)
}

// setPeers takes a list of entries: it adds links to those that are new and marks
// the links to those that are no longer listed. It ignores an empty list.
func (c *Core) setPeers(peers []structs.Peer) {
	if len(peers) == 0 {
		return
	}
	for _, l := range c.links {
		l.listed = false
	}
	for _, p := range peers {
		if l := c.findLink(p); l != nil {
			l.listed = true
			continue
		}
		c.addLink(p.LinkAddress, false)
	}
}

// findEntriesAfter is how long the agent tries to reach the entries that it knows
// before it asks for the list of entries. It is enough for several attempts at
// each.
const findEntriesAfter = time.Second

// findEntries asks for the list of entries while no link is up, at most once every
// findEntriesAfter.
func (c *Core) findEntries() {
	if c.noLinkUpSince.IsZero() || c.leaving() || !c.predecessorEnded || c.anyLinkUp() {
		c.noLinkUpSince = c.now
		return
	}
	if c.now.Sub(c.noLinkUpSince) >= findEntriesAfter {
		c.noLinkUpSince = c.now
		c.emit(&FindEntries{})
	}
}

func (c *Core) anyLinkUp() bool {
	return slices.ContainsFunc(c.links, func(l *link) bool { return l.state == linkStates.Up })
}

// findLink returns the link to an entry or nil. It looks for the incarnation first,
// since the entry may be known under another address, then for the address.
func (c *Core) findLink(p structs.Peer) *link {
	for _, l := range c.links {
		if l.incarnation != 0 && l.incarnation == p.Incarnation {
			return l
		}
	}
	for _, l := range c.links {
		if l.address == p.LinkAddress {
			return l
		}
	}
	return nil
}

const (
	// idleReportInterval is the least time between a message and the next one that
	// only reports idle slots. It equals the heartbeat interval, since each of
	// these messages replaces a heartbeat.
	idleReportInterval = 150 * time.Millisecond
	// idleReportThreshold is the change of the idle slots, as a share of all
	// slots, above which they are reported.
	idleReportThreshold = 0.05
)

// reportIdleSlots prepares a message to an entry if the number of idle slots has
// changed enough: the entry uses the number to place queued grants, which use no
// credit. Only divided slots need this: with others every grant uses a credit. On an
// idle link, too, each of these messages replaces a heartbeat.
func (c *Core) reportIdleSlots(l *link) {
	interval := idleReportInterval
	if l.idle() {
		interval = c.tuning.IdleHeartbeat
	}
	if !c.opts.Divided || l.outgoing != nil || l.state != linkStates.Up || c.now.Sub(l.reportedAt) < interval {
		return
	}
	difference := int(c.idleSlots(l)) - int(l.reportedIdle)
	if math.Abs(float64(difference)) > idleReportThreshold*float64(len(c.slots)) {
		l.outgoingMessage()
	}
}

// flushLink sends the collected message, if there is one and the link can carry
// it.
func (c *Core) flushLink(l *link) {
	if l.outgoing == nil || (l.state != linkStates.Up && l.state != linkStates.Greeting) {
		return
	}
	l.outgoing.Idle = c.idleSlots(l)
	l.outgoing.Waiting = c.slotsWaiting()
	l.outgoing.Busy = !l.idle()
	l.reportedIdle = l.outgoing.Idle
	l.reportedAt = c.now
	c.emit(&Send{Link: l.id, Message: l.outgoing})
	l.outgoing = nil
}

// idleSlots counts the slots that a grant of the given entry could take without a
// credit: the credits that other entries without demand leave idle, which may be
// revoked for it, and, while credits are withheld, the free slots. Free slots that
// grants wait for are not idle.
func (c *Core) idleSlots(l *link) uint32 {
	freeCount := c.creditsWithheld && c.endpointUp && !c.leaving()
	if freeCount && len(c.queue) > 0 {
		return 0
	}
	idle := uint32(0)
	for _, s := range c.slots {
		if (freeCount && s.state == slotStates.Free) || (s.link != l && c.creditUnused(s)) {
			idle++
		}
	}
	return idle
}

// slotsWaiting counts the slots that the queued grants need.
func (c *Core) slotsWaiting() uint32 {
	slots := 0
	for _, r := range c.queue {
		slots += r.grant.Credits()
	}
	return uint32(slots)
}

func (l *link) totalDemand() uint32 { return l.demand.Short + l.demand.Long }
