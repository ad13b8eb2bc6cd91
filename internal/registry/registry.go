package registry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"cactuspost.example/internal/actor"
	"cactuspost.example/internal/event"
	"cactuspost.example/internal/structs"
	"cactuspost.example/internal/table"
)

const (
	// tickPeriod is the time between two ticks.
	tickPeriod = time.Second
	// callTimeout bounds one call to the table.
	callTimeout = 2 * time.Second
	// inboxSize is sufficient because Stop is the only message.
	inboxSize = 4
)

// Options configures a Registry.
type Options struct {
	// Self describes this instance. Each start of the process has a new
	// incarnation.
	Self  structs.Peer
	Store table.Store
	// PublishPeers is called with each new list of live instances, including this
	// one. It runs on the registry's goroutine and must not block for long.
	PublishPeers func([]structs.Peer)
	// PublishSuperseded is called in the same way with each new list of ended
	// instances whose addresses are served by later ones. It may be nil.
	PublishSuperseded func([]structs.Peer)
	// ReportEvent is called in the same way with each event to be logged.
	ReportEvent func(id event.ID, detail string)
	// Now returns the current time. It is read when a call to the table returns.
	Now func() time.Time
}

// Registry is the actor that maintains this instance's row and reads those of the
// others. It calls the table itself, one call at a time and each with a timeout, so
// an outage delays only the registry.
type Registry struct {
	inbox   *actor.Inbox[Stop]
	options Options
	lease   *Lease
	roster  *Roster
	listDue time.Time
	// invalidRows is the number of invalid rows in the last listing.
	invalidRows int
}

// New returns a registry that registers the instance once Run is called.
func New(o Options) *Registry {
	now := o.Now()
	return &Registry{
		inbox:   actor.NewInbox[Stop](inboxSize),
		options: o,
		lease:   NewLease(o.Self, now),
		roster:  NewRoster(o.Self),
		listDue: now,
	}
}

// Run blocks until the planned stop is complete or the context is cancelled.
// Without a planned stop, the row stays in the table and lapses.
func (r *Registry) Run(ctx context.Context) {
	r.Tick(r.options.Now())
	actor.Run(ctx, r.inbox, tickPeriod, r)
}

// Stop begins the planned stop: the instance leaves the list and its row is
// removed. Run returns when the row is removed or the attempts are exhausted.
func (r *Registry) Stop() { r.inbox.TrySend(Stop{}) }

// Done returns a channel that is closed when Run has returned.
func (r *Registry) Done() <-chan struct{} { return r.inbox.Done() }

// Handle implements actor.Handler.
func (r *Registry) Handle(now time.Time, m Stop) bool {
	r.roster.Leave()
	r.executeEffects(r.roster.Effects())
	r.step(now, m)
	return !r.lease.Ended()
}

// Tick implements actor.Handler.
func (r *Registry) Tick(now time.Time) bool {
	r.step(now, Tick{})
	if r.lease.Ended() {
		return false
	}
	if !now.Before(r.listDue) {
		r.listInstances(now)
	}
	return true
}

// Flush implements actor.Handler.
func (r *Registry) Flush(time.Time) {}

// step passes a message to the lease and executes the resulting effects.
func (r *Registry) step(now time.Time, m Message) {
	r.lease.Step(now, m)
	for effects := r.lease.Effects(); len(effects) > 0; effects = r.lease.Effects() {
		r.executeEffects(effects)
	}
}

func (r *Registry) executeEffects(effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case Write:
			r.write(e)
		case Read:
			r.read()
		case Remove:
			r.commit(table.Delete(Key(r.options.Self.Incarnation), e.Expected))
		case CleanUp:
			r.cleanUp(e.Entry)
		case Publish:
			r.options.PublishPeers(e.Peers)
		case PublishSuperseded:
			r.publishSuperseded(e)
		case LogEvent:
			r.options.ReportEvent(e.Event, e.Detail)
		}
	}
}

func (r *Registry) publishSuperseded(e PublishSuperseded) {
	if r.options.PublishSuperseded != nil {
		r.options.PublishSuperseded(e.Peers)
	}
}

func (r *Registry) write(w Write) {
	value, err := encode(w.Record)
	if err != nil {
		r.answer(Unavailable{})
		return
	}
	r.commit(table.Put(Key(w.Record.Peer.Incarnation), w.Expected, value))
}

func (r *Registry) commit(op table.Operation) {
	version, err := r.call(table.Transaction{op})
	r.answer(commitAnswer(version, err))
}

func (r *Registry) call(tx table.Transaction) (uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return r.options.Store.Commit(ctx, tx)
}

func (r *Registry) answer(m Message) { r.lease.Step(r.options.Now(), m) }

func commitAnswer(version uint64, err error) Message {
	var conflict *table.ConflictError
	var unknown *table.UnknownOutcomeError
	switch {
	case err == nil:
		return Written{Version: version}
	case errors.As(err, &conflict):
		return Refused{}
	case errors.As(err, &unknown):
		return Unanswered{}
	}
	return Unavailable{}
}

func (r *Registry) read() {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	row, err := r.options.Store.Get(ctx, Key(r.options.Self.Incarnation))
	if err != nil {
		r.answer(Unavailable{})
		return
	}
	if !row.Exists() {
		r.answer(Missing{})
		return
	}
	entry, err := decode(row)
	if err != nil {
		r.options.ReportEvent(event.BadInstanceRow, err.Error())
		// The version of the row is sufficient to overwrite it.
		entry = Entry{Version: row.Version}
	}
	r.answer(Found{Entry: entry})
}

// listInstances reads all rows and passes them to the roster.
func (r *Registry) listInstances(now time.Time) {
	r.listDue = now.Add(ListPeriod)
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	rows, err := r.options.Store.List(ctx, prefix)
	if err != nil {
		r.roster.Unavailable(r.options.Now())
	} else {
		r.roster.Listed(r.options.Now(), r.decodeAll(rows))
	}
	r.executeEffects(r.roster.Effects())
}

// decodeAll returns the valid rows. It reports an invalid one if there are more
// invalid rows than in the last listing.
func (r *Registry) decodeAll(rows []table.Row) []Entry {
	var entries []Entry
	var invalid []error
	for _, row := range rows {
		e, err := decode(row)
		if err != nil {
			invalid = append(invalid, err)
			continue
		}
		entries = append(entries, e)
	}
	if len(invalid) > r.invalidRows {
		r.options.ReportEvent(event.BadInstanceRow, invalid[0].Error())
	}
	r.invalidRows = len(invalid)
	return entries
}

// cleanUp removes one row. Errors are ignored: a conflict means that another
// instance removed the row or that its owner is still alive, and after a lost
// answer the next listing shows the outcome.
func (r *Registry) cleanUp(e Entry) {
	key := Key(e.Record.Peer.Incarnation)
	if _, err := r.call(table.Transaction{table.Delete(key, e.Version)}); err == nil {
		r.options.ReportEvent(event.ExpiredInstanceRemoved, e.Record.Peer.Name)
	}
}
