// Package explain reconstructs the history of one request from the logs of all
// processes: its log lines in order, which lines are missing, and why the request
// ended as it did.
package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"cactuspost.example/internal/event"
)

// maxLineBytes limits the length of a line. A longer line ends the reading of its
// log with an error.
const maxLineBytes = 1 << 20

// Line is one parsed log line.
type Line struct {
	Time    time.Time
	Event   event.ID
	Name    string
	Node    string
	Request string
	// RequestID is the caller's id of the request that submitted the job.
	RequestID string
	Job       string
	Task      string
	Grant     string
	Endpoint  string
	Detail    string
	// Fields has every field of the line, also those above.
	Fields map[string]any
}

// Explanation is the result for one request.
type Explanation struct {
	ID    string
	Lines []Line
	// Overlaps lists the tasks of which two runs overlapped or may have.
	Overlaps []Repetition
	// Missing describes the lines that should exist but are not in the logs.
	Missing []string
	// Cause says in one sentence why the request ended as it did.
	Cause string
	// newestElsewhere is the line about the highest revision in force at another
	// instance, if that is higher than the one by which the request was rejected.
	newestElsewhere *Line
	// adoptedNext is the line about the revision that came into force next at the
	// instance that rejected the request.
	adoptedNext *Line
}

// Read parses the lines of a log. Text before the first brace of a line is
// ignored, and so are lines without a brace. Lines that are truncated or not valid
// events are skipped and counted in malformed.
func Read(r io.Reader) (lines []Line, malformed int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		line, ok := parseLine(text[start:])
		if !ok {
			malformed++
			continue
		}
		lines = append(lines, line)
	}
	return lines, malformed, scanner.Err()
}

func parseLine(text string) (Line, bool) {
	fields := map[string]any{}
	if json.Unmarshal([]byte(text), &fields) != nil {
		return Line{}, false
	}
	stringField := func(key string) string {
		value, _ := fields[key].(string)
		return value
	}
	at, err := time.Parse(time.RFC3339Nano, stringField("time"))
	number, isEvent := fields["event"].(float64)
	if err != nil || !isEvent {
		return Line{}, false
	}
	return Line{
		Time: at, Event: event.ID(number), Name: stringField("name"), Node: stringField("node"), Request: stringField("request"), RequestID: stringField("request_id"),
		Job: stringField("job"), Task: stringField("task"), Grant: stringField("grant"), Endpoint: stringField("endpoint"), Detail: stringField("detail"),
		Fields: fields,
	}, true
}

// ForRequest explains a request. The id is the caller's id of the request or of
// the job, or the system's id of the job.
func ForRequest(id string, lines []Line) *Explanation {
	id = resolveRequestID(id, lines)
	e := &Explanation{ID: id}
	jobs, endpoints := map[string]bool{}, map[string]bool{}
	for _, l := range lines {
		if l.Request == id || l.Job == id {
			jobs[grantPrefix(l.Job)] = true
			endpoints[l.Endpoint] = true
		}
	}
	delete(jobs, "")
	delete(endpoints, "")
	for _, l := range lines {
		if l.Request == id || l.Job == id || l.RequestID == id || strings.HasPrefix(l.Task, id+".") || jobs[jobOfGrant(l.Grant)] {
			e.Lines = append(e.Lines, l)
		}
	}
	slices.SortStableFunc(e.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	e.findOverlaps(lines)
	e.addWorkerEvents(lines, endpoints)
	e.findMissing(lines)
	e.addConfiguration(lines)
	e.findCause()
	return e
}

// resolveRequestID returns the caller's id of the job that the request with the
// given id submitted, or id itself if it is not the id of a request.
func resolveRequestID(id string, lines []Line) string {
	for _, l := range lines {
		if l.RequestID == id && l.Request != "" {
			return l.Request
		}
	}
	return id
}

// grantPrefix returns the part that the id of a job and the ids of its grants have
// in common: the owner and the job's sequence number.
func grantPrefix(id string) string {
	parts := strings.SplitN(id, "-", 3)
	if len(parts) < 2 {
		return ""
	}
	return parts[0] + "-" + parts[1]
}

func jobOfGrant(grant string) string { return grantPrefix(grant) }

// workerEvents are the events that change the state of a worker.
var workerEvents = map[event.ID]bool{
	event.AgentLost: true, event.AgentGone: true, event.AgentReplaced: true, event.AgentLeaving: true,
	event.WorkerOnProbation: true, event.EndpointDown: true, event.WorkerReplaced: true,
}

// addWorkerEvents adds the events of the workers that were granted tasks of the
// request, from its first line to its last.
func (e *Explanation) addWorkerEvents(lines []Line, endpoints map[string]bool) {
	if len(e.Lines) == 0 {
		return
	}
	first, last := e.Lines[0].Time, e.Lines[len(e.Lines)-1].Time
	for _, l := range lines {
		relevant := endpoints[l.Endpoint] || endpoints[l.Node]
		if workerEvents[l.Event] && relevant && !l.Time.Before(first) && !l.Time.After(last) {
			e.Lines = append(e.Lines, l)
		}
	}
	slices.SortStableFunc(e.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// findOverlaps finds the tasks of the request of which two runs overlapped.
func (e *Explanation) findOverlaps(lines []Line) {
	tasks := map[string]bool{}
	for _, l := range e.Lines {
		tasks[l.Task] = true
	}
	for _, r := range Repetitions(lines) {
		if tasks[r.First.Task] && r.MayOverlap() {
			e.Overlaps = append(e.Overlaps, r)
		}
	}
}

func (e *Explanation) findMissing(lines []Line) {
	if len(e.Lines) == 0 {
		e.Missing = append(e.Missing, "no line names the request: no running entry received it, or the log of that entry is not among the files")
		return
	}
	if e.lastOf(event.JobAccepted) == nil && e.lastOf(event.JobRefused, event.RequestRejected) == nil {
		e.Missing = append(e.Missing, "the line that reports its acceptance")
	}
	if e.endLine() == nil {
		e.Missing = append(e.Missing, "the line that reports its end: the entry was killed, or its log is truncated")
	}
	first := e.Lines[0].Time
	for _, l := range lines {
		if l.Event == event.LogLinesDropped && l.Time.After(first) && l.Time.Sub(first) < 10*time.Second {
			e.Missing = append(e.Missing, fmt.Sprintf("lines that %s dropped at %s", l.Node, l.Time.Format(time.TimeOnly)))
		}
	}
}

// lastOf returns the last line with one of the events, or nil.
func (e *Explanation) lastOf(ids ...event.ID) *Line {
	for i := len(e.Lines) - 1; i >= 0; i-- {
		if slices.Contains(ids, e.Lines[i].Event) {
			return &e.Lines[i]
		}
	}
	return nil
}

func (e *Explanation) endLine() *Line {
	return e.lastOf(event.JobRefused, event.RequestRejected, event.JobFailed, event.JobComplete)
}

// findCause derives the cause from the line that ended the request and the lines
// before it.
func (e *Explanation) findCause() {
	end := e.endLine()
	switch {
	case len(e.Lines) == 0:
		e.Cause = "unknown"
	case end == nil:
		last := e.Lines[len(e.Lines)-1]
		e.Cause = fmt.Sprintf("the entry ended with the job open; last seen: %s at %s", last.Name, last.Node)
	case end.Event == event.RequestRejected:
		e.Cause = fmt.Sprintf("rejected by %s: %s%s", end.Node, end.Detail, e.configurationCause(end))
	case end.Event == event.JobRefused:
		e.Cause = fmt.Sprintf("refused by %s: %s%s", end.Node, end.Detail, formatFields(end, "workers", "slots_free", "slots_waiting"))
	case end.Event == event.JobFailed:
		e.Cause = fmt.Sprintf("failed at %s: %s%s", end.Node, end.Detail, e.lastTaskProblem())
	default:
		e.Cause = fmt.Sprintf("complete after %v ms%s", end.Fields["took_ms"], e.longestDelay())
	}
}

// lastTaskProblem describes the last problem of one of the tasks. TaskRequeued is
// used only without any other problem: it is the entry's reaction to what happened
// at the worker.
func (e *Explanation) lastTaskProblem() string {
	l := e.lastOf(event.TaskOverdue, event.RunFailed, event.EndpointDown, event.AgentLost)
	if l == nil {
		l = e.lastOf(event.TaskRequeued)
	}
	if l != nil {
		location := l.Endpoint
		if location == "" {
			location = l.Node
		}
		detail := ""
		if l.Detail != "" {
			detail = ": " + l.Detail
		}
		return fmt.Sprintf("; before that: %s, task %s at %s%s%s", l.Name, l.Task, location, detail, formatFields(l, "outcome", "running_ms", "estimate_ms"))
	}
	return "; no task had a problem: the job waited too long"
}

// longestDelay describes the longest wait or run among the tasks of a complete
// job.
func (e *Explanation) longestDelay() string {
	var worst *Line
	longest := 0.0
	for i := range e.Lines {
		l := &e.Lines[i]
		for _, key := range []string{"waited_ms", "queued_ms", "run_ms"} {
			if value, ok := l.Fields[key].(float64); ok && value > longest {
				longest, worst = value, l
			}
		}
	}
	if worst == nil {
		return ""
	}
	return fmt.Sprintf("; longest part: %s of task %s%s", worst.Name, worst.Task, formatFields(worst, "waited_ms", "queued_ms", "run_ms", "outcome"))
}

// formatFields returns the named fields that the line has, in parentheses.
func formatFields(l *Line, keys ...string) string {
	var parts []string
	for _, key := range keys {
		if value, ok := l.Fields[key]; ok {
			parts = append(parts, fmt.Sprintf("%s %v", key, value))
		}
	}
	if len(parts) == 0 {
		return ""
	}
	return " (" + strings.Join(parts, ", ") + ")"
}

// hiddenFields are the fields that Write prints at another place or not at all.
var hiddenFields = map[string]bool{"time": true, "severity": true, "name": true, "event": true, "role": true, "node": true, "request": true, "job": true}

// Write prints the lines of the request in order of time, then the tasks of which
// two runs may have overlapped and what is missing, and the cause last.
func (e *Explanation) Write(w io.Writer) error {
	var out strings.Builder
	for _, l := range e.Lines {
		fmt.Fprintf(&out, "%s %-24s %d %s", l.Time.Format("15:04:05.000"), l.Node, l.Event, l.Name)
		keys := make([]string, 0, len(l.Fields))
		for key := range l.Fields {
			if !hiddenFields[key] {
				keys = append(keys, key)
			}
		}
		slices.Sort(keys)
		for _, key := range keys {
			fmt.Fprintf(&out, " %s=%v", key, l.Fields[key])
		}
		out.WriteByte('\n')
	}
	for i := range e.Overlaps {
		fmt.Fprintf(&out, "overlap: %s\n", &e.Overlaps[i])
	}
	for _, missing := range e.Missing {
		fmt.Fprintf(&out, "missing: %s\n", missing)
	}
	fmt.Fprintf(&out, "cause: %s\n", e.Cause)
	_, err := io.WriteString(w, out.String())
	return err
}
