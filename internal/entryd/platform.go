package entryd

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cactuspost.example/internal/actor"
	"cactuspost.example/internal/event"
	"cactuspost.example/internal/registry"
	"cactuspost.example/internal/release"
)

// platform is the entry's use of the platform's table: its registration, the
// list of entries, and the configuration. Nothing else of the entry waits for
// the table.
type platform struct {
	registry *registry.Registry
	watcher  *release.Watcher
	notes    *actor.Inbox[notesMessage]
}

// newPlatform returns nil without a store.
func newPlatform(config *Config, d *Daemon) *platform {
	if config.Store == nil {
		return nil
	}
	report := func(id event.ID, detail string) {
		config.Log.Event(id, zap.String("detail", detail))
	}
	inbox := actor.NewInbox[notesMessage](notesInboxSize)
	return &platform{
		notes: inbox,
		registry: registry.New(registry.Options{
			Self: d.self, Store: config.Store, PublishPeers: d.SetPeers, PublishSuperseded: d.setFormer, ReportEvent: report, Now: time.Now,
		}),
		watcher: release.NewWatcher(release.WatcherOptions{
			Store: config.Store, Adopt: d.Configure, Report: report,
			OnRowRead: func(f *release.ActiveConfig) { inbox.Send(&setInForce{inForce: f}) },
		}),
	}
}

// run starts the actors, which end with the context; the registry ends before
// that by its own planned stop.
func (p *platform) run(ctx context.Context) {
	go actor.Run(ctx, p.notes, notesPeriod, &notesActor{})
	go p.registry.Run(ctx)
	go p.watcher.Run(ctx)
}

// leave removes the registration, so that agents and other entries forget this
// one, and returns when that was done or tried often enough.
func (p *platform) leave() {
	p.registry.Stop()
	<-p.registry.Done()
}
