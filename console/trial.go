package console

import (
	"os"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/wigeonlink/wigeonlink/experiment"
)

// newTrial returns the command that compares policies in virtual time.
func newTrial() *cobra.Command {
	plan := experiment.DefaultPlan()
	var report string
	cmd := &cobra.Command{
		Use:   "trial",
		Short: "Compare ways to place requests on model engines, in virtual time",
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
	set := cmd.Flags()
	set.IntVar(&plan.Hosts, "hosts", plan.Hosts, "hosts")
	set.IntVar(&plan.Engines, "engines", plan.Engines, "engines")
	set.IntVar(&plan.Memory, "memory", plan.Memory, "tokens that an engine has room for")
	set.IntVar(&plan.Prompt, "prompt", plan.Prompt, "mean length of prompts in tokens")
	set.Float64Var(&plan.Median, "median", plan.Median, "median length of outputs in tokens")
	set.Float64SliceVar(&plan.Loads, "loads", plan.Loads, "loads, as parts of what the engines can generate")
	set.IntVar(&plan.Seeds, "seeds", plan.Seeds, "runs of each policy and load, with other luck")
	set.DurationVar(&plan.Span, "span", plan.Span, "virtual time of a run")
	set.DurationVar(&plan.Reclaim, "reclaim", plan.Reclaim, "time between two engines that lose everything, 0 for none")
	set.StringVar(&report, "report", "", "file for a report in HTML")
	return cmd
}

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
