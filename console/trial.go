package console

import (
	"os"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/wigeonlink/wigeonlink/experiment"
)

// newTrial returns the command that compares dispatch policies in a simulation.
func newTrial() *cobra.Command {
	plan := experiment.DefaultPlan()
	var report string
	cmd := &cobra.Command{
		Use:   "trial",
		Short: "Compare policies for the choice of an engine by simulation in virtual time",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			rows, err := plan.Run(cmd.Context())
			if err != nil {
				return err
			}
			experiment.WriteTable(cmd.OutOrStdout(), rows)
			if report == "" {
				return nil
			}
			return writeReport(report, &plan, rows)
		},
	}
	flags := cmd.Flags()
	flags.IntVar(&plan.Hosts, "hosts", plan.Hosts, "hosts")
	flags.IntVar(&plan.Engines, "engines", plan.Engines, "engines")
	flags.IntVar(&plan.Memory, "memory", plan.Memory, "cache capacity of an engine in tokens")
	flags.IntVar(&plan.Prompt, "prompt", plan.Prompt, "mean prompt length in tokens")
	flags.Float64Var(&plan.Median, "median", plan.Median, "median output length in tokens")
	flags.Float64SliceVar(&plan.Loads, "loads", plan.Loads, "loads, as fractions of the engines' generation capacity")
	flags.IntVar(&plan.Seeds, "seeds", plan.Seeds, "number of runs per policy and load, each with its own random seed")
	flags.DurationVar(&plan.Span, "span", plan.Span, "duration of a run in virtual time")
	flags.DurationVar(&plan.Reclaim, "reclaim", plan.Reclaim, "interval at which an engine loses all its state; 0 means never")
	flags.StringVar(&report, "report", "", "path of an HTML report to write")
	return cmd
}

// writeReport writes the HTML report of a trial to a file.
func writeReport(path string, plan *experiment.Plan, rows []experiment.Row) error {
	f, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "report")
	}
	if err := experiment.WriteReport(f, plan, rows); err != nil {
		f.Close()
		return err
	}
	return eris.Wrap(f.Close(), "report")
}
