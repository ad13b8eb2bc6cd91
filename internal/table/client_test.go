package table_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/standin"
	"cactuspost.example/internal/table"
)

const testTimeout = 10 * time.Second

// serve starts a stand-in for the table service and returns it with a client.
func serve(t *testing.T) (*standin.Table, *table.Client) {
	t.Helper()
	rows := standin.NewTable()
	server, err := standin.Serve(rows, "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(rows.Close)
	t.Cleanup(server.Close)
	return rows, table.NewClient(server.Address(), testTimeout)
}

func TestClientReadsWhatItCommitted(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	_, client := serve(t)
	row, err := client.Get(ctx, "a/1")
	is.NoErr(err)
	is.True(!row.Exists())
	version, err := client.Commit(ctx, table.Transaction{
		table.Put("a/1", 0, []byte("one")), table.Put("a/2", 0, nil), table.Put("b", 0, []byte("x")),
	})
	is.NoErr(err)
	rows, err := client.List(ctx, "a/")
	is.NoErr(err)
	is.Equal(len(rows), 2)
	is.Equal(rows[0], table.Row{Key: "a/1", Value: []byte("one"), Version: version})
	_, changed, err := client.GetChanged(ctx, "a/1", version)
	is.NoErr(err)
	is.True(!changed)
	_, err = client.Commit(ctx, table.Transaction{table.Delete("a/1", version)})
	is.NoErr(err)
	row, changed, err = client.GetChanged(ctx, "a/1", version)
	is.NoErr(err)
	is.True(changed && !row.Exists())
}

func TestCommitIsAllOrNothing(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	_, client := serve(t)
	version, err := client.Commit(ctx, table.Transaction{table.Put("taken", 0, nil)})
	is.NoErr(err)
	_, err = client.Commit(ctx, table.Transaction{table.Put("new", 0, nil), table.Put("taken", 0, nil)})
	var conflict *table.ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(*conflict, table.ConflictError{Key: "taken", Present: version})
	is.Equal(failure.Of(err).Kind, failure.Conflict)
	row, err := client.Get(ctx, "new")
	is.NoErr(err)
	is.True(!row.Exists())
}

func TestVersionsAreNotReusedAfterDeletion(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	_, client := serve(t)
	first, err := client.Commit(ctx, table.Transaction{table.Put("k", 0, nil)})
	is.NoErr(err)
	_, err = client.Commit(ctx, table.Transaction{table.Delete("k", first)})
	is.NoErr(err)
	second, err := client.Commit(ctx, table.Transaction{table.Put("k", 0, nil)})
	is.NoErr(err)
	is.True(second > first)
}

func TestLostCommitAnswerIsNotRetried(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	rows, client := serve(t)
	rows.SetFaults(standin.Faults{LoseAnswers: 1})
	_, err := client.Commit(ctx, table.Transaction{table.Put("k", 0, []byte("v"))})
	var unknown *table.UnknownOutcomeError
	is.True(errors.As(err, &unknown))
	is.Equal(failure.Of(err).Run, failure.Unknown)
	row, err := client.Get(ctx, "k")
	is.NoErr(err)
	is.Equal(row.Value, []byte("v"))
	is.Equal(rows.Counts(), standin.Counts{Reads: 1, Writes: 1}) // a retry would be a second write
}

func TestCommitTimeoutHasUnknownOutcome(t *testing.T) {
	is := is.New(t)
	rows, client := serve(t)
	_, err := client.Get(context.Background(), "k") // opens the connection, so that the commit times out after it was sent
	is.NoErr(err)
	rows.SetFaults(standin.Faults{SlowMS: time.Hour.Milliseconds()})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err = client.Commit(ctx, table.Transaction{table.Put("k", 0, nil)})
	var unknown *table.UnknownOutcomeError
	is.True(errors.As(err, &unknown))
	_, err = client.Get(ctx, "k")
	var unavailable *table.UnavailableError
	is.True(errors.As(err, &unavailable))
}

func TestOutageAndRefusedConnectionHadNoEffect(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	rows, client := serve(t)
	rows.SetFaults(standin.Faults{Down: true})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(listener.Close()) // the address refuses connections from here on
	nobody := table.NewClient(listener.Addr().String(), testTimeout)
	for _, c := range []*table.Client{client, nobody} {
		_, err := c.Commit(ctx, table.Transaction{table.Put("k", 0, nil)})
		var unavailable *table.UnavailableError
		is.True(errors.As(err, &unavailable))
		is.Equal(failure.Of(err).Run, failure.NotRun)
		_, err = c.List(ctx, "")
		is.True(errors.As(err, &unavailable))
	}
}

func TestInvalidTransactionIsRefused(t *testing.T) {
	is := is.New(t)
	_, client := serve(t)
	_, err := client.Commit(context.Background(), table.Transaction{table.Put("k", 0, nil), table.Delete("k", 0)})
	var invalid *table.InvalidError
	is.True(errors.As(err, &invalid))
}
