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
	cmd := &cobra.Command{Use: "table", Short: "Check and compare tables of organisations, targets and limits"}
	cmd.AddCommand(newTableCheck(), newTablePlan(), newTableConvert(), newTableKey())
	return cmd
}

func readSheet(file string) (table.Sheet, error) {
	f, err := os.Open(file)
	if err != nil {
		return table.Sheet{}, eris.Wrap(err, "table")
	}
	defer f.Close()
	return table.ReadSheet(file, f)
}

func sheetCSV(s table.Sheet) ([]byte, error) {
	var out bytes.Buffer
	err := s.WriteCSV(&out)
	return out.Bytes(), eris.Wrap(err, "table")
}

func newTableCheck() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE...",
		Short: "Check tables and name every fault by file, row and column",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			faults := 0
			for _, file := range args {
				faults += checkTable(cmd, file)
			}
			if faults > 0 {
				return eris.Errorf("%d faults", faults)
			}
			return nil
		},
	}
}

// checkTable prints the faults of a table and returns their number.
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
		Short: "Show row by row what changes from one table to the next",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			before, old, err := readChecked(args[0])
			if err != nil {
				return err
			}
			after, next, err := readChecked(args[1])
			if err != nil {
				return err
			}
			changes := table.Plan(before, after)
			for _, c := range changes {
				cmd.Println(c)
			}
			cmd.Printf("%d rows change\n", len(changes))
			if len(changes) > 0 && next.Version <= old.Version {
				return eris.Errorf("%s: version %d is not above %d, so no host would take it", args[1], next.Version, old.Version)
			}
			return nil
		},
	}
}

func readChecked(file string) (table.Sheet, *table.Table, error) {
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
		Short: "Write a table as CSV, for a spreadsheet",
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
		Short: "Read a bearer key from standard input and print the cell that holds its hash",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var key string
			if _, err := fmt.Fscanln(cmd.InOrStdin(), &key); err != nil || key == "" {
				return eris.New("a bearer key is wanted on standard input")
			}
			cmd.Println(table.FormatKey(key))
			return nil
		},
	}
}
