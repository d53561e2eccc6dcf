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

type demoFlags struct {
	span settings.Span
	load float64
	roll bool
	log  logging
}

const (
	mostDemo    = 24 * time.Hour
	rollPause   = 500 * time.Millisecond
	demoMemory  = 20_000 // tokens of an engine
	demoSeed    = 1
	shortWeight = 5
	longWeight  = 2
	plainWeight = 3
)

func newDemo() *cobra.Command {
	f := &demoFlags{span: settings.Span{Most: mostDemo}}
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a small consortium in one process on loopback",
		Long: "Run two failure domains with two entry hosts each, four stand-in engines, a plain\n" +
			"service and a stand-in platform with a sample table, until Ctrl-C.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return f.run(cmd) },
	}
	flags := cmd.Flags()
	flags.Var(&f.span, "for", "end by itself after this long, with a summary; 0 means serve until Ctrl-C")
	flags.Float64Var(&f.load, "load", 0, "calls a second that the demo sends to itself")
	flags.BoolVar(&f.roll, "roll", false, "restart one entry host after the other all the while")
	f.log.add(flags)
	_ = f.log.level.Set("warn")
	return cmd
}

func (f *demoFlags) run(cmd *cobra.Command) error {
	c, err := demo.Start(cmd.Context(), demo.WithLogger(f.log.logger(cmd)), demo.WithSpec(standin.Spec{Memory: demoMemory}))
	if err != nil {
		return err
	}
	defer c.Close()
	out := cmd.OutOrStdout()
	for i := range c.Entries() {
		fmt.Fprintf(out, "caller URL   %s\n", c.Entry(i).CallerURL())
		fmt.Fprintf(out, "operator URL %s\n", c.Entry(i).OperatorURL())
	}
	fmt.Fprintf(out, "curl -N %s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' "+
		"-d '{\"model\":\"%s\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"Hello\"}]}'\n",
		c.Entry(0).CallerURL(), c.Organisations[0].Key, demo.Model)
	ctx := cmd.Context()
	if f.span.Value > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, f.span.Value)
		defer cancel()
	}
	rolled := make(chan int, 1)
	go func() { rolled <- f.rollAll(ctx, c) }()
	if f.load > 0 {
		if err := f.drive(cmd, c); err != nil {
			return err
		}
	}
	<-ctx.Done()
	fmt.Fprintf(out, "restarts             %d\n", <-rolled)
	f.summary(cmd, c)
	return nil
}

// rollAll restarts one entry host after the other until ctx ends.
func (f *demoFlags) rollAll(ctx context.Context, c *demo.Consortium) int {
	restarts := 0
	for i := 0; f.roll; i = (i + 1) % c.Entries() {
		if !pause.For(ctx, rollPause) {
			break
		}
		if err := c.Restart(context.WithoutCancel(ctx), i); err != nil {
			break
		}
		restarts++
	}
	return restarts
}

// drive sends the demo's own load for the whole span.
func (f *demoFlags) drive(cmd *cobra.Command, c *demo.Consortium) error {
	span := f.span.Value
	if span == 0 {
		span = mostDemo
	}
	keys := make([]string, len(c.Organisations))
	for i, m := range c.Organisations {
		keys[i] = m.Key
	}
	report, err := load.Run(cmd.Context(), load.Config{
		URLs:     c.CallerURLs(),
		Keys:     keys,
		Model:    demo.Model,
		Service:  demo.Service,
		Rate:     f.load,
		Duration: span,
		Seed:     demoSeed,
		Short:    shortWeight,
		Long:     longWeight,
		Plain:    plainWeight,
	})
	if err != nil {
		return err
	}
	report.Preemptions = c.Preemptions()
	report.Print(cmd.OutOrStdout())
	return nil
}

func (f *demoFlags) summary(cmd *cobra.Command, c *demo.Consortium) {
	out := cmd.OutOrStdout()
	orders, most := 0, 0
	for _, e := range c.Engines {
		n, m := e.Started()
		orders, most = orders+n, max(most, m)
	}
	fmt.Fprintf(out, "generations started  %d, one at most %d times\n", orders, most)
	fmt.Fprintf(out, "preemptions          %d\n", c.Preemptions())
	fmt.Fprintf(out, "charges run twice    %d\n", len(c.Service.Twice()))
}
