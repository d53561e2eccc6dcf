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

	// A PlanRow is a row of a version that PlanRows compares.
	PlanRow struct {
		Name    string   // identifies the row within its version
		Columns []Column // in the order in which differences are returned
		Cells   map[Column]string
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
func Plan(before, after Sheet) []Change { return PlanRows(planRows(before), planRows(after)) }

// PlanRows is like Plan for rows of any kind. Rows with equal names are compared; a name must not occur twice.
func PlanRows(before, after []PlanRow) []Change {
	unmatched := make(map[string]PlanRow, len(before))
	for _, row := range before {
		unmatched[row.Name] = row
	}
	var changes []Change
	for _, row := range after {
		old, ok := unmatched[row.Name]
		delete(unmatched, row.Name)
		mark := Changed
		if !ok {
			mark = Added
		}
		if cells := compareCells(old, row); len(cells) > 0 {
			changes = append(changes, Change{mark, row.Name, cells})
		}
	}
	for _, row := range before {
		if _, ok := unmatched[row.Name]; ok {
			changes = append(changes, Change{Removed, row.Name, compareCells(row, PlanRow{})})
		}
	}
	return changes
}

// planRows returns the rows of a sheet. The kind and the name are part of a row's name and left out of its cells.
func planRows(s Sheet) []PlanRow {
	columns := slices.DeleteFunc(Columns(), func(c Column) bool { return c == ColumnKind || c == ColumnName })
	rows := make([]PlanRow, 0, len(s.Rows))
	for _, row := range s.Rows {
		rows = append(rows, PlanRow{rowName(row), columns, row.Cells})
	}
	return rows
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

// compareCells returns the cells that differ between two rows with the same name, in the order of the later row's columns and then of those
// that only the earlier one has. For an added or a removed row, the other row is empty.
func compareCells(before, after PlanRow) []CellChange {
	var cells []CellChange
	for _, c := range after.Columns {
		if o, n := before.Cells[c], after.Cells[c]; o != n {
			cells = append(cells, CellChange{c, o, n})
		}
	}
	for _, c := range before.Columns {
		if o := before.Cells[c]; o != "" && !slices.Contains(after.Columns, c) {
			cells = append(cells, CellChange{c, o, ""})
		}
	}
	return slices.Clip(cells)
}
