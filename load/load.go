// Package load generates an open-loop mix of calls to entry hosts and verifies every
// token and every reported outcome. It can verify only the tokens of stand-in engines,
// whose text is predictable.
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
	// A Config configures a run.
	Config struct {
		URLs        []string      // base URLs at which the entry hosts serve callers
		Keys        []string      // bearer keys of the calling organisations
		Model       string        // model of the generations
		Service     string        // plain service of the charges
		Rate        float64       // mean number of calls per second
		Duration    time.Duration // how long new calls are started
		Seed        uint64
		ShortWeight float64      // weight of short generations in the mix
		LongWeight  float64      // weight of long generations
		PlainWeight float64      // weight of charges
		Progress    func(Report) // called every second with the report so far; nil means never
	}

	// driver is the state of one run. mu guards report and charges.
	driver struct {
		config   Config
		client   *http.Client
		mu       sync.Mutex
		report   Report
		charges  []charge
		inFlight sync.WaitGroup
	}

	// call is one call to make.
	call struct {
		number    int
		kind      callKind
		key       string
		firstHost int // index in Config.URLs of the entry host tried first
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
	medianLongTokens = 400.0
	callTimeout      = 5 * time.Minute
	progressInterval = time.Second
)

// Run starts calls until the configured duration has passed, waits for those in flight,
// and compares the outcomes of the charges with the run counts of the service.
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
		return eris.New("load configuration names no entry host")
	case len(c.Keys) == 0:
		return eris.New("load configuration has no bearer key")
	case !(c.Rate > 0):
		return eris.New("rate of calls must be positive")
	case c.ShortWeight+c.LongWeight+c.PlainWeight <= 0:
		return eris.New("weights of the mix must add up to more than 0")
	}
	return nil
}

// sendCalls starts calls as a Poisson process, regardless of how many are in flight.
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
	at := random.Float64() * (c.ShortWeight + c.LongWeight + c.PlainWeight)
	switch {
	case at < c.ShortWeight:
		return kindShort
	case at < c.ShortWeight+c.LongWeight:
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

// update calls f with the report while it holds mu.
func (d *driver) update(f func(*Report)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(&d.report)
}

func (d *driver) url(index int) string { return d.config.URLs[index%len(d.config.URLs)] }
