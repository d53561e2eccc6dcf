// Package load drives entry hosts with an open-loop mix of calls and checks every
// token and every outcome that it gets. It knows the tokens that the stand-in
// engines generate, so it is for use against those.
package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonlink/wigeonlink/pause"
)

type (
	// A Config says what to send where.
	Config struct {
		URLs     []string // callers' addresses of the entry hosts
		Keys     []string // bearer keys of the organisations that call
		Model    string
		Service  string        // plain service; empty means none
		Rate     float64       // calls a second
		Duration time.Duration // how long calls are begun
		Seed     uint64
		Short    float64 // weights of the mix
		Long     float64
		Plain    float64
		Progress func(Report) // called every second; nil means never
	}

	// driver is one run.
	driver struct {
		config  Config
		client  *http.Client
		mu      sync.Mutex
		report  Report
		charges []charge
		open    sync.WaitGroup
	}

	// call is one call to be made.
	call struct {
		number int
		kind   kind
		key    string
		first  int // place of the entry host tried first
	}

	kind uint8
)

const (
	kindShort kind = iota
	kindLong
	kindPlain
)

const (
	shortTokens   = 24
	longMedian    = 400.0 // tokens
	callTimeout   = 5 * time.Minute
	progressEvery = time.Second
)

// Run sends calls until the configured duration has passed, waits for the open
// ones, and checks the plain calls against what the service says it ran.
func Run(ctx context.Context, c Config) (Report, error) {
	if err := c.check(); err != nil {
		return Report{}, err
	}
	d := &driver{
		config: c,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		report: newReport(),
	}
	started := time.Now()
	stopProgress := d.progress(ctx)
	d.send(ctx)
	d.open.Wait()
	stopProgress()
	d.report.Took = time.Since(started)
	d.audit(ctx)
	return d.report, nil
}

func (c *Config) check() error {
	switch {
	case len(c.URLs) == 0:
		return eris.New("no entry host to call")
	case len(c.Keys) == 0:
		return eris.New("no bearer key")
	case !(c.Rate > 0):
		return eris.New("the rate is not above 0")
	case c.Short+c.Long+c.Plain <= 0:
		return eris.New("the mix is empty")
	}
	return nil
}

// send begins calls at the times of a Poisson process, whatever became of earlier
// ones.
func (d *driver) send(ctx context.Context) {
	random := rand.New(rand.NewPCG(d.config.Seed, 1))
	next := time.Now()
	end := next.Add(d.config.Duration)
	for n := 0; ; n++ {
		next = next.Add(time.Duration(random.ExpFloat64() / d.config.Rate * float64(time.Second)))
		if next.After(end) || !pause.Until(ctx, next) {
			return
		}
		c := call{
			number: n,
			kind:   d.pick(random),
			key:    d.config.Keys[random.IntN(len(d.config.Keys))],
			first:  random.IntN(len(d.config.URLs)),
		}
		length := lengthOf(c.kind, random)
		d.open.Add(1)
		go func() {
			defer d.open.Done()
			d.make(ctx, c, length)
		}()
	}
}

func (d *driver) pick(random *rand.Rand) kind {
	c := d.config
	at := random.Float64() * (c.Short + c.Long + c.Plain)
	switch {
	case at < c.Short:
		return kindShort
	case at < c.Short+c.Long:
		return kindLong
	}
	return kindPlain
}

func (d *driver) make(ctx context.Context, c call, length int) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if c.kind == kindPlain {
		d.charge(ctx, c)
		return
	}
	s := &stream{driver: d, call: c, prompt: fmt.Sprintf("call %d [length=%d]", c.number, length)}
	s.run(ctx)
}

func (d *driver) progress(ctx context.Context) (stop func()) {
	if d.config.Progress == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for pause.For(ctx, progressEvery) {
			d.mu.Lock()
			d.config.Progress(d.report)
			d.mu.Unlock()
		}
	}()
	return func() { cancel(); <-ended }
}

// count changes the report.
func (d *driver) count(f func(*Report)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(&d.report)
}

func (d *driver) url(place int) string { return d.config.URLs[place%len(d.config.URLs)] }
