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
	// PollInterval is the interval at which the configuration is polled.
	PollInterval = time.Second
	// readTimeout limits one read of the table. The watcher's goroutine blocks
	// meanwhile, so an offered document waits at most this long.
	readTimeout = 2 * time.Second
	// offerQueueSize is the size of the queue of offered documents. Offers beyond
	// it are dropped; senders repeat them with their next message.
	offerQueueSize = 64
)

// WatcherOptions configures a Watcher. The functions are called on the
// watcher's goroutine and must not block for long.
type WatcherOptions struct {
	Store table.Store
	// Adopt is called with each document that comes into force, in increasing
	// order of revisions.
	Adopt func(*structs.Document)
	// OnRowRead is called with the content of the configuration row each time a
	// changed row was read. It may be nil.
	OnRowRead func(*ActiveConfig)
	// ReportEvent is called with each event to log.
	ReportEvent func(id event.ID, detail string)
}

// Watcher is the actor that tracks the configuration. It polls a single row of
// the table, which is transferred only if it has changed.
type Watcher struct {
	inbox   *actor.Inbox[*structs.Document]
	options WatcherOptions
	tracker *RevisionTracker
	// rowVersion and rowDocument are the version and the document of the row as
	// last read; zero and nil if there is no row.
	rowVersion  uint64
	rowDocument *structs.Document
	// invalidVersion is the version of the last invalid row that was reported.
	invalidVersion uint64
}

// NewWatcher returns a watcher, which is started by Run.
func NewWatcher(o WatcherOptions) *Watcher {
	return &Watcher{
		inbox:   actor.NewInbox[*structs.Document](offerQueueSize),
		options: o,
		tracker: NewRevisionTracker(),
	}
}

// Run tracks the configuration until the context is cancelled.
func (w *Watcher) Run(ctx context.Context) {
	w.Tick(time.Time{})
	actor.Run(ctx, w.inbox, PollInterval, w)
}

// Offer passes a document that is in force at a peer or an agent to the
// watcher. It never blocks; the document is dropped if the queue is full. The
// caller must not modify the document afterwards.
func (w *Watcher) Offer(doc *structs.Document) { w.inbox.TrySend(doc) }

// Handle implements actor.Handler. It evaluates an offered document.
func (w *Watcher) Handle(_ time.Time, offer *structs.Document) bool {
	w.tracker.Offered(offer)
	w.executeEffects()
	return true
}

// Tick implements actor.Handler. It polls the table.
func (w *Watcher) Tick(time.Time) bool {
	if err := w.readRow(); err != nil {
		w.tracker.Unavailable(err.Error())
	} else {
		w.tracker.Read(w.rowDocument)
	}
	w.executeEffects()
	return true
}

// Flush implements actor.Handler.
func (w *Watcher) Flush(time.Time) {}

// readRow reads the configuration row and decodes it if it has changed.
func (w *Watcher) readRow() error {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	row, changed, err := w.options.Store.GetChanged(ctx, ConfigKey, w.rowVersion)
	if err != nil || !changed {
		return err
	}
	if !row.Exists() {
		w.rowVersion, w.rowDocument = 0, nil
		return nil
	}
	config := &ActiveConfig{}
	if err := decodeRow(row, config); err != nil {
		w.reportInvalidRow(row.Version, err)
		return err
	}
	w.rowVersion, w.rowDocument = row.Version, &config.Document
	if w.options.OnRowRead != nil {
		w.options.OnRowRead(config)
	}
	return nil
}

// reportInvalidRow reports an invalid row, once for each version of the row.
func (w *Watcher) reportInvalidRow(version uint64, err error) {
	if version != w.invalidVersion {
		w.options.ReportEvent(event.BadConfigurationRow, err.Error())
	}
	w.invalidVersion = version
}

func (w *Watcher) executeEffects() {
	for _, effect := range w.tracker.Effects() {
		switch e := effect.(type) {
		case Adopt:
			w.options.Adopt(e.Document)
		case LogEvent:
			w.options.ReportEvent(e.Event, e.Detail)
		}
	}
}
