package leased

import (
	"cactuspost.example/charts"
	"cactuspost.example/internal/chart"
)

// The machines are assigned in init: their actions refer to these variables, so a
// declaration with a value would be an initialisation cycle.
var (
	runChart   *chart.Machine[runContext]
	leaseChart *chart.Machine[*Core]
)

// runContext is the context passed to guards and actions of the workerrun chart.
type runContext struct {
	core *Core
	run  *workerRun
}

func compileRunChart() *chart.Machine[runContext] {
	return chart.MustCompile(charts.Files, "workerrun", chart.Bindings[runContext]{
		Guards: map[string]func(runContext) bool{
			"start_expired": func(c runContext) bool { return c.core.startExpired(c.run) },
		},
		Actions: map[string]func(runContext){
			"poll_now":         func(c runContext) { c.core.pollNow = true },
			"schedule_stop":    func(c runContext) { c.core.scheduleStop(c.run) },
			"send_stop":        func(c runContext) { c.core.sendStop(c.run) },
			"report_end":       func(c runContext) { c.core.reportEnd(c.run) },
			"report_rejected":  func(c runContext) { c.core.reportRejected(c.run) },
			"report_unstarted": func(c runContext) { c.core.reportUnstarted(c.run) },
			"report_lost":      func(c runContext) { c.core.reportLost(c.run) },
		},
	})
}

var runEvents struct {
	Accepted     chart.Event `chart:"accepted"`
	Rejected     chart.Event `chart:"rejected"`
	Unanswered   chart.Event `chart:"unanswered"`
	Stop         chart.Event `chart:"stop"`
	Stopped      chart.Event `chart:"stopped"`
	StopFailed   chart.Event `chart:"stop_failed"`
	StopDue      chart.Event `chart:"stop_due"`
	EndListed    chart.Event `chart:"end_listed"`
	Listed       chart.Event `chart:"listed"`
	Missing      chart.Event `chart:"missing"`
	LeaseExpired chart.Event `chart:"lease_expired"`
}

func compileLeaseChart() *chart.Machine[*Core] {
	return chart.MustCompile(charts.Files, "workerlease", chart.Bindings[*Core]{
		Guards: map[string]func(*Core) bool{
			"has_foreign_runs": (*Core).hasForeignRuns,
			"answer_overdue":   (*Core).answerOverdue,
			"can_raise_token":  (*Core).canRaiseToken,
		},
		Actions: map[string]func(*Core){
			"derive_token":        (*Core).deriveToken,
			"raise_token":         (*Core).raiseToken,
			"stop_foreign_runs":   (*Core).stopForeignRuns,
			"begin_lease":         (*Core).beginLease,
			"await_foreign_lease": (*Core).awaitForeignLease,
			"reconcile":           (*Core).reconcile,
			"lose_runs":           (*Core).loseRuns,
			"forget_runs":         (*Core).forgetRuns,
			"report_up":           func(c *Core) { c.emit(&AvailabilityChanged{Up: true, Tenure: c.tenure()}) },
			"report_down":         func(c *Core) { c.emit(&AvailabilityChanged{Up: false}) },
			"report_worker_lost":  func(c *Core) { c.emit(&WorkerLost{Cause: c.endCause, Token: c.token}) },
		},
	})
}

var runStates struct {
	Starting chart.State `chart:"starting"`
	Running  chart.State `chart:"running"`
	Revoking chart.State `chart:"revoking"`
	Revoked  chart.State `chart:"revoked"`
	Expired  chart.State `chart:"expired"`
	Stopping chart.State `chart:"stopping"`
	Ended    chart.State `chart:"ended"`
}

var leaseEvents struct {
	ClockRead         chart.Event `chart:"clock_read"`
	RunsListed        chart.Event `chart:"runs_listed"`
	Unanswered        chart.Event `chart:"unanswered"`
	LeaseExpired      chart.Event `chart:"lease_expired"`
	ConnectionRefused chart.Event `chart:"connection_refused"`
	TokenRejected     chart.Event `chart:"token_rejected"`
	Replaced          chart.Event `chart:"replaced"`
	Reborn            chart.Event `chart:"reborn"`
}

var leaseStates struct {
	ReadingClock        chart.State `chart:"reading_clock"`
	StoppingForeignRuns chart.State `chart:"stopping_foreign_runs"`
	Held                chart.State `chart:"held"`
	Unresponsive        chart.State `chart:"unresponsive"`
	Fencing             chart.State `chart:"fencing"`
	Overtaken           chart.State `chart:"overtaken"`
	Ended               chart.State `chart:"ended"`
}

func init() {
	runChart = compileRunChart()
	leaseChart = compileLeaseChart()
	runChart.MustBindNames(&runEvents)
	runChart.MustBindNames(&runStates)
	leaseChart.MustBindNames(&leaseEvents)
	leaseChart.MustBindNames(&leaseStates)
}
