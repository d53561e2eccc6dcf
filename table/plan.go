package table

import (
	"fmt"
	"slices"
	"strings"
)

type (
	// A Change is one row that differs between two sheets.
	Change struct {
		Mark  ChangeMark
		Row   string // kind and name
		Cells []CellChange
	}

	// A CellChange is one cell that differs.
	CellChange struct {
		Column   Column
		Old, New string
	}

	// A ChangeMark says what happened to a row.
	ChangeMark byte
)

// The marks of a change.
const (
	Added   ChangeMark = '+'
	Removed ChangeMark = '-'
	Changed ChangeMark = '~'
)

// String gives the change in one line.
func (c Change) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%c %s", c.Mark, c.Row)
	for _, cell := range c.Cells {
		switch c.Mark {
		case Added:
			fmt.Fprintf(&b, " %s=%s", cell.Column, cell.New)
		case Removed:
			fmt.Fprintf(&b, " %s=%s", cell.Column, cell.Old)
		default:
			fmt.Fprintf(&b, " %s: %q -> %q", cell.Column, cell.Old, cell.New)
		}
	}
	return b.String()
}

// Plan lists row by row what changes from one sheet to the next, in the order
// of the sheets, removed rows last.
func Plan(before, after Sheet) []Change {
	olds := index(before)
	var changes []Change
	for _, l := range after.Rows {
		name := rowName(l)
		old, ok := olds[name]
		delete(olds, name)
		mark := Changed
		if !ok {
			mark = Added
		}
		if cells := compare(old, l); len(cells) > 0 {
			changes = append(changes, Change{mark, name, cells})
		}
	}
	for _, l := range before.Rows {
		if _, ok := olds[rowName(l)]; ok {
			changes = append(changes, Change{Removed, rowName(l), compare(l, Line{})})
		}
	}
	return changes
}

func index(s Sheet) map[string]Line {
	m := make(map[string]Line, len(s.Rows))
	for _, l := range s.Rows {
		m[rowName(l)] = l
	}
	return m
}

// rowName identifies a row across sheets.
func rowName(l Line) string {
	parts := []string{l.Cells[ColumnKind]}
	for _, c := range []Column{ColumnName, ColumnMethod, ColumnPath} {
		if v := l.Cells[c]; v != "" {
			parts = append(parts, v)
		}
	}
	if l.Cells[ColumnKind] == "limit" {
		parts = append(parts, l.Cells[ColumnModel])
	}
	return strings.Join(parts, " ")
}

func compare(before, after Line) []CellChange {
	var cells []CellChange
	for _, c := range columns {
		if c == ColumnKind || c == ColumnName {
			continue
		}
		if o, n := before.Cells[c], after.Cells[c]; o != n {
			cells = append(cells, CellChange{c, o, n})
		}
	}
	return slices.Clip(cells)
}
