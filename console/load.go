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

type loadFlags struct {
	urls    []string
	keys    []string
	engines settings.Addresses
	config  load.Config
	span    settings.Span
	json    bool
}

func newLoad() *cobra.Command {
	f := &loadFlags{span: settings.Span{Value: 10 * time.Second, Least: time.Second, Most: mostDemo}}
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Drive entry hosts with a mix of calls and check every token",
		Long:  "Drives entry hosts in front of stand-in engines. Exits with an error if anything was lost,\nduplicated, reordered, run twice or falsely called \"not run\".",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return f.run(cmd) },
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&f.urls, "urls", nil, "callers' URLs of the entry hosts")
	flags.StringSliceVar(&f.keys, "bearer", nil, "bearer keys of the organisations that call")
	flags.Var(&f.engines, "engines", "addresses of the engines, to count preemptions")
	flags.StringVar(&f.config.Model, "model", "assistant", "model to ask for")
	flags.StringVar(&f.config.Service, "service", "counter", "plain service to call")
	flags.Float64Var(&f.config.Rate, "rate", 20, "calls a second")
	flags.Var(&f.span, "duration", "how long calls are begun")
	flags.Uint64Var(&f.config.Seed, "load-seed", 1, "seed of the calls")
	flags.Float64Var(&f.config.Short, "short", shortWeight, "weight of short generations in the mix")
	flags.Float64Var(&f.config.Long, "long", longWeight, "weight of long generations in the mix")
	flags.Float64Var(&f.config.Plain, "plain", plainWeight, "weight of plain calls in the mix")
	flags.BoolVar(&f.json, "json", false, "print the report as JSON, and no progress")
	return cmd
}

func (f *loadFlags) run(cmd *cobra.Command) error {
	c := f.config
	c.URLs, c.Keys, c.Duration = f.urls, f.keys, f.span.Value
	if !f.json {
		c.Progress = func(r load.Report) { cmd.PrintErrln(r.Line()) }
	}
	before := preemptions(cmd, f.engines)
	report, err := load.Run(cmd.Context(), c)
	if err != nil {
		return err
	}
	report.Preemptions = preemptions(cmd, f.engines) - before
	if f.json {
		err = json.NewEncoder(cmd.OutOrStdout()).Encode(report)
	} else {
		report.Print(cmd.OutOrStdout())
	}
	if n := report.Faults(); n > 0 && err == nil {
		err = eris.Errorf("%d faults", n)
	}
	return err
}

// preemptions asks engines for their totals. One that does not answer counts as 0.
func preemptions(cmd *cobra.Command, engines []netip.AddrPort) int {
	n := 0
	for _, a := range engines {
		if l, err := target.NewResponses(a).Load(cmd.Context()); err == nil {
			n += l.Preemptions
		}
	}
	return n
}
