package agentd

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"cactuspost.example/internal/agent"
	"cactuspost.example/internal/leased"
	"cactuspost.example/internal/structs"
)

// counters holds the metrics of one daemon. It is safe for concurrent use.
type counters struct {
	set            *metrics.Set
	linksOpened    *metrics.Counter
	badFrames      *metrics.Counter
	framesReceived *metrics.Counter
	bytesSent      *metrics.Counter
	runTime        *metrics.Histogram
	tasks          [structs.OutcomeCount]*metrics.Counter
	// runsLost counts the lost runs of a leased worker by what that was concluded
	// from.
	runsLost [leased.ConclusionCount]*metrics.Counter
	// unansweredStarts, unansweredStops and unansweredPolls count the calls of a
	// leased worker whose outcome is unknown.
	unansweredStarts *metrics.Counter
	unansweredStops  *metrics.Counter
	unansweredPolls  *metrics.Counter
	// stopTime is the time from the first stop request to the end of the run.
	stopTime *metrics.Histogram
	// coreWait is the longest time in each tick of the core that a message of an entry
	// waited for it.
	coreWait *metrics.Histogram
}

// unansweredCalls is the name of the counters of unanswered calls.
const unansweredCalls = "cactuspost_agent_calls_unanswered_total"

func newCounters() *counters {
	set := metrics.NewSet()
	c := &counters{
		set:            set,
		linksOpened:    set.NewCounter("cactuspost_agent_links_opened_total"),
		badFrames:      set.NewCounter("cactuspost_agent_bad_frames_total"),
		framesReceived: set.NewCounter("cactuspost_agent_frames_received_total"),
		bytesSent:      set.NewCounter("cactuspost_agent_link_bytes_sent_total"),
		runTime:        set.NewHistogram("cactuspost_agent_task_run_seconds"),

		unansweredStarts: set.NewCounter(unansweredCalls + `{call="start"}`),
		unansweredStops:  set.NewCounter(unansweredCalls + `{call="stop"}`),
		unansweredPolls:  set.NewCounter(unansweredCalls + `{call="poll"}`),
		stopTime:         set.NewHistogram("cactuspost_agent_stop_seconds"),
		coreWait:         set.NewHistogram("cactuspost_agent_core_wait_seconds"),
	}
	for i := range c.tasks {
		c.tasks[i] = set.NewCounter(fmt.Sprintf("cactuspost_agent_tasks_ended_total{outcome=%q}", structs.Outcome(i)))
	}
	for i := range c.runsLost {
		c.runsLost[i] = set.NewCounter(fmt.Sprintf("cactuspost_agent_runs_lost_total{cause=%q}", leased.Conclusion(i)))
	}
	return c
}

// taskEnded counts the end of a task.
func (c *counters) taskEnded(m *agent.TaskExited) {
	c.tasks[m.Outcome].Inc()
	c.runTime.Update(m.RunTime.Seconds())
}

// runEnded counts the end of a run on a leased worker.
func (c *counters) runEnded(e *leased.Exited) {
	if e.Outcome == structs.Lost {
		c.runsLost[e.Concluded].Inc()
	}
	if e.StopTime > 0 {
		c.stopTime.Update(e.StopTime.Seconds())
	}
}

// callAnswered counts the call of a leased worker if its outcome is unknown.
func (c *counters) callAnswered(m leased.Message) {
	switch m := m.(type) {
	case *leased.StartAnswered:
		countUnanswered(c.unansweredStarts, m.Result)
	case *leased.StopAnswered:
		countUnanswered(c.unansweredStops, m.Result)
	case *leased.PollAnswered:
		countUnanswered(c.unansweredPolls, m.Result)
	}
}

func countUnanswered(counter *metrics.Counter, result leased.CallResult) {
	if result == leased.Unanswered {
		counter.Inc()
	}
}

// write writes the metrics of the daemon and of its process in the Prometheus
// text format.
func (c *counters) write(w io.Writer, s Status) {
	c.set.WritePrometheus(w)
	writeGauge(w, "cactuspost_agent_slots", s.Slots)
	writeGauge(w, "cactuspost_agent_slots_free", s.Free)
	writeGauge(w, "cactuspost_agent_slots_offered", s.Offered)
	writeGauge(w, "cactuspost_agent_slots_busy", s.Busy)
	writeGauge(w, "cactuspost_agent_results_unacked", s.Unacked)
	writeGauge(w, "cactuspost_agent_endpoint_up", boolGauge(s.EndpointUp))
	writeGauge(w, "cactuspost_agent_leaving", boolGauge(s.Leaving))
	writeGauge(w, "cactuspost_agent_revision", int(s.Revision))
	metrics.WriteProcessMetrics(w)
}

func writeGauge(w io.Writer, name string, value int) {
	metrics.WriteGaugeUint64(w, name, uint64(value))
}

func boolGauge(set bool) int {
	if set {
		return 1
	}
	return 0
}
