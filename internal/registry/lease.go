package registry

import (
	"time"

	"cactuspost.example/charts"
	"cactuspost.example/internal/chart"
	"cactuspost.example/internal/event"
	"cactuspost.example/internal/structs"
)

// removeAttempts bounds the attempts to remove the row at a planned stop, one per
// Tick.
const removeAttempts = 5

var leaseChart = chart.MustCompile(charts.Files, "lease", chart.Bindings[*Lease]{
	Guards: map[string]func(*Lease) bool{
		"current":       func(l *Lease) bool { return l.now.Before(l.sentRecord.Expiry()) },
		"found_current": func(l *Lease) bool { return l.now.Before(l.foundEntry.Record.Expiry()) },
		"may_retry":     func(l *Lease) bool { return l.readAttempts < removeAttempts },
	},
	Actions: map[string]func(*Lease){
		"write":              (*Lease).write,
		"read":               (*Lease).read,
		"remove":             (*Lease).remove,
		"extend":             (*Lease).extend,
		"adopt":              (*Lease).adopt,
		"forget":             (*Lease).forget,
		"report_registered":  func(l *Lease) { l.report(event.InstanceRegistered) },
		"report_lapsed":      func(l *Lease) { l.report(event.LeaseLapsed) },
		"report_restored":    func(l *Lease) { l.report(event.LeaseRestored) },
		"report_removed":     func(l *Lease) { l.report(event.RegistrationRemoved) },
		"report_not_removed": func(l *Lease) { l.report(event.RegistrationNotRemoved) },
	},
})

var leaseEvents struct {
	Due         chart.Event `chart:"due"`
	Written     chart.Event `chart:"written"`
	Refused     chart.Event `chart:"refused"`
	Unanswered  chart.Event `chart:"unanswered"`
	Unavailable chart.Event `chart:"unavailable"`
	Found       chart.Event `chart:"found"`
	Missing     chart.Event `chart:"missing"`
	Lapse       chart.Event `chart:"lapse"`
	Stop        chart.Event `chart:"stop"`
}

func init() { leaseChart.MustBindNames(&leaseEvents) }

// Lease decides when an instance writes, reads and removes its row. It does no I/O
// and is not safe for concurrent use. The answer to each effect must be passed to
// Step before any other message.
type Lease struct {
	state   chart.State
	peer    structs.Peer
	started time.Time
	// version is the last known version of the row; zero means that there is no
	// row.
	version   uint64
	expiry    time.Time
	nextWrite time.Time
	// sentRecord is the record of the last Write, and writtenVersion the version
	// that the table assigned to it.
	sentRecord     Record
	writtenVersion uint64
	foundEntry     Entry
	// readAttempts counts all reads of the row, also those before the planned stop.
	readAttempts int
	now          time.Time
	effects      []Effect
}

// NewLease returns the lease of an instance that started at the given time. The
// first Tick registers the instance.
func NewLease(peer structs.Peer, started time.Time) *Lease {
	return &Lease{state: leaseChart.Initial(), peer: peer, started: started, nextWrite: started}
}

// Step handles one message; now is the current time.
func (l *Lease) Step(now time.Time, m Message) {
	l.now = now
	if !now.Before(l.expiry) {
		l.fire(leaseEvents.Lapse)
	}
	switch m := m.(type) {
	case Tick:
		l.tick()
	case Written:
		l.writtenVersion = m.Version
		l.fire(leaseEvents.Written)
	case Refused:
		l.fire(leaseEvents.Refused)
	case Unanswered:
		l.fire(leaseEvents.Unanswered)
	case Unavailable:
		l.fire(leaseEvents.Unavailable)
	case Found:
		l.foundEntry = m.Entry
		l.fire(leaseEvents.Found)
	case Missing:
		l.fire(leaseEvents.Missing)
	case Stop:
		l.nextWrite = now
		l.fire(leaseEvents.Stop)
	}
}

// Effects returns the pending effects in the order in which they must be executed,
// and clears them.
func (l *Lease) Effects() []Effect {
	effects := l.effects
	l.effects = nil
	return effects
}

// State returns the name of the current state in the lease chart.
func (l *Lease) State() string { return leaseChart.StateName(l.state) }

// Ended reports whether the planned stop is complete.
func (l *Lease) Ended() bool { return leaseChart.Final(l.state) }

// ValidAt reports whether the lease is valid, so that other instances list this
// one, at the given time by this instance's clock.
func (l *Lease) ValidAt(now time.Time) bool { return l.version != 0 && now.Before(l.expiry) }

func (l *Lease) fire(e chart.Event) { leaseChart.Fire(&l.state, e, l) }

func (l *Lease) tick() {
	if l.now.Before(l.nextWrite) {
		return
	}
	l.fire(leaseEvents.Due)
}

func (l *Lease) emit(e Effect) { l.effects = append(l.effects, e) }

func (l *Lease) report(id event.ID) { l.emit(LogEvent{Event: id, Detail: l.peer.Name}) }

// write computes the expiry from the clock as read before the write, so that a
// pause in between can make the lease only shorter than the table assumes, never
// longer.
func (l *Lease) write() {
	l.sentRecord = Record{
		Peer:      l.peer,
		StartedMS: l.started.UnixMilli(),
		ExpiryMS:  l.now.Add(LeaseDuration).UnixMilli(),
	}
	l.emit(Write{Record: l.sentRecord, Expected: l.version})
}

func (l *Lease) read() {
	l.readAttempts++
	l.emit(Read{})
}

func (l *Lease) remove() { l.emit(Remove{Expected: l.version}) }

func (l *Lease) extend() {
	l.version = l.writtenVersion
	l.expiry = l.sentRecord.Expiry()
	l.nextWrite = l.expiry.Add(RenewPeriod - LeaseDuration)
}

// adopt takes over the version and the expiry that were read from the table. The
// next write stays due immediately, because the row that was found may not be the
// one that was written last.
func (l *Lease) adopt() {
	l.version = l.foundEntry.Version
	l.expiry = l.foundEntry.Record.Expiry()
}

func (l *Lease) forget() {
	l.version = 0
	l.expiry = time.Time{}
}
