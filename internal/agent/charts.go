package agent

import (
	"cactuspost.example/charts"
	"cactuspost.example/internal/chart"
)

// The machines are assigned in init: their actions refer to these variables, so a
// declaration with a value would be an initialisation cycle.
var (
	linkChart *chart.Machine[linkContext]
	slotChart *chart.Machine[slotContext]
	runChart  *chart.Machine[runContext]
)

// linkContext is the context passed to guards and actions of the link chart. event is
// the event being applied.
type linkContext struct {
	core  *Core
	link  *link
	event chart.Event
}

func compileLinkChart() *chart.Machine[linkContext] {
	return chart.MustCompile(charts.Files, "link", chart.Bindings[linkContext]{
		Guards: map[string]func(linkContext) bool{
			"same_incarnation": func(c linkContext) bool { return c.link.incarnation == c.link.welcomedIncarnation },
		},
		Actions: map[string]func(linkContext){
			"dial":              func(c linkContext) { c.core.dial(c.link) },
			"send_hello":        func(c linkContext) { c.core.sendHello(c.link) },
			"schedule_retry":    func(c linkContext) { c.core.scheduleRetry(c.link) },
			"close":             func(c linkContext) { c.core.closeLink(c.link) },
			"withdraw_credits":  func(c linkContext) { c.core.withdrawLinkCredits(c.link) },
			"start_grace":       func(c linkContext) { c.core.startGrace(c.link) },
			"abandon_runs":      func(c linkContext) { c.core.abandonRuns(c.link, c.event) },
			"start_new_session": func(c linkContext) { c.link.session = 0 },
			"adopt_incarnation": func(c linkContext) { c.core.adoptIncarnation(c.link) },
			"resume_runs":       func(c linkContext) { c.core.resumeRuns(c.link) },
			"announce":          func(c linkContext) { c.core.startExchange(c.link) },
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

// slotContext is the context passed to guards and actions of the slot chart. link
// and reserved are set for the event offer, run for start, claim and release.
type slotContext struct {
	core *Core
	slot *slot
	link *link
	run  *run
	// reserved is set to offer a Short credit, which long tasks may not use.
	reserved bool
}

func compileSlotChart() *chart.Machine[slotContext] {
	return chart.MustCompile(charts.Files, "slot", chart.Bindings[slotContext]{
		Guards: map[string]func(slotContext) bool{
			"leaving": func(c slotContext) bool { return c.core.leaving() },
		},
		Actions: map[string]func(slotContext){
			"assign":   func(c slotContext) { c.core.assignSlot(c.slot, c.link, c.reserved) },
			"withdraw": func(c slotContext) { c.core.withdrawCredit(c.slot) },
			"occupy":   func(c slotContext) { c.core.occupySlot(c.slot, c.run) },
			"claim":    func(c slotContext) { c.core.claimSlot(c.slot, c.run) },
			"vacate":   func(c slotContext) { c.core.vacateSlot(c.slot) },
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
	Withhold chart.Event `chart:"withhold"`
	Restore  chart.Event `chart:"restore"`
}

var slotStates struct {
	Free     chart.State `chart:"free"`
	Offered  chart.State `chart:"offered"`
	Busy     chart.State `chart:"busy"`
	Withheld chart.State `chart:"withheld"`
	Closed   chart.State `chart:"closed"`
}

// runContext is the context passed to guards and actions of the run chart.
type runContext struct {
	core *Core
	run  *run
}

func compileRunChart() *chart.Machine[runContext] {
	return chart.MustCompile(charts.Files, "run", chart.Bindings[runContext]{
		Guards: map[string]func(runContext) bool{
			"unconfirmed": func(c runContext) bool { return c.run.unconfirmed },
			"may_start":   func(c runContext) bool { return c.run.slots != nil },
			"may_wait":    func(c runContext) bool { return c.core.mayWait(c.run) },
		},
		Actions: map[string]func(runContext){
			"enqueue":         func(c runContext) { c.core.queue = append(c.core.queue, c.run) },
			"dequeue":         func(c runContext) { c.core.dequeue(c.run) },
			"report_start":    func(c runContext) { c.core.reportStart(c.run) },
			"start":           func(c runContext) { c.core.startRun(c.run) },
			"refuse":          func(c runContext) { c.core.refuseRun(c.run) },
			"free_slot":       func(c runContext) { c.core.releaseSlots(c.run) },
			"keep_result":     func(c runContext) { c.core.unacked++ },
			"send_result":     func(c runContext) { c.core.sendResult(c.run) },
			"stop_task":       func(c runContext) { c.core.emit(&StopTask{Grant: c.run.grant.ID}) },
			"mark_over_limit": func(c runContext) { c.core.markOverLimit(c.run) },
			"forget_result":   func(c runContext) { c.core.unacked-- },
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
