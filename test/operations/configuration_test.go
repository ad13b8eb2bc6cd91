package operations

import (
	"net/http"
	"testing"
	"time"

	"cactuspost.example/platform/standin"
)

// addQueue publishes a configuration with one more queue.
func (s *testSite) addQueue(version uint64, prefix string) {
	s.site.Store.Configure(version, []standin.Route{newRoute("jobs", "/jobs/"), newRoute("added", prefix)})
}

// awaitQueue waits until an entry serves a queue, and fails the test after the limit.
func (s *testSite) awaitQueue(entry int, prefix string, limit time.Duration) {
	s.is.Helper()
	client := standin.NewClient(s.site.EntryNodes[entry].Clients.Address())
	for until := time.Now().Add(limit); ; time.Sleep(pollInterval) {
		reply, err := client.Pending(host, prefix, time.Second)
		if err == nil && reply.Status == http.StatusOK {
			return
		}
		s.is.True(time.Now().Before(until)) // the queue is served within the limit
	}
}

// Guards against 404 for a queue that was confirmed seconds ago, at an entry whose
// connections to the store have fallen silent together.
func TestQueueAddedWhileStoreConnectionsAreSilentIsServedWithinContact(t *testing.T) {
	s := newTestSite(t)
	s.addQueue(2, "/second/")
	s.awaitQueue(0, "/second/", standin.Contact) // a call for changes has just begun
	s.site.EntryNodes[0].Store.Mute()
	s.addQueue(3, "/third/")
	s.awaitQueue(0, "/third/", standin.Contact)
}

// Guards against 404 for as long as the store turns one entry away, while another
// entry and the agents know the queue.
func TestQueueIsServedByAnEntryThatTheStoreTurnsAway(t *testing.T) {
	s := newTestSiteWith(t, 2)
	s.addQueue(2, "/second/")
	s.awaitQueue(0, "/second/", standin.Contact)
	s.awaitQueue(1, "/second/", standin.Contact)
	s.site.EntryNodes[1].Store.Refuse()
	s.addQueue(3, "/third/")
	s.awaitQueue(0, "/third/", time.Second)
	s.awaitQueue(1, "/third/", 2*time.Second)
}
