package console

import (
	"bytes"
	"fmt"
	"os"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/wigeonlink/wigeonlink/table"
)

func newTable() *cobra.Command {
	cmd := &cobra.Command{Use: "table", Short: "Check, compare and convert tables of organisations, targets and limits"}
	cmd.AddCommand(newTableCheck(), newTablePlan(), newTableConvert(), newTableKey())
	return cmd
}

// readSheet reads the sheet in a file.
func readSheet(file string) (table.Sheet, error) {
	f, err := os.Open(file)
	if err != nil {
		return table.Sheet{}, eris.Wrap(err, "table")
	}
	defer f.Close()
	return table.ReadSheet(file, f)
}

// sheetCSV returns a sheet as CSV.
func sheetCSV(s table.Sheet) ([]byte, error) {
	var out bytes.Buffer
	err := s.WriteCSV(&out)
	return out.Bytes(), eris.Wrap(err, "table")
}

func newTableCheck() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE...",
		Short: "Check tables and print every problem with file, line and column",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			problems := 0
			for _, file := range args {
				problems += checkTable(cmd, file)
			}
			if problems > 0 {
				return eris.Errorf("%d faults", problems)
			}
			return nil
		},
	}
}

// checkTable checks the table in a file. It prints the problems, or a summary of the table if
// there are none, and returns the number of problems.
func checkTable(cmd *cobra.Command, file string) int {
	sheet, err := readSheet(file)
	var t *table.Table
	if err == nil {
		t, err = table.Check(sheet)
	}
	if err != nil {
		cmd.PrintErrln(err)
		return strings.Count(err.Error(), "\n") + 1
	}
	cmd.Printf("%s: version %d, %d organisations, %d models, %d services, %d targets, no fault\n",
		file, t.Version, len(t.Organisations), len(t.Models), len(t.Services), len(t.Targets))
	return 0
}

func newTablePlan() *cobra.Command {
	return &cobra.Command{
		Use:   "plan OLD NEW",
		Short: "Print the rows that differ between two tables",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			before, old, err := readCheckedSheet(args[0])
			if err != nil {
				return err
			}
			after, next, err := readCheckedSheet(args[1])
			if err != nil {
				return err
			}
			changes := table.Plan(before, after)
			for _, c := range changes {
				cmd.Println(c)
			}
			cmd.Printf("%d rows change\n", len(changes))
			if len(changes) > 0 && next.Version <= old.Version {
				return eris.Errorf("%s: version %d is not above %d, so hosts would reject the table", args[1], next.Version, old.Version)
			}
			return nil
		},
	}
}

// readCheckedSheet reads the sheet in a file, and returns it with the table that Check builds
// from it.
func readCheckedSheet(file string) (table.Sheet, *table.Table, error) {
	s, err := readSheet(file)
	if err != nil {
		return s, nil, err
	}
	t, err := table.Check(s)
	return s, t, err
}

func newTableConvert() *cobra.Command {
	return &cobra.Command{
		Use:   "convert FILE",
		Short: "Write a table as CSV, for use in a spreadsheet",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := readSheet(args[0])
			if err != nil {
				return err
			}
			return s.WriteCSV(cmd.OutOrStdout())
		},
	}
}

func newTableKey() *cobra.Command {
	return &cobra.Command{
		Use:   "key",
		Short: "Read a bearer key from standard input and print its hash for the key column",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var key string
			if _, err := fmt.Fscanln(cmd.InOrStdin(), &key); err != nil || key == "" {
				return eris.New("no bearer key on standard input")
			}
			cmd.Println(table.FormatKeyHash(key))
			return nil
		},
	}
}
