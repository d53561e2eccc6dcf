package table

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strconv"
	"strings"
)

type (
	// checker builds a table from the rows of a sheet and collects the problems.
	checker struct {
		sheet     Sheet
		table     *Table
		problems  Problems
		tableRows int            // rows of kind "table" read
		declared  map[string]int // line of the declaration, by namespace and name
	}

	// rowKind describes the rows of one kind: which cells they have and how they
	// are read into the table.
	rowKind struct {
		name     string
		order    int // kinds are read in ascending order; a row can refer to names that kinds of a lower order declare
		required []Column
		optional []Column
		read     func(*checker, Row)
	}
)

const (
	defaultQueueLimit   = 256     // requests of one organisation that wait for a target, per host
	defaultMemoryTokens = 100_000 // cache capacity of a target, in tokens
)

// rowKinds returns the kinds of rows that a sheet may contain, with their columns.
func rowKinds() []rowKind {
	return []rowKind{
		{"table", 100, []Column{ColumnVersion}, nil, (*checker).readTable},
		{"organisation", 200, []Column{ColumnName, ColumnWeight, ColumnKey}, []Column{ColumnRate, ColumnInflight, ColumnQueue, ColumnTail, ColumnStall}, (*checker).readOrganisation},
		{"model", 200, []Column{ColumnName}, []Column{ColumnVersion}, (*checker).readModel},
		{"service", 200, []Column{ColumnName}, nil, (*checker).readService},
		{"route", 300, []Column{ColumnName, ColumnPath, ColumnIdempotent}, []Column{ColumnMethod}, (*checker).readRoute},
		{"engine", 300, []Column{ColumnName, ColumnModel, ColumnDomain, ColumnAddress, ColumnChecks}, []Column{ColumnMemory, ColumnWeight}, (*checker).readEngine},
		{"host", 300, []Column{ColumnName, ColumnModel, ColumnDomain, ColumnAddress}, []Column{ColumnChecks, ColumnWeight}, (*checker).readHost},
		{"limit", 400, []Column{ColumnName, ColumnModel}, []Column{ColumnWeight, ColumnRate, ColumnInflight}, (*checker).readLimit},
	}
}

// Read reads a sheet from r and builds a table from it. The extension of file selects the
// format, see ReadSheet. A non-nil error is of type Problems.
func Read(file string, r io.Reader) (*Table, error) {
	s, err := ReadSheet(file, r)
	if err != nil {
		return nil, err
	}
	return Check(s)
}

// Check builds a table from a sheet. If the sheet has any problem, Check returns
// all of them as Problems and no table.
func Check(s Sheet) (*Table, error) {
	c := &checker{
		sheet:    s,
		declared: map[string]int{},
		table:    NewTable(0),
	}
	kinds := rowKinds()
	slices.SortStableFunc(kinds, func(a, b rowKind) int { return a.order - b.order })
	c.checkKinds(kinds)
	for _, k := range kinds {
		for _, row := range s.Rows {
			if row.Cells[ColumnKind] == k.name && c.checkCells(row, k) {
				k.read(c, row)
			}
		}
	}
	if c.tableRows == 0 {
		c.problems = append(c.problems, Problem{File: s.File, Text: `no row of kind "table"; one is required, with the table version`})
	}
	if len(c.problems) > 0 {
		slices.SortStableFunc(c.problems, func(a, b Problem) int { return a.Line - b.Line })
		return nil, c.problems
	}
	return c.table, nil
}

// addProblem adds a problem in a column of a row.
func (c *checker) addProblem(row Row, col Column, format string, args ...any) {
	c.problems = append(c.problems, Problem{c.sheet.File, row.Line, col, fmt.Sprintf(format, args...)})
}

// checkKinds adds a problem for each row whose kind is not one of kinds.
func (c *checker) checkKinds(kinds []rowKind) {
	names := make([]string, len(kinds))
	for i, k := range kinds {
		names[i] = k.name
	}
	for _, row := range c.sheet.Rows {
		if k := row.Cells[ColumnKind]; !slices.Contains(names, k) {
			c.addProblem(row, ColumnKind, "unknown kind %q; valid kinds are %s", k, strings.Join(names, ", "))
		}
	}
}

// checkCells adds a problem for each required cell of kind k that is empty in the row, and for
// each cell that kind k does not have. It returns true if there is neither.
func (c *checker) checkCells(row Row, k rowKind) bool {
	ok := true
	for _, col := range k.required {
		if row.Cells[col] == "" {
			c.addProblem(row, col, "a row of kind %q requires a value", k.name)
			ok = false
		}
	}
	for _, col := range columns {
		if row.Cells[col] == "" || col == ColumnKind || slices.Contains(k.required, col) || slices.Contains(k.optional, col) {
			continue
		}
		c.addProblem(row, col, "a row of kind %q has no such cell", k.name)
		ok = false
	}
	return ok
}

// declare records a name in a namespace. If the name is already declared there, it
// adds a problem and returns false.
func (c *checker) declare(row Row, namespace, name string) bool {
	key := namespace + " " + name
	if at, ok := c.declared[key]; ok {
		c.addProblem(row, ColumnName, "%s %q stands already on line %d", namespace, name, at)
		return false
	}
	c.declared[key] = row.Line
	return true
}

// floatCell returns the number in a cell, or fallback if the cell is empty or invalid. An
// invalid cell adds a problem.
func (c *checker) floatCell(row Row, col Column, fallback, lowest, highest float64) float64 {
	cell := row.Cells[col]
	if cell == "" {
		return fallback
	}
	v, err := strconv.ParseFloat(cell, 64)
	if err != nil || !(v >= lowest && v <= highest) {
		c.addProblem(row, col, "%q is not a number from %g to %g", cell, lowest, highest)
		return fallback
	}
	return v
}

// intCell returns the integer in a cell, or fallback if the cell is empty or invalid. An
// invalid cell adds a problem.
func (c *checker) intCell(row Row, col Column, fallback, lowest, highest int) int {
	cell := row.Cells[col]
	if cell == "" {
		return fallback
	}
	v, err := strconv.Atoi(cell)
	if err != nil || v < lowest || v > highest {
		c.addProblem(row, col, "%q is not an integer from %d to %d", cell, lowest, highest)
		return fallback
	}
	return v
}

// boolCell returns true for a cell with yes, and false for any other. It adds a problem unless
// the cell is yes, no or empty.
func (c *checker) boolCell(row Row, col Column) bool {
	switch cell := row.Cells[col]; cell {
	case "yes":
		return true
	case "no", "":
	default:
		c.addProblem(row, col, "%q is neither yes nor no", cell)
	}
	return false
}

func (c *checker) addressCell(row Row) netip.AddrPort {
	a, err := netip.ParseAddrPort(row.Cells[ColumnAddress])
	if err != nil {
		c.addProblem(row, ColumnAddress, "%q is not an IP address and port", row.Cells[ColumnAddress])
	}
	return a
}

func (c *checker) readTable(row Row) {
	c.tableRows++
	if c.tableRows > 1 {
		c.addProblem(row, ColumnKind, "a second row of kind \"table\"")
		return
	}
	v, err := strconv.ParseUint(row.Cells[ColumnVersion], 10, 63)
	if err != nil || v == 0 {
		c.addProblem(row, ColumnVersion, "%q is not a positive integer", row.Cells[ColumnVersion])
	}
	c.table.Version = v
}

func (c *checker) readOrganisation(row Row) {
	name := row.Cells[ColumnName]
	if !c.declare(row, "organisation", name) {
		return
	}
	o := Organisation{
		Name:        name,
		Weight:      c.floatCell(row, ColumnWeight, 1, 0.001, 1e6),
		RateLimit:   c.floatCell(row, ColumnRate, 0, 0, 1e6),
		MaxInFlight: c.intCell(row, ColumnInflight, 0, 0, 1e6),
		MaxQueued:   c.intCell(row, ColumnQueue, defaultQueueLimit, 1, 1e6),
		TailWeight:  c.floatCell(row, ColumnTail, 1, 0, 100),
		StallWeight: c.floatCell(row, ColumnStall, 1, 0, 100),
	}
	text, ok := strings.CutPrefix(row.Cells[ColumnKey], "sha256:")
	raw, err := hex.DecodeString(text)
	if !ok || err != nil || len(raw) != sha256.Size {
		c.addProblem(row, ColumnKey, "not a key hash; expected sha256: and %d hexadecimal digits, as printed by wigeonlink table key", 2*sha256.Size)
		return
	}
	o.KeyHash = [sha256.Size]byte(raw)
	if other, ok := c.table.nameByKeyHash[o.KeyHash]; ok {
		c.addProblem(row, ColumnKey, "organisation %q has the same key", other)
	}
	c.table.nameByKeyHash[o.KeyHash] = name
	c.table.Organisations[name] = o
}

func (c *checker) readModel(row Row) {
	if name := row.Cells[ColumnName]; c.declare(row, "model", name) {
		c.table.Models[name] = Model{Name: name, Version: row.Cells[ColumnVersion]}
	}
}

func (c *checker) readService(row Row) {
	if name := row.Cells[ColumnName]; c.declare(row, "service", name) {
		c.table.Services[name] = Service{Name: name}
	}
}

func (c *checker) readRoute(row Row) {
	s, ok := c.table.Services[row.Cells[ColumnName]]
	if !ok {
		c.addProblem(row, ColumnName, "no service %q", row.Cells[ColumnName])
		return
	}
	if !strings.HasPrefix(row.Cells[ColumnPath], "/") {
		c.addProblem(row, ColumnPath, "%q does not begin with /", row.Cells[ColumnPath])
		return
	}
	s.Routes = append(s.Routes, Route{
		Method:     strings.ToUpper(row.Cells[ColumnMethod]),
		Path:       row.Cells[ColumnPath],
		Idempotent: c.boolCell(row, ColumnIdempotent),
	})
	c.table.Services[s.Name] = s
}

func (c *checker) readEngine(row Row) {
	if _, ok := c.table.Models[row.Cells[ColumnModel]]; !ok {
		c.addProblem(row, ColumnModel, "no model %q", row.Cells[ColumnModel])
		return
	}
	c.readTarget(row, Target{Kind: TargetEngine, Model: row.Cells[ColumnModel]})
}

func (c *checker) readHost(row Row) {
	if _, ok := c.table.Services[row.Cells[ColumnModel]]; !ok {
		c.addProblem(row, ColumnModel, "no service %q", row.Cells[ColumnModel])
		return
	}
	c.readTarget(row, Target{Kind: TargetService, Service: row.Cells[ColumnModel]})
}

func (c *checker) readTarget(row Row, target Target) {
	target.Name = row.Cells[ColumnName]
	if !c.declare(row, "target", target.Name) {
		return
	}
	target.Domain = row.Cells[ColumnDomain]
	target.Address = c.addressCell(row)
	target.ChecksFencing = c.boolCell(row, ColumnChecks)
	target.Memory = c.intCell(row, ColumnMemory, defaultMemoryTokens, 1, 1e9)
	target.Weight = c.floatCell(row, ColumnWeight, 1, 0, 1e6)
	c.table.Targets[target.Name] = target
}

func (c *checker) readLimit(row Row) {
	key := LimitKey{Organisation: row.Cells[ColumnName], Model: row.Cells[ColumnModel]}
	if _, ok := c.table.Organisations[key.Organisation]; !ok {
		c.addProblem(row, ColumnName, "no organisation %q", key.Organisation)
		return
	}
	if _, ok := c.table.Models[key.Model]; !ok {
		c.addProblem(row, ColumnModel, "no model %q", key.Model)
		return
	}
	if !c.declare(row, "limit", key.Organisation+" on "+key.Model) {
		return
	}
	c.table.Limits[key] = Limit{
		Weight:      c.floatCell(row, ColumnWeight, 0, 0, 1e6),
		RateLimit:   c.floatCell(row, ColumnRate, 0, 0, 1e6),
		MaxInFlight: c.intCell(row, ColumnInflight, 0, 0, 1e6),
	}
}
