package agentd

import (
	"context"
	"encoding/json"
	"net"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"cactuspost.example/internal/api/operator"
	"cactuspost.example/internal/settings"
	"cactuspost.example/internal/structs"
)

// The tests in this file use the decisions of package agent.

func startAgent(t *testing.T, endpoint string) (*Daemon, net.Listener) {
	t.Helper()
	l := listen(t)
	ctx, cancel := context.WithCancel(context.Background())
	d, err := Start(ctx, testConfig(endpoint, l.Addr().String()))
	is.New(t).NoErr(err)
	t.Cleanup(func() { cancel(); _ = d.Wait() })
	return d, l
}

// welcome receives the agent's hello, answers it and returns it.
func (e *fakeEntry) welcome(incarnation structs.Incarnation) *structs.Hello {
	e.is.Helper()
	hello := e.receive().Hello
	e.is.True(hello != nil)
	e.send(&structs.FromEntry{
		Welcome: &structs.Welcome{Entry: structs.Peer{Name: "e1", Incarnation: incarnation}, Revision: 1},
		Config:  &structs.Document{Revision: 1, Services: map[string]structs.Service{"s": {Pool: "p"}}},
	})
	return hello
}

// receiveUntil returns the first message that matches and skips the others.
func (e *fakeEntry) receiveUntil(matches func(*structs.FromAgent) bool) *structs.FromAgent {
	e.is.Helper()
	for {
		m := e.receive()
		e.is.True(m != nil)
		if matches(m) {
			return m
		}
	}
}

func offersCredit(m *structs.FromAgent) bool { return m.Offered.Total() > 0 }
func hasResults(m *structs.FromAgent) bool   { return len(m.Results) > 0 }
func hasRefusals(m *structs.FromAgent) bool  { return len(m.Refusals) > 0 }

func TestResultsSurviveABrokenLink(t *testing.T) {
	is := is.New(t)
	endpoint := startEndpoint(t)
	d, l := startAgent(t, endpoint.Address())
	first := accept(t, l)
	is.Equal(first.welcome(1).Incarnation, d.Incarnation())
	first.receiveUntil(offersCredit)
	g := newGrant(1, `{"echo":"kept"}`)
	first.send(&structs.FromEntry{Grants: []structs.Grant{g}})
	first.receiveUntil(hasResults)
	is.NoErr(first.conn.Close()) // before the result is acknowledged

	second := accept(t, l)
	hello := second.welcome(1)
	is.Equal(hello.Incarnation, d.Incarnation())
	is.Equal(hello.Held, []structs.GrantID{g.ID})
	again := second.receiveUntil(hasResults)
	is.Equal(string(again.Results[0].Payload), "kept")
	second.send(&structs.FromEntry{Grants: []structs.Grant{g}}) // a repeated grant must not start the task again
	second.send(&structs.FromEntry{Acks: []structs.GrantID{g.ID}})
	d.Stop()
	second.receiveUntil(func(m *structs.FromAgent) bool { return m.Leaving })
	second.send(&structs.FromEntry{Released: true})
	is.NoErr(d.Wait())
	is.Equal(endpoint.Starts(), map[string]int{"kept": 1})
}

func TestPlannedStopWaitsForTheAcknowledgement(t *testing.T) {
	is := is.New(t)
	endpoint := startEndpoint(t)
	d, l := startAgent(t, endpoint.Address())
	e := accept(t, l)
	e.welcome(1)
	e.receiveUntil(offersCredit)
	e.send(&structs.FromEntry{Grants: []structs.Grant{newGrant(1, `{"sleep_us":100000,"echo":"whole"}`)}})
	endpoint.AwaitStarts(1)
	d.Stop()
	e.receiveUntil(func(m *structs.FromAgent) bool { return m.Leaving })
	late := newGrant(2, `{"echo":"late"}`)
	e.send(&structs.FromEntry{Grants: []structs.Grant{late}})
	refused := e.receiveUntil(hasRefusals).Refusals[0]
	is.Equal(refused, structs.Refusal{Grant: late.ID, Reason: structs.AgentLeaving})
	result := e.receiveUntil(hasResults).Results[0]
	is.Equal(string(result.Payload), "whole")
	select {
	case <-d.ended:
		t.Fatal("the agent ended before the result was acknowledged")
	default:
	}
	e.send(&structs.FromEntry{Acks: []structs.GrantID{result.Grant}, Released: true})
	is.NoErr(d.Wait())
	is.Equal(endpoint.Starts(), map[string]int{"whole": 1})
}

func TestPlannedStopRequiresAnOperatorToken(t *testing.T) {
	is := is.New(t)
	endpoint := startEndpoint(t)
	c := testConfig(endpoint.Address(), listen(t).Addr().String())
	c.Operators = []settings.Operator{{Name: "op", Token: settings.NewSecret("operator-token-0001")}}
	d, err := Start(t.Context(), c)
	is.NoErr(err)
	for token, want := range map[string]int{"": fasthttp.StatusUnauthorized, "Bearer wrong": fasthttp.StatusUnauthorized} {
		status, _ := drainWith(is, d, token)
		is.Equal(status, want)
	}
	status, body := drainWith(is, d, "Bearer operator-token-0001")
	is.Equal(status, fasthttp.StatusAccepted)
	var answer operator.DrainAnswer
	is.NoErr(json.Unmarshal(body, &answer))
	is.Equal(answer, operator.DrainAnswer{Endpoint: c.Endpoint, Leaving: true})
	is.NoErr(d.Wait())
}

func drainWith(is *is.I, d *Daemon, authorization string) (int, []byte) {
	is.Helper()
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	request.SetRequestURI("http://" + d.HTTPAddress() + DrainPath)
	request.Header.SetMethod(fasthttp.MethodPost)
	if authorization != "" {
		request.Header.Set(fasthttp.HeaderAuthorization, authorization)
	}
	is.NoErr(fasthttp.Do(request, response))
	return response.StatusCode(), response.Body()
}
