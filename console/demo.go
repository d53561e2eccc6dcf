package console

import (
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/wigeonlink/wigeonlink/demo"
	"github.com/wigeonlink/wigeonlink/load"
	"github.com/wigeonlink/wigeonlink/pause"
	"github.com/wigeonlink/wigeonlink/settings"
	"github.com/wigeonlink/wigeonlink/standin"
)

// demoFlags are the flags of the demo command.
type demoFlags struct {
	duration settings.BoundedDuration
	load     float64 // calls per second; 0 means no calls
	roll     bool    // whether the entry hosts are restarted in turn
	log      logFlags
}

const (
	maxDemoDuration  = 24 * time.Hour
	restartPause     = 500 * time.Millisecond // before each restart of an entry host
	demoMemoryTokens = 20_000                 // cache capacity of each engine, in tokens
	demoSeed         = 1                      // random seed of the calls
	shortWeight      = 5                      // relative share of short generations in the calls
	longWeight       = 2                      // relative share of long generations in the calls
	plainWeight      = 3                      // relative share of calls to the plain service in the calls
)

func newDemo() *cobra.Command {
	f := &demoFlags{duration: settings.BoundedDuration{Maximum: maxDemoDuration}}
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a small system in one process on loopback",
		Long: "Run two failure domains with two entry hosts each, four stand-in engines, a plain\n" +
			"service and a stand-in platform with a sample table, until Ctrl-C.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return f.run(cmd) },
	}
	flags := cmd.Flags()
	flags.Var(&f.duration, "for", "run time, after which the demo stops and prints a summary; 0 means run until Ctrl-C")
	flags.Float64Var(&f.load, "load", 0, "calls per second that the demo sends to its own hosts")
	flags.BoolVar(&f.roll, "roll", false, "restart the entry hosts in turn for the whole run")
	f.log.add(flags)
	_ = f.log.level.Set("warn")
	return cmd
}

func (f *demoFlags) run(cmd *cobra.Command) error {
	c, err := demo.Start(cmd.Context(), demo.WithLogger(f.log.logger(cmd)), demo.WithSpec(standin.Spec{MemoryTokens: demoMemoryTokens}))
	if err != nil {
		return err
	}
	defer c.Close()
	out := cmd.OutOrStdout()
	for i := range c.EntryCount() {
		fmt.Fprintf(out, "caller URL   %s\n", c.Entry(i).CallerURL())
		fmt.Fprintf(out, "operator URL %s\n", c.Entry(i).OperatorURL())
	}
	fmt.Fprintf(out, "curl -N %s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' "+
		"-d '{\"model\":\"%s\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"Hello\"}]}'\n",
		c.Entry(0).CallerURL(), c.Organisations[0].Key, demo.Model)
	ctx := cmd.Context()
	if f.duration.Value > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, f.duration.Value)
		defer cancel()
	}
	restarts := make(chan int, 1)
	go func() { restarts <- f.restartInTurn(ctx, c) }()
	if f.load > 0 {
		if err := f.sendLoad(cmd, c); err != nil {
			return err
		}
	}
	<-ctx.Done()
	fmt.Fprintf(out, "restarts             %d\n", <-restarts)
	f.printSummary(cmd, c)
	return nil
}

// restartInTurn restarts the entry hosts in turn, one at a time, until ctx is done or a restart
// fails, and returns the number of restarts. Without the flag --roll it returns 0 at once.
func (f *demoFlags) restartInTurn(ctx context.Context, c *demo.Deployment) int {
	restarts := 0
	for i := 0; f.roll; i = (i + 1) % c.EntryCount() {
		if !pause.For(ctx, restartPause) {
			break
		}
		if err := c.Restart(context.WithoutCancel(ctx), i); err != nil {
			break
		}
		restarts++
	}
	return restarts
}

// sendLoad sends calls to the demo's own hosts for the duration in --for, or for
// maxDemoDuration if that is 0, and prints the load report.
func (f *demoFlags) sendLoad(cmd *cobra.Command, c *demo.Deployment) error {
	duration := f.duration.Value
	if duration == 0 {
		duration = maxDemoDuration
	}
	keys := make([]string, len(c.Organisations))
	for i, o := range c.Organisations {
		keys[i] = o.Key
	}
	report, err := load.Run(cmd.Context(), load.Config{
		URLs:         c.CallerURLs(),
		Keys:         keys,
		Model:        demo.Model,
		Service:      demo.Service,
		Rate:         f.load,
		Duration:     duration,
		Seed:         demoSeed,
		ShortWeight:  shortWeight,
		LongWeight:   longWeight,
		ChargeWeight: plainWeight,
	})
	if err != nil {
		return err
	}
	report.Preemptions = c.Preemptions()
	report.Print(cmd.OutOrStdout())
	return nil
}

// printSummary prints how many generations the stand-in engines started and preempted, and how
// many charges the stand-in service ran twice.
func (f *demoFlags) printSummary(cmd *cobra.Command, c *demo.Deployment) {
	out := cmd.OutOrStdout()
	started, most := 0, 0
	for _, e := range c.Engines {
		n, m := e.StartCounts()
		started, most = started+n, max(most, m)
	}
	fmt.Fprintf(out, "generations started  %d, one at most %d times\n", started, most)
	fmt.Fprintf(out, "preemptions          %d\n", c.Preemptions())
	fmt.Fprintf(out, "charges run twice    %d\n", len(c.Service.RepeatedReferences()))
}
