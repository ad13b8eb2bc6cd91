package follow

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"cactuspost.example/internal/logging"
	"cactuspost.example/internal/structs"
)

// storeCall is a call of the store that waits for the test's answer.
type storeCall struct {
	all    bool
	after  uint64
	answer chan callResult
}

// fakeStore passes every call on to the test.
type fakeStore struct {
	calls chan storeCall
	puts  chan string
}

func newFakeStore() *fakeStore {
	return &fakeStore{calls: make(chan storeCall, 16), puts: make(chan string, 16)}
}

func (s *fakeStore) awaitAnswer(ctx context.Context, c storeCall) ([]Row, uint64, error) {
	c.answer = make(chan callResult, 1)
	s.calls <- c
	select {
	case a := <-c.answer:
		return a.rows, a.version, a.err
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

func (s *fakeStore) Load(ctx context.Context, _ string) ([]Row, uint64, error) {
	return s.awaitAnswer(ctx, storeCall{all: true})
}

func (s *fakeStore) Changes(ctx context.Context, _ string, after uint64, _ time.Duration) ([]Row, uint64, error) {
	return s.awaitAnswer(ctx, storeCall{after: after})
}

func (s *fakeStore) Put(_ context.Context, _, key string, _ []byte) error {
	s.puts <- key
	return nil
}

func (s *fakeStore) Remove(context.Context, string, string) error { return nil }

func (s *fakeStore) next(t *testing.T) storeCall {
	t.Helper()
	select {
	case c := <-s.calls:
		return c
	case <-time.After(10 * time.Second):
		t.Fatal("the store was not called within 10 s")
		return storeCall{}
	}
}

func TestFollowerRecoversFromOutagesAndLostHistory(t *testing.T) {
	is := is.New(t)
	store := newFakeStore()
	rows := make(chan []Row, 16)
	f := New(Options{Feed: store, Table: "op", PollWait: time.Minute, OnRows: func(r []Row, _ bool) { rows <- r }, Log: logging.Discard()})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.Run(ctx)

	c := store.next(t)
	is.True(c.all)
	c.answer <- callResult{err: errors.New("down")}
	c = store.next(t)
	is.True(c.all) // retried after the failure
	c.answer <- callResult{rows: []Row{{Key: "a", Version: 3}}, version: 5, all: true}
	is.Equal((<-rows)[0].Key, "a")

	c = store.next(t)
	is.Equal(c.after, uint64(5))
	c.answer <- callResult{rows: []Row{{Key: "b", Version: 6}}, version: 6}
	is.Equal((<-rows)[0].Key, "b")

	c = store.next(t)
	c.answer <- callResult{err: errors.New("down")}
	c = store.next(t)
	is.Equal(c.after, uint64(6)) // continues from the last version
	c.answer <- callResult{err: errors.WithStack(ErrCompacted)}
	c = store.next(t)
	is.True(c.all) // compacted history: all rows are loaded again
	c.answer <- callResult{rows: []Row{{Key: "a", Version: 8}}, version: 9, all: true}
	is.Equal((<-rows)[0].Version, uint64(8))
	is.Equal(store.next(t).after, uint64(9))
}

func TestMembersRegisterAndFollowOtherEntries(t *testing.T) {
	is := is.New(t)
	store := newFakeStore()
	lists := make(chan []structs.Peer, 16)
	self := structs.Peer{Name: "b", LinkAddress: "127.0.0.1:2"}
	m := NewMembers(store, self, time.Minute, func(p []structs.Peer) { lists <- p }, logging.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go m.Run(ctx)
	is.Equal(<-store.puts, "b")
	store.next(t).answer <- callResult{version: 1, all: true, rows: []Row{
		{Key: "a", Value: []byte(`{"name":"a","link_address":"127.0.0.1:1"}`)}, {Key: "x", Value: []byte("not JSON")},
	}}
	is.Equal(len(<-lists), 1+1) // this entry and a; the invalid row is skipped
	store.next(t).answer <- callResult{version: 2, rows: []Row{{Key: "a", Deleted: true}}}
	is.Equal(<-lists, []structs.Peer{self})
}

// Guards against one row of another writer that ends the process, hides the rows beside
// it, or sends agents to an address that nobody can listen on.
func TestOddRowCostsNoEntryButItself(t *testing.T) {
	is := is.New(t)
	self := structs.Peer{Name: "b", LinkAddress: "127.0.0.1:2"}
	var list []structs.Peer
	m := NewMembers(newFakeStore(), self, time.Minute, func(p []structs.Peer) { list = p }, logging.Discard())
	odd := []string{
		strings.Repeat("[", 1_000_000), strings.Repeat(`{"name":`, 100_000), `{"name":"x","incarnation":1e400,"link_address":"127.0.0.1:1"}`,
		`{"name":"x","link_address":"127.0.0.1:65536"}`, `{"name":"x","link_address":"127.0.0.1:-1"}`, `{"name":"x","link_address":":7000"}`,
		`{"name":"x","link_address":"127.0.0.1"}`, `{"name":7}`, `null`, ``, "\xff\x00",
	}
	rows := []Row{{Key: "a", Value: []byte(`{"name":"a","link_address":"127.0.0.1:1"}`)}}
	for i, text := range odd {
		rows = append(rows, Row{Key: fmt.Sprintf("x%d", i), Value: []byte(text)})
	}
	m.applyRows(rows, true)
	is.Equal(len(list), 1+1) // this entry and a
	m.applyRows([]Row{{Key: "c", Value: []byte(`{"name":"c","link_address":"127.0.0.1:3"}`)}}, false)
	is.Equal(len(list), 2+1)
}
