package entryd

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"cactuspost.example/internal/api"
	"cactuspost.example/internal/dispatch"
)

// coreWaits are the metrics of how late the core actor learns of something.
type coreWaits struct {
	// inbox is how long messages waited in the inbox: a sample of one each
	// busyTickInterval while the entry is busy.
	inbox *metrics.Histogram
	// abandoned is the time from when a front end noticed that a caller has left, or
	// waits no longer, until the core actor handled it.
	abandoned *metrics.Histogram
}

func newCoreWaits(set *metrics.Set) *coreWaits {
	return &coreWaits{
		inbox:     set.NewHistogram("cactuspost_core_wait_seconds"),
		abandoned: set.NewHistogram("cactuspost_core_caller_left_seconds"),
	}
}

// recordRequest updates the metrics for one HTTP request.
func (f *frontend) recordRequest(route string, status int, took time.Duration) {
	requests := fmt.Sprintf(`cactuspost_http_requests_total{route=%q,code="%d"}`, route, status)
	f.metrics.GetOrCreateCounter(requests).Inc()
	duration := fmt.Sprintf(`cactuspost_http_request_duration_seconds{route=%q}`, route)
	f.metrics.GetOrCreateHistogram(duration).Update(took.Seconds())
}

// writeMetrics serves GET api.MetricsPath. The dispatcher's counters are read
// only on request, so they cost nothing between scrapes.
func (f *frontend) writeMetrics(ctx *fasthttp.RequestCtx, _ principal) {
	ctx.SetContentType(api.TextType + "; version=0.0.4")
	f.metrics.WritePrometheus(ctx)
	metrics.WriteProcessMetrics(ctx)
	metrics.WriteGaugeUint64(ctx, "cactuspost_http_connections", uint64(f.server.GetOpenConnectionsCount()))
	metrics.WriteGaugeUint64(ctx, "cactuspost_core_inbox_messages", uint64(f.core.inbox.Len()))
	metrics.WriteCounterUint64(ctx, "cactuspost_link_heartbeats_total", f.linkServer.unchangedHeartbeats.Load())
	if view, refusal := f.core.inspect(); refusal == nil {
		writeCoreMetrics(ctx, view)
	}
}

func writeCoreMetrics(w io.Writer, view *dispatch.View) {
	metrics.WriteGaugeUint64(w, "cactuspost_config_revision", view.Revision)
	metrics.WriteGaugeUint64(w, "cactuspost_jobs_open", uint64(view.OpenJobs))
	metrics.WriteGaugeUint64(w, "cactuspost_tasks_waiting", uint64(view.Waiting))
	metrics.WriteGaugeUint64(w, "cactuspost_tasks_running", uint64(view.Running))
	metrics.WriteGaugeUint64(w, "cactuspost_endpoints", uint64(len(view.Endpoints)))
	writeStats(w, &view.Stats)
	writeMessages(w, &view.Stats.Messages)
}

func writeStats(w io.Writer, s *dispatch.Stats) {
	metrics.WriteCounterUint64(w, "cactuspost_tasks_granted_total", s.TasksGranted)
	metrics.WriteCounterUint64(w, `cactuspost_tasks_ended_total{outcome="done"}`, s.TasksDone)
	metrics.WriteCounterUint64(w, `cactuspost_tasks_ended_total{outcome="failed"}`, s.TasksFailed)
	metrics.WriteCounterUint64(w, "cactuspost_jobs_accepted_total", s.JobsAccepted)
	metrics.WriteCounterUint64(w, "cactuspost_jobs_resubmitted_total", s.JobsResubmitted)
	metrics.WriteCounterUint64(w, `cactuspost_jobs_ended_total{outcome="complete"}`, s.JobsComplete)
	metrics.WriteCounterUint64(w, `cactuspost_jobs_ended_total{outcome="failed"}`, s.JobsFailed)
	metrics.WriteCounterUint64(w, `cactuspost_jobs_ended_total{outcome="refused"}`, s.JobsRefused)
}

func writeMessages(w io.Writer, m *dispatch.MessageCounts) {
	metrics.WriteCounterUint64(w, "cactuspost_link_frames_total", m.Frames)
	counts := []struct {
		cause string
		count uint64
	}{
		{"grant", m.Grants}, {"result", m.Results}, {"refusal", m.Refusals}, {"offer", m.Offers},
		{"revoke", m.Revokes}, {"demand", m.Demands}, {"ack", m.Acks}, {"cancel", m.Cancels},
		{"heartbeat", m.Heartbeats},
	}
	for _, c := range counts {
		metrics.WriteCounterUint64(w, fmt.Sprintf("cactuspost_link_messages_total{cause=%q}", c.cause), c.count)
	}
}
