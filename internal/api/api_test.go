package api

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/structs"
)

// allKinds returns every kind of failure. Values past the last kind have the same
// name as Internal.
func allKinds() []failure.Kind {
	var kinds []failure.Kind
	for k := failure.Kind(0); k == failure.Internal || k.String() != failure.Internal.String(); k++ {
		kinds = append(kinds, k)
	}
	return kinds
}

func TestFailuresRoundTrip(t *testing.T) {
	is := is.New(t)
	is.Equal(len(statusByKind), len(allKinds())) // every kind has a status
	for _, kind := range allKinds() {
		is.True(Status(kind) >= http.StatusBadRequest)
		for _, run := range []failure.Run{failure.Unknown, failure.NotRun, failure.Ran} {
			want := failure.New(kind, run, "detail").WithRetry(1500 * time.Millisecond)
			status, body, retryAfter := EncodeFailure(want)
			is.Equal(retryAfter, "2") // rounded up
			is.Equal(DecodeFailure(status, body, retryAfter), want)
		}
	}
}

func TestHTTPPageListsStatuses(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/http.md")
	is.NoErr(err)
	for kind, status := range statusByKind {
		is.True(strings.Contains(string(page), fmt.Sprintf("| `%s` | %d | ", kind, status)))
	}
}

func TestFailureWithoutBodyHasUnknownOutcome(t *testing.T) {
	is := is.New(t)
	for status := http.StatusContinue; status < 600; status++ {
		for _, body := range []string{"", "<html>bad gateway</html>", "{}", "null", `{"failure":null}`} {
			f := DecodeFailure(status, []byte(body), "3")
			is.Equal(f.Run, failure.Unknown)
			is.Equal(f.RetryAfter, 3*time.Second)
		}
	}
	is.Equal(DecodeFailure(http.StatusBadGateway, nil, "").Kind, failure.Unavailable)
	is.Equal(DecodeFailure(http.StatusConflict, nil, "").Kind, failure.Conflict)
	is.Equal(DecodeFailure(http.StatusOK, nil, "-1").RetryAfter, time.Duration(0))
}

func TestCausesAreNotSent(t *testing.T) {
	is := is.New(t)
	cause := failure.New(failure.Internal, failure.Unknown, "inner detail")
	_, body, _ := EncodeFailure(failure.Wrap(cause, failure.Unavailable, failure.Unknown, "outer"))
	is.True(!strings.Contains(string(body), "inner"))
}

const jobText = `{"service":"recession","needs":{"cores":2},"tasks":[{"kind":"profile-check","declared_ms":80,"payload":"aGk="}]}`

func TestDecodeJob(t *testing.T) {
	is := is.New(t)
	r, err := DecodeJob([]byte(jobText), Limits{Body: len(jobText), Tasks: 1, TaskBytes: 2})
	is.NoErr(err)
	id := structs.JobID{Owner: 3, Seq: 4, Expiry: 5}
	is.Equal(r.Submission(id, "rivage"), structs.Submission{ID: id, Team: "rivage", Service: "recession", Needs: structs.Needs{Cores: 2},
		Tasks: []structs.Task{{Kind: "profile-check", Declared: 80 * time.Millisecond, Payload: []byte("hi")}}})
}

func TestRequestsAreDecodedStrictly(t *testing.T) {
	many := strings.Repeat(`{"kind":"k"},`, 3)
	cases := map[string]struct {
		body string
		want failure.Kind
	}{
		"unknown field":        {`{"service":"s","task":[]}`, failure.Invalid},
		"unknown nested field": {`{"service":"s","tasks":[{"kind":"k","payload":"","retry":1}]}`, failure.Invalid},
		"no service":           {`{"tasks":[{"kind":"k"}]}`, failure.Invalid},
		"no tasks":             {`{"service":"s","tasks":[]}`, failure.Invalid},
		"no kind":              {`{"service":"s","tasks":[{}]}`, failure.Invalid},
		"negative time":        {`{"service":"s","tasks":[{"kind":"k","declared_ms":-1}]}`, failure.Invalid},
		"huge time":            {`{"service":"s","tasks":[{"kind":"k","declared_ms":9223372036854775807}]}`, failure.Invalid},
		"not base64":           {`{"service":"s","tasks":[{"kind":"k","payload":"?"}]}`, failure.Invalid},
		"trailing data":        {jobText + "{}", failure.Invalid},
		"empty":                {"", failure.Invalid},
		"too many tasks":       {`{"service":"s","tasks":[` + many[:len(many)-1] + `]}`, failure.TooLarge},
		"too large a payload":  {`{"service":"s","tasks":[{"kind":"k","payload":"aGVsbG8="}]}`, failure.TooLarge},
		"too large a body":     {jobText + strings.Repeat(" ", 200), failure.TooLarge},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := DecodeJob([]byte(c.body), Limits{Body: 200, Tasks: 2, TaskBytes: 4})
			is.True(err != nil)
			is.Equal(failure.Of(err).Kind, c.want)
			is.Equal(failure.Of(err).Run, failure.NotRun)
		})
	}
}

func TestDecodeCreate(t *testing.T) {
	is := is.New(t)
	r, err := DecodeCreate([]byte(`{"service":"s"}`), Limits{})
	is.NoErr(err)
	is.Equal(r.Count, 1)
	for _, body := range []string{`{"service":"s","count":0}`, `{"service":"s","count":10001}`, `{"count":1}`, `[]`} {
		_, err := DecodeCreate([]byte(body), Limits{})
		is.Equal(failure.Of(err).Kind, failure.Invalid)
	}
}

func TestAnswersAreCheckedForConsistency(t *testing.T) {
	is := is.New(t)
	id := structs.JobID{Owner: 3, Seq: 4, Expiry: 5}
	raw, err := EncodeAnswer(structs.Answer{ID: id, State: structs.JobComplete, Results: [][]byte{[]byte("a"), {}}, Done: 2})
	is.NoErr(err)
	var fields map[string]any
	is.NoErr(json.Unmarshal(raw, &fields))
	fields["from_a_newer_server"] = true
	raw, err = json.Marshal(fields)
	is.NoErr(err)
	answer, err := DecodeAnswer(raw)
	is.NoErr(err)
	is.Equal(answer.Results, [][]byte{[]byte("a"), {}})
	raw, err = EncodeAnswer(structs.Answer{ID: id, State: structs.JobFailed, Failure: failure.New(failure.Cancelled, failure.Ran, "")})
	is.NoErr(err)
	answer, err = DecodeAnswer(raw)
	is.NoErr(err)
	is.Equal(answer.Failure.Failure(), failure.New(failure.Cancelled, failure.Ran, ""))
	for _, body := range []string{`{"state":"failed"}`, `{"state":"open","results":["YQ=="]}`, `{"state":"odd"}`, `{"state":"complete","failure":{}}`, ``} {
		_, err := DecodeAnswer([]byte(body))
		is.Equal(failure.Of(err).Run, failure.Unknown)
		is.Equal(failure.Of(err).Kind, failure.Unavailable)
	}
}

func TestHeadersAndParameters(t *testing.T) {
	is := is.New(t)
	token, err := BearerToken(AuthorizationHeader("abc"))
	is.NoErr(err)
	is.Equal(token, "abc")
	for _, header := range []string{"", "Bearer", "Bearer ", "Basic abc", "abc"} {
		_, err := BearerToken(header)
		is.Equal(failure.Of(err).Kind, failure.Unauthorized)
	}
	wait, err := ParseWait(FormatWait(250 * time.Millisecond))
	is.NoErr(err)
	is.Equal(wait, 250*time.Millisecond)
	wait, err = ParseWait("999999999")
	is.NoErr(err)
	is.Equal(wait, MaxWait)
	_, err = ParseWait("-1")
	is.Equal(failure.Of(err).Kind, failure.Invalid)
}

func FuzzDecodeRequest(f *testing.F) {
	f.Add([]byte(jobText))
	f.Add([]byte(`{"service":"s","count":3}`))
	limits := Limits{Body: 4096, Tasks: 8, TaskBytes: 64}
	f.Fuzz(func(t *testing.T, body []byte) {
		if job, err := DecodeJob(body, limits); err == nil {
			again, err := Encode(job)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := DecodeJob(again, Limits{}); err != nil {
				t.Fatal(err)
			}
		} else if failure.Of(err).Run != failure.NotRun {
			t.Fatal(err)
		}
		if _, err := DecodeCreate(body, limits); err != nil && failure.Of(err).Run != failure.NotRun {
			t.Fatal(err)
		}
	})
}
