package entryd

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"cactuspost.example/internal/api"
	"cactuspost.example/internal/api/operator"
	"cactuspost.example/internal/event"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/standin"
)

const firstNote = `{
  // The first release note of a new installation.
  "id": "open-the-coast", "author": "op", "summary": "Opens the recession service.", "base": 0,
  "added": {
    "services": {"recession": {"pool": "coast", "start_objective_ms": 500, "target": 0.99, "lifetime_ms": 60000,
      "task_limit_ms": 10000, "max_tasks": 100, "max_task_bytes": 65536, "short_reserve": 0.25}},
    "teams": {"rivage": {"quotas": {"recession": 1}, "max_waiting": 0}},
  },
}`

// startOnTable starts an entry that uses a table, and records its events.
func startOnTable(t *testing.T, store *standin.Table, name string) (*Daemon, *eventRecorder) {
	t.Helper()
	events, log := recordEvents()
	config := testConfig()
	config.Document = nil
	config.Store = store
	config.Self.Name = name
	config.Log = log
	return startEntry(t, config), events
}

func TestEntriesShareMembersAndConfigurationThroughTable(t *testing.T) {
	is := is.New(t)
	store := standin.NewTable()
	defer store.Close()
	first, firstEvents := startOnTable(t, store, "entry-1")
	firstEvents.awaitEvent(event.InstanceRegistered)
	second, secondEvents := startOnTable(t, store, "entry-2")
	is.Equal(mustSendRequest(is, first, "POST", "/v1/jobs", callerToken, `{"service":"recession"}`).failure(is).Kind, failure.NoConfiguration)
	is.True(strings.Contains(string(mustSendRequest(is, first, "GET", "/v1/notes?dry_run=1", operatorToken, "").body), `"in_force"`))
	is.Equal(mustSendRequest(is, first, "POST", "/v1/notes", operatorToken, `{"id":`).failure(is).Kind, failure.Invalid)
	is.Equal(mustSendRequest(is, first, "POST", "/v1/notes?dry_run=1", operatorToken, firstNote).status, http.StatusOK)
	is.Equal(mustSendRequest(is, first, "POST", "/v1/notes", operatorToken, firstNote).status, http.StatusOK)
	firstEvents.awaitEvent(event.ConfigurationAdopted)
	secondEvents.awaitEvent(event.ConfigurationAdopted)
	is.Equal(mustSendRequest(is, second, "GET", "/readyz", "", "").status, http.StatusOK)
	firstEvents.awaitEvent(event.PeersChanged) // the second entry is listed

	path := createJob(is, second)
	agent := connectAgent(t, second)
	done := sendAsync(first, "PUT", path+"?wait_ms=60000", callerToken, oneTask)
	agent.sendResult(agent.awaitGrant(), "by way of the table")
	is.Equal((<-done).job(is).Results, [][]byte{[]byte("by way of the table")})

	var all operator.EndpointsAnswer
	is.NoErr(api.DecodeLenient(mustSendRequest(is, first, "GET", "/v1/endpoints", operatorToken, "").body, &all))
	is.Equal(len(all.Entries), 2)
	is.Equal(all.Entries[1].Entry, second.Self())
	is.Equal(all.Entries[1].Endpoints[0].Endpoint, "w1")

	store.SetFaults(standin.Faults{Down: true})
	page := string(mustSendRequest(is, first, "GET", "/v1/notes", operatorToken, "").body)
	is.True(strings.Contains(page, "open-the-coast")) // can be read while the table is down
	refused := mustSendRequest(is, first, "POST", "/v1/notes", operatorToken, strings.ReplaceAll(firstNote, "open-the-coast", "again")).failure(is)
	is.Equal(refused.Kind, failure.Unavailable)
	is.Equal(refused.Run, failure.NotRun)
	store.SetFaults(standin.Faults{})
	is.Equal(mustSendRequest(is, first, "POST", "/v1/notes", operatorToken, strings.ReplaceAll(firstNote, "open-the-coast", "again")).failure(is).Kind, failure.Conflict)
	is.True(strings.Contains(string(mustSendRequest(is, first, "GET", "/v1/notes?revision=1", operatorToken, "").body), "open-the-coast"))
	is.Equal(mustSendRequest(is, first, "GET", "/v1/notes?revision=9", operatorToken, "").failure(is).Kind, failure.Invalid)

	second.Stop()
	second.Wait()
	secondEvents.awaitEvent(event.RegistrationRemoved)
	secondEvents.awaitEvent(event.DaemonStopped)
}

func TestEntryStopsWhileTheTableIsDown(t *testing.T) {
	is := is.New(t)
	store := standin.NewTable()
	defer store.Close()
	store.SetFaults(standin.Faults{Down: true})
	d, events := startOnTable(t, store, "entry-1")
	events.awaitEvent(event.ConfigurationUnavailable)
	is.Equal(mustSendRequest(is, d, "GET", "/readyz", "", "").failure(is).Kind, failure.NoConfiguration)
	d.Stop()
	d.Wait()
	events.awaitEvent(event.DaemonStopped)
}
