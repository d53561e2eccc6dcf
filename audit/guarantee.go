package audit

import (
	"fmt"
	"iter"
	"time"
)

type (
	// A Guarantee is one of the properties that hosts promise to callers and targets.
	Guarantee uint8

	// A Violation is an observation, or the absence of one, that contradicts a guarantee.
	Violation struct {
		Guarantee Guarantee
		Request   string // ID of the request; empty if the violation concerns several requests
		At        time.Time
		Detail    string // description of the observation, for a log or report
	}
)

// Guarantees of the hosts.
const (
	GuaranteeWhole     Guarantee = iota // a successful response is the complete response of a target, with a valid seal
	GuaranteeGenuine                    // targets receive only requests that callers sent, unchanged and for the caller's organisation
	GuaranteeOnce                       // a request that is not idempotent runs once, and on one target at a time
	GuaranteeHonest                     // a request reported as not run has not run and will not run
	GuaranteeAdmitted                   // a request that all configurations allow is not rejected with a client error
	GuaranteeBounded                    // the number of targets of a request, the deadline passed to them, the retries to a pool, the requests that crash targets and those to a target that names a limit or is cold are within bounds
	GuaranteeReleased                   // targets stop working on a request after its caller disconnected
	GuaranteeAnswered                   // each request ends in time with a response, unless a failure interrupted it
	GuaranteeDrained                    // a leaving target, or one of an evacuated failure domain, receives no new requests
	GuaranteeCurrent                    // hosts apply a new configuration within ApplyDelay and do not return to an earlier one
	GuaranteePlaced                     // a request runs only in a pool and with a key that a configuration allows
	GuaranteeOrdered                    // stream events arrive once and in order, and a stream that ends without error is complete
	GuaranteeRecovered                  // requests succeed again within RecoveryTime after all hosts restarted
	GuaranteeReachable                  // hosts without a connection to any target serve requests like the others
	guaranteeCount
)

var guaranteeNames = [guaranteeCount]string{
	"whole", "genuine", "once", "honest", "admitted", "bounded", "released", "answered",
	"drained", "current", "placed", "ordered", "recovered", "reachable",
}

// Guarantees returns all guarantees in the order of their declaration.
func Guarantees() iter.Seq[Guarantee] {
	return func(yield func(Guarantee) bool) {
		for g := Guarantee(0); g < guaranteeCount && yield(g); g++ {
		}
	}
}

// String returns the guarantee's name in reports.
func (g Guarantee) String() string { return guaranteeNames[g] }

// String describes the violation in one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s %s: %s: %s", v.At.Format("15:04:05.000"), v.Guarantee, v.Request, v.Detail)
}
