// Package table reads, checks and compares the declarations that operators keep in
// version control: organisations, models, targets and services, with their weights and
// limits. A table is read from a sheet, a list of rows in CSV or YAML. It is accepted or
// rejected as a whole. Two sheets can be compared row by row.
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
	// A Sheet holds the rows of one file. Its column names are valid; its cells have not
	// been checked, see Check.
	Sheet struct {
		File string
		Rows []Row
	}

	// A Row is one row of a sheet: its cells by column, without the empty ones, and
	// its position in the file.
	Row struct {
		Line  int // line number in the file, from 1
		Cells map[Column]string
	}

	// A Column is the name of a sheet column.
	Column string

	// A Problem is an error in a sheet, with its position.
	Problem struct {
		File   string
		Line   int    // line number, from 1; 0 if the problem concerns the whole file
		Column Column // empty if the problem concerns the whole row
		Text   string
	}

	// Problems is the error for an invalid sheet. It holds every problem found.
	Problems []Problem
)

// The sheet columns. A row leaves the cells empty that its kind does not use.
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

// Columns returns all columns in the order in which WriteCSV writes them.
func Columns() []Column { return slices.Clone(columns) }

// String formats the problem as file, line, column and text.
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

// Error returns the problems, one per line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// ReadSheet reads a sheet in the format given by the file name extension: YAML for
// .yaml and .yml, CSV for any other. A non-nil error is of type Problems.
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

// readCSV reads a CSV sheet with a header row. Lines that begin with # are comments,
// and a row may have fewer cells than the header.
func readCSV(file string, data []byte) (Sheet, error) {
	r := csv.NewReader(bytes.NewReader(data))
	r.Comment = '#'
	r.FieldsPerRecord = -1
	r.TrimLeadingSpace = true
	header, err := r.Read()
	if err != nil {
		return Sheet{}, Problems{{File: file, Line: 1, Text: "no heading row: " + err.Error()}}
	}
	if ps := checkHeader(file, header); len(ps) > 0 {
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
		if len(record) > len(header) {
			return Sheet{}, Problems{{File: file, Line: line, Text: fmt.Sprintf("row has %d cells, but the heading has only %d columns", len(record), len(header))}}
		}
		row := Row{Line: line, Cells: make(map[Column]string, len(record))}
		for i, cell := range record {
			if cell = strings.TrimSpace(cell); cell != "" {
				row.Cells[Column(header[i])] = cell
			}
		}
		s.Rows = append(s.Rows, row)
	}
}

// csvProblem returns the problem for an error of the CSV reader, with the line if it is known.
func csvProblem(file string, err error) Problem {
	var pe *csv.ParseError
	if errors.As(err, &pe) {
		return Problem{File: file, Line: pe.Line, Text: pe.Err.Error()}
	}
	return Problem{File: file, Text: err.Error()}
}

// checkHeader trims the column names of a CSV header in place and returns the problems
// found in them.
func checkHeader(file string, header []string) Problems {
	var ps Problems
	seen := map[Column]bool{}
	for i, name := range header {
		header[i] = strings.TrimSpace(name)
		c := Column(header[i])
		switch {
		case !slices.Contains(columns, c):
			ps = append(ps, Problem{file, 1, c, "unknown column; valid columns are " + columnNames()})
		case seen[c]:
			ps = append(ps, Problem{file, 1, c, "duplicate column"})
		}
		seen[c] = true
	}
	if !seen[ColumnKind] {
		ps = append(ps, Problem{file, 1, ColumnKind, "required column is missing"})
	}
	return ps
}

// columnNames returns the names of all columns, separated by commas.
func columnNames() string {
	names := make([]string, len(columns))
	for i, c := range columns {
		names[i] = string(c)
	}
	return strings.Join(names, ", ")
}

// readYAML reads a YAML sheet: a list of mappings from column to cell. The documents
// of a file with several are read as one list.
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
			row, ps := yamlRow(file, node)
			if len(ps) > 0 {
				return Sheet{}, ps
			}
			s.Rows = append(s.Rows, row)
		}
	}
	return s, nil
}

// yamlRow returns the row that a YAML mapping describes.
func yamlRow(file string, node ast.Node) (Row, Problems) {
	row := Row{Line: lineOf(node), Cells: map[Column]string{}}
	var entries []*ast.MappingValueNode
	switch n := node.(type) {
	case *ast.MappingNode:
		entries = n.Values
	case *ast.MappingValueNode:
		entries = []*ast.MappingValueNode{n}
	default:
		return row, Problems{{File: file, Line: row.Line, Text: "a row is a mapping of column to cell"}}
	}
	for i, e := range entries {
		if i == 0 {
			row.Line = lineOf(e.Key)
		}
		c := Column(e.Key.String())
		if !slices.Contains(columns, c) {
			return row, Problems{{file, lineOf(e), c, "unknown column; valid columns are " + columnNames()}}
		}
		scalar, ok := e.Value.(ast.ScalarNode)
		if !ok {
			return row, Problems{{file, lineOf(e), c, "a cell is a single value"}}
		}
		if v := scalar.GetValue(); v != nil {
			row.Cells[c] = strings.TrimSpace(scalarText(scalar))
		}
	}
	return row, nil
}

// scalarText returns the cell text of a YAML scalar. Booleans become yes and no, as in
// CSV.
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

// lineOf returns the line number of a YAML node in its file, or 0 if it is not known.
func lineOf(n ast.Node) int {
	if n == nil || n.GetToken() == nil {
		return 0
	}
	return n.GetToken().Position.Line
}

// WriteCSV writes the sheet as CSV with all columns.
func (s Sheet) WriteCSV(w io.Writer) error {
	cw := csv.NewWriter(w)
	record := make([]string, len(columns))
	for i, c := range columns {
		record[i] = string(c)
	}
	if err := cw.Write(record); err != nil {
		return err
	}
	for _, row := range s.Rows {
		for i, c := range columns {
			record[i] = row.Cells[c]
		}
		if err := cw.Write(record); err != nil {
			return err
		}
	}
	cw.Flush()
	return cw.Error()
}
