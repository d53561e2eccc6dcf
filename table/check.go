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
	// checker turns the lines of a sheet into a table and gathers the faults.
	checker struct {
		sheet    Sheet
		table    *Table
		problems Problems
		versions int
		first    map[string]int // line on which a name was declared
	}

	rowKind struct {
		name     string
		priority int // rows of a lower priority are read first
		needs    []Column
		allows   []Column
		read     func(*checker, Line)
	}
)

const (
	defaultQueue  = 256
	defaultMemory = 100_000 // tokens
)

func defaultRowKinds() []rowKind {
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

// Read reads and checks a table. Its error is a Problems.
func Read(file string, r io.Reader) (*Table, error) {
	s, err := ReadSheet(file, r)
	if err != nil {
		return nil, err
	}
	return Check(s)
}

// Check turns a sheet into a table, or returns every fault found as Problems.
// A sheet with a fault gives no table at all.
func Check(s Sheet) (*Table, error) {
	c := &checker{
		sheet: s,
		first: map[string]int{},
		table: NewTable(0),
	}
	kinds := defaultRowKinds()
	slices.SortStableFunc(kinds, func(a, b rowKind) int { return a.priority - b.priority })
	c.checkKinds(kinds)
	for _, k := range kinds {
		for _, l := range s.Rows {
			if l.Cells[ColumnKind] == k.name && c.checkCells(l, k) {
				k.read(c, l)
			}
		}
	}
	if c.versions == 0 {
		c.problems = append(c.problems, Problem{File: s.File, Text: `no row of kind "table" that gives the version`})
	}
	if len(c.problems) > 0 {
		slices.SortStableFunc(c.problems, func(a, b Problem) int { return a.Line - b.Line })
		return nil, c.problems
	}
	return c.table, nil
}

func (c *checker) fault(l Line, col Column, format string, args ...any) {
	c.problems = append(c.problems, Problem{c.sheet.File, l.Number, col, fmt.Sprintf(format, args...)})
}

func (c *checker) checkKinds(kinds []rowKind) {
	names := make([]string, len(kinds))
	for i, k := range kinds {
		names[i] = k.name
	}
	for _, l := range c.sheet.Rows {
		if k := l.Cells[ColumnKind]; !slices.Contains(names, k) {
			c.fault(l, ColumnKind, "unknown kind %q; known are %s", k, strings.Join(names, ", "))
		}
	}
}

func (c *checker) checkCells(l Line, k rowKind) bool {
	ok := true
	for _, col := range k.needs {
		if l.Cells[col] == "" {
			c.fault(l, col, "a row of kind %q needs this cell", k.name)
			ok = false
		}
	}
	for _, col := range columns {
		if l.Cells[col] == "" || col == ColumnKind || slices.Contains(k.needs, col) || slices.Contains(k.allows, col) {
			continue
		}
		c.fault(l, col, "a row of kind %q has no such cell", k.name)
		ok = false
	}
	return ok
}

// declare notes a name, and says whether it is new in its space.
func (c *checker) declare(l Line, space, name string) bool {
	key := space + " " + name
	if at, ok := c.first[key]; ok {
		c.fault(l, ColumnName, "%s %q stands already on line %d", space, name, at)
		return false
	}
	c.first[key] = l.Number
	return true
}

func (c *checker) number(l Line, col Column, fallback, least, most float64) float64 {
	cell := l.Cells[col]
	if cell == "" {
		return fallback
	}
	v, err := strconv.ParseFloat(cell, 64)
	if err != nil || !(v >= least && v <= most) {
		c.fault(l, col, "%q is not a number from %g to %g", cell, least, most)
		return fallback
	}
	return v
}

func (c *checker) whole(l Line, col Column, fallback, least, most int) int {
	cell := l.Cells[col]
	if cell == "" {
		return fallback
	}
	v, err := strconv.Atoi(cell)
	if err != nil || v < least || v > most {
		c.fault(l, col, "%q is not a whole number from %d to %d", cell, least, most)
		return fallback
	}
	return v
}

func (c *checker) truth(l Line, col Column) bool {
	switch cell := l.Cells[col]; cell {
	case "yes":
		return true
	case "no", "":
	default:
		c.fault(l, col, "%q is neither yes nor no", cell)
	}
	return false
}

func (c *checker) address(l Line) netip.AddrPort {
	a, err := netip.ParseAddrPort(l.Cells[ColumnAddress])
	if err != nil {
		c.fault(l, ColumnAddress, "%q is not an IP address and port", l.Cells[ColumnAddress])
	}
	return a
}

func (c *checker) readTable(l Line) {
	c.versions++
	if c.versions > 1 {
		c.fault(l, ColumnKind, "a second row of kind \"table\"")
		return
	}
	v, err := strconv.ParseUint(l.Cells[ColumnVersion], 10, 63)
	if err != nil || v == 0 {
		c.fault(l, ColumnVersion, "%q is not a whole number above 0", l.Cells[ColumnVersion])
	}
	c.table.Version = v
}

func (c *checker) readOrganisation(l Line) {
	name := l.Cells[ColumnName]
	if !c.declare(l, "organisation", name) {
		return
	}
	m := Organisation{
		Name:     name,
		Weight:   c.number(l, ColumnWeight, 1, 0.001, 1e6),
		Rate:     c.number(l, ColumnRate, 0, 0, 1e6),
		Inflight: c.whole(l, ColumnInflight, 0, 0, 1e6),
		Queue:    c.whole(l, ColumnQueue, defaultQueue, 1, 1e6),
		Tail:     c.number(l, ColumnTail, 1, 0, 100),
		Stall:    c.number(l, ColumnStall, 1, 0, 100),
	}
	text, ok := strings.CutPrefix(l.Cells[ColumnKey], "sha256:")
	raw, err := hex.DecodeString(text)
	if !ok || err != nil || len(raw) != sha256.Size {
		c.fault(l, ColumnKey, "not a key hash; wanted is sha256: and %d hexadecimal digits (wigeonlink table key)", 2*sha256.Size)
		return
	}
	m.Key = [sha256.Size]byte(raw)
	if other, ok := c.table.byKey[m.Key]; ok {
		c.fault(l, ColumnKey, "organisation %q has the same key", other)
	}
	c.table.byKey[m.Key] = name
	c.table.Organisations[name] = m
}

func (c *checker) readModel(l Line) {
	if name := l.Cells[ColumnName]; c.declare(l, "model", name) {
		c.table.Models[name] = Model{Name: name, Version: l.Cells[ColumnVersion]}
	}
}

func (c *checker) readService(l Line) {
	if name := l.Cells[ColumnName]; c.declare(l, "service", name) {
		c.table.Services[name] = Service{Name: name}
	}
}

func (c *checker) readRoute(l Line) {
	s, ok := c.table.Services[l.Cells[ColumnName]]
	if !ok {
		c.fault(l, ColumnName, "no service %q", l.Cells[ColumnName])
		return
	}
	if !strings.HasPrefix(l.Cells[ColumnPath], "/") {
		c.fault(l, ColumnPath, "%q does not begin with /", l.Cells[ColumnPath])
		return
	}
	s.Routes = append(s.Routes, Route{
		Method:     strings.ToUpper(l.Cells[ColumnMethod]),
		Path:       l.Cells[ColumnPath],
		Idempotent: c.truth(l, ColumnIdempotent),
	})
	c.table.Services[s.Name] = s
}

func (c *checker) readEngine(l Line) {
	if _, ok := c.table.Models[l.Cells[ColumnModel]]; !ok {
		c.fault(l, ColumnModel, "no model %q", l.Cells[ColumnModel])
		return
	}
	c.readTarget(l, Target{Kind: TargetEngine, Model: l.Cells[ColumnModel]})
}

func (c *checker) readHost(l Line) {
	if _, ok := c.table.Services[l.Cells[ColumnModel]]; !ok {
		c.fault(l, ColumnModel, "no service %q", l.Cells[ColumnModel])
		return
	}
	c.readTarget(l, Target{Kind: TargetService, Service: l.Cells[ColumnModel]})
}

func (c *checker) readTarget(l Line, g Target) {
	g.Name = l.Cells[ColumnName]
	if !c.declare(l, "target", g.Name) {
		return
	}
	g.Domain = l.Cells[ColumnDomain]
	g.Address = c.address(l)
	g.Checks = c.truth(l, ColumnChecks)
	g.Memory = c.whole(l, ColumnMemory, defaultMemory, 1, 1e9)
	g.Weight = c.number(l, ColumnWeight, 1, 0, 1e6)
	c.table.Targets[g.Name] = g
}

func (c *checker) readLimit(l Line) {
	key := LimitKey{Organisation: l.Cells[ColumnName], Model: l.Cells[ColumnModel]}
	if _, ok := c.table.Organisations[key.Organisation]; !ok {
		c.fault(l, ColumnName, "no organisation %q", key.Organisation)
		return
	}
	if _, ok := c.table.Models[key.Model]; !ok {
		c.fault(l, ColumnModel, "no model %q", key.Model)
		return
	}
	if !c.declare(l, "limit", key.Organisation+" on "+key.Model) {
		return
	}
	c.table.Limits[key] = Limit{
		Weight:   c.number(l, ColumnWeight, 0, 0, 1e6),
		Rate:     c.number(l, ColumnRate, 0, 0, 1e6),
		Inflight: c.whole(l, ColumnInflight, 0, 0, 1e6),
	}
}
