package console

import (
	"context"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/wigeonlink/wigeonlink"
	"github.com/wigeonlink/wigeonlink/settings"
	"github.com/wigeonlink/wigeonlink/ticket"
)

// serveFlags are the settings of an entry daemon.
type serveFlags struct {
	name     string
	domain   string
	caller   settings.Address
	operator settings.Address
	platform settings.Addresses
	keys     []string
	drain    settings.Span
	body     int64
	log      logging
}

const (
	startTimeout = 15 * time.Second
	leastDrain   = time.Second
	mostDrain    = time.Hour
	mostBody     = 64 << 20 // bytes
)

func newServe() *cobra.Command {
	f := &serveFlags{
		caller:   settings.Address(netip.MustParseAddrPort("127.0.0.1:8080")),
		operator: settings.Address(netip.MustParseAddrPort("127.0.0.1:8081")),
		drain:    settings.Span{Value: wigeonlink.DefaultDrain, Least: leastDrain, Most: mostDrain},
	}
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "Run an entry host",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return f.run(cmd) },
	}
	flags := cmd.Flags()
	flags.StringVar(&f.name, "name", "", "name of this host (default: its callers' address)")
	flags.StringVar(&f.domain, "domain", "", "failure domain of this host")
	flags.Var(&f.caller, "caller", "address for callers")
	flags.Var(&f.operator, "operator", "address for operators")
	flags.Var(&f.platform, "platform", "addresses of the configuration service")
	flags.StringSliceVar(&f.keys, "keys", nil, "sealing keys, 64 hexadecimal digits each, the current one first")
	flags.Var(&f.drain, "drain", "how long a stop waits for open requests")
	flags.Int64Var(&f.body, "body", 0, "largest request body in bytes (default 1048576)")
	f.log.add(flags)
	return cmd
}

// check refuses settings that flags alone cannot.
func (f *serveFlags) check() error {
	switch {
	case f.domain == "":
		return eris.New("--domain is empty: the name of this host's failure domain is wanted")
	case len(f.platform) == 0:
		return eris.New("--platform is empty: at least one ip:port is wanted")
	case len(f.keys) == 0:
		return eris.New("--keys is empty: at least one key of 64 hexadecimal digits is wanted")
	case f.body < 0 || f.body > mostBody:
		return eris.Errorf("--body %d: 0 to %d bytes are allowed", f.body, mostBody)
	}
	if _, err := ticket.ParseKeys(f.keys); err != nil {
		return eris.Errorf("--keys: %v", err)
	}
	return nil
}

func (f *serveFlags) run(cmd *cobra.Command) error {
	if err := f.check(); err != nil {
		return err
	}
	e, err := wigeonlink.NewEntry(wigeonlink.Settings{
		Name:     f.name,
		Domain:   f.domain,
		Caller:   netip.AddrPort(f.caller),
		Operator: netip.AddrPort(f.operator),
		Platform: f.platform,
		Keys:     f.keys,
		Drain:    f.drain.Value,
		Body:     f.body,
	}, wigeonlink.WithLogger(f.log.logger(cmd)))
	if err != nil {
		return err
	}
	starting, cancel := context.WithTimeout(cmd.Context(), startTimeout)
	defer cancel()
	if err := e.Start(starting); err != nil {
		return err
	}
	<-cmd.Context().Done()
	// The signal has ended the command's context; the stop has its own time.
	return e.Stop(context.Background())
}
