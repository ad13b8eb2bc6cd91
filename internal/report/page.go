package report

import (
	"bytes"
	_ "embed"
	"html/template"
	"time"

	"cactuspost.example/internal/burn"
	"cactuspost.example/internal/failure"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"title":      title,
	"objective":  objective,
	"budget":     budget,
	"burnRate":   burnRate,
	"budgetLeft": budgetLeft,
	"causes":     causes,
	"ratio":      ratio,
	"millis":     millis,
	"wasted":     wasted,
}).Parse(pageText))

// page is the data of the template.
type page struct {
	*Report
	Time     string
	Services []servicePage
	Plot     template.HTML
}

// servicePage is the section of one service.
type servicePage struct {
	Levels []levelPage
	// Ratios and Waits are plots that compare the teams.
	Ratios template.HTML
	Waits  template.HTML
}

type levelPage struct {
	*burn.Level
	// Burn is the plot of missed jobs. It is empty if no job missed the objective in
	// the long window.
	Burn template.HTML
}

// RenderPage returns the report as an HTML page without external references. It
// returns a failure of kind Internal if a plot can't be drawn.
func RenderPage(r *Report) ([]byte, error) {
	p := &page{Report: r, Time: r.At.UTC().Format(time.RFC3339)}
	var err error
	if p.Plot, err = plotMessages(&r.Messages); err != nil {
		return nil, err
	}
	for levels := r.Levels; len(levels) > 0; {
		n := countSameService(levels)
		service, err := newServicePage(r.At, levels[:n])
		if err != nil {
			return nil, err
		}
		p.Services = append(p.Services, *service)
		levels = levels[n:]
	}
	var out bytes.Buffer
	if err := pageTemplate.Execute(&out, p); err != nil {
		return nil, failure.Wrap(err, failure.Internal, failure.NotRun, "render the report")
	}
	return out.Bytes(), nil
}

// countSameService returns the number of leading levels that belong to the same
// service.
func countSameService(levels []burn.Level) int {
	for i := range levels {
		if levels[i].Service != levels[0].Service {
			return i
		}
	}
	return len(levels)
}

func newServicePage(now time.Time, levels []burn.Level) (*servicePage, error) {
	s := &servicePage{}
	var err error
	if s.Ratios, err = plotRatios(levels); err != nil {
		return nil, err
	}
	if s.Waits, err = plotWaits(levels); err != nil {
		return nil, err
	}
	for i := range levels {
		l := levelPage{Level: &levels[i]}
		if l.Long.Bad > 0 {
			if l.Burn, err = plotBurn(now, l.Level); err != nil {
				return nil, err
			}
		}
		s.Levels = append(s.Levels, l)
	}
	return s, nil
}
