package dispatch

import (
	"time"

	"github.com/wigeonlink/wigeonlink/forecast"
	"github.com/wigeonlink/wigeonlink/share"
)

type (
	// A ShareRow compares an organisation's promised share with its use.
	ShareRow struct {
		Organisation string  `json:"organisation"`
		Promised     float64 `json:"promised"` // fraction of the service that the organisation's weight entitles it to
		Received     float64 `json:"got"`      // fraction of the service used by all organisations, decayed
		Service      float64 `json:"service"`  // service units a second over all hosts, decayed mean
		Inflight     int     `json:"inflight"` // requests in flight at targets through this host
		Held         int     `json:"held"`     // requests held on this host
		Served       int     `json:"served"`   // requests answered in full by this host
		Refused      int     `json:"refused"`  // requests refused by this host
		Tokens       int     `json:"tokens"`   // tokens generated through this host
	}

	// A TargetRow compares a target's forecast demand with its memory.
	TargetRow struct {
		Target         string        `json:"target"`
		Pool           string        `json:"pool"`
		Domain         string        `json:"domain"`
		AcceptsWork    bool          `json:"open"`     // whether the target accepts new work
		LocalRequests  int           `json:"own"`      // requests of this host in flight at the target
		Streams        float64       `json:"streams"`  // streams of all hosts, known or inferred
		CurrentMemory  float64       `json:"now"`      // current memory demand, in tokens
		Peak           float64       `json:"peak"`     // forecast peak of the memory demand, in tokens
		Memory         int           `json:"memory"`   // memory of the target, in tokens
		ReportedMemory int           `json:"reported"` // memory in use by the last load report, in tokens
		Interval       time.Duration `json:"interval"` // expected time between tokens
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
			var none forecast.Demand
			rows = append(rows, TargetRow{
				Target:         t.spec.Name,
				Pool:           p.name,
				Domain:         t.spec.Domain,
				AcceptsWork:    t.acceptsWork(r.now, r.options.maxLoadAge),
				LocalRequests:  t.running,
				Streams:        d.Streams,
				CurrentMemory:  d.Mean[0],
				Peak:           d.Peak(&none, r.options.deviations),
				Memory:         t.spec.Memory,
				ReportedMemory: t.load.UsedTokens,
				Interval:       t.tokenInterval.At(d.Streams),
			})
		}
	}
	return rows
}
