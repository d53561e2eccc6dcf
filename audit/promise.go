package audit

import (
	"fmt"
	"iter"
	"time"
)

type (
	// A Promise is what callers and targets may rely on.
	Promise uint8

	// A Breach is a promise that was not kept.
	Breach struct {
		Promise Promise
		Request string // identifier; empty if it is not about one request
		At      time.Time
		Detail  string
	}
)

// The promises.
const (
	PromiseWhole     Promise = iota // a success is the target's own, proved and whole answer
	PromiseGenuine                  // targets run what callers sent, for the organisation that sent it
	PromiseOnce                     // what may run once does not run twice, and never at two targets at a time
	PromiseHonest                   // what is called not run has not run and never will
	PromiseAdmitted                 // what every configuration allows is not turned away as a caller's fault
	PromiseBounded                  // attempts, time handed on and retries stay within their bounds
	PromiseReleased                 // nothing works on for a caller that has left
	PromiseAnswered                 // each request ends with an answer, in time, unless a failure broke it
	PromiseDrained                  // a leaving target gets no new request
	PromiseCurrent                  // a configuration is in force in time, and none comes back
	PromisePlaced                   // a request runs only where a configuration allows it
	PromiseOrdered                  // events come once and in order, and a stream that ends whole is whole
	PromiseRecovered                // requests are served again soon after a failure of everything
	promises
)

var promiseNames = [promises]string{
	"whole", "genuine", "once", "honest", "admitted", "bounded", "released", "answered",
	"drained", "current", "placed", "ordered", "recovered",
}

// Promises returns all of them.
func Promises() iter.Seq[Promise] {
	return func(yield func(Promise) bool) {
		for p := Promise(0); p < promises && yield(p); p++ {
		}
	}
}

// String returns the promise's name.
func (p Promise) String() string { return promiseNames[p] }

// String describes the breach in a line.
func (b Breach) String() string {
	return fmt.Sprintf("%s %s: %s: %s", b.At.Format("15:04:05.000"), b.Promise, b.Request, b.Detail)
}
