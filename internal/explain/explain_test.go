package explain

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const (
	accepted        = `{"severity":"info","time":"2026-05-16T04:04:20.000Z","name":"job accepted","node":"front-1","event":1040,"job":"0000000000000009-1-19e2ef4ff4b","request":"abc","slots_free":12}`
	granted         = `{"severity":"info","time":"2026-05-16T04:04:20.010Z","name":"task granted","node":"front-1","event":1044,"endpoint":"side-2","job":"0000000000000009-1-19e2ef4ff4b","request":"abc","task":"abc.0.0.0","waited_ms":3}`
	runLost         = `{"severity":"warning","time":"2026-05-16T04:04:20.500Z","name":"run failed","node":"side-2","event":2041,"task":"abc.0.0.0","grant":"0000000000000009-1-0-1","outcome":"lost"}`
	down            = `{"severity":"warning","time":"2026-05-16T04:04:20.400Z","name":"endpoint down","node":"side-2","event":2031}`
	failed          = `{"severity":"warning","time":"2026-05-16T04:04:21.000Z","name":"job failed","node":"front-1","event":1043,"job":"0000000000000009-1-19e2ef4ff4b","request":"abc","detail":"expired (ran): the job's lifetime is over"}`
	refused         = `{"severity":"warning","time":"2026-05-16T04:04:20.000Z","name":"job refused","node":"front-1","event":1041,"request":"abc","detail":"overloaded (not run): the job would end after its deadline","workers":11,"slots_free":0}`
	completed       = `{"severity":"info","time":"2026-05-16T04:04:21.000Z","name":"job complete","node":"front-1","event":1042,"job":"0000000000000009-1-19e2ef4ff4b","request":"abc","took_ms":900}`
	waited          = `{"severity":"info","time":"2026-05-16T04:04:20.800Z","name":"task granted","node":"front-1","event":1044,"endpoint":"side-3","job":"0000000000000009-1-19e2ef4ff4b","request":"abc","task":"abc.0.0.1","waited_ms":790}`
	rejected        = `{"severity":"warning","time":"2026-05-16T04:04:20.000Z","name":"request rejected","node":"front-1","event":1048,"request_id":"abc","kind":"unknown_service","revision":4,"detail":"unknown_service (not run): no queue in revision 4"}`
	oldInForce      = `{"severity":"info","time":"2026-05-16T04:04:01.000Z","name":"configuration in force","node":"front-1","event":3025,"revision":4,"replaced":0,"source":""}`
	newInForce      = `{"severity":"info","time":"2026-05-16T04:04:17.000Z","name":"configuration in force","node":"front-2","event":3025,"revision":6,"replaced":4,"source":""}`
	newInForceLater = `{"severity":"info","time":"2026-05-16T04:04:23.600Z","name":"configuration in force","node":"front-1","event":3025,"revision":6,"replaced":4,"source":""}`
	tableAway       = `{"severity":"warning","time":"2026-05-16T04:04:18.500Z","name":"table unavailable","node":"front-1","event":3001,"table":"op","answered_ms_ago":3700,"error":"fasthttp: timeout"}`
	tableBack       = `{"severity":"info","time":"2026-05-16T04:04:18.700Z","name":"table available","node":"front-1","event":3002,"table":"op"}`
	behind          = `{"severity":"warning","time":"2026-05-16T04:04:17.300Z","name":"configuration behind","node":"front-1","event":3026,"endpoint":"side-1","revision":4,"reported":6}`
	badRow          = `{"severity":"fault","time":"2026-05-16T04:04:17.100Z","name":"bad configuration row","node":"front-1","event":3022,"error":"timeoutMs"}`
	other           = `{"severity":"info","time":"2026-05-16T04:04:20.000Z","name":"job accepted","node":"front-2","event":1040,"job":"0000000000000008-1-19e2ef4ff4b","request":"other"}`
)

func explainLines(t *testing.T, id string, lines ...string) *Explanation {
	t.Helper()
	read, _, err := Read(strings.NewReader(strings.Join(lines, "\n")))
	is.New(t).NoErr(err)
	return ForRequest(id, read)
}

func TestCauses(t *testing.T) {
	for name, c := range map[string]struct {
		lines []string
		cause string
	}{
		"refused":                {[]string{other, refused}, "refused by front-1: overloaded (not run): the job would end after its deadline (workers 11, slots_free 0)"},
		"run lost by worker":     {[]string{accepted, granted, down, runLost, failed}, "failed at front-1: expired (ran): the job's lifetime is over; before that: run failed, task abc.0.0.0 at side-2 (outcome lost)"},
		"worker's log missing":   {[]string{accepted, granted, down, failed}, "failed at front-1: expired (ran): the job's lifetime is over; before that: endpoint down, task  at side-2"},
		"waited":                 {[]string{accepted, failed}, "failed at front-1: expired (ran): the job's lifetime is over; no task had a problem: the job waited too long"},
		"complete":               {[]string{accepted, granted, waited, completed}, "complete after 900 ms; longest part: task granted of task abc.0.0.1 (waited_ms 790)"},
		"entry ended":            {[]string{accepted, granted}, "the entry ended with the job open; last seen: task granted at front-1"},
		"no such queue anywhere": {[]string{rejected}, "rejected by front-1: unknown_service (not run): no queue in revision 4; no other instance had a higher revision in the logs given"},
		"rejected while the store did not answer": {
			[]string{oldInForce, newInForce, tableAway, rejected},
			"rejected by front-1: unknown_service (not run): no queue in revision 4; front-1 had revision 4, and revision 6 had been in force at front-2 for 3000 ms; it could not read table op since 04:04:18.500: fasthttp: timeout",
		},
		"rejected while a call for changes waited": {
			[]string{oldInForce, tableAway, tableBack, newInForce, rejected},
			"rejected by front-1: unknown_service (not run): no queue in revision 4; front-1 had revision 4, and revision 6 had been in force at front-2 for 3000 ms; it logged no fault: its call for changes was still waiting",
		},
		"rejected though an agent knew better": {
			[]string{oldInForce, newInForce, behind, rejected},
			"rejected by front-1: unknown_service (not run): no queue in revision 4; front-1 had revision 4, and revision 6 had been in force at front-2 for 3000 ms; its agent at side-1 had revision 6",
		},
		"rejected while no entry could read": {
			[]string{oldInForce, tableAway, rejected, newInForceLater},
			"rejected by front-1: unknown_service (not run): no queue in revision 4; no other instance had a higher revision in the logs given; it could not read table op since 04:04:18.500: fasthttp: timeout; revision 6 came into force there 3600 ms later",
		},
		"rejected after a row that was not valid": {
			[]string{oldInForce, newInForce, badRow, rejected},
			"rejected by front-1: unknown_service (not run): no queue in revision 4; front-1 had revision 4, and revision 6 had been in force at front-2 for 3000 ms; it rejected the row that it read: timeoutMs",
		},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(explainLines(t, "abc", c.lines...).Cause, c.cause)
		})
	}
}

func TestRequestIsFoundByJobOrRequestID(t *testing.T) {
	is := is.New(t)
	byRequest := explainLines(t, "abc", other, failed, runLost, granted, accepted)
	byJob := explainLines(t, "0000000000000009-1-19e2ef4ff4b", other, failed, runLost, granted, accepted)
	is.Equal(len(byRequest.Lines), 4)
	is.Equal(len(byJob.Lines), 4)
	is.Equal(byRequest.Lines[0].Name, "job accepted") // sorted by time, whatever the order of the input
}

func TestCallerRequestIDFindsItsJob(t *testing.T) {
	is := is.New(t)
	mine := strings.Replace(accepted, `"request":"abc"`, `"request":"abc","request_id":"mine"`, 1)
	explanation := explainLines(t, "mine", other, failed, runLost, granted, mine)
	is.Equal(len(explanation.Lines), 4)
	is.Equal(explanation.Lines[0].RequestID, "mine")
}

func TestMissingLinesAreReported(t *testing.T) {
	is := is.New(t)
	dropped := `{"severity":"warning","time":"2026-05-16T04:04:21.000Z","name":"lines dropped","node":"front-1","event":4031}`
	explanation := explainLines(t, "abc", granted, dropped)
	is.Equal(len(explanation.Missing), 3) // acceptance, end and dropped lines
	is.Equal(len(explainLines(t, "nobody", accepted).Missing), 1)
}

func TestTruncatedAndUnrelatedLines(t *testing.T) {
	is := is.New(t)
	lines, malformed, err := Read(strings.NewReader("panic: text\n  12.5 front-1 " + accepted + "\n" + granted[:60]))
	is.NoErr(err)
	is.Equal(len(lines), 1)
	is.Equal(malformed, 1)
}
