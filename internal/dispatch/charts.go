package dispatch

import (
	"cactuspost.example/charts"
	"cactuspost.example/internal/chart"
	"cactuspost.example/internal/structs"
)

// The machines are assigned in init: their actions refer to these variables, so a
// declaration with a value would be an initialisation cycle.
var (
	taskChart    *chart.Machine[taskContext]
	jobChart     *chart.Machine[jobContext]
	sessionChart *chart.Machine[sessionContext]
	healthChart  *chart.Machine[healthContext]
)

// taskContext is the context passed to guards and actions of the task chart. event
// is the event being applied, holder is set for a grant, result if the agent reported
// how the run ended.
type taskContext struct {
	core   *Core
	task   *task
	event  chart.Event
	holder *session
	result *structs.Result
}

func compileTaskChart() *chart.Machine[taskContext] {
	return chart.MustCompile(charts.Files, "task", chart.Bindings[taskContext]{
		Guards: map[string]func(taskContext) bool{
			"may_repeat": func(c taskContext) bool { return c.core.mayRepeat(c.task, c.result) },
			"repeatable": func(c taskContext) bool { return c.core.serviceSettings(c.task.job.service).Repeatable },
		},
		Actions: map[string]func(taskContext){
			"bind_grant":     func(c taskContext) { c.core.bindGrant(c.task, c.holder) },
			"release_grant":  func(c taskContext) { c.core.releaseGrant(c.task) },
			"requeue":        func(c taskContext) { c.core.requeue(c.task) },
			"log_return":     func(c taskContext) { c.core.logReturn(c.task, c.event, c.result) },
			"count_error":    func(c taskContext) { c.task.countError(c.result) },
			"leave_queue":    func(c taskContext) { c.task.leaveLane() },
			"keep_result":    func(c taskContext) { c.task.result = c.result.Payload },
			"record_failure": func(c taskContext) { c.task.job.taskFailure = outcomeFailure(c.task, c.result) },
			"record_loss":    func(c taskContext) { c.task.job.taskFailure = lossFailure(c.task) },
			"send_cancel":    func(c taskContext) { c.core.sendCancel(c.task) },
		},
	})
}

var taskEvents struct {
	Grant     chart.Event `chart:"grant"`
	Refused   chart.Event `chart:"refused"`
	Succeeded chart.Event `chart:"succeeded"`
	Errored   chart.Event `chart:"errored"`
	LinkLost  chart.Event `chart:"link_lost"`
	Listed    chart.Event `chart:"listed"`
	Unlisted  chart.Event `chart:"unlisted"`
	AgentGone chart.Event `chart:"agent_gone"`
	JobEnded  chart.Event `chart:"job_ended"`
	Recall    chart.Event `chart:"recall"`
}

var taskStates struct {
	Waiting   chart.State `chart:"waiting"`
	Granted   chart.State `chart:"granted"`
	Uncertain chart.State `chart:"uncertain"`
	Recalled  chart.State `chart:"recalled"`
	Stopping  chart.State `chart:"stopping"`
	Done      chart.State `chart:"done"`
	Failed    chart.State `chart:"failed"`
	Dropped   chart.State `chart:"dropped"`
	Ended     chart.State `chart:"ended"`
}

// jobContext is the context passed to guards and actions of the job chart. submit is
// set for a submission.
type jobContext struct {
	core   *Core
	job    *job
	submit *SubmitJob
}

func compileJobChart() *chart.Machine[jobContext] {
	return chart.MustCompile(charts.Files, "job", chart.Bindings[jobContext]{
		Guards: map[string]func(jobContext) bool{
			"admitted":  func(c jobContext) bool { return c.core.admit(c.job, c.submit) },
			"all_done":  func(c jobContext) bool { return c.job.tasksDone == len(c.job.tasks) },
			"not_run":   func(c jobContext) bool { return c.job.notRun() },
			"unstarted": func(c jobContext) bool { return c.job.unstarted() },
		},
		Actions: map[string]func(jobContext){
			"accept":          func(c jobContext) { c.core.accept(c.job, c.submit) },
			"answer_complete": func(c jobContext) { c.core.completeJob(c.job) },
			"fail_by_task":    func(c jobContext) { c.core.failJob(c.job, c.job.taskFailure) },
			"fail_refused":    func(c jobContext) { c.core.failJob(c.job, c.job.refusal) },
			"fail_shed":       func(c jobContext) { c.core.failJob(c.job, shedFailure(c.job)) },
			"fail_cancelled":  func(c jobContext) { c.core.failJob(c.job, cancelFailure(c.job)) },
			"fail_expired":    func(c jobContext) { c.core.failJob(c.job, expiryFailure(c.job)) },
			"withdraw_tasks":  func(c jobContext) { c.core.withdrawTasks(c.job) },
			"stop_tasks":      func(c jobContext) { c.core.stopTasks(c.job) },
		},
	})
}

var jobEvents struct {
	Submit       chart.Event `chart:"submit"`
	TaskDone     chart.Event `chart:"task_done"`
	TaskFailed   chart.Event `chart:"task_failed"`
	TaskStarted  chart.Event `chart:"task_started"`
	TaskReturned chart.Event `chart:"task_returned"`
	Shed         chart.Event `chart:"shed"`
	Cancel       chart.Event `chart:"cancel"`
	Expire       chart.Event `chart:"expire"`
}

var jobStates struct {
	Created     chart.State `chart:"created"`
	Open        chart.State `chart:"open"`
	Withdrawing chart.State `chart:"withdrawing"`
	Complete    chart.State `chart:"complete"`
	Failed      chart.State `chart:"failed"`
}

// sessionContext is the context passed to guards and actions of the session chart.
// hello is set for the event hello.
type sessionContext struct {
	core    *Core
	session *session
	hello   *structs.Hello
}

func compileSessionChart() *chart.Machine[sessionContext] {
	return chart.MustCompile(charts.Files, "session", chart.Bindings[sessionContext]{
		Actions: map[string]func(sessionContext){
			"drop_credits":   func(c sessionContext) { c.session.credits = creditCount{} },
			"suspend_grants": func(c sessionContext) { c.core.suspendGrants(c.session) },
			"reconcile":      func(c sessionContext) { c.core.reconcile(c.session, c.hello.Held) },
			"lose_grants":    func(c sessionContext) { c.core.loseGrants(c.session) },
			"start_grace":    func(c sessionContext) { c.session.graceEnd = c.core.now.Add(c.core.tuning.AgentGrace) },
		},
	})
}

var sessionEvents struct {
	Hello     chart.Event `chart:"hello"`
	Replaced  chart.Event `chart:"replaced"`
	LinkLost  chart.Event `chart:"link_lost"`
	Left      chart.Event `chart:"left"`
	GraceOver chart.Event `chart:"grace_over"`
}

var sessionStates struct {
	Up      chart.State `chart:"up"`
	Leaving chart.State `chart:"leaving"`
	Lost    chart.State `chart:"lost"`
	Gone    chart.State `chart:"gone"`
}

// healthContext is the context passed to guards and actions of the health chart.
type healthContext struct {
	core    *Core
	session *session
}

func compileHealthChart() *chart.Machine[healthContext] {
	return chart.MustCompile(charts.Files, "health", chart.Bindings[healthContext]{
		Guards: map[string]func(healthContext) bool{
			"keep_in_service": func(c healthContext) bool { return !c.core.shouldEject(c.session) },
		},
		Actions: map[string]func(healthContext){
			"count_success":   func(c healthContext) { c.session.countOutcome(0) },
			"count_failure":   func(c healthContext) { c.session.countOutcome(1) },
			"start_probation": func(c healthContext) { c.core.startProbation(c.session) },
			"reset_failures":  func(c healthContext) { c.core.resetFailures(c.session) },
		},
	})
}

var healthEvents struct {
	Succeeded     chart.Event `chart:"succeeded"`
	Failed        chart.Event `chart:"failed"`
	Granted       chart.Event `chart:"granted"`
	Returned      chart.Event `chart:"returned"`
	ProbationOver chart.Event `chart:"probation_over"`
}

var healthStates struct {
	Healthy   chart.State `chart:"healthy"`
	Probation chart.State `chart:"probation"`
	Trial     chart.State `chart:"trial"`
	Tried     chart.State `chart:"tried"`
}

func init() {
	taskChart = compileTaskChart()
	jobChart = compileJobChart()
	sessionChart = compileSessionChart()
	healthChart = compileHealthChart()
	taskChart.MustBindNames(&taskEvents)
	taskChart.MustBindNames(&taskStates)
	jobChart.MustBindNames(&jobEvents)
	jobChart.MustBindNames(&jobStates)
	sessionChart.MustBindNames(&sessionEvents)
	sessionChart.MustBindNames(&sessionStates)
	healthChart.MustBindNames(&healthEvents)
	healthChart.MustBindNames(&healthStates)
}
