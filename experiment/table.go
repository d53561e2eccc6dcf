package experiment

import (
	"fmt"
	"io"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
)

// WriteTable writes the rows as a text table. It separates rows of different loads by a line.
func WriteTable(w io.Writer, rows []Row) {
	t := table.NewWriter()
	t.SetOutputMirror(w)
	t.SetStyle(table.StyleLight)
	header := table.Row{}
	for _, name := range columns {
		header = append(header, name)
	}
	t.AppendHeader(header)
	last := 0.0
	for i := range rows {
		if i > 0 && rows[i].Load != last {
			t.AppendSeparator()
		}
		last = rows[i].Load
		row := table.Row{}
		for _, cell := range rows[i].cells() {
			row = append(row, cell)
		}
		t.AppendRow(row)
	}
	t.Render()
}

var columns = []string{
	"load", "policy", "tokens", "whole", "refused", "preempted", "stall", "first p50", "first p99", "between p50", "between p99", "share error",
}

// cells returns the formatted values of a row, in the order of columns.
func (r *Row) cells() []string {
	return []string{
		fmt.Sprintf("%g", r.Load), r.Policy, fmt.Sprint(r.Tokens), fmt.Sprint(r.Completed), fmt.Sprint(r.Refused), fmt.Sprint(r.Preemptions),
		r.StallTime.Round(100 * time.Millisecond).String(), milliseconds(r.TimeToFirstToken[0]), milliseconds(r.TimeToFirstToken[1]),
		milliseconds(r.TimeBetweenTokens[0]), milliseconds(r.TimeBetweenTokens[1]), fmt.Sprintf("%.1f%%", 100*r.ShareError),
	}
}

func milliseconds(d time.Duration) string {
	return fmt.Sprintf("%.1f ms", float64(d)/float64(time.Millisecond))
}
