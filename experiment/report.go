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
	// metric is a measurement that the report plots over the load.
	metric struct {
		title string             // title of the plot, with the unit
		value func(*Row) float64 // reads the measurement from a row
	}

	// reportData is the input of the template report.html.
	reportData struct {
		Plan    *Plan
		Columns []string        // headers of the table
		Rows    [][]string      // formatted cells of the table
		Plots   []template.HTML // SVG images
	}
)

//go:embed report.html
var reportTemplate string

var metrics = []metric{
	{"Preemptions", func(r *Row) float64 { return float64(r.Preemptions) }},
	{"Stall time, seconds", func(r *Row) float64 { return r.StallTime.Seconds() }},
	{"Time to first token, p99, ms", func(r *Row) float64 { return float64(r.TimeToFirstToken[1]) / float64(time.Millisecond) }},
	{"Time between tokens, p99, ms", func(r *Row) float64 { return float64(r.TimeBetweenTokens[1]) / float64(time.Millisecond) }},
	{"Largest share error, percent", func(r *Row) float64 { return 100 * r.ShareError }},
}

const (
	plotWidth  = 560 // pixels
	plotHeight = 320 // pixels
)

// WriteReport writes a self-contained HTML page with a table of the rows and, if the plan
// has more than one load, a plot of each metric over the load with a line for each policy.
func WriteReport(w io.Writer, p *Plan, rows []Row) error {
	t, err := template.New("report").Parse(reportTemplate)
	if err != nil {
		return eris.Wrap(err, "report")
	}
	out := reportData{Plan: p, Columns: columns}
	for i := range rows {
		out.Rows = append(out.Rows, rows[i].cells())
	}
	if len(p.Loads) > 1 {
		for _, m := range metrics {
			svg, err := plot(p, rows, m)
			if err != nil {
				return err
			}
			out.Plots = append(out.Plots, svg)
		}
	}
	return eris.Wrap(t.Execute(w, out), "report")
}

// plot renders a metric over the load as an SVG image with a line for each policy. The rows
// must be in the order that Plan.Run returns.
func plot(p *Plan, rows []Row, m metric) (template.HTML, error) {
	c := chart.Chart{
		Title: m.title, Width: plotWidth, Height: plotHeight,
		Background: chart.Style{Padding: chart.Box{Top: 40, Left: 120}},
		XAxis:      chart.XAxis{Name: "load"},
		YAxis:      chart.YAxis{Range: &chart.ContinuousRange{Min: 0, Max: axisMax(rows, m)}},
	}
	for i, policy := range p.Policies {
		line := chart.ContinuousSeries{Name: policy.Name}
		for j := i; j < len(rows); j += len(p.Policies) {
			line.XValues = append(line.XValues, rows[j].Load)
			line.YValues = append(line.YValues, m.value(&rows[j]))
		}
		c.Series = append(c.Series, line)
	}
	c.Elements = []chart.Renderable{chart.LegendLeft(&c)}
	var svg bytes.Buffer
	if err := c.Render(chart.SVG, &svg); err != nil {
		return "", eris.Wrapf(err, "plot of %s", m.title)
	}
	// The SVG needs no escaping: it holds only numbers and names defined in this program.
	return template.HTML(svg.String()), nil
}

// axisMax returns the upper bound of the y axis: the largest value of the metric, but at least
// 1, because an axis from 0 to 0 can't be drawn.
func axisMax(rows []Row, m metric) float64 {
	top := 1.0
	for i := range rows {
		top = max(top, m.value(&rows[i]))
	}
	return top
}
