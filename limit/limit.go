// Package limit keeps the requests that all hosts together send to a target within the rate that the
// target names in its responses. A Record holds what responses have said of one target; a Pacer
// spaces requests. The package reads no clock.
package limit

// A Reading is what one response of a target says about its limit. The zero value says that there is
// none.
type Reading struct {
	Named bool    // whether the response names a limit
	Rate  float64 // requests a second from all hosts together, 0 or more
}
