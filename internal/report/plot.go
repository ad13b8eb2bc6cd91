package report

import (
	"bytes"
	"html/template"
	"image/color"
	"strconv"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"cactuspost.example/internal/burn"
	"cactuspost.example/internal/failure"
)

// Sizes of the plots.
const (
	plotHeight = 3.2 * vg.Inch
	plotWidth  = 7.5 * vg.Inch
	// groupWidth is the minimum plot width for each group of bars.
	groupWidth  = 1.1 * vg.Inch
	barWidth    = 0.3 * vg.Inch
	minuteWidth = 0.09 * vg.Inch
	// legendFactor is the factor by which the vertical axis is extended, so that the
	// legend doesn't cover the bars.
	legendFactor = 1.6
	// tickInterval is the interval between labels of the time axis, in minutes.
	tickInterval = 10
)

// causeColors can be told apart by most colour-blind readers, too.
var causeColors = [burn.CauseCount]color.RGBA{
	burn.Met:          {R: 0xbb, G: 0xbb, B: 0xbb, A: 0xff},
	burn.Queue:        {R: 0x00, G: 0x72, B: 0xb2, A: 0xff},
	burn.Straggler:    {R: 0xe6, G: 0x9f, B: 0x00, A: 0xff},
	burn.Refused:      {R: 0x56, G: 0xb4, B: 0xe9, A: 0xff},
	burn.Failed:       {R: 0xd5, G: 0x5e, B: 0x00, A: 0xff},
	burn.EndpointGone: {R: 0x00, G: 0x00, B: 0x00, A: 0xff},
}

// seriesColors are the colours of plots that compare two figures.
var seriesColors = [2]color.RGBA{causeColors[burn.Queue], causeColors[burn.Straggler]}

func init() {
	plot.DefaultFont = font.Font{Typeface: "Liberation", Variant: "Sans"}
}

func newPlot(unit string) *plot.Plot {
	p := plot.New()
	p.Y.Label.Text = unit
	p.Y.Min = 0
	p.Legend.Top = true
	p.BackgroundColor = color.White
	return p
}

// plotBurn draws the missed jobs by minute and cause over the last hour.
func plotBurn(now time.Time, l *burn.Level) (template.HTML, error) {
	p := newPlot("missed jobs a minute")
	p.X.Label.Text = "minutes before the report"
	minutes := burn.ByMinute(now, l.Series)
	p.X.Tick.Marker = minuteTicks(len(minutes))
	var previous *plotter.BarChart
	for c := burn.Met + 1; c < burn.CauseCount; c++ {
		bars, err := newBars(barValues(minutes, c), minuteWidth, causeColors[c])
		if err != nil {
			return "", err
		}
		bars.XMin = float64(1 - len(minutes))
		if previous != nil {
			bars.StackOn(previous)
		}
		previous = bars
		p.Add(bars)
		p.Legend.Add(c.String(), bars)
	}
	p.Y.Max = max(1, p.Y.Max) * legendFactor
	return drawSVG(p, plotWidth)
}

func minuteTicks(minutes int) plot.ConstantTicks {
	var ticks plot.ConstantTicks
	for m := 0; m <= minutes; m += tickInterval {
		ticks = append(ticks, plot.Tick{Value: float64(-m), Label: strconv.Itoa(m)})
	}
	return ticks
}

func barValues(minutes []burn.Counts, c burn.Cause) plotter.Values {
	values := make(plotter.Values, len(minutes))
	for i := range minutes {
		values[i] = float64(minutes[i][c])
	}
	return values
}

func newBars(values plotter.Values, width vg.Length, fill color.Color) (*plotter.BarChart, error) {
	bars, err := plotter.NewBarChart(values, width)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, failure.NotRun, "plot the report")
	}
	bars.Color = fill
	bars.LineStyle.Width = 0
	return bars, nil
}

// comparison is a bar chart of two figures for each of several groups.
type comparison struct {
	unit   string
	groups []string
	names  [2]string
	values [2]plotter.Values
}

func (c *comparison) add(group string, first, second float64) {
	c.groups = append(c.groups, group)
	c.values[0] = append(c.values[0], first)
	c.values[1] = append(c.values[1], second)
}

// plotRatios draws the ratios of response time to the ideal.
func plotRatios(levels []burn.Level) (template.HTML, error) {
	c := comparison{unit: "response over the ideal", names: [2]string{"p50", "p99"}}
	for i := range levels {
		c.add(title(&levels[i]), levels[i].RatioP50, levels[i].RatioP99)
	}
	return c.draw()
}

// plotWaits draws the waits of short tasks without and with running long tasks.
func plotWaits(levels []burn.Level) (template.HTML, error) {
	c := comparison{unit: "wait of short tasks, p99, ms", names: [2]string{"alone", "behind long ones"}}
	for i := range levels {
		c.add(title(&levels[i]), levels[i].ShortAloneP99, levels[i].ShortBehindP99)
	}
	return c.draw()
}

func (c *comparison) draw() (template.HTML, error) {
	p := newPlot(c.unit)
	for i, values := range c.values {
		bars, err := newBars(values, barWidth, seriesColors[i])
		if err != nil {
			return "", err
		}
		bars.Offset = barWidth * vg.Length(2*i-1) / 2
		p.Add(bars)
		p.Legend.Add(c.names[i], bars)
	}
	p.NominalX(c.groups...)
	p.Y.Max = max(1, p.Y.Max) * legendFactor
	return drawSVG(p, max(plotWidth, groupWidth*vg.Length(len(c.groups))))
}

// plotMessages draws the number of messages by type.
func plotMessages(m *Messages) (template.HTML, error) {
	p := newPlot("messages")
	var names []string
	var values plotter.Values
	for _, c := range m.byType() {
		names = append(names, c.messageType)
		values = append(values, float64(c.count))
	}
	bars, err := newBars(values, barWidth, seriesColors[0])
	if err != nil {
		return "", err
	}
	p.Add(bars)
	p.NominalX(names...)
	p.Y.Max = max(1, p.Y.Max)
	return drawSVG(p, plotWidth)
}

// drawSVG returns a plot as an svg element. The library escapes the texts in it and
// precedes it with an XML declaration, which is removed because it is not allowed
// inside an HTML page.
func drawSVG(p *plot.Plot, width vg.Length) (template.HTML, error) {
	canvas := vgsvg.New(width, plotHeight)
	p.Draw(draw.New(canvas))
	var raw bytes.Buffer
	if _, err := canvas.WriteTo(&raw); err != nil {
		return "", failure.Wrap(err, failure.Internal, failure.NotRun, "draw a plot")
	}
	_, element, found := bytes.Cut(raw.Bytes(), []byte("<svg"))
	if !found {
		return "", failure.New(failure.Internal, failure.NotRun, "the plot has no svg element")
	}
	return template.HTML("<svg" + string(element)), nil
}
