// Package event keeps the time line: numbered events, stamped by a hybrid logical
// clock, in a bounded ring, and written to the log as they happen.
package event

import "github.com/hashicorp/go-hclog"

type (
	// A Number identifies a kind of event. Numbers are never reused.
	Number uint16

	// A Kind is an event's entry in the catalogue.
	Kind struct {
		Number Number
		Name   string
		Level  hclog.Level
		Text   string // what it means, for the catalogue
	}
)

// The numbers. The hundreds group them: 1 process, 2 requests, 3 targets, 4 table,
// 5 peers, 6 tickets, 7 callers, 8 orders.
const (
	HostStarted  Number = 101
	HostReady    Number = 102
	HostStopping Number = 103
	HostStopped  Number = 104
	HostSlept    Number = 105
	HostFault    Number = 106
	LogThinned   Number = 107
	HostReloaded Number = 108

	RequestSubmitted  Number = 201
	RequestDispatched Number = 202
	RequestRefused    Number = 203
	RequestEnded      Number = 204
	RequestFailed     Number = 205
	RequestResumed    Number = 206
	RequestCancelled  Number = 207
	RequestGone       Number = 208
	RequestAttached   Number = 209
	RequestSuperseded Number = 210
	RequestAnswered   Number = 211
	RequestMoved      Number = 212
	MoveFailed        Number = 213
	MoveAsked         Number = 214

	TargetLost     Number = 301
	TargetReturned Number = 302
	TargetRebooted Number = 303
	TargetLeaving  Number = 304

	TableApplied  Number = 401
	TableRefused  Number = 402
	TableStale    Number = 403
	PlatformLost  Number = 404
	PlatformFound Number = 405
	FleetChanged  Number = 406
	FleetKept     Number = 407
	EntryRefused  Number = 408
	TargetTold    Number = 409

	PeerUp       Number = 501
	PeerDown     Number = 502
	PeerRefused  Number = 503
	PeerReplaced Number = 504

	TicketIssued   Number = 601
	TicketExecuted Number = 602
	TicketBurnt    Number = 603
	TicketMoved    Number = 604
	TicketRefused  Number = 605

	CallerRefused Number = 701

	OrderGiven   Number = 801
	OrderRefused Number = 802
	OrderDone    Number = 803
)

var catalogue = []Kind{
	{HostStarted, "host started", hclog.Info, "The process has opened its addresses."},
	{HostReady, "host ready", hclog.Info, "The host has a table and takes requests."},
	{HostStopping, "host stopping", hclog.Info, "The host takes no new request and ends or hands over what it has."},
	{HostStopped, "host stopped", hclog.Info, "Nothing was left to end."},
	{HostSlept, "host slept", hclog.Warn, "The process was paused for longer than its leases and drops what it held."},
	{HostFault, "host fault", hclog.Error, "An invariant does not hold, or a part of the host failed."},
	{LogThinned, "log thinned", hclog.Warn, "Lines about single requests were left out to keep the volume bounded."},
	{HostReloaded, "host reloaded", hclog.Info, "The settings were read again; the line says what changed."},
	{RequestSubmitted, "request submitted", hclog.Debug, "A caller's request was accepted for a decision."},
	{RequestDispatched, "request dispatched", hclog.Debug, "The request was sent to a target."},
	{RequestRefused, "request refused", hclog.Info, "The request got a final answer other than its result."},
	{RequestEnded, "request ended", hclog.Debug, "The caller has the whole answer."},
	{RequestFailed, "request failed", hclog.Warn, "An attempt ended without an answer."},
	{RequestResumed, "request resumed", hclog.Info, "A silent or broken stream was opened anew."},
	{RequestCancelled, "request cancelled", hclog.Info, "The generation was cancelled at its target."},
	{RequestGone, "request gone", hclog.Info, "The caller went away before the end."},
	{RequestAttached, "request attached", hclog.Info, "A caller resumed here a stream that it had begun elsewhere."},
	{RequestSuperseded, "request superseded", hclog.Info, "Another host has taken the stream over."},
	{RequestAnswered, "request answered", hclog.Debug, "A forwarded request got its final answer; the line says which and why."},
	{RequestMoved, "request moved", hclog.Info, "A running stream goes on at another target, from a copy of its memory."},
	{MoveFailed, "move failed", hclog.Warn, "A running stream could not be moved to another target."},
	{MoveAsked, "move asked", hclog.Info, "A stream's target is about to end; the stream is to go on at another."},
	{TargetLost, "target lost", hclog.Warn, "A target no longer answers."},
	{TargetReturned, "target returned", hclog.Info, "A target answers again."},
	{TargetRebooted, "target rebooted", hclog.Warn, "A target's boot identifier has changed; its generations are lost."},
	{TargetLeaving, "target leaving", hclog.Info, "A target takes no new work from now on."},
	{TableApplied, "table applied", hclog.Info, "A table is in force on this host."},
	{TableRefused, "table refused", hclog.Error, "A published table has faults and was refused whole; the last good one stays."},
	{TableStale, "table stale", hclog.Warn, "An older table than the one in force was published and ignored."},
	{PlatformLost, "platform lost", hclog.Warn, "The configuration service does not answer; the last good values stay."},
	{PlatformFound, "platform found", hclog.Info, "The configuration service answers again."},
	{FleetChanged, "fleet changed", hclog.Info, "The list of targets in use has changed."},
	{FleetKept, "fleet kept", hclog.Warn, "Targets are missing from the list after it could not be read; they stay in use for a short time."},
	{EntryRefused, "entry refused", hclog.Warn, "A published entry cannot be read and names no target."},
	{TargetTold, "target told", hclog.Info, "A target that was asked, since the list of targets could not be read, is leaving or did not answer."},
	{PeerUp, "peer up", hclog.Info, "A peer is live."},
	{PeerDown, "peer down", hclog.Warn, "A peer is no longer live."},
	{PeerRefused, "peer refused", hclog.Warn, "A message or connection from a peer was refused."},
	{PeerReplaced, "peer replaced", hclog.Info, "A silent connection to a peer was replaced."},
	{TicketIssued, "ticket issued", hclog.Debug, "A ticket for one call was issued."},
	{TicketExecuted, "ticket executed", hclog.Debug, "The call of a ticket was sent."},
	{TicketBurnt, "ticket burnt", hclog.Debug, "An unused ticket was burnt; its call will never run."},
	{TicketMoved, "ticket moved", hclog.Info, "A stopping host handed its ticket records to a peer."},
	{TicketRefused, "ticket refused", hclog.Info, "A ticket was not valid here."},
	{CallerRefused, "caller refused", hclog.Debug, "A call was refused before it became a request."},
	{OrderGiven, "order given", hclog.Info, "A placement order was sent to a target."},
	{OrderRefused, "order refused", hclog.Warn, "A target refused a placement order."},
	{OrderDone, "order done", hclog.Info, "A target has reached the ordered state."},
}

var byNumber = index()

func index() map[Number]Kind {
	m := make(map[Number]Kind, len(catalogue))
	for _, k := range catalogue {
		m[k.Number] = k
	}
	return m
}

// Catalogue returns all kinds in order.
func Catalogue() []Kind { return append([]Kind(nil), catalogue...) }

// String returns the event's name.
func (n Number) String() string { return byNumber[n].Name }
