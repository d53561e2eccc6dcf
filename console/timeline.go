package console

import (
	"encoding/json"
	"time"

	"github.com/spf13/cobra"

	"github.com/wigeonlink/wigeonlink/settings"
	"github.com/wigeonlink/wigeonlink/timeline"
)

func newTimeline() *cobra.Command {
	var f timeline.Filter
	format := settings.Choice{Value: "text", Allowed: []string{"text", "json", "html"}}
	cmd := &cobra.Command{
		Use:   "timeline ADDR...",
		Short: "Merge the event logs of hosts into one timeline",
		Long:  "Reads the events of hosts from their operator addresses (ip:port or URL) and prints them in the order of their timestamps.",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			records, problems := timeline.Collect(cmd.Context(), args)
			for _, p := range problems {
				cmd.PrintErrln(p)
			}
			records = f.Apply(records)
			out := cmd.OutOrStdout()
			switch format.Value {
			case "json":
				return json.NewEncoder(out).Encode(records)
			case "html":
				return timeline.WriteHTML(out, records, time.Now())
			}
			return timeline.WriteText(out, records)
		},
	}
	flags := cmd.Flags()
	flags.Var(&format, "format", "output format; html is a self-contained page")
	flags.StringVar(&f.Request, "request", "", "show only the events of requests whose identifier contains this text")
	flags.StringVar(&f.Ticket, "ticket", "", "show only the events of tickets whose identifier contains this text")
	flags.Uint64Var(&f.TableVersion, "table-version", 0, "show only the events that refer to this table version; 0 means no filter")
	return cmd
}
