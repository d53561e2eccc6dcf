package console

import (
	"context"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/wigeonlink/wigeonlink"
	"github.com/wigeonlink/wigeonlink/credential"
	"github.com/wigeonlink/wigeonlink/settings"
	"github.com/wigeonlink/wigeonlink/ticket"
)

// serveFlags are the flags of the serve command. newServe describes each of them.
type serveFlags struct {
	name     string
	domain   string
	caller   settings.Address
	operator settings.Address
	platform settings.Addresses
	peer     settings.Address
	peers    settings.Addresses
	files    credential.Files
	keys     []string
	drain    settings.BoundedDuration
	body     int64
	log      logFlags
}

const (
	minDrain     = time.Second
	maxDrain     = time.Hour
	maxBodyBytes = 64 << 20 // largest value of --body
)

func newServe() *cobra.Command {
	f := &serveFlags{
		caller:   settings.Address(netip.MustParseAddrPort("127.0.0.1:8080")),
		operator: settings.Address(netip.MustParseAddrPort("127.0.0.1:8081")),
		peer:     settings.Address(netip.MustParseAddrPort("127.0.0.1:8082")),
		drain:    settings.BoundedDuration{Value: wigeonlink.DefaultDrainTimeout, Minimum: minDrain, Maximum: maxDrain},
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
	flags.Var(&f.peer, "peer", "address for the other entry hosts")
	flags.Var(&f.peers, "peers", "addresses of some other entry hosts, to begin with")
	flags.StringVar(&f.files.Certificate, "cert", "", "PEM file of this host's certificate")
	flags.StringVar(&f.files.Key, "cert-key", "", "PEM file of the certificate's key")
	flags.StringVar(&f.files.Authority, "authority", "", "PEM file of the authority of all hosts' certificates")
	flags.StringSliceVar(&f.keys, "keys", nil, "sealing keys, 64 hexadecimal digits each, the current one first")
	flags.Var(&f.drain, "drain", "how long a stop waits for open requests")
	flags.Int64Var(&f.body, "body", 0, "largest request body in bytes (default 1048576)")
	f.log.add(flags)
	return cmd
}

// check returns an error if a required setting is missing, if a value is out of range or if
// settings that are valid one by one cannot be combined.
func (f *serveFlags) check() error {
	switch {
	case f.domain == "":
		return eris.New("--domain is empty: the failure domain of this host is required")
	case len(f.platform) == 0:
		return eris.New("--platform is empty: at least one ip:port is required")
	case len(f.keys) == 0:
		return eris.New("--keys is empty: at least one key of 64 hexadecimal digits is required")
	case f.body < 0 || f.body > maxBodyBytes:
		return eris.Errorf("--body %d: 0 to %d bytes are allowed", f.body, maxBodyBytes)
	}
	if set := f.namedCredentialFiles(); set != 0 && set != credentialFileCount {
		return eris.New("--cert, --cert-key and --authority go together: set all three or none")
	}
	if len(f.peers) > 0 && f.namedCredentialFiles() == 0 {
		return eris.New("--peers needs --cert, --cert-key and --authority")
	}
	if _, err := ticket.ParseKeys(f.keys); err != nil {
		return eris.Errorf("--keys: %v", err)
	}
	return nil
}

// credentialFileCount is the number of credential files of a host.
const credentialFileCount = 3

// namedCredentialFiles returns the number of credential files whose path is set.
func (f *serveFlags) namedCredentialFiles() int {
	n := 0
	for _, name := range []string{f.files.Certificate, f.files.Key, f.files.Authority} {
		if name != "" {
			n++
		}
	}
	return n
}

func (f *serveFlags) run(cmd *cobra.Command) error {
	if err := f.check(); err != nil {
		return err
	}
	s := wigeonlink.Settings{
		Name:            f.name,
		Domain:          f.domain,
		CallerAddress:   netip.AddrPort(f.caller),
		OperatorAddress: netip.AddrPort(f.operator),
		ConfigAddresses: f.platform,
		PeerAddress:     netip.AddrPort(f.peer),
		SeedPeers:       f.peers,
		SealKeys:        f.keys,
		DrainTimeout:    f.drain.Value,
		MaxBodyBytes:    f.body,
	}
	if f.namedCredentialFiles() > 0 {
		var err error
		if s.Credential, err = credential.NewFileSource(f.files); err != nil {
			return err
		}
	}
	e, err := wigeonlink.NewEntry(s, wigeonlink.WithLogger(f.log.logger(cmd)))
	if err != nil {
		return err
	}
	if err := e.Start(cmd.Context()); err != nil {
		return err
	}
	<-cmd.Context().Done()
	// The command's context is already cancelled; --drain limits the stop instead.
	return e.Stop(context.Background())
}
