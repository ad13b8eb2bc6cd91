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

// Story is what the logs say of one request.
type Story struct {
	ID    string
	Lines []Line
	// Missing says what the logs don't have.
	Missing []string
	// Cause is the reason of the request's end in one sentence.
	Cause string
}

// Read collects the lines of a log. Lines that are no JSON, or are cut off, are
// counted and passed over; anything before the first brace is ignored.
func Read(r io.Reader) (lines []Line, broken int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		line, ok := parse(text[start:])
		if !ok {
			broken++
			continue
		}
		lines = append(lines, line)
	}
	return lines, broken, scanner.Err()
}

func parse(text string) (Line, bool) {
	fields := map[string]any{}
	if json.Unmarshal([]byte(text), &fields) != nil {
		return Line{}, false
	}
	word := func(key string) string {
		value, _ := fields[key].(string)
		return value
	}
	at, err := time.Parse(time.RFC3339Nano, word("time"))
	number, isEvent := fields["event"].(float64)
	if err != nil || !isEvent {
		return Line{}, false
	}
	return Line{
		Time: at, Event: event.ID(number), Name: word("name"), Node: word("node"), Request: word("request"), RequestID: word("request_id"),
		Job: word("job"), Task: word("task"), Grant: word("grant"), Endpoint: word("endpoint"), Detail: word("detail"),
		Fields: fields,
	}, true
}

// Tell picks the lines of a request, named by the caller's id of the request or of
// the job, or by the system's id.
func Tell(id string, all []Line) *Story {
	id = jobOfRequest(id, all)
	s := &Story{ID: id}
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
			s.Lines = append(s.Lines, l)
		}
	}
	slices.SortStableFunc(s.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	s.addSurroundings(all, endpoints)
	s.findMissing(all)
	s.findCause()
	return s
}

// jobOfRequest returns the caller's id of the job that a request brought, or the id
// itself if it names no request.
func jobOfRequest(id string, all []Line) string {
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

// addSurroundings adds what happened meanwhile to the workers that were used.
func (s *Story) addSurroundings(all []Line, endpoints map[string]bool) {
	if len(s.Lines) == 0 {
		return
	}
	first, last := s.Lines[0].Time, s.Lines[len(s.Lines)-1].Time
	for _, l := range all {
		about := endpoints[l.Endpoint] || endpoints[l.Node]
		if workerEvents[l.Event] && about && !l.Time.Before(first) && !l.Time.After(last) {
			s.Lines = append(s.Lines, l)
		}
	}
	slices.SortStableFunc(s.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

func (s *Story) findMissing(all []Line) {
	if len(s.Lines) == 0 {
		s.Missing = append(s.Missing, "no line names the request: it met no running entry, or the log of that entry is not among these")
		return
	}
	if s.last(event.JobAccepted) == nil && s.last(event.JobRefused, event.RequestRejected) == nil {
		s.Missing = append(s.Missing, "the line of its acceptance")
	}
	if s.end() == nil {
		s.Missing = append(s.Missing, "the line of its end: the entry was killed, or its log is cut off")
	}
	first := s.Lines[0].Time
	for _, l := range all {
		if l.Event == event.LogLinesDropped && l.Time.After(first) && l.Time.Sub(first) < 10*time.Second {
			s.Missing = append(s.Missing, fmt.Sprintf("lines that %s dropped at %s", l.Node, l.Time.Format(time.TimeOnly)))
		}
	}
}

// last returns the last line of an event, or nil.
func (s *Story) last(ids ...event.ID) *Line {
	for i := len(s.Lines) - 1; i >= 0; i-- {
		if slices.Contains(ids, s.Lines[i].Event) {
			return &s.Lines[i]
		}
	}
	return nil
}

func (s *Story) end() *Line {
	return s.last(event.JobRefused, event.RequestRejected, event.JobFailed, event.JobComplete)
}

// findCause works the reason out from the end backwards.
func (s *Story) findCause() {
	end := s.end()
	switch {
	case len(s.Lines) == 0:
		s.Cause = "unknown"
	case end == nil:
		last := s.Lines[len(s.Lines)-1]
		s.Cause = fmt.Sprintf("the entry ended with the job open; last seen: %s at %s", last.Name, last.Node)
	case end.Event == event.RequestRejected:
		s.Cause = fmt.Sprintf("rejected by %s: %s", end.Node, end.Detail)
	case end.Event == event.JobRefused:
		s.Cause = fmt.Sprintf("refused by %s: %s%s", end.Node, end.Detail, figures(end, "workers", "slots_free", "slots_waiting"))
	case end.Event == event.JobFailed:
		s.Cause = fmt.Sprintf("failed at %s: %s%s", end.Node, end.Detail, s.trigger())
	default:
		s.Cause = fmt.Sprintf("complete after %v ms%s", end.Fields["took_ms"], s.slowest())
	}
}

// trigger names the last thing that went wrong with one of the tasks. That a task
// came back to its entry is only the echo of what happened at the worker.
func (s *Story) trigger() string {
	l := s.last(event.TaskOverdue, event.RunFailed, event.EndpointDown, event.AgentLost)
	if l == nil {
		l = s.last(event.TaskRequeued)
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
		return fmt.Sprintf("; before that: %s, task %s at %s%s%s", l.Name, l.Task, where, detail, figures(l, "outcome", "running_ms", "estimate_ms"))
	}
	return "; no task had gone wrong: it waited too long"
}

// slowest names the task that held a complete job up most.
func (s *Story) slowest() string {
	var worst *Line
	longest := 0.0
	for i := range s.Lines {
		l := &s.Lines[i]
		for _, key := range []string{"waited_ms", "queued_ms", "run_ms"} {
			if value, ok := l.Fields[key].(float64); ok && value > longest {
				longest, worst = value, l
			}
		}
	}
	if worst == nil {
		return ""
	}
	return fmt.Sprintf("; longest part: %s of task %s%s", worst.Name, worst.Task, figures(worst, "waited_ms", "queued_ms", "run_ms", "outcome"))
}

func figures(l *Line, keys ...string) string {
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

// hidden are fields that the text form shows elsewhere or not at all.
var hidden = map[string]bool{"time": true, "severity": true, "name": true, "event": true, "role": true, "node": true, "request": true, "job": true}

// Write prints the story, the cause last.
func (s *Story) Write(w io.Writer) error {
	var out strings.Builder
	for _, l := range s.Lines {
		fmt.Fprintf(&out, "%s %-24s %d %s", l.Time.Format("15:04:05.000"), l.Node, l.Event, l.Name)
		keys := make([]string, 0, len(l.Fields))
		for key := range l.Fields {
			if !hidden[key] {
				keys = append(keys, key)
			}
		}
		slices.Sort(keys)
		for _, key := range keys {
			fmt.Fprintf(&out, " %s=%v", key, l.Fields[key])
		}
		out.WriteByte('\n')
	}
	for _, missing := range s.Missing {
		fmt.Fprintf(&out, "missing: %s\n", missing)
	}
	fmt.Fprintf(&out, "cause: %s\n", s.Cause)
	_, err := io.WriteString(w, out.String())
	return err
}
