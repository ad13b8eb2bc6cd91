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

// platform groups the components that use the platform's table: they register the
// entry and follow the list of entries and the configuration. Only they and the
// handling of release notes wait for the table.
type platform struct {
	registry *registry.Registry
	watcher  *release.Watcher
	notes    *actor.Inbox[notesMessage]
}

// newPlatform returns nil if the entry has no table.
func newPlatform(config *Config, d *Daemon) *platform {
	if config.Store == nil {
		return nil
	}
	logEvent := func(id event.ID, detail string) {
		config.Log.Event(id, zap.String("detail", detail))
	}
	inbox := actor.NewInbox[notesMessage](notesInboxSize)
	return &platform{
		notes: inbox,
		registry: registry.New(registry.Options{
			Self: d.self, Store: config.Store, PublishPeers: d.SetPeers, PublishSuperseded: d.setSuperseded, ReportEvent: logEvent, Now: time.Now,
		}),
		watcher: release.NewWatcher(release.WatcherOptions{
			Store: config.Store, Adopt: d.Configure, ReportEvent: logEvent,
			OnRowRead: func(active *release.ActiveConfig) { inbox.Send(&setActiveConfig{config: active}) },
		}),
	}
}

// start starts the actors. They end when the context is done; deregister ends the
// registry earlier.
func (p *platform) start(ctx context.Context) {
	go actor.Run(ctx, p.notes, notesTickInterval, &notesActor{})
	go p.registry.Run(ctx)
	go p.watcher.Run(ctx)
}

// deregister removes the entry's registration, so that agents and other entries
// drop it from their lists. It returns when the registration has been removed
// or the registry has stopped trying.
func (p *platform) deregister() {
	p.registry.Stop()
	<-p.registry.Done()
}
