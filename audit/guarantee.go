package audit

import (
	"fmt"
	"iter"
	"time"
)

type (
	// A Promise identifies a guarantee that hosts give to callers and targets.
	Promise uint8

	// A Breach is the violation of a guarantee.
	Breach struct {
		Promise Promise
		Request string // ID of the request; empty if the violation concerns none in particular
		At      time.Time
		Detail  string
	}
)

// Guarantees of the hosts.
const (
	PromiseWhole     Promise = iota // a successful response is the complete response of a target, with a valid seal
	PromiseGenuine                  // targets receive only requests that callers sent, unchanged and for the caller's organisation
	PromiseOnce                     // a request that is not idempotent runs once, and on one target at a time
	PromiseHonest                   // a request reported as not run has not run and will not run
	PromiseAdmitted                 // a request that all configurations allow is not rejected with a client error
	PromiseBounded                  // the number of targets, the time passed to them and the retries stay within their bounds
	PromiseReleased                 // work on a request stops after its caller disconnected
	PromiseAnswered                 // each request ends in time with a response, unless a failure interrupted it
	PromiseDrained                  // a draining target receives no new requests
	PromiseCurrent                  // hosts apply a configuration in time and do not return to an earlier one
	PromisePlaced                   // a request runs only in a pool and with a key that a configuration allows
	PromiseOrdered                  // stream events arrive once and in order, and a stream that ends without error is complete
	PromiseRecovered                // requests succeed again within the bound after a failure of all hosts
	guaranteeCount
)

var guaranteeNames = [guaranteeCount]string{
	"whole", "genuine", "once", "honest", "admitted", "bounded", "released", "answered",
	"drained", "current", "placed", "ordered", "recovered",
}

// Promises returns all guarantees in the order of their declaration.
func Promises() iter.Seq[Promise] {
	return func(yield func(Promise) bool) {
		for p := Promise(0); p < guaranteeCount && yield(p); p++ {
		}
	}
}

// String returns the name of the guarantee.
func (p Promise) String() string { return guaranteeNames[p] }

// String describes the violation in one line.
func (b Breach) String() string {
	return fmt.Sprintf("%s %s: %s: %s", b.At.Format("15:04:05.000"), b.Promise, b.Request, b.Detail)
}
