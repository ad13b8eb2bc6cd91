package explain

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// at returns the time of a line, in milliseconds after the first line of a test.
func at(ms int) string {
	return time.Date(2026, 5, 16, 4, 4, 20, 0, time.UTC).Add(time.Duration(ms) * time.Millisecond).Format(time.RFC3339Nano)
}

// agentLine returns a line of an agent about a run of the task abc.0.0.0.
func agentLine(ms, id int, node, grant, fields string) string {
	return fmt.Sprintf(`{"time":%q,"node":%q,"event":%d,"task":"abc.0.0.0","grant":%q%s}`, at(ms), node, id, grant, fields)
}

// requeueLine returns the line that returns the first attempt of the task to the queue.
func requeueLine(ms int, follows, detail string) string {
	return fmt.Sprintf(`{"time":%q,"node":"front-1","event":1045,"job":"0000000000000009-1-19e2ef4ff4b","request":"abc","task":"abc.0.0.0","attempt":1,"follows":%q,"detail":%q}`, at(ms), follows, detail)
}

// jobLine returns a line of an entry about a job.
func jobLine(ms, id int, node, job, fields string) string {
	name := map[int]string{1040: "job accepted", 1043: "job failed"}[id]
	return fmt.Sprintf(`{"time":%q,"node":%q,"event":%d,"name":%q,"request":"abc","job":%q%s}`, at(ms), node, id, name, job, fields)
}

const (
	firstJob    = "0000000000000009-1-19e2ef4ff4b"
	otherJob    = "0000000000000008-5-19e2ef4ff4b"
	firstGrant  = "0000000000000009-1-0-1"
	secondGrant = "0000000000000009-1-0-2"
	otherGrant  = "0000000000000008-5-0-1"
	lost        = `,"outcome":"lost","run_ms":400`
	succeeded   = `,"outcome":"succeeded","run_ms":100`
)

func repetitionsOf(t *testing.T, lines ...string) []Repetition {
	t.Helper()
	read, malformed, err := Read(strings.NewReader(strings.Join(lines, "\n")))
	is := is.New(t)
	is.NoErr(err)
	is.Equal(malformed, 0)
	return Repetitions(read)
}

func TestRepeatedTasks(t *testing.T) {
	second := agentLine(510, 2052, "side-3", secondGrant, "")
	secondEnd := agentLine(610, 2040, "side-3", secondGrant, succeeded)
	for name, c := range map[string]struct {
		lines []string
		gap   time.Duration
		// verdict and reason are parts of the description.
		verdict, reason string
	}{
		"apart": {
			[]string{agentLine(100, 2052, "side-2", firstGrant, ""), agentLine(500, 2041, "side-2", firstGrant, `,"outcome":"errored","run_ms":400`), requeueLine(505, "result", "errored"), second, secondEnd},
			10 * time.Millisecond, "gap_ms=10: ", "requeued by front-1 (follows result): errored",
		},
		"overlap": {
			[]string{agentLine(100, 2052, "side-2", firstGrant, ""), agentLine(513, 2041, "side-2", firstGrant, `,"outcome":"stopped","run_ms":413`), requeueLine(505, "grace_over", "gone"), second, secondEnd},
			-3 * time.Millisecond, "gap_ms=-3 OVERLAP: ", "requeued by front-1 (follows grace_over): gone",
		},
		"overlap without lines of the requests": {
			[]string{agentLine(513, 2041, "side-2", firstGrant, `,"outcome":"stopped","run_ms":413`), secondEnd},
			-3 * time.Millisecond, "gap_ms=-3 OVERLAP: ", "no line of a requeue",
		},
		"given up while the lease went on": {
			[]string{agentLine(500, 2041, "side-2", firstGrant, lost+`,"concluded_from":"token_rejected","lease_left_ms":640`), requeueLine(505, "result", "lost"), second, secondEnd},
			10 * time.Millisecond, "gap_ms=10 MAY OVERLAP: ", "(outcome lost, concluded_from token_rejected, lease_left_ms 640) and perhaps 640 ms more; then",
		},
		"given up because the worker did not list it": {
			[]string{agentLine(500, 2041, "side-2", firstGrant, lost+`,"concluded_from":"missing","lease_left_ms":640`), second, secondEnd},
			10 * time.Millisecond, "gap_ms=10: ", "(outcome lost, concluded_from missing, lease_left_ms 640); then",
		},
		"given up late": {
			[]string{agentLine(613, 2041, "side-2", firstGrant, lost+`,"concluded_from":"lease_expired","lease_left_ms":-300`), second, secondEnd},
			-103 * time.Millisecond, "gap_ms=-103: ", "no line of a requeue",
		},
		"given up after the second run began": {
			[]string{agentLine(613, 2041, "side-2", firstGrant, lost+`,"concluded_from":"lease_expired","lease_left_ms":-3`), second, secondEnd},
			-103 * time.Millisecond, "gap_ms=-103 MAY OVERLAP: ", "no line of a requeue",
		},
		"agent killed": {
			[]string{agentLine(100, 2052, "side-2", firstGrant, ""), agentLine(400, 2030, "side-2", "", ""), agentLine(900, 4001, "side-2", "", ""), agentLine(1300, 2030, "side-2", "", ""), agentLine(1250, 2052, "side-3", secondGrant, ""), agentLine(1350, 2040, "side-3", secondGrant, succeeded)},
			-50 * time.Millisecond, "gap_ms=-50 MAY OVERLAP: ", "to 04:04:21.300 at the latest, no line of its end",
		},
		"end of the logs": {
			[]string{agentLine(100, 2052, "side-2", firstGrant, ""), agentLine(400, 2030, "side-2", "", ""), agentLine(1250, 2052, "side-3", secondGrant, ""), agentLine(1350, 2040, "side-3", secondGrant, succeeded)},
			50 * time.Millisecond, "gap_ms=50: ", "to 04:04:21.200 at the latest, no line of its end",
		},
		"sent again to another entry": {
			[]string{agentLine(500, 2041, "side-2", firstGrant, lost), agentLine(510, 2052, "side-3", otherGrant, ""), agentLine(610, 2040, "side-3", otherGrant, succeeded)},
			10 * time.Millisecond, "gap_ms=10: ", "the second run is of another job: the caller sent it again; no line of the end of the first",
		},
		"sent again with lines of both entries": {
			[]string{
				jobLine(100, 1040, "front-1", firstJob, ""), jobLine(505, 1040, "front-2", otherJob, ""),
				agentLine(520, 2041, "side-2", firstGrant, `,"outcome":"stopped","run_ms":400`), requeueLine(450, "unlisted", "gone"),
				agentLine(510, 2052, "side-3", otherGrant, ""), jobLine(518, 1043, "front-1", firstJob, `,"detail":"cancelled","caller_left_ms_ago":300`), agentLine(610, 2040, "side-3", otherGrant, succeeded),
			},
			-10 * time.Millisecond, "gap_ms=-10 OVERLAP: ", "the second run is of another job: the caller sent it again; the first job was accepted by front-1 at 04:04:20.100; the second by front-2 at 04:04:20.505; " +
				"the first ended at 04:04:20.518: 1043 job failed (detail cancelled, caller_left_ms_ago 300); before that requeued by front-1 (follows unlisted): gone",
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			found := repetitionsOf(t, c.lines...)
			is.Equal(len(found), 1)
			is.Equal(found[0].Gap(), c.gap)
			is.True(strings.Contains(found[0].String(), "abc.0.0.0 "+c.verdict))
			is.True(strings.Contains(found[0].String(), c.reason))
		})
	}
}

func TestRunsThatDidNotStartAreNoRepetition(t *testing.T) {
	is := is.New(t)
	refused := agentLine(500, 2041, "side-2", firstGrant, `,"outcome":"not_sent","run_ms":0`)
	end := agentLine(610, 2040, "side-3", secondGrant, succeeded)
	is.Equal(len(repetitionsOf(t, agentLine(100, 2052, "side-2", firstGrant, ""), refused, end)), 0)
	is.Equal(len(repetitionsOf(t, end, end)), 0) // the same line in two files
}

func TestLongRunOverlapsAllThatFollow(t *testing.T) {
	is := is.New(t)
	found := repetitionsOf(t,
		agentLine(900, 2041, "side-2", firstGrant, `,"outcome":"stopped","run_ms":800`),
		agentLine(300, 2041, "side-3", secondGrant, `,"outcome":"errored","run_ms":100`),
		agentLine(800, 2040, "side-4", "0000000000000009-1-0-3", succeeded))
	is.Equal(len(found), 2)
	for _, r := range found {
		is.Equal(r.First.Node, "side-2")
		is.Equal(r.verdict(), overlapped)
	}
}

func TestRepetitionsAreSortedByVerdictAndGap(t *testing.T) {
	is := is.New(t)
	// rename returns the line for another task.
	rename := func(line, task string) string { return strings.Replace(line, "abc.0.0.0", task, 1) }
	second := agentLine(610, 2040, "side-3", secondGrant, succeeded)
	found := repetitionsOf(t,
		rename(agentLine(490, 2041, "side-2", firstGrant, lost), "apart"), rename(second, "apart"),
		rename(agentLine(505, 2041, "side-2", firstGrant, lost), "close"), rename(second, "close"),
		rename(agentLine(500, 2041, "side-2", firstGrant, lost+`,"concluded_from":"connection_refused","lease_left_ms":600`), "perhaps"), rename(second, "perhaps"),
		rename(agentLine(520, 2041, "side-2", firstGrant, `,"outcome":"stopped","run_ms":400`), "overlap"), rename(second, "overlap"))
	var tasks []string
	for _, r := range found {
		tasks = append(tasks, r.First.Task)
	}
	is.Equal(tasks, []string{"overlap", "perhaps", "close", "apart"})
	var out strings.Builder
	is.NoErr(WriteRepetitions(&out, found, 2))
	is.True(strings.HasSuffix(out.String(), "\n4 repeated, 1 overlapped, 1 may have overlapped\nmissing: 2 truncated lines\n"))
}

func TestExplanationNamesTasksThatRanTwiceAtOnce(t *testing.T) {
	is := is.New(t)
	overlapping := agentLine(513, 2041, "side-2", firstGrant, `,"outcome":"stopped","run_ms":413`)
	second := agentLine(610, 2040, "side-3", secondGrant, succeeded)
	explanation := explainLines(t, "abc", accepted, granted, overlapping, second, completed)
	var out strings.Builder
	is.NoErr(explanation.Write(&out))
	is.True(strings.Contains(out.String(), "\noverlap: abc.0.0.0 gap_ms=-3 OVERLAP: "))
	is.Equal(len(explainLines(t, "other", other, overlapping, second).Overlaps), 0)
}
