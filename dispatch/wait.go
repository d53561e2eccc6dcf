package dispatch

// A WaitCause is the reason why a request was not dispatched when it was last considered.
type WaitCause uint8

// The causes of a wait.
const (
	WaitNone     WaitCause = iota // the request was not considered yet
	WaitCap                       // its organisation has as many requests in flight as it may have
	WaitPeers                     // another host holds requests of a less served organisation
	WaitTrial                     // it may crash targets, and a trial is not allowed yet
	WaitCapacity                  // no target that may take it has capacity
	WaitPlace                     // the target names a limit, and has no place yet
)

var waitCauseNames = [...]string{"none", "cap", "peers", "trial", "capacity", "place"}

// String returns the name of the cause in the event log.
func (c WaitCause) String() string { return waitCauseNames[c] }
