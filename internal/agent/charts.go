package agent

import (
	"cactuspost.example/charts"
	"cactuspost.example/internal/chart"
)

// The compiled charts are assigned in init: their actions use these variables,
// which would be an initialisation cycle in the declarations.
var (
	linkChart *chart.Machine[linkStep]
	slotChart *chart.Machine[slotStep]
	runChart  *chart.Machine[runStep]
)

// linkStep is the argument of the guards and actions of chart link.
type linkStep struct {
	core *Core
	link *link
}

func compileLinkChart() *chart.Machine[linkStep] {
	return chart.MustCompile(charts.Files, "link", chart.Bindings[linkStep]{
		Guards: map[string]func(linkStep) bool{
			"same_incarnation": func(s linkStep) bool { return s.link.incarnation == s.link.welcomedIncarnation },
		},
		Actions: map[string]func(linkStep){
			"dial":              func(s linkStep) { s.core.dial(s.link) },
			"send_hello":        func(s linkStep) { s.core.sendHello(s.link) },
			"schedule_retry":    func(s linkStep) { s.core.scheduleRetry(s.link) },
			"close":             func(s linkStep) { s.core.closeLink(s.link) },
			"withdraw_credits":  func(s linkStep) { s.core.withdrawLinkCredits(s.link) },
			"start_grace":       func(s linkStep) { s.link.graceEnd = s.core.now.Add(s.core.tuning.EntryGrace) },
			"abandon_runs":      func(s linkStep) { s.core.abandonRuns(s.link) },
			"start_new_session": func(s linkStep) { s.link.session = 0 },
			"adopt_incarnation": func(s linkStep) { s.core.adoptIncarnation(s.link) },
			"resume_runs":       func(s linkStep) { s.core.resumeRuns(s.link) },
			"announce":          func(s linkStep) { s.core.startExchange(s.link) },
		},
	})
}

var linkEvents struct {
	Retry     chart.Event `chart:"retry"`
	Connected chart.Event `chart:"connected"`
	Welcomed  chart.Event `chart:"welcomed"`
	Broken    chart.Event `chart:"broken"`
	Silent    chart.Event `chart:"silent"`
	GraceOver chart.Event `chart:"grace_over"`
	Unlisted  chart.Event `chart:"unlisted"`
}

var linkStates struct {
	Waiting   chart.State `chart:"waiting"`
	Dialing   chart.State `chart:"dialing"`
	Greeting  chart.State `chart:"greeting"`
	Up        chart.State `chart:"up"`
	Forgotten chart.State `chart:"forgotten"`
}

// slotStep is the argument of the guards and actions of chart slot. The fields
// link and reserved are set for the event offer, run for start, claim and
// release.
type slotStep struct {
	core *Core
	slot *slot
	link *link
	run  *run
	// reserved makes the credit a Short one, which long tasks may not use.
	reserved bool
}

func compileSlotChart() *chart.Machine[slotStep] {
	return chart.MustCompile(charts.Files, "slot", chart.Bindings[slotStep]{
		Guards: map[string]func(slotStep) bool{
			"leaving": func(s slotStep) bool { return s.core.leaving() },
		},
		Actions: map[string]func(slotStep){
			"assign":   func(s slotStep) { s.core.assignSlot(s.slot, s.link, s.reserved) },
			"withdraw": func(s slotStep) { s.core.withdrawCredit(s.slot) },
			"occupy":   func(s slotStep) { s.core.occupySlot(s.slot, s.run) },
			"claim":    func(s slotStep) { s.core.claimSlot(s.slot, s.run) },
			"vacate":   func(s slotStep) { s.core.vacateSlot(s.slot) },
		},
	})
}

var slotEvents struct {
	Offer    chart.Event `chart:"offer"`
	Revoke   chart.Event `chart:"revoke"`
	LinkLost chart.Event `chart:"link_lost"`
	Start    chart.Event `chart:"start"`
	Release  chart.Event `chart:"release"`
	Claim    chart.Event `chart:"claim"`
	Leave    chart.Event `chart:"leave"`
}

var slotStates struct {
	Free    chart.State `chart:"free"`
	Offered chart.State `chart:"offered"`
	Busy    chart.State `chart:"busy"`
	Closed  chart.State `chart:"closed"`
}

// runStep is the argument of the guards and actions of chart run.
type runStep struct {
	core *Core
	run  *run
}

func compileRunChart() *chart.Machine[runStep] {
	return chart.MustCompile(charts.Files, "run", chart.Bindings[runStep]{
		Guards: map[string]func(runStep) bool{
			"may_start": func(s runStep) bool { return s.run.slots != nil },
			"may_wait":  func(s runStep) bool { return s.core.mayWait(s.run) },
		},
		Actions: map[string]func(runStep){
			"enqueue":         func(s runStep) { s.core.queue = append(s.core.queue, s.run) },
			"dequeue":         func(s runStep) { s.core.dequeue(s.run) },
			"report_start":    func(s runStep) { s.core.reportStart(s.run) },
			"start":           func(s runStep) { s.core.startRun(s.run) },
			"refuse":          func(s runStep) { s.core.refuseRun(s.run) },
			"free_slot":       func(s runStep) { s.core.releaseSlots(s.run) },
			"keep_result":     func(s runStep) { s.core.unacked++ },
			"send_result":     func(s runStep) { s.core.sendResult(s.run) },
			"stop_task":       func(s runStep) { s.core.emit(&StopTask{Grant: s.run.grant.ID}) },
			"mark_over_limit": func(s runStep) { s.core.markOverLimit(s.run) },
			"forget_result":   func(s runStep) { s.core.unacked-- },
		},
	})
}

var runEvents struct {
	Decide    chart.Event `chart:"decide"`
	Exited    chart.Event `chart:"exited"`
	Unsent    chart.Event `chart:"unsent"`
	Stop      chart.Event `chart:"stop"`
	Limit     chart.Event `chart:"limit"`
	Acked     chart.Event `chart:"acked"`
	Resumed   chart.Event `chart:"resumed"`
	EntryGone chart.Event `chart:"entry_gone"`
	SlotsFree chart.Event `chart:"slots_free"`
	Withdrawn chart.Event `chart:"withdrawn"`
}

var runStates struct {
	Received chart.State `chart:"received"`
	Queued   chart.State `chart:"queued"`
	Refused  chart.State `chart:"refused"`
	Running  chart.State `chart:"running"`
	Stopping chart.State `chart:"stopping"`
	Finished chart.State `chart:"finished"`
	Orphaned chart.State `chart:"orphaned"`
	Ended    chart.State `chart:"ended"`
}

func init() {
	linkChart = compileLinkChart()
	slotChart = compileSlotChart()
	runChart = compileRunChart()
	linkChart.MustBindNames(&linkEvents)
	linkChart.MustBindNames(&linkStates)
	slotChart.MustBindNames(&slotEvents)
	slotChart.MustBindNames(&slotStates)
	runChart.MustBindNames(&runEvents)
	runChart.MustBindNames(&runStates)
}
