// Package explain tells the story of one request from the logs of all processes:
// its lines in order, what is missing, and the cause of its end.
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

// maxLineBytes bounds a line; longer ones are passed over.
const maxLineBytes = 1 << 20

// Line is one line of a log.
type Line struct {
	Time    time.Time
	Event   event.ID
	Name    string
	Node    string
	Request string
	// RequestID is the caller's id of the request that brought the job.
	RequestID string
	Job       string
	Task      string
	Grant     string
	Endpoint  string
	Detail    string
	// Fields are all fields of the line.
	Fields map[string]any
}

// Explanation is what the logs say of one request.
type Explanation struct {
	ID    string
	Lines []Line
	// Missing says what the logs don't have.
	Missing []string
	// Cause is the reason of the request's end in one sentence.
	Cause string
}

// Read collects the lines of a log. Lines that are no JSON, or are cut off, are
// counted and passed over; anything before the first brace is ignored.
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

// ForRequest picks the lines of a request, named by the caller's id of the request or of
// the job, or by the system's id.
func ForRequest(id string, all []Line) *Explanation {
	id = resolveRequestID(id, all)
	e := &Explanation{ID: id}
	jobs, endpoints := map[string]bool{}, map[string]bool{}
	for _, l := range all {
		if l.Request == id || l.Job == id {
			jobs[grantPrefix(l.Job)] = true
			endpoints[l.Endpoint] = true
		}
	}
	delete(jobs, "")
	delete(endpoints, "")
	for _, l := range all {
		if l.Request == id || l.Job == id || l.RequestID == id || strings.HasPrefix(l.Task, id+".") || jobs[jobOfGrant(l.Grant)] {
			e.Lines = append(e.Lines, l)
		}
	}
	slices.SortStableFunc(e.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	e.addWorkerEvents(all, endpoints)
	e.findMissing(all)
	e.findCause()
	return e
}

// resolveRequestID returns the caller's id of the job that a request brought, or the id
// itself if it names no request.
func resolveRequestID(id string, all []Line) string {
	for _, l := range all {
		if l.RequestID == id && l.Request != "" {
			return l.Request
		}
	}
	return id
}

// grantPrefix is what the grants of a job's id begin with: owner and number.
func grantPrefix(job string) string {
	parts := strings.SplitN(job, "-", 3)
	if len(parts) < 2 {
		return ""
	}
	return parts[0] + "-" + parts[1]
}

func jobOfGrant(grant string) string { return grantPrefix(grant) }

// workerEvents change what is believed of a worker.
var workerEvents = map[event.ID]bool{
	event.AgentLost: true, event.AgentGone: true, event.AgentReplaced: true, event.AgentLeaving: true,
	event.WorkerOnProbation: true, event.EndpointDown: true, event.WorkerReplaced: true,
}

// addWorkerEvents adds what happened meanwhile to the workers that were used.
func (e *Explanation) addWorkerEvents(all []Line, endpoints map[string]bool) {
	if len(e.Lines) == 0 {
		return
	}
	first, last := e.Lines[0].Time, e.Lines[len(e.Lines)-1].Time
	for _, l := range all {
		relevant := endpoints[l.Endpoint] || endpoints[l.Node]
		if workerEvents[l.Event] && relevant && !l.Time.Before(first) && !l.Time.After(last) {
			e.Lines = append(e.Lines, l)
		}
	}
	slices.SortStableFunc(e.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

func (e *Explanation) findMissing(all []Line) {
	if len(e.Lines) == 0 {
		e.Missing = append(e.Missing, "no line names the request: it met no running entry, or the log of that entry is not among these")
		return
	}
	if e.lastOf(event.JobAccepted) == nil && e.lastOf(event.JobRefused, event.RequestRejected) == nil {
		e.Missing = append(e.Missing, "the line of its acceptance")
	}
	if e.endLine() == nil {
		e.Missing = append(e.Missing, "the line of its end: the entry was killed, or its log is cut off")
	}
	first := e.Lines[0].Time
	for _, l := range all {
		if l.Event == event.LogLinesDropped && l.Time.After(first) && l.Time.Sub(first) < 10*time.Second {
			e.Missing = append(e.Missing, fmt.Sprintf("lines that %s dropped at %s", l.Node, l.Time.Format(time.TimeOnly)))
		}
	}
}

// lastOf returns the last line of an event, or nil.
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

// findCause works the reason out from the end backwards.
func (e *Explanation) findCause() {
	end := e.endLine()
	switch {
	case len(e.Lines) == 0:
		e.Cause = "unknown"
	case end == nil:
		last := e.Lines[len(e.Lines)-1]
		e.Cause = fmt.Sprintf("the entry ended with the job open; last seen: %s at %s", last.Name, last.Node)
	case end.Event == event.RequestRejected:
		e.Cause = fmt.Sprintf("rejected by %s: %s", end.Node, end.Detail)
	case end.Event == event.JobRefused:
		e.Cause = fmt.Sprintf("refused by %s: %s%s", end.Node, end.Detail, formatFields(end, "workers", "slots_free", "slots_waiting"))
	case end.Event == event.JobFailed:
		e.Cause = fmt.Sprintf("failed at %s: %s%s", end.Node, end.Detail, e.lastTaskProblem())
	default:
		e.Cause = fmt.Sprintf("complete after %v ms%s", end.Fields["took_ms"], e.longestDelay())
	}
}

// lastTaskProblem names the last thing that went wrong with one of the tasks. That a task
// came back to its entry is only the echo of what happened at the worker.
func (e *Explanation) lastTaskProblem() string {
	l := e.lastOf(event.TaskOverdue, event.RunFailed, event.EndpointDown, event.AgentLost)
	if l == nil {
		l = e.lastOf(event.TaskRequeued)
	}
	if l != nil {
		where := l.Endpoint
		if where == "" {
			where = l.Node
		}
		detail := ""
		if l.Detail != "" {
			detail = ": " + l.Detail
		}
		return fmt.Sprintf("; before that: %s, task %s at %s%s%s", l.Name, l.Task, where, detail, formatFields(l, "outcome", "running_ms", "estimate_ms"))
	}
	return "; no task had gone wrong: it waited too long"
}

// longestDelay names the task that held a complete job up most.
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

// hiddenFields are fields that the text form shows elsewhere or not at all.
var hiddenFields = map[string]bool{"time": true, "severity": true, "name": true, "event": true, "role": true, "node": true, "request": true, "job": true}

// Write prints the story, the cause last.
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
	for _, missing := range e.Missing {
		fmt.Fprintf(&out, "missing: %s\n", missing)
	}
	fmt.Fprintf(&out, "cause: %s\n", e.Cause)
	_, err := io.WriteString(w, out.String())
	return err
}
