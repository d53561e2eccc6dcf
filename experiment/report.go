package experiment

import (
	"bytes"
	_ "embed"
	"html/template"
	"io"
	"time"

	"github.com/rotisserie/eris"
	"github.com/wcharczuk/go-chart/v2"
)

type (
	// measure is a figure of a row that is plotted.
	measure struct {
		title string
		of    func(*Row) float64
	}

	// page is what the report's template shows.
	page struct {
		Plan    *Plan
		Columns []string
		Rows    [][]string
		Plots   []template.HTML
	}
)

//go:embed report.html
var reportPage string

var measures = []measure{
	{"Preemptions", func(r *Row) float64 { return float64(r.Preemptions) }},
	{"Time in stalls, seconds", func(r *Row) float64 { return r.Stall.Seconds() }},
	{"First token, 99 of 100, ms", func(r *Row) float64 { return float64(r.First[1]) / float64(time.Millisecond) }},
	{"Between tokens, 99 of 100, ms", func(r *Row) float64 { return float64(r.Between[1]) / float64(time.Millisecond) }},
	{"Largest error of a share, percent", func(r *Row) float64 { return 100 * r.Shares }},
}

const (
	plotWidth  = 560 // pixels
	plotHeight = 320 // pixels
)

// WriteReport writes a page in HTML that needs nothing else: the table, and a plot of each
// measure over the load with a line for each policy.
func WriteReport(w io.Writer, p *Plan, rows []Row) error {
	t, err := template.New("report").Parse(reportPage)
	if err != nil {
		return eris.Wrap(err, "report")
	}
	out := page{Plan: p, Columns: columns}
	for i := range rows {
		out.Rows = append(out.Rows, rows[i].cells())
	}
	if len(p.Loads) > 1 {
		for _, m := range measures {
			svg, err := plot(p, rows, m)
			if err != nil {
				return err
			}
			out.Plots = append(out.Plots, svg)
		}
	}
	return eris.Wrap(t.Execute(w, out), "report")
}

func plot(p *Plan, rows []Row, m measure) (template.HTML, error) {
	c := chart.Chart{
		Title: m.title, Width: plotWidth, Height: plotHeight,
		Background: chart.Style{Padding: chart.Box{Top: 40, Left: 120}},
		XAxis:      chart.XAxis{Name: "load"},
		YAxis:      chart.YAxis{Range: &chart.ContinuousRange{Min: 0, Max: highest(rows, m)}},
	}
	for i, policy := range p.Policies {
		line := chart.ContinuousSeries{Name: policy.Name}
		for j := i; j < len(rows); j += len(p.Policies) {
			line.XValues = append(line.XValues, rows[j].Load)
			line.YValues = append(line.YValues, m.of(&rows[j]))
		}
		c.Series = append(c.Series, line)
	}
	c.Elements = []chart.Renderable{chart.LegendLeft(&c)}
	var svg bytes.Buffer
	if err := c.Render(chart.SVG, &svg); err != nil {
		return "", eris.Wrapf(err, "plot of %s", m.title)
	}
	// The drawing is made of numbers and of names that are the program's own.
	return template.HTML(svg.String()), nil
}

// highest returns the top of a plot's axis: a line at 0 needs one, too.
func highest(rows []Row, m measure) float64 {
	top := 1.0
	for i := range rows {
		top = max(top, m.of(&rows[i]))
	}
	return top
}
