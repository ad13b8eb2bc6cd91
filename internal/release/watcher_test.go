package release

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"cactuspost.example/internal/event"
	"cactuspost.example/internal/standin"
	"cactuspost.example/internal/structs"
	"cactuspost.example/internal/table"
)

// testWatcher is a watcher whose methods the test calls directly, without Run.
// It records the adopted revisions and the reported events.
type testWatcher struct {
	*Watcher
	adopted []uint64
	events  []event.ID
}

func newTestWatcher(store table.Store) *testWatcher {
	w := &testWatcher{}
	w.Watcher = NewWatcher(WatcherOptions{
		Store:       store,
		Adopt:       func(d *structs.Document) { w.adopted = append(w.adopted, d.Revision) },
		ReportEvent: func(id event.ID, _ string) { w.events = append(w.events, id) },
	})
	return w
}

func TestWatcherAdoptsChangedRowOnce(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := standin.NewTable()
	defer store.Close()
	w := newTestWatcher(store)
	w.Tick(epoch)
	is.Equal(w.tracker.Document(), nil) // nothing is in force before the first note
	_, err := Publish(ctx, store, parseTestdata(t, "first.jsonc"), false, clock)
	is.NoErr(err)
	w.Tick(epoch)
	w.Tick(epoch)
	is.Equal(w.adopted, []uint64{1})
	is.Equal(w.events, []event.ID{event.ConfigurationAdopted})
}

func TestWatcherAdoptsOfferedDocumentsDuringOutage(t *testing.T) {
	is := is.New(t)
	store := standin.NewTable()
	defer store.Close()
	store.SetFaults(standin.Faults{Down: true})
	w := newTestWatcher(store)
	w.Tick(epoch)
	w.Tick(epoch)
	w.Handle(epoch, &structs.Document{Revision: 7})
	w.Handle(epoch, &structs.Document{Revision: 6})
	w.Handle(epoch, nil)
	is.Equal(w.adopted, []uint64{7})
	// The table is available again, but without the configuration: the adopted
	// revision stays in force, and the loss is reported once.
	store.SetFaults(standin.Faults{})
	w.Tick(epoch)
	w.Tick(epoch)
	is.Equal(w.tracker.Document().Revision, uint64(7))
	is.Equal(w.events, []event.ID{
		event.ConfigurationUnavailable, event.ConfigurationAdopted, event.ConfigurationAvailable, event.StoredConfigurationOutdated,
	})
}

func TestWatcherReportsInvalidRowOnce(t *testing.T) {
	is := is.New(t)
	store := standin.NewTable()
	defer store.Close()
	_, err := store.Commit(context.Background(), table.Transaction{table.Put(ConfigKey, 0, []byte("{"))})
	is.NoErr(err)
	w := newTestWatcher(store)
	w.Tick(epoch)
	w.Tick(epoch)
	is.Equal(w.events, []event.ID{event.BadConfigurationRow, event.ConfigurationUnavailable})
}

func TestRunAdoptsOfferedDocument(t *testing.T) {
	is := is.New(t)
	store := standin.NewTable()
	defer store.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var adopted uint64
	w := NewWatcher(WatcherOptions{
		Store:       store,
		Adopt:       func(d *structs.Document) { adopted = d.Revision; cancel() },
		ReportEvent: func(event.ID, string) {},
	})
	w.Offer(&structs.Document{Revision: 3})
	w.Run(ctx)
	is.Equal(adopted, uint64(3))
}
