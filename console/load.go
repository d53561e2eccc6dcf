package console

import (
	"encoding/json"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/wigeonlink/wigeonlink/load"
	"github.com/wigeonlink/wigeonlink/settings"
	"github.com/wigeonlink/wigeonlink/target"
)

// loadFlags are the flags of the load command.
type loadFlags struct {
	urls     []string // caller URLs of the entry hosts
	keys     []string // bearer keys of the calling organisations
	engines  settings.Addresses
	config   load.Config
	duration settings.BoundedDuration
	json     bool // whether the report is printed as JSON
}

func newLoad() *cobra.Command {
	f := &loadFlags{duration: settings.BoundedDuration{Value: 10 * time.Second, Minimum: time.Second, Maximum: maxDemoDuration}}
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Send a mix of calls to entry hosts and check every token",
		Long:  "Sends calls to entry hosts in front of stand-in engines. Exits with an error if a token was lost,\nduplicated or reordered, if a call was run twice, or if a call that ran was reported as \"not run\".",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return f.run(cmd) },
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&f.urls, "urls", nil, "caller URLs of the entry hosts")
	flags.StringSliceVar(&f.keys, "bearer", nil, "bearer keys of the calling organisations")
	flags.Var(&f.engines, "engines", "addresses of the engines whose preemptions are counted")
	flags.StringVar(&f.config.Model, "model", "assistant", "model of the generation requests")
	flags.StringVar(&f.config.Service, "service", "counter", "name of the plain service to call")
	flags.Float64Var(&f.config.Rate, "rate", 20, "calls per second")
	flags.Var(&f.duration, "duration", "period in which new calls are started")
	flags.Uint64Var(&f.config.Seed, "load-seed", 1, "random seed of the calls")
	flags.Float64Var(&f.config.ShortWeight, "short", shortWeight, "weight of short generations in the mix")
	flags.Float64Var(&f.config.LongWeight, "long", longWeight, "weight of long generations in the mix")
	flags.Float64Var(&f.config.ChargeWeight, "plain", plainWeight, "weight of plain calls in the mix")
	flags.BoolVar(&f.json, "json", false, "print the report as JSON, without progress lines")
	return cmd
}

func (f *loadFlags) run(cmd *cobra.Command) error {
	c := f.config
	c.URLs, c.Keys, c.Duration = f.urls, f.keys, f.duration.Value
	if !f.json {
		c.Progress = func(r load.Report) { cmd.PrintErrln(r.Summary()) }
	}
	before := totalPreemptions(cmd, f.engines)
	report, err := load.Run(cmd.Context(), c)
	if err != nil {
		return err
	}
	report.Preemptions = totalPreemptions(cmd, f.engines) - before
	if f.json {
		err = json.NewEncoder(cmd.OutOrStdout()).Encode(report)
	} else {
		report.Print(cmd.OutOrStdout())
	}
	if n := report.Violations(); n > 0 && err == nil {
		err = eris.Errorf("%d faults", n)
	}
	return err
}

// totalPreemptions returns the sum of the engines' preemption counters. An engine whose
// load report cannot be fetched counts as 0.
func totalPreemptions(cmd *cobra.Command, engines []netip.AddrPort) int {
	n := 0
	for _, a := range engines {
		if l, err := target.NewResponsesEngine(a).Load(cmd.Context()); err == nil {
			n += l.Preemptions
		}
	}
	return n
}
