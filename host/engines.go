package host

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/event"
	"github.com/wigeonlink/wigeonlink/pause"
	"github.com/wigeonlink/wigeonlink/table"
)

type (
	// A loadPoller reads the load of one engine periodically and passes it to the reducer.
	loadPoller struct {
		host        *Host
		name        string
		bootID      string // boot identifier in the engine's last response; empty before the first one
		unreachable bool   // the last read failed
		leaving     bool   // the engine's last response said that it is about to stop
	}
)

// loadTimeout is the timeout of one read of an engine's load.
const loadTimeout = time.Second

// pollLoads runs a poller for each engine of the current table in this host's failure domain,
// until ctx is done.
func (h *Host) pollLoads(ctx context.Context) {
	stops := map[string]context.CancelFunc{}
	defer func() {
		for _, stop := range stops {
			stop()
		}
	}()
	ticker := time.NewTicker(h.loadInterval)
	defer ticker.Stop()
	for {
		h.syncPollers(ctx, stops)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// syncPollers starts a poller for each engine of the current table that has none, and stops the
// pollers of engines that are no longer in the table. stops holds the function that stops each
// running poller, by the name of its engine.
func (h *Host) syncPollers(ctx context.Context, stops map[string]context.CancelFunc) {
	t := h.Table()
	if t == nil {
		return
	}
	for name, spec := range t.Targets {
		if spec.Kind != table.TargetEngine || stops[name] != nil || !h.inDomain(spec) {
			continue
		}
		pollerCtx, stop := context.WithCancel(ctx)
		stops[name] = stop
		p := &loadPoller{host: h, name: name}
		go p.run(pollerCtx)
	}
	for name, stop := range stops {
		if _, ok := t.Targets[name]; !ok {
			stop()
			delete(stops, name)
		}
	}
}

// inDomain reports whether a target is in this host's failure domain. A host without a domain
// uses all targets.
func (h *Host) inDomain(spec table.Target) bool { return h.domain == "" || spec.Domain == h.domain }

// run reads the load until ctx is done, at intervals between 3/4 and 5/4 of loadInterval. The random
// part spreads the reads of different hosts over time.
func (p *loadPoller) run(ctx context.Context) {
	for ctx.Err() == nil {
		p.poll(ctx)
		jitter := rand.N(p.host.loadInterval/2 + 1)
		pause.For(ctx, 3*p.host.loadInterval/4+jitter)
	}
}

// poll reads the load once. It logs when the engine becomes unreachable or reachable again, starts or
// stops draining, or has rebooted.
func (p *loadPoller) poll(ctx context.Context) {
	e, ok := p.host.Engine(p.name)
	if !ok || !p.host.MaySend(p.host.Table().Targets[p.name]) {
		return
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	load, err := e.Load(ctx)
	if err != nil {
		p.emitOnChange(&p.unreachable, true, event.TargetLost, event.TargetReturned, err.Error())
		return
	}
	load.Age = time.Since(began)
	p.emitOnChange(&p.unreachable, false, event.TargetLost, event.TargetReturned, "")
	p.emitOnChange(&p.leaving, load.Leaving, event.TargetLeaving, event.TargetReturned, "")
	if p.bootID != "" && p.bootID != load.Boot {
		p.host.log.Emit(event.TargetRebooted, event.Fields{Target: p.name, Detail: load.Boot})
	}
	p.bootID = load.Boot
	p.host.Post(dispatch.LoadReport{Target: p.name, Load: load})
}

// emitOnChange sets a state of the engine to now. If this changes the state, it logs the event on
// when the state became true and the event off when it became false.
func (p *loadPoller) emitOnChange(state *bool, now bool, on, off event.Number, detail string) {
	if *state == now {
		return
	}
	*state = now
	n := off
	if now {
		n = on
	}
	p.host.log.Emit(n, event.Fields{Target: p.name, Detail: detail})
}
