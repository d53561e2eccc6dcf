package timeline

import (
	"html/template"
	"io"
	"slices"
	"time"

	"github.com/wigeonlink/wigeonlink/event"
)

type (
	// pageData is the input of pageTemplate. The chart has one lane per host and one mark
	// per event. Lengths and coordinates are in pixels.
	pageData struct {
		Generated string // creation time of the page
		Width     int
		Height    int
		Lanes     []lane
		Marks     []mark
		Ticks     []tick
		Rows      []row
	}

	// lane is the horizontal line of a host in the chart.
	lane struct {
		Host string
		Y    int
	}

	// mark is the circle of an event in the chart. Title is its tooltip.
	mark struct {
		X     float64
		Y     int
		Color string
		Title string
	}

	// tick is a labeled vertical line of the time axis.
	tick struct {
		X    float64
		Text string
	}

	// row is an event in the table below the chart. Color is the text color of Name.
	row struct{ Time, Host, Name, Fields, Color string }
)

const (
	pageWidth  = 1200 // pixels
	laneLeft   = 140  // pixels; left end of the lanes, to the right of the host names
	laneHeight = 36   // pixels
	axisHeight = 40   // pixels
	tickCount  = 8    // intervals of the time axis
	maxRows    = 5000 // events listed in the table below the chart; the chart shows all events
)

// groupColors maps a group of event numbers, which is the number divided by 100, to its CSS color.
var groupColors = map[event.Number]string{
	1: "#555", 2: "#2a7", 3: "#c63", 4: "#36c", 5: "#939", 6: "#b80", 7: "#888", 8: "#077",
}

// WriteHTML writes a self-contained page with a chart and a table of the events, which must
// be in the order of Merge. generated is the creation time that the page displays.
func WriteHTML(w io.Writer, records []event.Record, generated time.Time) error {
	return pageTemplate.Execute(w, layout(records, generated))
}

// layout computes the chart and the rows of the page.
func layout(records []event.Record, generated time.Time) pageData {
	p := pageData{Generated: generated.UTC().Format(time.RFC3339), Width: pageWidth}
	y := map[string]int{}
	var hosts []string
	for _, r := range records {
		if _, ok := y[r.Host]; !ok {
			y[r.Host] = 0
			hosts = append(hosts, r.Host)
		}
	}
	slices.Sort(hosts)
	for i, h := range hosts {
		y[h] = axisHeight + i*laneHeight + laneHeight/2
		p.Lanes = append(p.Lanes, lane{h, y[h]})
	}
	p.Height = axisHeight + len(hosts)*laneHeight
	if len(records) == 0 {
		return p
	}
	first, last := records[0].Stamp.Wall, records[len(records)-1].Stamp.Wall
	scale := float64(pageWidth-laneLeft-20) / float64(max(last-first, 1))
	xOf := func(wall int64) float64 { return laneLeft + float64(wall-first)*scale }
	for i := range tickCount + 1 {
		wall := first + (last-first)*int64(i)/tickCount
		p.Ticks = append(p.Ticks, tick{xOf(wall), time.UnixMilli(wall).UTC().Format("15:04:05.0")})
	}
	for _, r := range records {
		color := groupColors[r.Number/100]
		at := r.Stamp.Time().UTC().Format("15:04:05.000")
		p.Marks = append(p.Marks, mark{xOf(r.Stamp.Wall), y[r.Host], color, at + " " + r.Name + formatFields(r)})
		if len(p.Rows) < maxRows {
			p.Rows = append(p.Rows, row{at, r.Host, r.Name, formatFields(r), color})
		}
	}
	return p
}

var pageTemplate = template.Must(template.New("timeline").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>wigeonlink time line</title>
<style>
body{font:13px/1.4 system-ui,sans-serif;margin:1.5em;color:#222}
svg text{font:12px system-ui,sans-serif;fill:#333}
table{border-collapse:collapse;margin-top:1em}
td{padding:.1em .8em .1em 0;border-bottom:1px solid #eee;vertical-align:top}
td.f{font-family:monospace;word-break:break-all}
</style></head><body>
<h1>Time line</h1><p>Generated {{.Generated}}. One lane per host; hover over a mark to see its event.</p>
<svg width="{{.Width}}" height="{{.Height}}" role="img" aria-label="events by host and time">
{{range .Ticks}}<line x1="{{.X}}" y1="20" x2="{{.X}}" y2="{{$.Height}}" stroke="#eee"/><text x="{{.X}}" y="14" text-anchor="middle">{{.Text}}</text>
{{end}}{{range .Lanes}}<line x1="140" y1="{{.Y}}" x2="{{$.Width}}" y2="{{.Y}}" stroke="#ccc"/><text x="4" y="{{.Y}}" dominant-baseline="middle">{{.Host}}</text>
{{end}}{{range .Marks}}<circle cx="{{.X}}" cy="{{.Y}}" r="4" fill="{{.Color}}" fill-opacity=".7"><title>{{.Title}}</title></circle>
{{end}}</svg>
<table>{{range .Rows}}<tr><td>{{.Time}}</td><td>{{.Host}}</td><td style="color:{{.Color}}">{{.Name}}</td><td class="f">{{.Fields}}</td></tr>
{{end}}</table></body></html>
`))
