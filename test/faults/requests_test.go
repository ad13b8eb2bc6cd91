package faults

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"cactuspost.example/internal/api"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/httpclient"
	"cactuspost.example/test/cluster"
)

// requestWait is how long a request waits at the entry for its job's end.
const requestWait = jobLifetime

// requestCount counts the requests sent to a ready entry. A request counts as
// cut if it gets no complete answer, or one that leaves the job's outcome open.
type requestCount struct{ sent, cut int }

// startRequests sends requests to each entry as a balancer would: only while the
// entry reports that it is ready, and without the library and its retries. The
// counts are sent when the load is stopped.
func (b *testBed) startRequests() <-chan requestCount {
	counts := make(chan requestCount, len(b.Entries))
	for _, e := range b.Entries {
		go func() { counts <- b.requestWhileReady("http://" + e.HTTPAddress) }()
	}
	return counts
}

func (b *testBed) requestWhileReady(url string) requestCount {
	var count requestCount
	for b.ctx.Err() == nil {
		select {
		case <-b.stop:
			return count
		default:
		}
		response, err := b.exchange(http.MethodGet, url+api.ReadyPath, nil)
		if err != nil || response.Status != http.StatusOK {
			sleepOrDone(b.ctx, pollInterval)
			continue
		}
		count.sent++
		if !b.answeredInFull(url, fmt.Sprintf("request-%s-%d", url, count.sent)) {
			count.cut++
		}
	}
	return count
}

// answeredInFull submits a job in one request and reports whether the answer
// has all results or is a refusal with the run state "not run".
func (b *testBed) answeredInFull(url, echo string) bool {
	payload := newTask(echo, defaultLoad.sleep).Payload
	body, err := json.Marshal(api.JobRequest{Service: service, Tasks: []api.TaskRequest{{Kind: kind, Payload: payload}}})
	if err != nil {
		panic(err)
	}
	response, err := b.exchange(http.MethodPost, url+api.SubmitPath+"?"+api.WaitParameter+"="+api.FormatWait(requestWait), body)
	if err != nil {
		return false
	}
	if response.Status != http.StatusOK {
		return api.DecodeFailure(response.Status, response.Body, "").Run == failure.NotRun
	}
	answer, err := api.DecodeAnswer(response.Body)
	return err == nil && answer.Complete() && len(answer.Results) == 1 && string(answer.Results[0]) == echo
}

func (b *testBed) exchange(method, url string, body []byte) (*httpclient.Response, error) {
	return b.http.Exchange(b.ctx, httpclient.Request{
		Method: method, URL: url, Token: cluster.CallerToken, Accept: api.JSONType,
		ContentType: api.JSONType, Body: body, Timeout: requestWait + 2*time.Second,
	})
}
