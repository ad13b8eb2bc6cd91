package dispatch

import (
	"cactuspost.example/charts"
	"cactuspost.example/internal/chart"
	"cactuspost.example/internal/structs"
)

// The machines are set by init, since their actions refer to them.
var (
	taskChart    *chart.Machine[taskStep]
	jobChart     *chart.Machine[jobStep]
	sessionChart *chart.Machine[sessionStep]
	healthChart  *chart.Machine[healthStep]
)

// taskStep is the context of the task chart. holder is set for a grant, result if
// the agent reported how the run ended.
type taskStep struct {
	core   *Core
	task   *task
	holder *session
	result *structs.Result
}

func compileTaskChart() *chart.Machine[taskStep] {
	return chart.MustCompile(charts.Files, "task", chart.Bindings[taskStep]{
		Guards: map[string]func(taskStep) bool{
			"may_repeat": func(s taskStep) bool { return s.core.mayRepeat(s.task, s.result) },
			"repeatable": func(s taskStep) bool { return s.core.serviceSettings(s.task.job.service).Repeatable },
		},
		Actions: map[string]func(taskStep){
			"bind_grant":     func(s taskStep) { s.core.bindGrant(s.task, s.holder) },
			"release_grant":  func(s taskStep) { s.core.releaseGrant(s.task) },
			"requeue":        func(s taskStep) { s.core.requeue(s.task) },
			"log_return":     func(s taskStep) { s.core.logReturn(s.task, s.result) },
			"count_error":    func(s taskStep) { s.task.countError(s.result) },
			"leave_queue":    func(s taskStep) { s.task.leaveLane() },
			"keep_result":    func(s taskStep) { s.task.result = s.result.Payload },
			"record_failure": func(s taskStep) { s.task.job.taskFailure = outcomeFailure(s.task, s.result) },
			"record_loss":    func(s taskStep) { s.task.job.taskFailure = lossFailure(s.task) },
			"send_cancel":    func(s taskStep) { s.core.sendCancel(s.task) },
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

// jobStep is the context of the job chart. submit is set for a submission.
type jobStep struct {
	core   *Core
	job    *job
	submit *SubmitJob
}

func compileJobChart() *chart.Machine[jobStep] {
	return chart.MustCompile(charts.Files, "job", chart.Bindings[jobStep]{
		Guards: map[string]func(jobStep) bool{
			"admitted":  func(s jobStep) bool { return s.core.admit(s.job, s.submit) },
			"all_done":  func(s jobStep) bool { return s.job.tasksDone == len(s.job.tasks) },
			"not_run":   func(s jobStep) bool { return s.job.notRun() },
			"unstarted": func(s jobStep) bool { return s.job.unstarted() },
		},
		Actions: map[string]func(jobStep){
			"accept":          func(s jobStep) { s.core.accept(s.job, s.submit) },
			"answer_complete": func(s jobStep) { s.core.completeJob(s.job) },
			"fail_by_task":    func(s jobStep) { s.core.failJob(s.job, s.job.taskFailure) },
			"fail_refused":    func(s jobStep) { s.core.failJob(s.job, s.job.refusal) },
			"fail_shed":       func(s jobStep) { s.core.failJob(s.job, shedFailure(s.job)) },
			"fail_cancelled":  func(s jobStep) { s.core.failJob(s.job, cancelFailure(s.job)) },
			"fail_expired":    func(s jobStep) { s.core.failJob(s.job, expiryFailure(s.job)) },
			"withdraw_tasks":  func(s jobStep) { s.core.withdrawTasks(s.job) },
			"stop_tasks":      func(s jobStep) { s.core.stopTasks(s.job) },
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

// sessionStep is the context of chart session: one session and, for the event
// hello, the message.
type sessionStep struct {
	core    *Core
	session *session
	hello   *structs.Hello
}

func compileSessionChart() *chart.Machine[sessionStep] {
	return chart.MustCompile(charts.Files, "session", chart.Bindings[sessionStep]{
		Actions: map[string]func(sessionStep){
			"drop_credits":   func(s sessionStep) { s.session.credits = creditCount{} },
			"suspend_grants": func(s sessionStep) { s.core.suspendGrants(s.session) },
			"reconcile":      func(s sessionStep) { s.core.reconcile(s.session, s.hello.Held) },
			"lose_grants":    func(s sessionStep) { s.core.loseGrants(s.session) },
			"start_grace":    func(s sessionStep) { s.session.graceEnd = s.core.now.Add(s.core.tuning.AgentGrace) },
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

// healthStep is the context of chart health.
type healthStep struct {
	core    *Core
	session *session
}

func compileHealthChart() *chart.Machine[healthStep] {
	return chart.MustCompile(charts.Files, "health", chart.Bindings[healthStep]{
		Guards: map[string]func(healthStep) bool{
			"keep_in_service": func(s healthStep) bool { return !s.core.shouldEject(s.session) },
		},
		Actions: map[string]func(healthStep){
			"count_success":   func(s healthStep) { s.session.countOutcome(0) },
			"count_failure":   func(s healthStep) { s.session.countOutcome(1) },
			"start_probation": func(s healthStep) { s.core.startProbation(s.session) },
			"reset_failures":  func(s healthStep) { s.core.resetFailures(s.session) },
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
