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
  // The first note of a new place.
  "id": "open-the-coast", "author": "op", "summary": "Opens the recession service.", "base": 0,
  "added": {
    "services": {"recession": {"pool": "coast", "start_objective_ms": 500, "target": 0.99, "lifetime_ms": 60000,
      "task_limit_ms": 10000, "max_tasks": 100, "max_task_bytes": 65536, "short_reserve": 0.25}},
    "teams": {"rivage": {"quotas": {"recession": 1}, "max_waiting": 0}},
  },
}`

// startOn runs an entry on a table, with its log in the hands of the test.
func startOn(t *testing.T, store *standin.Table, name string) (*Daemon, *eventWatch) {
	t.Helper()
	watch, log := watchEvents()
	config := testConfig()
	config.Document = nil
	config.Store = store
	config.Self.Name = name
	config.Log = log
	return start(t, config), watch
}

func TestEntriesFindEachOtherAndTheConfigurationInTheTable(t *testing.T) {
	is := is.New(t)
	store := standin.NewTable()
	defer store.Close()
	first, firstWatch := startOn(t, store, "entry-1")
	firstWatch.await(event.InstanceRegistered)
	second, secondWatch := startOn(t, store, "entry-2")
	is.Equal(mustSend(is, first, "POST", "/v1/jobs", callerToken, `{"service":"recession"}`).failure(is).Kind, failure.NoConfiguration)
	is.True(strings.Contains(string(mustSend(is, first, "GET", "/v1/notes?dry_run=1", operatorToken, "").body), `"in_force"`))
	is.Equal(mustSend(is, first, "POST", "/v1/notes", operatorToken, `{"id":`).failure(is).Kind, failure.Invalid)
	is.Equal(mustSend(is, first, "POST", "/v1/notes?dry_run=1", operatorToken, firstNote).status, http.StatusOK)
	is.Equal(mustSend(is, first, "POST", "/v1/notes", operatorToken, firstNote).status, http.StatusOK)
	firstWatch.await(event.ConfigurationAdopted)
	secondWatch.await(event.ConfigurationAdopted)
	is.Equal(mustSend(is, second, "GET", "/readyz", "", "").status, http.StatusOK)
	firstWatch.await(event.PeersChanged) // the second entry is listed

	path := createAt(is, second)
	agent := greet(t, second)
	done := sendBeside(first, "PUT", path+"?wait_ms=60000", callerToken, oneTask)
	agent.finish(agent.grant(), "by way of the table")
	is.Equal((<-done).job(is).Results, [][]byte{[]byte("by way of the table")})

	var all operator.EndpointsAnswer
	is.NoErr(api.DecodeLenient(mustSend(is, first, "GET", "/v1/endpoints", operatorToken, "").body, &all))
	is.Equal(len(all.Entries), 2)
	is.Equal(all.Entries[1].Entry, second.Self())
	is.Equal(all.Entries[1].Endpoints[0].Endpoint, "w1")

	store.SetFaults(standin.Faults{Down: true})
	page := string(mustSend(is, first, "GET", "/v1/notes", operatorToken, "").body)
	is.True(strings.Contains(page, "open-the-coast")) // readable while the table is down
	refused := mustSend(is, first, "POST", "/v1/notes", operatorToken, strings.ReplaceAll(firstNote, "open-the-coast", "again")).failure(is)
	is.Equal(refused.Kind, failure.Unavailable)
	is.Equal(refused.Run, failure.NotRun)
	store.SetFaults(standin.Faults{})
	is.Equal(mustSend(is, first, "POST", "/v1/notes", operatorToken, strings.ReplaceAll(firstNote, "open-the-coast", "again")).failure(is).Kind, failure.Conflict)
	is.True(strings.Contains(string(mustSend(is, first, "GET", "/v1/notes?revision=1", operatorToken, "").body), "open-the-coast"))
	is.Equal(mustSend(is, first, "GET", "/v1/notes?revision=9", operatorToken, "").failure(is).Kind, failure.Invalid)

	second.Stop()
	second.Wait()
	secondWatch.await(event.RegistrationRemoved)
	secondWatch.await(event.DaemonStopped)
}

func TestEntryWithoutATableStopsInTime(t *testing.T) {
	is := is.New(t)
	store := standin.NewTable()
	defer store.Close()
	store.SetFaults(standin.Faults{Down: true})
	d, watch := startOn(t, store, "entry-1")
	watch.await(event.ConfigurationUnavailable)
	is.Equal(mustSend(is, d, "GET", "/readyz", "", "").failure(is).Kind, failure.NoConfiguration)
	d.Stop()
	d.Wait()
	watch.await(event.DaemonStopped)
}
