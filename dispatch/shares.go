package dispatch

import (
	"math"
	"time"

	"github.com/wigeonlink/wigeonlink/forecast"
	"github.com/wigeonlink/wigeonlink/share"
)

type (
	// A ShareRow compares the share of the service that an organisation is entitled to with the
	// share that it used.
	ShareRow struct {
		Organisation string  `json:"organisation"`
		Promised     float64 `json:"promised"` // organisation's weight divided by the sum of all weights
		Received     float64 `json:"got"`      // fraction of the service used by all organisations that this one used, decayed
		Service      float64 `json:"service"`  // decayed mean of the service used through all hosts, in service units a second
		Inflight     int     `json:"inflight"` // requests in flight at targets through this host
		Held         int     `json:"held"`     // requests held on this host
		Served       int     `json:"served"`   // requests answered in full by this host
		Refused      int     `json:"refused"`  // requests refused by this host
		Tokens       int     `json:"tokens"`   // tokens delivered through this host
	}

	// A TargetRow compares the forecast memory demand on a target with its memory.
	TargetRow struct {
		Target         string        `json:"target"`
		Pool           string        `json:"pool"`
		Domain         string        `json:"domain"`
		AcceptsWork    bool          `json:"open"`     // whether the target accepts new work
		ColdRate       float64       `json:"cold"`     // requests a second that the target gets because it is cold; 0 if it is not
		LocalRequests  int           `json:"own"`      // requests of this host in flight at the target
		Streams        float64       `json:"streams"`  // streams of all hosts on the target, known or inferred
		CurrentMemory  float64       `json:"now"`      // memory demand of the streams at their current length, in tokens
		Peak           float64       `json:"peak"`     // forecast peak of the memory demand, with standard deviations added, in tokens
		Memory         int           `json:"memory"`   // memory of the target, in tokens
		ReportedMemory int           `json:"reported"` // memory in use according to the last load report, in tokens
		Interval       time.Duration `json:"interval"` // expected time between tokens of a stream on the target
		Idle           time.Duration `json:"idle"`     // time between tokens of a stream while the target reads no prompt; 0 if unknown
	}
)

// Shares returns a row for each organisation, sorted by name.
func (r *Reducer) Shares() []ShareRow {
	rows := make([]ShareRow, 0, len(r.organisationList))
	weights, service := 0.0, 0.0
	for _, org := range r.organisationList {
		weights += org.spec.Weight
		service += r.ledger.AverageRate(share.Account{Organisation: org.spec.Name}, r.now)
	}
	for _, org := range r.organisationList {
		rate := r.ledger.AverageRate(share.Account{Organisation: org.spec.Name}, r.now)
		rows = append(rows, ShareRow{
			Organisation: org.spec.Name,
			Promised:     org.spec.Weight / weights,
			Received:     rate / max(service, 1e-9),
			Service:      rate,
			Inflight:     org.inflight,
			Held:         org.heldTotal,
			Served:       org.served,
			Refused:      org.refused,
			Tokens:       org.tokens,
		})
	}
	return rows
}

// Targets returns a row for each target, sorted by pool and name.
func (r *Reducer) Targets() []TargetRow {
	var rows []TargetRow
	for _, p := range r.poolList {
		for _, t := range p.targets {
			d := t.totalDemand(r.now)
			idle, _ := t.pace.speed.Idle()
			var none forecast.Demand
			rows = append(rows, TargetRow{
				Target:         t.spec.Name,
				Pool:           p.name,
				Domain:         t.spec.Domain,
				AcceptsWork:    t.acceptsWork(r.now, r.options.maxLoadAge),
				ColdRate:       t.coldRate,
				LocalRequests:  t.running,
				Streams:        d.Streams,
				CurrentMemory:  d.MeanMemory[0],
				Peak:           d.Peak(&none, r.options.memoryDeviations),
				Memory:         t.spec.Memory,
				ReportedMemory: t.load.UsedTokens,
				Interval:       t.tokenInterval.At(d.Streams),
				Idle:           idle,
			})
		}
	}
	return rows
}

// shareExcess returns how far an organisation with the given normalised rate is over its share of
// the pool, on a scale from 0 (within its share) to 1. It reaches 1 only for the organisation that
// is furthest over its share, if its rate exceeds the fair rate by fullShareExcess or more. It
// falls off steeply for the others; a short burst is then not penalised while another organisation
// floods the pool. It also grows with the age of the organisation's backlog, up to fullBacklogAge.
func (r *Reducer) shareExcess(rate float64, backlog time.Duration, p *pool) float64 {
	fair := r.fairRate(p)
	over := rate/fair - 1
	if over < overShareTolerance {
		return 0
	}
	part := over / max(p.highestNormalisedRate/fair-1, over)
	lasting := min(float64(backlog)/float64(fullBacklogAge), 1)
	return lasting * min(over/fullShareExcess, 1) * math.Pow(part, shareExcessExponent)
}

// fairRate returns the normalised rate of an organisation that uses exactly its share of a pool:
// the sum of the projected rates of the organisations active in the pool divided by the sum of
// their weights, or +Inf if none is active. It also updates highestNormalisedRate
// and activeWeights.
func (r *Reducer) fairRate(p *pool) float64 {
	if p.fairRateAt != 0 && r.now-p.fairRateAt < fairRateInterval {
		return p.fairRate
	}
	sum, weights := 0.0, 0.0
	p.highestNormalisedRate = 0
	for _, org := range r.organisationList {
		use := r.ledger.ProjectedRate(share.Account{Organisation: org.spec.Name, Pool: p.name}, r.now)
		if use > minActiveRate {
			p.highestNormalisedRate = max(p.highestNormalisedRate, r.normalisedRate(org, p))
			sum += use
			weights += r.weight(org, p)
		}
	}
	p.fairRateAt, p.fairRate, p.activeWeights = max(r.now, 1), math.Inf(1), weights
	if weights > 0 {
		p.fairRate = sum / weights
	}
	return p.fairRate
}
