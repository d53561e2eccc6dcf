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
		order    int // ascending; a row can refer to names that kinds read earlier declare
		required []Column
		optional []Column
		read     func(*checker, Row)
	}
)

const (
	defaultQueueLimit   = 256     // requests
	defaultMemoryTokens = 100_000 // tokens
)

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

// Read reads and checks a table. A non-nil error is of type Problems.
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
		for _, l := range s.Rows {
			if l.Cells[ColumnKind] == k.name && c.checkCells(l, k) {
				k.read(c, l)
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

func (c *checker) addProblem(l Row, col Column, format string, args ...any) {
	c.problems = append(c.problems, Problem{c.sheet.File, l.Line, col, fmt.Sprintf(format, args...)})
}

func (c *checker) checkKinds(kinds []rowKind) {
	names := make([]string, len(kinds))
	for i, k := range kinds {
		names[i] = k.name
	}
	for _, l := range c.sheet.Rows {
		if k := l.Cells[ColumnKind]; !slices.Contains(names, k) {
			c.addProblem(l, ColumnKind, "unknown kind %q; valid kinds are %s", k, strings.Join(names, ", "))
		}
	}
}

func (c *checker) checkCells(l Row, k rowKind) bool {
	ok := true
	for _, col := range k.required {
		if l.Cells[col] == "" {
			c.addProblem(l, col, "a row of kind %q requires a value", k.name)
			ok = false
		}
	}
	for _, col := range columns {
		if l.Cells[col] == "" || col == ColumnKind || slices.Contains(k.required, col) || slices.Contains(k.optional, col) {
			continue
		}
		c.addProblem(l, col, "a row of kind %q has no such cell", k.name)
		ok = false
	}
	return ok
}

// declare records a name in a namespace. If the name is already declared there, it
// adds a problem and returns false.
func (c *checker) declare(l Row, namespace, name string) bool {
	key := namespace + " " + name
	if at, ok := c.declared[key]; ok {
		c.addProblem(l, ColumnName, "%s %q stands already on line %d", namespace, name, at)
		return false
	}
	c.declared[key] = l.Line
	return true
}

// floatCell returns the number in a cell, or fallback if the cell is empty or invalid.
func (c *checker) floatCell(l Row, col Column, fallback, lowest, highest float64) float64 {
	cell := l.Cells[col]
	if cell == "" {
		return fallback
	}
	v, err := strconv.ParseFloat(cell, 64)
	if err != nil || !(v >= lowest && v <= highest) {
		c.addProblem(l, col, "%q is not a number from %g to %g", cell, lowest, highest)
		return fallback
	}
	return v
}

// intCell returns the integer in a cell, or fallback if the cell is empty or invalid.
func (c *checker) intCell(l Row, col Column, fallback, lowest, highest int) int {
	cell := l.Cells[col]
	if cell == "" {
		return fallback
	}
	v, err := strconv.Atoi(cell)
	if err != nil || v < lowest || v > highest {
		c.addProblem(l, col, "%q is not an integer from %d to %d", cell, lowest, highest)
		return fallback
	}
	return v
}

// boolCell returns the truth value of a cell. An empty cell means false.
func (c *checker) boolCell(l Row, col Column) bool {
	switch cell := l.Cells[col]; cell {
	case "yes":
		return true
	case "no", "":
	default:
		c.addProblem(l, col, "%q is neither yes nor no", cell)
	}
	return false
}

func (c *checker) addressCell(l Row) netip.AddrPort {
	a, err := netip.ParseAddrPort(l.Cells[ColumnAddress])
	if err != nil {
		c.addProblem(l, ColumnAddress, "%q is not an IP address and port", l.Cells[ColumnAddress])
	}
	return a
}

func (c *checker) readTable(l Row) {
	c.tableRows++
	if c.tableRows > 1 {
		c.addProblem(l, ColumnKind, "a second row of kind \"table\"")
		return
	}
	v, err := strconv.ParseUint(l.Cells[ColumnVersion], 10, 63)
	if err != nil || v == 0 {
		c.addProblem(l, ColumnVersion, "%q is not a positive integer", l.Cells[ColumnVersion])
	}
	c.table.Version = v
}

func (c *checker) readOrganisation(l Row) {
	name := l.Cells[ColumnName]
	if !c.declare(l, "organisation", name) {
		return
	}
	m := Organisation{
		Name:        name,
		Weight:      c.floatCell(l, ColumnWeight, 1, 0.001, 1e6),
		RateLimit:   c.floatCell(l, ColumnRate, 0, 0, 1e6),
		MaxInFlight: c.intCell(l, ColumnInflight, 0, 0, 1e6),
		MaxQueued:   c.intCell(l, ColumnQueue, defaultQueueLimit, 1, 1e6),
		TailWeight:  c.floatCell(l, ColumnTail, 1, 0, 100),
		StallWeight: c.floatCell(l, ColumnStall, 1, 0, 100),
	}
	text, ok := strings.CutPrefix(l.Cells[ColumnKey], "sha256:")
	raw, err := hex.DecodeString(text)
	if !ok || err != nil || len(raw) != sha256.Size {
		c.addProblem(l, ColumnKey, "not a key hash; expected sha256: and %d hexadecimal digits, as printed by wigeonlink table key", 2*sha256.Size)
		return
	}
	m.Key = [sha256.Size]byte(raw)
	if other, ok := c.table.nameByKeyHash[m.Key]; ok {
		c.addProblem(l, ColumnKey, "organisation %q has the same key", other)
	}
	c.table.nameByKeyHash[m.Key] = name
	c.table.Organisations[name] = m
}

func (c *checker) readModel(l Row) {
	if name := l.Cells[ColumnName]; c.declare(l, "model", name) {
		c.table.Models[name] = Model{Name: name, Version: l.Cells[ColumnVersion]}
	}
}

func (c *checker) readService(l Row) {
	if name := l.Cells[ColumnName]; c.declare(l, "service", name) {
		c.table.Services[name] = Service{Name: name}
	}
}

func (c *checker) readRoute(l Row) {
	s, ok := c.table.Services[l.Cells[ColumnName]]
	if !ok {
		c.addProblem(l, ColumnName, "no service %q", l.Cells[ColumnName])
		return
	}
	if !strings.HasPrefix(l.Cells[ColumnPath], "/") {
		c.addProblem(l, ColumnPath, "%q does not begin with /", l.Cells[ColumnPath])
		return
	}
	s.Routes = append(s.Routes, Route{
		Method:     strings.ToUpper(l.Cells[ColumnMethod]),
		Path:       l.Cells[ColumnPath],
		Idempotent: c.boolCell(l, ColumnIdempotent),
	})
	c.table.Services[s.Name] = s
}

func (c *checker) readEngine(l Row) {
	if _, ok := c.table.Models[l.Cells[ColumnModel]]; !ok {
		c.addProblem(l, ColumnModel, "no model %q", l.Cells[ColumnModel])
		return
	}
	c.readTarget(l, Target{Kind: TargetEngine, Model: l.Cells[ColumnModel]})
}

func (c *checker) readHost(l Row) {
	if _, ok := c.table.Services[l.Cells[ColumnModel]]; !ok {
		c.addProblem(l, ColumnModel, "no service %q", l.Cells[ColumnModel])
		return
	}
	c.readTarget(l, Target{Kind: TargetService, Service: l.Cells[ColumnModel]})
}

func (c *checker) readTarget(l Row, g Target) {
	g.Name = l.Cells[ColumnName]
	if !c.declare(l, "target", g.Name) {
		return
	}
	g.Domain = l.Cells[ColumnDomain]
	g.Address = c.addressCell(l)
	g.ChecksFencing = c.boolCell(l, ColumnChecks)
	g.Memory = c.intCell(l, ColumnMemory, defaultMemoryTokens, 1, 1e9)
	g.Weight = c.floatCell(l, ColumnWeight, 1, 0, 1e6)
	c.table.Targets[g.Name] = g
}

func (c *checker) readLimit(l Row) {
	key := LimitKey{Organisation: l.Cells[ColumnName], Model: l.Cells[ColumnModel]}
	if _, ok := c.table.Organisations[key.Organisation]; !ok {
		c.addProblem(l, ColumnName, "no organisation %q", key.Organisation)
		return
	}
	if _, ok := c.table.Models[key.Model]; !ok {
		c.addProblem(l, ColumnModel, "no model %q", key.Model)
		return
	}
	if !c.declare(l, "limit", key.Organisation+" on "+key.Model) {
		return
	}
	c.table.Limits[key] = Limit{
		Weight:      c.floatCell(l, ColumnWeight, 0, 0, 1e6),
		RateLimit:   c.floatCell(l, ColumnRate, 0, 0, 1e6),
		MaxInFlight: c.intCell(l, ColumnInflight, 0, 0, 1e6),
	}
}
