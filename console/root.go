// Package console implements the commands of the program, with one file per command.
package console

import (
	"github.com/hashicorp/go-hclog"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/wigeonlink/wigeonlink"
	"github.com/wigeonlink/wigeonlink/platform"
	"github.com/wigeonlink/wigeonlink/settings"
)

// NewRoot returns the root command with all subcommands.
func NewRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "wigeonlink",
		Short:         "Distributes generation requests over model engines with limited memory",
		SilenceUsage:  true,
		SilenceErrors: true,
		Version:       wigeonlink.Version,
	}
	root.AddCommand(newServe(), platform.NewCommand(), platform.NewConfigCommand(), newDemo(), newStandin(), newTable(), newLoad(), newTimeline(), newTrial(), newVersion())
	root.PersistentPreRunE = func(cmd *cobra.Command, _ []string) error {
		known := environmentVariables(root)
		return settings.FromEnvironment(cmd.Flags(), func(name string) bool { return known[name] })
	}
	return root
}

// environmentVariables returns the set of environment variables that any command reads.
func environmentVariables(root *cobra.Command) map[string]bool {
	known := map[string]bool{}
	var walk func(*cobra.Command)
	walk = func(c *cobra.Command) {
		if name := c.Annotations[settings.VariableAnnotation]; name != "" {
			known[name] = true
		}
		c.LocalFlags().VisitAll(func(f *pflag.Flag) { known[settings.EnvironmentVariable(f.Name)] = true })
		for _, sub := range c.Commands() {
			walk(sub)
		}
	}
	walk(root)
	return known
}

// logFlags are the flags for the log level and the log format, for commands that log.
type logFlags struct {
	level settings.Choice
	json  bool
}

// add registers the flags with their defaults.
func (l *logFlags) add(flags *pflag.FlagSet) {
	l.level = settings.Choice{Value: "info", Allowed: []string{"debug", "info", "warn", "error", "off"}}
	flags.Var(&l.level, "log-level", "least level that is logged")
	flags.BoolVar(&l.json, "log-json", false, "log in JSON")
}

// logger returns a logger that writes to the error output of the command.
func (l *logFlags) logger(cmd *cobra.Command) hclog.Logger {
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
