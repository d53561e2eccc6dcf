// Package console is the command line: one file for each command.
package console

import (
	"github.com/hashicorp/go-hclog"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/wigeonlink/wigeonlink"
	"github.com/wigeonlink/wigeonlink/platform"
	"github.com/wigeonlink/wigeonlink/settings"
)

// NewRoot returns the program's command with all its subcommands.
func NewRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "wigeonlink",
		Short:         "Serves generations of unknown length on crowded engines",
		SilenceUsage:  true,
		SilenceErrors: true,
		Version:       wigeonlink.Version,
	}
	root.AddCommand(newServe(), platform.NewCommand(), newDemo(), newStandin(), newTable(), newLoad(), newTimeline(), newTrial(), newVersion())
	root.PersistentPreRunE = func(cmd *cobra.Command, _ []string) error {
		known := variables(root)
		return settings.FromEnvironment(cmd.Flags(), func(name string) bool { return known[name] })
	}
	return root
}

// variables returns the environment variables of all commands.
func variables(root *cobra.Command) map[string]bool {
	known := map[string]bool{}
	var walk func(*cobra.Command)
	walk = func(c *cobra.Command) {
		if name := c.Annotations[settings.Known]; name != "" {
			known[name] = true
		}
		c.LocalFlags().VisitAll(func(f *pflag.Flag) { known[settings.Variable(f.Name)] = true })
		for _, sub := range c.Commands() {
			walk(sub)
		}
	}
	walk(root)
	return known
}

// logging is the flags that choose what is logged and how.
type logging struct {
	level settings.Choice
	json  bool
}

func (l *logging) add(flags *pflag.FlagSet) {
	l.level = settings.Choice{Value: "info", Allowed: []string{"debug", "info", "warn", "error", "off"}}
	flags.Var(&l.level, "log-level", "least level that is logged")
	flags.BoolVar(&l.json, "log-json", false, "log in JSON")
}

func (l *logging) logger(cmd *cobra.Command) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:       "wigeonlink",
		Level:      hclog.LevelFromString(l.level.Value),
		JSONFormat: l.json,
		Output:     cmd.ErrOrStderr(),
	})
}

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run:   func(cmd *cobra.Command, _ []string) { cmd.Println("wigeonlink", wigeonlink.Version) },
	}
}
