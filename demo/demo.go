// Package demo runs a small consortium in one process on loopback: two failure
// domains with two entry hosts each, four stand-in engines, a plain service and the
// stand-in platform.
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
	// A Consortium is what the demo runs.
	Consortium struct {
		Organisations []Organisation
		Engines       []*standin.Engine
		Service       *standin.Service
		Platform      *standin.Platform

		mu           sync.Mutex
		entries      []*wigeonlink.Entry
		settings     []wigeonlink.Settings
		entryOptions []wigeonlink.Option
		sheet        table.Sheet
		version      uint64
		servers      []*http.Server
		cancel       context.CancelFunc
	}

	// An Organisation is an organisation of the demo with its bearer key.
	Organisation struct {
		Name        string
		Key         string
		Weight      float64
		TailWeight  float64
		StallWeight float64
	}

	// An Option changes a Consortium before it starts.
	Option interface{ apply(*config) }

	config struct {
		engines          int
		entriesPerDomain int // in each domain
		domains          []string
		spec             standin.Spec
		entryOptions     []wigeonlink.Option
		logger           hclog.Logger
	}

	withSpec   standin.Spec
	withSizes  struct{ engines, entries int }
	withEntry  []wigeonlink.Option
	withLogger struct{ logger hclog.Logger }
)

// The demo's model and service.
const (
	Model   = "assistant"
	Service = "counter"
)

const (
	sealPassphrase          = "demo sealing key, not for use elsewhere"
	defaultEngines          = 4
	defaultEntriesPerDomain = 2
)

// WithSpec sets the sizes of the engines.
func WithSpec(s standin.Spec) Option { return withSpec(s) }

// WithSizes sets how many engines there are and how many entry hosts a domain has.
func WithSizes(engines, entries int) Option { return withSizes{engines, entries} }

// WithEntry passes options to the entry hosts.
func WithEntry(opts ...wigeonlink.Option) Option { return withEntry(opts) }

// WithLogger sets where the entry hosts log.
func WithLogger(l hclog.Logger) Option { return withLogger{l} }

func (o withSpec) apply(p *config)   { p.spec = standin.Spec(o) }
func (o withSizes) apply(p *config)  { p.engines, p.entriesPerDomain = o.engines, o.entries }
func (o withEntry) apply(p *config)  { p.entryOptions = append(p.entryOptions, o...) }
func (o withLogger) apply(p *config) { p.logger = o.logger }

// Start runs a consortium until Close.
func Start(ctx context.Context, opts ...Option) (*Consortium, error) {
	p := &config{engines: defaultEngines, entriesPerDomain: defaultEntriesPerDomain, domains: []string{"north", "south"}, logger: hclog.NewNullLogger()}
	for _, o := range opts {
		o.apply(p)
	}
	c := &Consortium{Organisations: defaultOrganisations(), Platform: standin.NewPlatform(), Service: standin.NewService(Service)}
	life, cancel := context.WithCancel(context.WithoutCancel(ctx))
	c.cancel = cancel
	if err := c.start(ctx, life, p); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func defaultOrganisations() []Organisation {
	return []Organisation{
		{Name: "jalisco", Key: "demo-key-jalisco", Weight: 3, TailWeight: 3, StallWeight: 1},
		{Name: "bokmakierie", Key: "demo-key-bokmakierie", Weight: 2, TailWeight: 1, StallWeight: 3},
		{Name: "tlaquepaque", Key: "demo-key-tlaquepaque", Weight: 1, TailWeight: 1, StallWeight: 1},
	}
}

func (c *Consortium) start(ctx, life context.Context, p *config) error {
	published, err := c.listen(c.Platform)
	if err != nil {
		return err
	}
	if err := c.startTargets(life, p); err != nil {
		return err
	}
	if err := c.Publish(nil); err != nil {
		return err
	}
	c.SetLeaving()
	c.entryOptions = append([]wigeonlink.Option{wigeonlink.WithLogger(p.logger)}, p.entryOptions...)
	issuer, err := credential.NewIssuer()
	if err != nil {
		return err
	}
	for _, domain := range p.domains {
		for i := range p.entriesPerDomain {
			c.settings = append(c.settings, wigeonlink.Settings{
				Name:     fmt.Sprintf("%s-%d", domain, i+1),
				Domain:   domain,
				Caller:   loopbackAddress(),
				Peer:     loopbackAddress(),
				Operator: loopbackAddress(),
				Platform: []netip.AddrPort{published},
				Keys:     []string{fmt.Sprintf("%x", ticket.DeriveKey(sealPassphrase))},
			})
		}
	}
	c.entries = make([]*wigeonlink.Entry, len(c.settings))
	for i := range c.settings {
		s := &c.settings[i]
		if s.Credential, err = issuer.Issue(s.Name); err != nil {
			return err
		}
		if i > 0 {
			s.Peers = []netip.AddrPort{c.settings[0].Peer}
		}
		if err := c.StartEntry(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

func loopbackAddress() netip.AddrPort { return netip.MustParseAddrPort("127.0.0.1:0") }

// startTargets starts the engines and the service, and writes the table's rows.
func (c *Consortium) startTargets(life context.Context, p *config) error {
	c.addRow("model", "name", Model, "version", "1")
	c.addRow("service", "name", Service)
	c.addRow("route", "name", Service, "method", "GET", "path", "/", "idempotent", "yes")
	c.addRow("route", "name", Service, "path", "/charges", "idempotent", "no")
	for _, m := range c.Organisations {
		c.addRow("organisation", "name", m.Name, "weight", fmt.Sprint(m.Weight), "key", table.FormatKey(m.Key),
			"tail", fmt.Sprint(m.TailWeight), "stall", fmt.Sprint(m.StallWeight))
	}
	for i := range p.engines {
		name := fmt.Sprintf("engine-%d", i+1)
		e := standin.NewEngine(name, standin.WithSpec(p.spec), standin.WithSeed(uint64(i)))
		address, err := c.listen(e.Handler())
		if err != nil {
			return err
		}
		go e.Run(life)
		c.Engines = append(c.Engines, e)
		memory := p.spec.Memory
		if memory == 0 {
			memory = standin.DefaultMemory
		}
		c.addRow("engine", "name", name, "model", Model, "domain", p.domains[i%len(p.domains)],
			"address", address.String(), "checks", "yes", "memory", fmt.Sprint(memory))
	}
	for _, domain := range p.domains {
		address, err := c.listen(c.Service)
		if err != nil {
			return err
		}
		c.addRow("host", "name", Service+"-"+domain, "model", Service, "domain", domain, "address", address.String())
	}
	return nil
}

func (c *Consortium) addRow(kind string, cells ...string) {
	l := table.Line{Number: len(c.sheet.Rows) + 1, Cells: map[table.Column]string{table.ColumnKind: kind}}
	for i := 0; i < len(cells); i += 2 {
		l.Cells[table.Column(cells[i])] = cells[i+1]
	}
	c.sheet.Rows = append(c.sheet.Rows, l)
}

func (c *Consortium) listen(h http.Handler) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", loopbackAddress().String())
	if err != nil {
		return netip.AddrPort{}, eris.Wrap(err, "listen")
	}
	s := &http.Server{Handler: h}
	c.servers = append(c.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

// Publish puts the next version of the table on the platform, changed by edit.
func (c *Consortium) Publish(edit func(*table.Sheet)) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if edit != nil {
		edit(&c.sheet)
	}
	c.version++
	s := table.Sheet{Rows: append([]table.Line{{Cells: map[table.Column]string{
		table.ColumnKind:    "table",
		table.ColumnVersion: fmt.Sprint(c.version),
	}}}, c.sheet.Rows...)}
	var out bytes.Buffer
	if err := s.WriteCSV(&out); err != nil {
		return eris.Wrap(err, "publish")
	}
	c.Platform.Publish(publication.KeyTable, out.Bytes())
	return nil
}

// SetLeaving publishes which targets are leaving.
func (c *Consortium) SetLeaving(names ...string) {
	if names == nil {
		names = []string{}
	}
	data, _ := json.Marshal(map[string][]string{"leaving": names})
	c.Platform.Publish(publication.KeyRoster, data)
}

// StartEntry starts the entry host of a place, at the address that it had before.
func (c *Consortium) StartEntry(ctx context.Context, i int) error {
	c.mu.Lock()
	s := c.settings[i]
	c.mu.Unlock()
	if i == 0 && len(c.settings) > 1 && c.settings[1].Peer.Port() != 0 {
		s.Peers = []netip.AddrPort{c.settings[1].Peer}
	}
	e, err := wigeonlink.NewEntry(s, c.entryOptions...)
	if err != nil {
		return err
	}
	if err := e.Start(ctx); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries[i] = e
	c.settings[i].Caller = netip.MustParseAddrPort(e.CallerURL()[len("http://"):])
	c.settings[i].Peer = e.Mesh().Address()
	c.settings[i].Operator = netip.MustParseAddrPort(e.OperatorURL()[len("http://"):])
	return nil
}

// Entry returns the entry host of a place.
func (c *Consortium) Entry(i int) *wigeonlink.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entries[i]
}

// Entries returns the number of places for entry hosts.
func (c *Consortium) Entries() int { return len(c.settings) }

// CallerURLs returns where the entry hosts serve callers.
func (c *Consortium) CallerURLs() []string {
	urls := make([]string, c.Entries())
	for i := range urls {
		urls[i] = c.Entry(i).CallerURL()
	}
	return urls
}

// Close ends everything at once.
func (c *Consortium) Close() {
	for _, e := range c.entries {
		if e != nil {
			e.Kill()
		}
	}
	c.cancel()
	for _, s := range c.servers {
		s.Close()
	}
}

// Restart stops the entry host of a place gracefully and starts it anew.
func (c *Consortium) Restart(ctx context.Context, i int) error {
	if err := c.Entry(i).Stop(ctx); err != nil {
		return err
	}
	return c.StartEntry(ctx, i)
}

// Preemptions returns the preemptions of all engines.
func (c *Consortium) Preemptions() int {
	n := 0
	for _, e := range c.Engines {
		n += e.Counts().Preemptions
	}
	return n
}
