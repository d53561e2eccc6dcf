// Package load generates load on entry hosts: calls at random times that don't depend on the
// completion of earlier calls (an open loop), in a mix of streamed generations and charges,
// which are non-idempotent calls of a plain service. It verifies every token of the
// generations and every reported outcome of the charges. Tokens can be verified only if they
// come from stand-in engines, whose output is predictable.
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
	// A Config configures a load run.
	Config struct {
		URLs         []string      // base URLs at which the entry hosts serve callers
		Keys         []string      // bearer keys of the calling organisations
		Model        string        // name of the model to request
		Service      string        // name of the plain service that receives the charges, which are non-idempotent calls
		Rate         float64       // mean number of calls per second
		Duration     time.Duration // period in which calls are started
		Seed         uint64        // seed of the random times, kinds, keys, hosts and lengths
		ShortWeight  float64       // weight of short generations in the mix of calls
		LongWeight   float64       // weight of long generations in the mix of calls
		ChargeWeight float64       // weight of charges in the mix of calls
		Progress     func(Report)  // called every second with the intermediate report, unless nil
	}

	// driver is the state of a load run. mu guards report and charges.
	driver struct {
		config   Config
		client   *http.Client
		mu       sync.Mutex
		report   Report
		charges  []charge       // finished charges, to be audited at the end of the run
		inFlight sync.WaitGroup // calls in flight
	}

	// call is a generation or a charge that a load run requests.
	call struct {
		number    int // position in the run, from 0
		kind      callKind
		key       string // bearer key of the calling organisation
		firstHost int    // index in Config.URLs of the entry host tried first
	}

	callKind uint8
)

const (
	kindShort  callKind = iota // generation of at most maxShortTokens tokens
	kindLong                   // generation of random length with the median medianLongTokens
	kindCharge                 // see charge
)

const (
	maxShortTokens   = 24
	medianLongTokens = 400.0
	callTimeout      = 5 * time.Minute // all connections of a call included
	progressInterval = time.Second
)

// Run starts calls until Config.Duration has passed, waits for the calls in flight, and
// compares the reported outcomes of the charges with the number of times that they ran. It
// returns an error only if the configuration is invalid.
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
	case c.ShortWeight+c.LongWeight+c.ChargeWeight <= 0:
		return eris.New("weights of the mix must add up to more than 0")
	}
	return nil
}

// sendCalls starts calls as a Poisson process, independently of the number of calls in flight.
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
	at := random.Float64() * (c.ShortWeight + c.LongWeight + c.ChargeWeight)
	switch {
	case at < c.ShortWeight:
		return kindShort
	case at < c.ShortWeight+c.LongWeight:
		return kindLong
	}
	return kindCharge
}

func (d *driver) runCall(ctx context.Context, c call, length int) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if c.kind == kindCharge {
		d.runCharge(ctx, c)
		return
	}
	s := &stream{driver: d, call: c, prompt: fmt.Sprintf("call %d [length=%d]", c.number, length)}
	s.run(ctx)
}

// startProgress calls Config.Progress at intervals of progressInterval until stop is called or
// ctx is done.
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

// updateReport calls f with the report and holds mu during the call.
func (d *driver) updateReport(f func(*Report)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(&d.report)
}

// url returns a base URL from Config.URLs. An index past the last URL starts again at the
// first.
func (d *driver) url(index int) string { return d.config.URLs[index%len(d.config.URLs)] }
