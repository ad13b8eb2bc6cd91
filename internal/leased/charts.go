package leased

import (
	"cactuspost.example/charts"
	"cactuspost.example/internal/chart"
)

// The machines are set by init, since their actions refer to them.
var (
	orderChart  *chart.Machine[orderStep]
	tenureChart *chart.Machine[*Core]
)

// orderStep is the context of chart order.
type orderStep struct {
	core  *Core
	order *order
}

func compileOrderChart() *chart.Machine[orderStep] {
	return chart.MustCompile(charts.Files, "order", chart.Bindings[orderStep]{
		Guards: map[string]func(orderStep) bool{
			"start_expired": func(s orderStep) bool { return s.core.startExpired(s.order) },
		},
		Actions: map[string]func(orderStep){
			"schedule_stop":    func(s orderStep) { s.core.scheduleStop(s.order) },
			"send_stop":        func(s orderStep) { s.core.sendStop(s.order) },
			"report_end":       func(s orderStep) { s.core.reportEnd(s.order) },
			"report_rejected":  func(s orderStep) { s.core.reportRejected(s.order) },
			"report_unstarted": func(s orderStep) { s.core.reportUnstarted(s.order) },
			"report_lost":      func(s orderStep) { s.core.reportLost(s.order) },
		},
	})
}

var orderEvents struct {
	Accepted   chart.Event `chart:"accepted"`
	Rejected   chart.Event `chart:"rejected"`
	Unanswered chart.Event `chart:"unanswered"`
	Stop       chart.Event `chart:"stop"`
	Stopped    chart.Event `chart:"stopped"`
	StopLost   chart.Event `chart:"stop_lost"`
	StopDue    chart.Event `chart:"stop_due"`
	Listed     chart.Event `chart:"listed"`
	Missing    chart.Event `chart:"missing"`
	Lapsed     chart.Event `chart:"lapsed"`
}

func compileTenureChart() *chart.Machine[*Core] {
	return chart.MustCompile(charts.Files, "tenure", chart.Bindings[*Core]{
		Guards: map[string]func(*Core) bool{
			"has_strangers":    (*Core).hasStrangers,
			"unheard_for_long": (*Core).unheardForLong,
		},
		Actions: map[string]func(*Core){
			"take_token":     (*Core).takeToken,
			"stop_strangers": (*Core).stopStrangers,
			"reconcile":      (*Core).reconcile,
			"lose_orders":    (*Core).loseOrders,
			"report_up":      func(c *Core) { c.emit(&Available{Up: true}) },
			"report_down":    func(c *Core) { c.emit(&Available{Up: false}) },
			"give_up":        func(c *Core) { c.emit(&Over{Cause: c.cause}) },
		},
	})
}

var tenureEvents struct {
	ClockRead  chart.Event `chart:"clock_read"`
	Listed     chart.Event `chart:"listed"`
	Unanswered chart.Event `chart:"unanswered"`
	Lapsed     chart.Event `chart:"lapsed"`
	Refused    chart.Event `chart:"refused"`
	Replaced   chart.Event `chart:"replaced"`
}

var tenureStates struct {
	Claiming chart.State `chart:"claiming"`
	Clearing chart.State `chart:"clearing"`
	Held     chart.State `chart:"held"`
	Silent   chart.State `chart:"silent"`
	Over     chart.State `chart:"over"`
}

func init() {
	orderChart = compileOrderChart()
	tenureChart = compileTenureChart()
	orderChart.MustNames(&orderEvents)
	tenureChart.MustNames(&tenureEvents)
	tenureChart.MustNames(&tenureStates)
}
