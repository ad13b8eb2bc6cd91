package standin

import (
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

func post(t *testing.T, e *Endpoint, body string) (int, string) {
	t.Helper()
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	request.SetRequestURI("http://" + e.Address() + endpointRunPath)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.Set(endpointGrantHeader, "g1")
	request.SetBodyString(body)
	is.New(t).NoErr(fasthttp.Do(request, response))
	return response.StatusCode(), string(response.Body())
}

func TestPayloadControlsEndpoint(t *testing.T) {
	is := is.New(t)
	e, err := StartEndpoint(EndpointOptions{Listen: "127.0.0.1:0"})
	is.NoErr(err)
	defer e.Stop()
	status, body := post(t, e, `{"sleep_us":10,"echo":"a"}`)
	is.Equal(status, fasthttp.StatusOK)
	is.Equal(body, "a")
	status, _ = post(t, e, `{"echo":"a","fail":true}`)
	is.Equal(status, fasthttp.StatusInternalServerError)
	_, body = post(t, e, "any other form")
	is.Equal(body, "any other form")
	e.SetBehaviour(EndpointBehaviour{FailAll: true})
	status, _ = post(t, e, "x")
	is.Equal(status, fasthttp.StatusInternalServerError)

	is.Equal(e.Starts(), map[string]int{"a": 2, "g1": 2})
	totals := e.Totals()
	is.Equal(totals.Started, uint64(4))
	is.Equal(totals.Succeeded, uint64(2))
	is.Equal(totals.Failed, uint64(2))
	is.Equal(totals.Running, 0)
	_, body2, err := fasthttp.Get(nil, "http://"+e.Address()+endpointStartsPath)
	is.NoErr(err)
	is.Equal(string(body2), "{\"a\":2,\"g1\":2}\n")
}
