package standin

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

func TestFaultsAndCountsOverHTTP(t *testing.T) {
	is := is.New(t)
	rows := NewTable()
	defer rows.Close()
	server, err := Serve(rows, "127.0.0.1:0")
	is.NoErr(err)
	defer server.Close()
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	request.SetRequestURI("http://" + server.Address() + FaultsPath)
	request.Header.SetMethod(fasthttp.MethodPut)
	request.SetBodyString(`{"down":true,"slow_ms":5,"lose_answers":2}`)
	is.NoErr(fasthttp.Do(request, response))
	is.Equal(response.StatusCode(), fasthttp.StatusOK)
	is.Equal(rows.Faults(), Faults{Down: true, SlowMS: 5, LoseAnswers: 2})
	status, body, err := fasthttp.Get(nil, "http://"+server.Address()+CountsPath)
	is.NoErr(err)
	is.Equal(status, fasthttp.StatusOK)
	var counts Counts
	is.NoErr(json.Unmarshal(body, &counts))
	is.Equal(counts, Counts{})
}
