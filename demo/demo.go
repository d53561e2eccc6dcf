// Package demo runs a small deployment in one process on the loopback interface, for tests and
// demonstrations. By default it has two failure domains of two entry hosts each, four stand-in
// engines, a stand-in plain service and a stand-in configuration service.
package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/wigeonlink/wigeonlink"
	"github.com/wigeonlink/wigeonlink/credential"
	"github.com/wigeonlink/wigeonlink/publication"
	"github.com/wigeonlink/wigeonlink/standin"
	"github.com/wigeonlink/wigeonlink/table"
	"github.com/wigeonlink/wigeonlink/ticket"
)

type (
	// A Deployment is a deployment that runs in this process and serves several organisations.
	// mu guards entries, entrySettings, sheet and version.
	Deployment struct {
		Organisations []Organisation
		Engines       []*standin.Engine
		Service       *standin.Service
		ConfigService *standin.ConfigService

		mu            sync.Mutex
		entries       []*wigeonlink.Entry   // nil until started
		entrySettings []wigeonlink.Settings // by the index of the entry; with its addresses once it has started
		entryOptions  []wigeonlink.Option   // of every entry
		sheet         table.Sheet           // rows of the configuration table, without its version row
		version       uint64                // version of the last table published
		servers       []*http.Server        // of engines, service and configuration service
		cancel        context.CancelFunc    // stops the engines
	}

	// An Organisation is an organisation that may call the entry hosts of a Deployment.
	Organisation struct {
		Name        string
		Key         string  // bearer key
		Weight      float64 // weight of the organisation in the division of the capacity
		TailWeight  float64 // weight of tail latency when targets are chosen
		StallWeight float64 // weight of stall time when targets are chosen
	}

	// An Option configures a Deployment.
	Option interface{ apply(*config) }

	// config holds the options of a Deployment.
	config struct {
		engines          int          // number of engines
		entriesPerDomain int          // number of entry hosts per failure domain
		domains          []string     // names of the failure domains
		spec             standin.Spec // capacity and step times of each engine
		entryOptions     []wigeonlink.Option
		logger           hclog.Logger
	}

	withSpec           standin.Spec
	withDeploymentSize struct{ engines, entries int }
	withEntryOptions   []wigeonlink.Option
	withLogger         struct{ logger hclog.Logger }
)

// Names of the model and of the plain service in the configuration table.
const (
	Model   = "assistant"
	Service = "counter"
)

const (
	sealPassphrase          = "demo sealing key, not for use elsewhere"
	defaultEngines          = 4
	defaultEntriesPerDomain = 2
)

// WithSpec sets the capacity and the step times of each engine.
func WithSpec(s standin.Spec) Option { return withSpec(s) }

// WithDeploymentSize sets the number of engines and the number of entry hosts per failure
// domain.
func WithDeploymentSize(engines, entries int) Option { return withDeploymentSize{engines, entries} }

// WithEntryOptions passes options to every entry host.
func WithEntryOptions(opts ...wigeonlink.Option) Option { return withEntryOptions(opts) }

// WithLogger sets the logger of the entry hosts. By default nothing is logged.
func WithLogger(l hclog.Logger) Option { return withLogger{l} }

func (o withSpec) apply(cfg *config) { cfg.spec = standin.Spec(o) }
func (o withDeploymentSize) apply(cfg *config) {
	cfg.engines, cfg.entriesPerDomain = o.engines, o.entries
}
func (o withEntryOptions) apply(cfg *config) { cfg.entryOptions = append(cfg.entryOptions, o...) }
func (o withLogger) apply(cfg *config)       { cfg.logger = o.logger }

// Start starts a deployment, which runs until Close. The cancellation of ctx stops only the
// start, not a started deployment.
func Start(ctx context.Context, opts ...Option) (*Deployment, error) {
	cfg := &config{engines: defaultEngines, entriesPerDomain: defaultEntriesPerDomain, domains: []string{"north", "south"}, logger: hclog.NewNullLogger()}
	for _, o := range opts {
		o.apply(cfg)
	}
	d := &Deployment{Organisations: defaultOrganisations(), ConfigService: standin.NewConfigService(), Service: standin.NewService(Service)}
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	d.cancel = cancel
	if err := d.start(ctx, runCtx, cfg); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func defaultOrganisations() []Organisation {
	return []Organisation{
		{Name: "jalisco", Key: "demo-key-jalisco", Weight: 3, TailWeight: 3, StallWeight: 1},
		{Name: "bokmakierie", Key: "demo-key-bokmakierie", Weight: 2, TailWeight: 1, StallWeight: 3},
		{Name: "tlaquepaque", Key: "demo-key-tlaquepaque", Weight: 1, TailWeight: 1, StallWeight: 1},
	}
}

func (d *Deployment) start(ctx, runCtx context.Context, cfg *config) error {
	configService, err := d.listen(d.ConfigService)
	if err != nil {
		return err
	}
	if err := d.startTargets(runCtx, cfg); err != nil {
		return err
	}
	if err := d.Publish(nil); err != nil {
		return err
	}
	d.SetLeaving()
	d.entryOptions = append([]wigeonlink.Option{wigeonlink.WithLogger(cfg.logger)}, cfg.entryOptions...)
	issuer, err := credential.NewIssuer()
	if err != nil {
		return err
	}
	for _, domain := range cfg.domains {
		for i := range cfg.entriesPerDomain {
			d.entrySettings = append(d.entrySettings, wigeonlink.Settings{
				Name:            fmt.Sprintf("%s-%d", domain, i+1),
				Domain:          domain,
				CallerAddress:   loopbackAddress(),
				PeerAddress:     loopbackAddress(),
				OperatorAddress: loopbackAddress(),
				ConfigAddresses: []netip.AddrPort{configService},
				SealKeys:        []string{fmt.Sprintf("%x", ticket.DeriveKey(sealPassphrase))},
			})
		}
	}
	d.entries = make([]*wigeonlink.Entry, len(d.entrySettings))
	for i := range d.entrySettings {
		s := &d.entrySettings[i]
		if s.Credential, err = issuer.Issue(s.Name); err != nil {
			return err
		}
		if i > 0 {
			s.SeedPeers = []netip.AddrPort{d.entrySettings[0].PeerAddress}
		}
		if err := d.StartEntry(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

func loopbackAddress() netip.AddrPort { return netip.MustParseAddrPort("127.0.0.1:0") }

// startTargets starts the engines and the plain service, and adds the rows of the configuration
// table for them, the model, the routes and the organisations. The engines run until runCtx is
// done.
func (d *Deployment) startTargets(runCtx context.Context, cfg *config) error {
	d.addRow("model", "name", Model, "version", "1")
	d.addRow("service", "name", Service)
	d.addRow("route", "name", Service, "method", "GET", "path", "/", "idempotent", "yes")
	d.addRow("route", "name", Service, "path", "/charges", "idempotent", "no")
	for _, o := range d.Organisations {
		d.addRow("organisation", "name", o.Name, "weight", fmt.Sprint(o.Weight), "key", table.FormatKeyHash(o.Key),
			"tail", fmt.Sprint(o.TailWeight), "stall", fmt.Sprint(o.StallWeight))
	}
	for i := range cfg.engines {
		name := fmt.Sprintf("engine-%d", i+1)
		e := standin.NewEngine(name, standin.WithSpec(cfg.spec), standin.WithSeed(uint64(i)))
		address, err := d.listen(e.Handler())
		if err != nil {
			return err
		}
		go e.Run(runCtx)
		d.Engines = append(d.Engines, e)
		memory := cfg.spec.MemoryTokens
		if memory == 0 {
			memory = standin.DefaultMemoryTokens
		}
		d.addRow("engine", "name", name, "model", Model, "domain", cfg.domains[i%len(cfg.domains)],
			"address", address.String(), "checks", "yes", "memory", fmt.Sprint(memory))
	}
	for _, domain := range cfg.domains {
		address, err := d.listen(d.Service)
		if err != nil {
			return err
		}
		d.addRow("host", "name", Service+"-"+domain, "model", Service, "domain", domain, "address", address.String())
	}
	return nil
}

// addRow adds a row to the configuration table. cells alternates column names and values.
func (d *Deployment) addRow(kind string, cells ...string) {
	row := table.Row{Line: len(d.sheet.Rows) + 1, Cells: map[table.Column]string{table.ColumnKind: kind}}
	for i := 0; i < len(cells); i += 2 {
		row.Cells[table.Column(cells[i])] = cells[i+1]
	}
	d.sheet.Rows = append(d.sheet.Rows, row)
}

// listen serves h on a free loopback port until Close, and returns the address.
func (d *Deployment) listen(h http.Handler) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", loopbackAddress().String())
	if err != nil {
		return netip.AddrPort{}, eris.Wrap(err, "listen")
	}
	s := &http.Server{Handler: h}
	d.servers = append(d.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

// Publish applies edit, unless it is nil, to the rows of the configuration table, and publishes
// the rows as the next version of the table.
func (d *Deployment) Publish(edit func(*table.Sheet)) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if edit != nil {
		edit(&d.sheet)
	}
	d.version++
	s := table.Sheet{Rows: append([]table.Row{{Cells: map[table.Column]string{
		table.ColumnKind:    "table",
		table.ColumnVersion: fmt.Sprint(d.version),
	}}}, d.sheet.Rows...)}
	var out bytes.Buffer
	if err := s.WriteCSV(&out); err != nil {
		return eris.Wrap(err, "publish")
	}
	d.ConfigService.Publish(publication.KeyTable, out.Bytes())
	return nil
}

// SetLeaving publishes the names of the targets that are draining. It replaces the names
// published before.
func (d *Deployment) SetLeaving(names ...string) {
	if names == nil {
		names = []string{}
	}
	data, _ := json.Marshal(map[string][]string{"leaving": names})
	d.ConfigService.Publish(publication.KeyRoster, data)
}

// StartEntry starts the entry host with index i. If it has run before, it listens on the same
// addresses as then.
func (d *Deployment) StartEntry(ctx context.Context, i int) error {
	d.mu.Lock()
	s := d.entrySettings[i]
	d.mu.Unlock()
	if i == 0 && len(d.entrySettings) > 1 && d.entrySettings[1].PeerAddress.Port() != 0 {
		s.SeedPeers = []netip.AddrPort{d.entrySettings[1].PeerAddress}
	}
	e, err := wigeonlink.NewEntry(s, d.entryOptions...)
	if err != nil {
		return err
	}
	if err := e.Start(ctx); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entries[i] = e
	d.entrySettings[i].CallerAddress = netip.MustParseAddrPort(e.CallerURL()[len("http://"):])
	d.entrySettings[i].PeerAddress = e.Mesh().Address()
	d.entrySettings[i].OperatorAddress = netip.MustParseAddrPort(e.OperatorURL()[len("http://"):])
	return nil
}

// Entry returns the entry host with index i.
func (d *Deployment) Entry(i int) *wigeonlink.Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.entries[i]
}

// EntryCount returns the number of entry hosts.
func (d *Deployment) EntryCount() int { return len(d.entrySettings) }

// CallerURLs returns the base URLs at which the entry hosts serve callers.
func (d *Deployment) CallerURLs() []string {
	urls := make([]string, d.EntryCount())
	for i := range urls {
		urls[i] = d.Entry(i).CallerURL()
	}
	return urls
}

// Close stops all entry hosts, engines and services at once, without draining.
func (d *Deployment) Close() {
	for _, e := range d.entries {
		if e != nil {
			e.Kill()
		}
	}
	d.cancel()
	for _, s := range d.servers {
		s.Close()
	}
}

// Restart drains and stops the entry host with index i and starts it again.
func (d *Deployment) Restart(ctx context.Context, i int) error {
	if err := d.Entry(i).Stop(ctx); err != nil {
		return err
	}
	return d.StartEntry(ctx, i)
}

// Preemptions returns the number of preemptions on all engines, each since its last boot.
func (d *Deployment) Preemptions() int {
	n := 0
	for _, e := range d.Engines {
		n += e.Counts().Preemptions
	}
	return n
}
