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
		config   Config
		client   *http.Client
		mu       sync.Mutex
		report   Report
		charges  []charge
		inFlight sync.WaitGroup
	}

	// call is one call to be made.
	call struct {
		number    int
		kind      callKind
		key       string
		firstHost int // place of the entry host tried first
	}

	callKind uint8
)

const (
	kindShort callKind = iota
	kindLong
	kindPlain
)

const (
	maxShortTokens   = 24
	medianLongTokens = 400.0 // tokens
	callTimeout      = 5 * time.Minute
	progressInterval = time.Second
)

// Run sends calls until the configured duration has passed, waits for the open
// ones, and checks the plain calls against what the service says it ran.
func Run(ctx context.Context, c Config) (Report, error) {
	if err := c.validate(); err != nil {
		return Report{}, err
	}
	d := &driver{
		config: c,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		report: newReport(),
	}
	started := time.Now()
	stopProgress := d.startProgress(ctx)
	d.sendCalls(ctx)
	d.inFlight.Wait()
	stopProgress()
	d.report.Duration = time.Since(started)
	d.auditCharges(ctx)
	return d.report, nil
}

func (c *Config) validate() error {
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

// sendCalls begins calls at the times of a Poisson process, whatever became of earlier
// ones.
func (d *driver) sendCalls(ctx context.Context) {
	random := rand.New(rand.NewPCG(d.config.Seed, 1))
	next := time.Now()
	end := next.Add(d.config.Duration)
	for n := 0; ; n++ {
		next = next.Add(time.Duration(random.ExpFloat64() / d.config.Rate * float64(time.Second)))
		if next.After(end) || !pause.Until(ctx, next) {
			return
		}
		c := call{
			number:    n,
			kind:      d.pickKind(random),
			key:       d.config.Keys[random.IntN(len(d.config.Keys))],
			firstHost: random.IntN(len(d.config.URLs)),
		}
		length := randomLength(c.kind, random)
		d.inFlight.Add(1)
		go func() {
			defer d.inFlight.Done()
			d.runCall(ctx, c, length)
		}()
	}
}

func (d *driver) pickKind(random *rand.Rand) callKind {
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

func (d *driver) runCall(ctx context.Context, c call, length int) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if c.kind == kindPlain {
		d.runCharge(ctx, c)
		return
	}
	s := &stream{driver: d, call: c, prompt: fmt.Sprintf("call %d [length=%d]", c.number, length)}
	s.run(ctx)
}

func (d *driver) startProgress(ctx context.Context) (stop func()) {
	if d.config.Progress == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for pause.For(ctx, progressInterval) {
			d.mu.Lock()
			d.config.Progress(d.report)
			d.mu.Unlock()
		}
	}()
	return func() { cancel(); <-ended }
}

// update changes the report.
func (d *driver) update(f func(*Report)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(&d.report)
}

func (d *driver) url(place int) string { return d.config.URLs[place%len(d.config.URLs)] }
