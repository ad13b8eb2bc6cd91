package release

import (
	"context"
	"time"

	"cactuspost.example/internal/actor"
	"cactuspost.example/internal/event"
	"cactuspost.example/internal/structs"
	"cactuspost.example/internal/table"
)

const (
	// WatchPeriod is the time between two reads of the configuration.
	WatchPeriod = time.Second
	// watchTimeout bounds one read; offers wait for it at most that long.
	watchTimeout = 2 * time.Second
	// offerLimit bounds the offers that wait; further ones are dropped, and come
	// again with the next message of their sender.
	offerLimit = 64
)

// WatcherOptions is what a Watcher needs. The functions are called on the
// watcher's goroutine and must not block for long.
type WatcherOptions struct {
	Store table.Store
	// Adopt gets each document that comes into force, in rising revisions.
	Adopt func(*structs.Document)
	// InForce gets the row of the configuration each time that it was read anew;
	// nil means that nobody needs it.
	InForce func(*InForce)
	// Report gets the events for the log.
	Report func(id event.ID, detail string)
}

// Watcher is the actor that follows the configuration. It reads one row, and
// transfers it only when it has changed.
type Watcher struct {
	inbox    *actor.Inbox[*structs.Document]
	options  WatcherOptions
	revision *Revision
	// version is that of the row when it was last read, and read its document.
	version uint64
	read    *structs.Document
	// badVersion is that of the last row that was not valid.
	badVersion uint64
}

// NewWatcher returns a watcher that starts with Run.
func NewWatcher(o WatcherOptions) *Watcher {
	return &Watcher{
		inbox:    actor.NewInbox[*structs.Document](offerLimit),
		options:  o,
		revision: NewRevision(),
	}
}

// Run follows the configuration until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	w.Tick(time.Time{})
	actor.Run(ctx, w.inbox, WatchPeriod, w)
}

// Offer passes on a document that a peer or an agent has in force. It never
// waits. The document must not be changed afterwards.
func (w *Watcher) Offer(doc *structs.Document) { w.inbox.TrySend(doc) }

// Handle implements actor.Handler.
func (w *Watcher) Handle(_ time.Time, offer *structs.Document) bool {
	w.revision.Offered(offer)
	w.carryOut()
	return true
}

// Tick implements actor.Handler.
func (w *Watcher) Tick(time.Time) bool {
	if err := w.look(); err != nil {
		w.revision.Unavailable(err.Error())
	} else {
		w.revision.Read(w.read)
	}
	w.carryOut()
	return true
}

// Flush implements actor.Handler.
func (w *Watcher) Flush(time.Time) {}

// look reads the row if it has changed.
func (w *Watcher) look() error {
	ctx, cancel := context.WithTimeout(context.Background(), watchTimeout)
	defer cancel()
	row, changed, err := w.options.Store.GetChanged(ctx, ConfigKey, w.version)
	if err != nil || !changed {
		return err
	}
	if !row.Exists() {
		w.version, w.read = 0, nil
		return nil
	}
	inForce := &InForce{}
	if err := decodeRow(row, inForce); err != nil {
		w.reportBad(row.Version, err)
		return err
	}
	w.version, w.read = row.Version, &inForce.Document
	if w.options.InForce != nil {
		w.options.InForce(inForce)
	}
	return nil
}

// reportBad reports each version of a row that is not valid once.
func (w *Watcher) reportBad(version uint64, err error) {
	if version != w.badVersion {
		w.options.Report(event.BadConfigurationRow, err.Error())
	}
	w.badVersion = version
}

func (w *Watcher) carryOut() {
	for _, effect := range w.revision.Effects() {
		switch e := effect.(type) {
		case Adopt:
			w.options.Adopt(e.Document)
		case Happened:
			w.options.Report(e.Event, e.Detail)
		}
	}
}
