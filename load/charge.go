package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/standin"
)

type (
	// charge is a finished charge: a call of the plain service that is not idempotent. A call
	// may run at most once, so it is not retried once it may have been received.
	charge struct {
		reference string  // value of standin.HeaderReference that identifies the call
		key       string  // bearer key of the calling organisation
		outcome   outcome // according to its response
	}

	// outcome says whether a charge ran, according to its response.
	outcome uint8
)

const (
	outcomeRan outcome = iota
	outcomeNotRun
	outcomeUnknown // the response says unknown, or there is none: the charge may have run
)

// runCharge makes a charge under a new reference and counts its reported outcome.
func (d *driver) runCharge(ctx context.Context, c call) {
	ref := fmt.Sprintf("ref-%d-%d-%d", d.config.Seed, time.Now().UnixNano(), c.number)
	d.updateReport(func(r *Report) { r.Charges++ })
	reported := d.postCharge(ctx, c, ref)
	d.updateReport(func(r *Report) {
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

// postCharge sends a charge to the first reachable host and returns the reported outcome. If
// no connection to a host can be established, the charge can't have run, and postCharge tries
// the next host, as a load balancer would. It does not retry a charge that fails later, as
// the charge may have run.
func (d *driver) postCharge(ctx context.Context, c call, ref string) outcome {
	for offset := range d.config.URLs {
		resp, err := d.sendCharge(ctx, c, c.firstHost+offset, ref)
		var failed *net.OpError
		if errors.As(err, &failed) && failed.Op == "dial" {
			continue
		}
		if err != nil {
			d.updateReport(func(r *Report) { r.countError("charge: " + errorText(err)) })
			return outcomeUnknown
		}
		reported := outcomeOf(resp)
		if reported == outcomeUnknown {
			d.updateReport(func(r *Report) {
				r.countError(fmt.Sprintf("charge: status %d, outcome %q", resp.StatusCode, resp.Header.Get(answer.HeaderOutcome)))
			})
		}
		return reported
	}
	return outcomeNotRun
}

func (d *driver) sendCharge(ctx context.Context, c call, index int, ref string) (*http.Response, error) {
	address := d.url(index) + "/v1/services/" + d.config.Service + "/charges"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, address, strings.NewReader(`{"amount":1}`))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set(standin.HeaderReference, ref)
	return d.client.Do(req)
}

// errorText returns the text of an error without the URL, which differs between calls.
func errorText(err error) string {
	var failed *url.Error
	if errors.As(err, &failed) {
		return failed.Err.Error()
	}
	return err.Error()
}

// outcomeOf closes a response and returns the outcome that its header reports.
func outcomeOf(resp *http.Response) outcome {
	defer resp.Body.Close()
	switch resp.Header.Get(answer.HeaderOutcome) {
	case "whole":
		return outcomeRan
	case answer.OutcomeNotRun.String():
		return outcomeNotRun
	}
	return outcomeUnknown
}

// auditCharges compares the reported outcome of each charge with the number of times that it
// ran, and counts contradictions and repeated runs in the report.
func (d *driver) auditCharges(ctx context.Context) {
	for _, c := range d.charges {
		ran, err := d.runCount(ctx, c)
		if err != nil {
			d.report.Unaudited++
			continue
		}
		if ran > 1 {
			d.report.RepeatedCharges++
		}
		if c.outcome == outcomeNotRun && ran > 0 {
			d.report.FalseNotRun++
		}
		if c.outcome == outcomeRan && ran == 0 {
			d.report.FalseRan++
		}
	}
}

// runCount returns how often a charge ran. It queries the plain service through the first
// entry host that responds with success.
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
	address := d.url(index) + "/v1/services/" + d.config.Service + "/ran/" + c.reference
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
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
