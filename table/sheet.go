// Package table holds the declarations that operators keep in version control:
// organisations, models, targets, services and the weights and limits that govern
// them. A table is one sheet of rows. It is read from CSV or YAML, checked as a
// whole, and compared row by row with another.
package table

import (
	"bytes"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

type (
	// A Sheet is the unchecked rows of one file.
	Sheet struct {
		File string
		Rows []Line
	}

	// A Line is one row of a sheet: the cells by column, and where it stands.
	Line struct {
		Number int // line in the file, from 1
		Cells  map[Column]string
	}

	// A Column is the name of a column of the sheet.
	Column string

	// A Problem is one fault found in a sheet.
	Problem struct {
		File   string
		Line   int // from 1; 0 means the whole file
		Column Column
		Text   string
	}

	// Problems are all faults found in a sheet, as an error.
	Problems []Problem
)

// The columns of the sheet. A cell that a row's kind does not use stays empty.
const (
	ColumnKind       Column = "kind"
	ColumnName       Column = "name"
	ColumnModel      Column = "model"
	ColumnDomain     Column = "domain"
	ColumnAddress    Column = "address"
	ColumnWeight     Column = "weight"
	ColumnRate       Column = "rate"
	ColumnInflight   Column = "inflight"
	ColumnQueue      Column = "queue"
	ColumnKey        Column = "key"
	ColumnMethod     Column = "method"
	ColumnPath       Column = "path"
	ColumnIdempotent Column = "idempotent"
	ColumnChecks     Column = "checks"
	ColumnTail       Column = "tail"
	ColumnStall      Column = "stall"
	ColumnMemory     Column = "memory"
	ColumnVersion    Column = "version"
)

var columns = []Column{
	ColumnKind, ColumnName, ColumnModel, ColumnDomain, ColumnAddress, ColumnWeight,
	ColumnRate, ColumnInflight, ColumnQueue, ColumnKey, ColumnMethod, ColumnPath,
	ColumnIdempotent, ColumnChecks, ColumnTail, ColumnStall, ColumnMemory, ColumnVersion,
}

// Columns returns the columns in the order in which a sheet is written.
func Columns() []Column { return slices.Clone(columns) }

// String gives file, row, column and fault.
func (p Problem) String() string {
	where := p.File
	if p.Line > 0 {
		where += fmt.Sprintf(":%d", p.Line)
	}
	if p.Column != "" {
		where += fmt.Sprintf(": column %q", p.Column)
	}
	return where + ": " + p.Text
}

// Error gives one line a problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// ReadSheet reads a sheet. The file's ending chooses the format: .yaml and .yml
// are YAML, anything else is CSV.
func ReadSheet(file string, r io.Reader) (Sheet, error) {
	data, err := io.ReadAll(r)
	if err != nil {
		return Sheet{}, Problems{{File: file, Text: err.Error()}}
	}
	switch filepath.Ext(file) {
	case ".yaml", ".yml":
		return readYAML(file, data)
	}
	return readCSV(file, data)
}

func readCSV(file string, data []byte) (Sheet, error) {
	r := csv.NewReader(bytes.NewReader(data))
	r.Comment = '#'
	r.FieldsPerRecord = -1
	r.TrimLeadingSpace = true
	head, err := r.Read()
	if err != nil {
		return Sheet{}, Problems{{File: file, Line: 1, Text: "no heading row: " + err.Error()}}
	}
	if ps := checkHeading(file, head); len(ps) > 0 {
		return Sheet{}, ps
	}
	s := Sheet{File: file}
	for {
		record, err := r.Read()
		if errors.Is(err, io.EOF) {
			return s, nil
		}
		if err != nil {
			return Sheet{}, Problems{csvProblem(file, err)}
		}
		line, _ := r.FieldPos(0)
		if len(record) > len(head) {
			return Sheet{}, Problems{{File: file, Line: line, Text: fmt.Sprintf("%d cells, the heading has %d", len(record), len(head))}}
		}
		l := Line{Number: line, Cells: make(map[Column]string, len(record))}
		for i, cell := range record {
			if cell = strings.TrimSpace(cell); cell != "" {
				l.Cells[Column(head[i])] = cell
			}
		}
		s.Rows = append(s.Rows, l)
	}
}

func csvProblem(file string, err error) Problem {
	var pe *csv.ParseError
	if errors.As(err, &pe) {
		return Problem{File: file, Line: pe.Line, Text: pe.Err.Error()}
	}
	return Problem{File: file, Text: err.Error()}
}

func checkHeading(file string, head []string) Problems {
	var ps Problems
	seen := map[Column]bool{}
	for i, name := range head {
		head[i] = strings.TrimSpace(name)
		c := Column(head[i])
		switch {
		case !slices.Contains(columns, c):
			ps = append(ps, Problem{file, 1, c, "unknown column; known are " + joinColumns()})
		case seen[c]:
			ps = append(ps, Problem{file, 1, c, "column stands twice"})
		}
		seen[c] = true
	}
	if !seen[ColumnKind] {
		ps = append(ps, Problem{file, 1, ColumnKind, "column is missing"})
	}
	return ps
}

func joinColumns() string {
	names := make([]string, len(columns))
	for i, c := range columns {
		names[i] = string(c)
	}
	return strings.Join(names, ", ")
}

func readYAML(file string, data []byte) (Sheet, error) {
	tree, err := parser.ParseBytes(data, 0)
	if err != nil {
		return Sheet{}, Problems{{File: file, Text: yaml.FormatError(err, false, false)}}
	}
	s := Sheet{File: file}
	for _, doc := range tree.Docs {
		if doc.Body == nil {
			continue
		}
		list, ok := doc.Body.(*ast.SequenceNode)
		if !ok {
			return Sheet{}, Problems{{File: file, Line: lineOf(doc.Body), Text: "a list of rows is wanted"}}
		}
		for _, node := range list.Values {
			l, ps := yamlLine(file, node)
			if len(ps) > 0 {
				return Sheet{}, ps
			}
			s.Rows = append(s.Rows, l)
		}
	}
	return s, nil
}

func yamlLine(file string, node ast.Node) (Line, Problems) {
	l := Line{Number: lineOf(node), Cells: map[Column]string{}}
	var entries []*ast.MappingValueNode
	switch n := node.(type) {
	case *ast.MappingNode:
		entries = n.Values
	case *ast.MappingValueNode:
		entries = []*ast.MappingValueNode{n}
	default:
		return l, Problems{{File: file, Line: l.Number, Text: "a row is a mapping of column to cell"}}
	}
	for i, e := range entries {
		if i == 0 {
			l.Number = lineOf(e.Key)
		}
		c := Column(e.Key.String())
		if !slices.Contains(columns, c) {
			return l, Problems{{file, lineOf(e), c, "unknown column; known are " + joinColumns()}}
		}
		scalar, ok := e.Value.(ast.ScalarNode)
		if !ok {
			return l, Problems{{file, lineOf(e), c, "a cell is a single value"}}
		}
		if v := scalar.GetValue(); v != nil {
			l.Cells[c] = strings.TrimSpace(scalarText(scalar))
		}
	}
	return l, nil
}

func scalarText(n ast.ScalarNode) string {
	switch v := n.(type) {
	case *ast.StringNode:
		return v.Value
	case *ast.LiteralNode:
		return v.Value.Value
	case *ast.BoolNode:
		if v.Value {
			return "yes"
		}
		return "no"
	}
	return n.String()
}

func lineOf(n ast.Node) int {
	if n == nil || n.GetToken() == nil {
		return 0
	}
	return n.GetToken().Position.Line
}

// WriteCSV writes s as CSV with all columns.
func (s Sheet) WriteCSV(w io.Writer) error {
	cw := csv.NewWriter(w)
	record := make([]string, len(columns))
	for i, c := range columns {
		record[i] = string(c)
	}
	if err := cw.Write(record); err != nil {
		return err
	}
	for _, l := range s.Rows {
		for i, c := range columns {
			record[i] = l.Cells[c]
		}
		if err := cw.Write(record); err != nil {
			return err
		}
	}
	cw.Flush()
	return cw.Error()
}
