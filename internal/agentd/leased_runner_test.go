package agentd

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactuspost.example/internal/event"
	"cactuspost.example/internal/leased"
	"cactuspost.example/internal/logging"
	"cactuspost.example/internal/structs"
)

// newLoggedRunner returns a leased runner whose worker starts no runs, and its log.
func newLoggedRunner(t *testing.T) (*leasedRunner, *bytes.Buffer) {
	t.Helper()
	core, _ := collect[coreInput](t)
	var log bytes.Buffer
	r := newLeasedRunner(newRunnerInbox(16), core, Config{Worker: idleWorker{}}, newCounters(), logging.New(&log, event.Info), func() {})
	return r, &log
}

func TestRunsAreLoggedFromRequestToEnd(t *testing.T) {
	grant := structs.GrantID{Owner: 9, Job: 1, Task: 2, Attempt: 3}
	run := leased.RunID{Task: "abc.0.0.2", Number: 3}
	const object = `"task":"abc.0.0.2","grant":"0000000000000009-1-2-3","run":3,`
	for name, c := range map[string]struct {
		effect leased.Effect
		line   string
	}{
		"requested": {
			&leased.SendStart{Grant: grant, Run: run, Token: 7, Until: 1200 * time.Millisecond},
			`"event":2052,` + object + `"token":7,"lease_until_ms":1200}`,
		},
		"succeeded": {
			&leased.Exited{Grant: grant, Task: run.Task, Number: 3, Outcome: structs.Succeeded, RunTime: time.Second},
			`"event":2040,` + object + `"outcome":"succeeded","run_ms":1000,"detail":""}`,
		},
		"lost": {
			&leased.Exited{Grant: grant, Task: run.Task, Number: 3, Outcome: structs.Lost, Concluded: leased.LeaseOver, LeaseLeft: -2 * time.Millisecond, Crashed: true},
			`"event":2041,` + object + `"outcome":"lost","run_ms":0,"detail":"","concluded_from":"lease_expired","lease_left_ms":-2,"crashed":true}`,
		},
		"not requested": {
			&leased.Exited{Grant: grant, Task: run.Task, Outcome: structs.NotSent, Full: true, Detail: "worker unavailable"},
			`"event":2041,"task":"abc.0.0.2","grant":"0000000000000009-1-2-3","run":0,"outcome":"not_sent","run_ms":0,"detail":"worker unavailable"}`,
		},
		"foreign": {
			&leased.ForeignRunListed{Run: run, Requested: true, Token: 7},
			`"event":2053,"task":"abc.0.0.2","run":3,"requested":true,"token":7}`,
		},
		"stop overdue": {
			&leased.StopOverdue{
				Grant: grant, Run: run, State: "stopping", Attempts: 3, Executed: true, Elapsed: 155 * time.Millisecond, Limit: 150 * time.Millisecond, LeaseLeft: -time.Millisecond,
			},
			`"event":2054,` + object + `"state":"stopping","attempts":3,"executed":true,"asked_ms_ago":155,"limit_ms":150,"lease_left_ms":-1}`,
		},
		"runs lost": {
			&leased.RunsLost{Runs: 4, LeaseLeft: -2 * time.Millisecond},
			`"event":2055,"runs":4,"lease_left_ms":-2}`,
		},
		"stopped run listed": {
			&leased.StoppedRunListed{Grant: grant, Run: run, State: "expired", Attempts: 2, LeaseLeft: 640 * time.Millisecond},
			`"event":2056,` + object + `"state":"expired","attempts":2,"executed":false,"lease_left_ms":640}`,
		},
		"token derived": {
			&leased.TokenDerived{Token: 7, Floor: 6, Born: 5, Clock: 2 * time.Millisecond},
			`"event":2059,"token":7,"floor":6,"born":5,"clock_ms":2}`,
		},
		"token rejected while held": {
			&leased.TokenRejected{Token: 7, State: "held"},
			`"event":2060,"token":7,"state":"held"}`,
		},
		"token rejected": {
			&leased.WorkerLost{Cause: leased.Fenced, Token: 7},
			`"event":2042,"cause":"fenced","token":7}`,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, log := newLoggedRunner(t)
			r.execute(c.effect)
			_, line, _ := strings.Cut(strings.TrimSpace(log.String()), `"event":`)
			is.Equal(`"event":`+line, c.line)
		})
	}
}

func TestLostRunsStopsAndUnansweredCallsAreCounted(t *testing.T) {
	is := is.New(t)
	r, _ := newLoggedRunner(t)
	r.execute(&leased.Exited{Outcome: structs.Lost, Concluded: leased.MissingFromList})
	r.execute(&leased.Exited{Outcome: structs.Lost, Concluded: leased.LeaseOver})
	r.execute(&leased.Exited{Outcome: structs.NotSent, Concluded: leased.StartRevoked, StopTime: 40 * time.Millisecond})
	for _, result := range []leased.CallResult{leased.Done, leased.Unanswered} {
		r.Handle(time.Time{}, &callReturned{message: &leased.StartAnswered{Result: result}})
		for range 2 {
			r.Handle(time.Time{}, &callReturned{message: &leased.StopAnswered{Result: result}})
		}
		for range 3 {
			r.Handle(time.Time{}, &callReturned{message: &leased.PollAnswered{Result: result}})
		}
	}
	var page bytes.Buffer
	r.counters.write(&page, Status{})
	for _, line := range []string{
		`cactuspost_agent_runs_lost_total{cause="missing"} 1`,
		`cactuspost_agent_runs_lost_total{cause="lease_expired"} 1`,
		`cactuspost_agent_runs_lost_total{cause="start_revoked"} 0`,
		`cactuspost_agent_calls_unanswered_total{call="start"} 1`,
		`cactuspost_agent_calls_unanswered_total{call="stop"} 2`,
		`cactuspost_agent_calls_unanswered_total{call="poll"} 3`,
		`cactuspost_agent_stop_seconds_count 1`,
		`cactuspost_agent_stop_seconds_sum 0.04`,
	} {
		is.True(strings.Contains(page.String(), line+"\n")) // the page has the line
	}
}
