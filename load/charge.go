package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/standin"
)

type (
	// charge is one call that is not idempotent, with the outcome that its response
	// reported.
	charge struct {
		reference string
		key       string
		outcome   outcome
	}

	// outcome is the reported outcome of a charge.
	outcome uint8
)

const (
	outcomeRan outcome = iota
	outcomeNotRun
	outcomeUnknown
)

// runCharge makes one call that is not idempotent and counts its outcome.
func (d *driver) runCharge(ctx context.Context, c call) {
	ref := fmt.Sprintf("ref-%d-%d-%d", d.config.Seed, time.Now().UnixNano(), c.number)
	d.update(func(r *Report) { r.Charges++ })
	reported := d.postCharge(ctx, c, ref)
	d.update(func(r *Report) {
		switch reported {
		case outcomeRan:
			r.Ran++
		case outcomeNotRun:
			r.NotRun++
		default:
			r.Unknown++
		}
		d.charges = append(d.charges, charge{ref, c.key, reported})
	})
}

// postCharge sends the call to the first reachable host. If a connection can't be
// established, no request was sent, and the next host is tried, as a load balancer would.
// A call that fails later may have run and is not retried.
func (d *driver) postCharge(ctx context.Context, c call, ref string) outcome {
	for offset := range d.config.URLs {
		resp, err := d.sendCharge(ctx, c, c.firstHost+offset, ref)
		var failed *net.OpError
		if errors.As(err, &failed) && failed.Op == "dial" {
			continue
		}
		if err != nil {
			return outcomeUnknown
		}
		return outcomeOf(resp)
	}
	return outcomeNotRun
}

func (d *driver) sendCharge(ctx context.Context, c call, index int, ref string) (*http.Response, error) {
	url := d.url(index) + "/v1/services/" + d.config.Service + "/charges"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(`{"amount":1}`))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set(standin.HeaderReference, ref)
	return d.client.Do(req)
}

// outcomeOf returns the outcome that a response reports in its header.
func outcomeOf(resp *http.Response) outcome {
	defer resp.Body.Close()
	switch resp.Header.Get(answer.HeaderOutcome) {
	case "whole":
		return outcomeRan
	case answer.NotRun.String():
		return outcomeNotRun
	}
	return outcomeUnknown
}

// auditCharges compares the reported outcome of each charge with the number of its runs
// at the service.
func (d *driver) auditCharges(ctx context.Context) {
	for _, c := range d.charges {
		ran, err := d.runCount(ctx, c)
		if err != nil {
			d.report.Unaudited++
			continue
		}
		if ran > 1 {
			d.report.RanTwice++
		}
		if c.outcome == outcomeNotRun && ran > 0 {
			d.report.FalseNotRun++
		}
		if c.outcome == outcomeRan && ran == 0 {
			d.report.FalseRan++
		}
	}
}

func (d *driver) runCount(ctx context.Context, c charge) (int, error) {
	var err error
	for index := range d.config.URLs {
		var n int
		if n, err = d.fetchRunCount(ctx, c, index); err == nil {
			return n, nil
		}
	}
	return 0, err
}

func (d *driver) fetchRunCount(ctx context.Context, c charge, index int) (int, error) {
	url := d.url(index) + "/v1/services/" + d.config.Service + "/ran/" + c.reference
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	resp, err := d.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("status %d", resp.StatusCode)
	}
	var result standin.ServiceResult
	err = json.NewDecoder(resp.Body).Decode(&result)
	return result.RunCount, err
}
