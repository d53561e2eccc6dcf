package table

import (
	"fmt"
	"slices"
	"strings"
)

type (
	// A Change is the difference of one row between two sheets: its cells differ, or only
	// one of the sheets has the row.
	Change struct {
		Mark    ChangeMark
		RowName string // identifies the row within its sheet, see rowName
		Cells   []CellChange
	}

	// A CellChange is a cell whose value differs between two sheets. Old and New are the
	// two values; an empty cell has the empty string.
	CellChange struct {
		Column   Column
		Old, New string
	}

	// A ChangeMark is the way in which a row changes: added, removed or changed.
	ChangeMark byte
)

// The change marks, as printed in front of a row.
const (
	Added   ChangeMark = '+'
	Removed ChangeMark = '-'
	Changed ChangeMark = '~'
)

// String formats the change as one line.
func (c Change) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%c %s", c.Mark, c.RowName)
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

// Plan compares two sheets and returns the rows that change: added and changed rows
// in the order of after, then removed rows in the order of before.
func Plan(before, after Sheet) []Change {
	unmatched := rowsByName(before)
	var changes []Change
	for _, row := range after.Rows {
		name := rowName(row)
		old, ok := unmatched[name]
		delete(unmatched, name)
		mark := Changed
		if !ok {
			mark = Added
		}
		if cells := compareCells(old, row); len(cells) > 0 {
			changes = append(changes, Change{mark, name, cells})
		}
	}
	for _, row := range before.Rows {
		if _, ok := unmatched[rowName(row)]; ok {
			changes = append(changes, Change{Removed, rowName(row), compareCells(row, Row{})})
		}
	}
	return changes
}

// rowsByName indexes the rows of a sheet by rowName.
func rowsByName(s Sheet) map[string]Row {
	m := make(map[string]Row, len(s.Rows))
	for _, row := range s.Rows {
		m[rowName(row)] = row
	}
	return m
}

// rowName returns the name by which rows of two sheets are matched: the kind and the
// cells that identify a row of that kind.
func rowName(row Row) string {
	parts := []string{row.Cells[ColumnKind]}
	for _, c := range []Column{ColumnName, ColumnMethod, ColumnPath} {
		if v := row.Cells[c]; v != "" {
			parts = append(parts, v)
		}
	}
	if row.Cells[ColumnKind] == "limit" {
		parts = append(parts, row.Cells[ColumnModel])
	}
	return strings.Join(parts, " ")
}

// compareCells returns the cells that differ between two rows with the same rowName. The
// kind and the name are part of rowName and therefore skipped. For an added or a removed row,
// the other row is empty.
func compareCells(before, after Row) []CellChange {
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
