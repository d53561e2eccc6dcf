package audit

import (
	"fmt"
	"iter"
	"time"
)

type (
	// A Guarantee identifies a guarantee that hosts give to callers and targets.
	Guarantee uint8

	// A Violation is the violation of a guarantee.
	Violation struct {
		Guarantee Guarantee
		Request   string // ID of the request; empty if the violation concerns none in particular
		At        time.Time
		Detail    string
	}
)

// Guarantees of the hosts.
const (
	GuaranteeWhole     Guarantee = iota // a successful response is the complete response of a target, with a valid seal
	GuaranteeGenuine                    // targets receive only requests that callers sent, unchanged and for the caller's organisation
	GuaranteeOnce                       // a request that is not idempotent runs once, and on one target at a time
	GuaranteeHonest                     // a request reported as not run has not run and will not run
	GuaranteeAdmitted                   // a request that all configurations allow is not rejected with a client error
	GuaranteeBounded                    // the number of targets, the time passed to them and the retries stay within their bounds
	GuaranteeReleased                   // work on a request stops after its caller disconnected
	GuaranteeAnswered                   // each request ends in time with a response, unless a failure interrupted it
	GuaranteeDrained                    // a leaving target receives no new requests
	GuaranteeCurrent                    // hosts apply a configuration in time and do not return to an earlier one
	GuaranteePlaced                     // a request runs only in a pool and with a key that a configuration allows
	GuaranteeOrdered                    // stream events arrive once and in order, and a stream that ends without error is complete
	GuaranteeRecovered                  // requests succeed again within the bound after a failure of all hosts
	guaranteeCount
)

var guaranteeNames = [guaranteeCount]string{
	"whole", "genuine", "once", "honest", "admitted", "bounded", "released", "answered",
	"drained", "current", "placed", "ordered", "recovered",
}

// Guarantees returns all guarantees in the order of their declaration.
func Guarantees() iter.Seq[Guarantee] {
	return func(yield func(Guarantee) bool) {
		for p := Guarantee(0); p < guaranteeCount && yield(p); p++ {
		}
	}
}

// String returns the name of the guarantee.
func (p Guarantee) String() string { return guaranteeNames[p] }

// String describes the violation in one line.
func (b Violation) String() string {
	return fmt.Sprintf("%s %s: %s: %s", b.At.Format("15:04:05.000"), b.Guarantee, b.Request, b.Detail)
}
