package cactuspost

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactuspost.example/internal/api"
	"cactuspost.example/internal/api/apitest"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/structs"
)

var testJob = Job{Service: "recession", Tasks: []Task{{Kind: "profile-check", Declared: 80 * time.Millisecond, Payload: []byte("a")}}}

func testTicket() Ticket { return Ticket{ID: testID.String(), Expiry: testID.ExpiryTime()} }

var (
	cut     = reply{cut: true}
	refused = func(kind Kind, run Run, after time.Duration) reply {
		return reply{refusal: failure.New(kind, run, "").WithRetry(after)}
	}
)

func complete(t testing.TB, results ...string) reply {
	answer := structs.Answer{State: structs.JobComplete}
	for _, r := range results {
		answer.Results = append(answer.Results, []byte(r))
	}
	return answered(t, answer)
}

func TestSubmitResendsTheSameIDUntilTheAnswerArrives(t *testing.T) {
	is := is.New(t)
	fake := startFake(t, cut, refused(Overloaded, NotRun, 3*time.Second), answered(t, structs.Answer{State: structs.JobOpen}), complete(t, "r"))
	c, clock := newTestClient(t, fake)
	answer, err := c.Submit(context.Background(), testTicket(), testJob)
	is.NoErr(err)
	is.Equal(answer, &Answer{ID: testID.String(), Results: [][]byte{[]byte("r")}})
	seen := fake.requests()
	is.Equal(len(seen), 4)
	for i, method := range []string{"PUT", "PUT", "PUT", "GET"} { // the tasks are sent until they are accepted
		is.Equal(seen[i].method, method)
		is.Equal(seen[i].path, api.JobPathPrefix+testID.String())
		is.Equal(seen[i].token, "token-of-rivage")
		is.Equal(seen[i].wait, "30000")
	}
	is.True(strings.Contains(seen[0].body, `"payload":"YQ=="`))
	is.True(clock.pauses[0] >= initialRetryDelay/2 && clock.pauses[0] <= initialRetryDelay*3/2) // first backoff, with jitter
	is.Equal(clock.pauses[1], 3*time.Second)                                                    // the refusal's Retry-After
	is.Equal(clock.pauses[2], pollInterval)                                                     // a poll is not a retry
}

func TestRefusalAfterALostAnswerNeverSaysNotRun(t *testing.T) {
	is := is.New(t)
	c, _ := newTestClient(t, startFake(t, cut, refused(Conflict, NotRun, 0)))
	_, err := c.Submit(context.Background(), testTicket(), testJob)
	is.Equal(FailureOf(err).Kind, Conflict)
	is.Equal(FailureOf(err).Run, Unknown)
	c, _ = newTestClient(t, startFake(t, refused(NeverRuns, NotRun, 0)))
	_, err = c.Submit(context.Background(), testTicket(), testJob)
	is.Equal(FailureOf(err).Run, NotRun) // the only request was refused
	c, _ = newTestClient(t, startFake(t, refused(NeverRuns, NotRun, 0)))
	_, err = c.Resubmit(context.Background(), testID.String(), testJob)
	is.Equal(FailureOf(err).Run, Unknown) // an earlier submission may have arrived
	c, _ = newTestClient(t, startFake(t, refused(Forbidden, NotRun, 0)))
	_, err = c.Await(context.Background(), testID.String())
	is.Equal(FailureOf(err).Run, Unknown) // only the status request was refused, not the job
}

func TestFinalFailureKeepsItsOutcome(t *testing.T) {
	is := is.New(t)
	shed := failure.New(failure.Overloaded, failure.NotRun, "shed").WithRetry(time.Second)
	fake := startFake(t, cut, answered(t, structs.Answer{State: structs.JobFailed, Failure: shed}))
	c, _ := newTestClient(t, fake)
	_, err := c.Submit(context.Background(), testTicket(), testJob)
	is.Equal(FailureOf(err), shed) // the job has ended, so its outcome holds for every request
	is.Equal(len(fake.requests()), 2)
}

func TestMismatchedAnswersAreRejected(t *testing.T) {
	is := is.New(t)
	foreign := complete(t, "of another job")
	foreign.body = strings.Replace(foreign.body, testID.String(), "0000000000000008-1-1", 1)
	c, _ := newTestClient(t, startFake(t, foreign, complete(t), complete(t, "one", "two"), complete(t, "r")))
	answer, err := c.Submit(context.Background(), testTicket(), testJob)
	is.NoErr(err)
	is.Equal(answer.Results, [][]byte{[]byte("r")})
}

func TestFailedCallTriesTheNextEntry(t *testing.T) {
	is := is.New(t)
	first := startFake(t, refused(Draining, NotRun, time.Second))
	second := startFake(t, reply{status: 201, body: `{"ids":["` + testID.String() + `"],"lifetime_ms":60000}`}, complete(t, "r"))
	c, clock := newTestClient(t, first, second)
	tickets, err := c.NewTickets(context.Background(), "recession", 1)
	is.NoErr(err)
	is.Equal(tickets[0].ID, testID.String())
	is.Equal(tickets[0].Expiry, clock.now().Add(time.Minute))
	_, err = c.Submit(context.Background(), tickets[0], testJob)
	is.NoErr(err) // goes to the entry that issued the id
	is.Equal(len(first.requests()), 1)
	is.Equal(len(second.requests()), 2)
}

func TestRefusalByOwnerIsRetriedAtTheSameEntry(t *testing.T) {
	is := is.New(t)
	first := startFake(t, refused(Overloaded, NotRun, time.Second), refused(QuotaExceeded, NotRun, time.Second), complete(t, "r"))
	second := startFake(t)
	c, _ := newTestClient(t, first, second)
	_, err := c.Submit(context.Background(), testTicket(), testJob)
	is.NoErr(err)
	is.Equal(len(second.requests()), 0)
}

func TestRetriesEndWithTheLifetime(t *testing.T) {
	is := is.New(t)
	script := make([]reply, maxAttempts)
	for i := range script {
		script[i] = refused(Unavailable, Unknown, 25*time.Minute)
	}
	fake := startFake(t, script...)
	c, _ := newTestClient(t, fake)
	_, err := c.Await(context.Background(), testID.String())
	is.Equal(FailureOf(err).Kind, Unavailable)
	is.Equal(FailureOf(err).Run, Unknown)
	is.Equal(len(fake.requests()), 3) // after 0, 25 and 50 minutes; the next would be after the expiry at one hour
	late := structs.JobID{Owner: 7, Seq: 1, Expiry: start.Add(-expiryMargin).UnixMilli()}
	_, err = c.Status(context.Background(), late.String())
	is.Equal(FailureOf(err).Kind, Expired)
	is.Equal(len(fake.requests()), 3) // nothing is sent
}

func TestRetriesKeepToTheBudget(t *testing.T) {
	is := is.New(t)
	fake := startFake(t)
	for range 100 {
		fake.script = append(fake.script, refused(Unavailable, NotRun, 0))
	}
	c, _ := newTestClient(t, fake)
	for range 20 {
		_, err := c.Status(context.Background(), testID.String())
		is.Equal(FailureOf(err).Kind, Unavailable)
	}
	// 20 calls, 10 retries from the initial budget, and one more per 10 calls.
	is.True(len(fake.requests()) <= 20+10+2)
	is.True(len(fake.requests()) >= 20+10)
}

func TestAttemptsAreBounded(t *testing.T) {
	is := is.New(t)
	fake := startFake(t)
	for range 2 * maxAttempts {
		fake.script = append(fake.script, cut)
	}
	c, _ := newTestClient(t, fake)
	_, err := c.NewTickets(context.Background(), "recession", 1)
	is.Equal(FailureOf(err).Kind, Unavailable)
	is.Equal(len(fake.requests()), maxAttempts)
}

func TestContextEndsACall(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	fake := startFake(t, refused(Unavailable, Unknown, time.Second))
	c, _ := newTestClient(t, fake)
	c.clock.after = func(time.Duration) <-chan time.Time { cancel(); return nil }
	_, err := c.Await(ctx, testID.String())
	is.True(errors.Is(err, context.Canceled))
	is.Equal(FailureOf(err).Run, Unknown)
}

func TestNothingSentIsNotRun(t *testing.T) {
	is := is.New(t)
	c, _ := newTestClient(t, &fakeEntry{url: apitest.ClosedURL()})
	_, err := c.Submit(context.Background(), testTicket(), testJob)
	is.Equal(FailureOf(err).Kind, Unavailable)
	is.Equal(FailureOf(err).Run, NotRun)
}

func TestCancelReturnsTheState(t *testing.T) {
	is := is.New(t)
	withdrawn := failure.New(Cancelled, Ran, "")
	fake := startFake(t, answered(t, structs.Answer{State: structs.JobFailed, Failure: withdrawn}))
	c, _ := newTestClient(t, fake)
	status, err := c.Cancel(context.Background(), testID.String())
	is.NoErr(err)
	is.Equal(status.State, Failed)
	is.Equal(status.Failure, withdrawn)
	is.Equal(fake.requests()[0].method, "DELETE")
}

func TestInvalidCallsSendNothing(t *testing.T) {
	is := is.New(t)
	fake := startFake(t)
	c, _ := newTestClient(t, fake)
	_, err := c.Await(context.Background(), "no id")
	is.Equal(FailureOf(err).Kind, UnknownJob)
	_, err = c.NewTickets(context.Background(), "recession", 0)
	is.Equal(FailureOf(err).Kind, Invalid)
	_, err = New(Config{Entries: []string{"127.0.0.1:7101"}})
	is.Equal(FailureOf(err).Kind, Invalid)
	is.Equal(len(fake.requests()), 0)
}
