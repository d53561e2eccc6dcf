package console

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/wigeonlink/wigeonlink/pause"
	"github.com/wigeonlink/wigeonlink/publication"
	"github.com/wigeonlink/wigeonlink/settings"
	"github.com/wigeonlink/wigeonlink/standin"
	"github.com/wigeonlink/wigeonlink/table"
)

// standinFlags are the flags that all stand-in commands share.
type standinFlags struct {
	listen settings.Address
	name   string // name of the stand-in
}

const (
	shutdownTimeout   = 5 * time.Second        // for open requests; also the limit for reading a request header
	tablePollInterval = 250 * time.Millisecond // between checks of the table file's modification time
)

func newStandin() *cobra.Command {
	cmd := &cobra.Command{Use: "standin", Short: "Run a stand-in for an external component"}
	cmd.AddCommand(newStandinEngine(), newStandinService(), newStandinPlatform())
	return cmd
}

// add registers the flags on a command. The default of --listen is the given port on loopback.
func (f *standinFlags) add(cmd *cobra.Command, port uint16, name string) {
	f.listen = settings.Address(netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port))
	cmd.Flags().Var(&f.listen, "listen", "address to listen on")
	cmd.Flags().StringVar(&f.name, "standin-name", name, "name of the stand-in")
}

// serve serves HTTP with the handler until the command's context is done, then shuts the
// server down.
func (f *standinFlags) serve(cmd *cobra.Command, h http.Handler) error {
	s := &http.Server{Addr: f.listen.String(), Handler: h, ReadHeaderTimeout: shutdownTimeout}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		<-cmd.Context().Done()
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = s.Shutdown(ctx)
	}()
	cmd.Printf("listening on %s\n", f.listen.String())
	if err := s.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "listen")
	}
	<-stopped
	return nil
}

func newStandinEngine() *cobra.Command {
	var f standinFlags
	var seed uint64
	var spec standin.Spec
	cmd := &cobra.Command{
		Use:   "engine",
		Short: "Run a stand-in model engine",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if spec.MemoryTokens < 1 {
				return eris.Errorf("--memory %d: at least 1 token is required", spec.MemoryTokens)
			}
			e := standin.NewEngine(f.name, standin.WithSpec(spec), standin.WithSeed(seed))
			go e.Run(cmd.Context())
			return f.serve(cmd, e.Handler())
		},
	}
	f.add(cmd, 9001, "engine")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "random seed of the output lengths")
	cmd.Flags().IntVar(&spec.MemoryTokens, "memory", standin.DefaultMemoryTokens, "cache capacity in tokens")
	return cmd
}

func newStandinService() *cobra.Command {
	var f standinFlags
	cmd := &cobra.Command{
		Use:   "service",
		Short: "Run a stand-in plain service",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return f.serve(cmd, standin.NewService(f.name)) },
	}
	f.add(cmd, 9101, "service")
	return cmd
}

func newStandinPlatform() *cobra.Command {
	var f standinFlags
	cmd := &cobra.Command{
		Use:   "platform TABLE",
		Short: "Run a stand-in configuration service that publishes a table",
		Long:  "Publishes the table in the file TABLE, and publishes it again each time the file changes.",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			p := standin.NewConfigService()
			p.Publish(publication.KeyRoster, []byte(`{"leaving":[]}`))
			if err := publish(p, args[0]); err != nil {
				return err
			}
			go republishOnChange(cmd, p, args[0])
			return f.serve(cmd, p)
		},
	}
	f.add(cmd, 9201, "platform")
	return cmd
}

// publish reads and checks the table in a file and publishes it as CSV.
func publish(p *standin.ConfigService, file string) error {
	sheet, err := readSheet(file)
	if err != nil {
		return err
	}
	if _, err := table.Check(sheet); err != nil {
		return err
	}
	value, err := sheetCSV(sheet)
	if err != nil {
		return err
	}
	p.Publish(publication.KeyTable, value)
	return nil
}

// republishOnChange publishes the table again each time the modification time of the file
// advances, until the command's context is done. If publish fails, for
// example because the table is invalid, republishOnChange prints the error and the last published
// table remains in force.
func republishOnChange(cmd *cobra.Command, p *standin.ConfigService, file string) {
	var last time.Time
	if info, err := os.Stat(file); err == nil {
		last = info.ModTime()
	}
	for pause.For(cmd.Context(), tablePollInterval) {
		info, err := os.Stat(file)
		if err != nil || !info.ModTime().After(last) {
			continue
		}
		last = info.ModTime()
		if err := publish(p, file); err != nil {
			cmd.PrintErrln(err)
			continue
		}
		cmd.Println("published", file)
	}
}
