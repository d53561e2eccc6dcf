// Package event records a host's events: each has a number from a catalogue and a timestamp
// of a hybrid logical clock. The latest events are stored in a ring buffer, and each event is
// written to the log when it is emitted.
package event

import "github.com/hashicorp/go-hclog"

type (
	// A Number identifies a kind of event. The number of a removed kind is never reused.
	Number uint16

	// A Kind is the catalogue entry of an event number.
	Kind struct {
		Number  Number
		Name    string
		Level   hclog.Level
		Meaning string // one sentence, for the reference page
	}
)

// The event numbers, grouped by their hundreds: 1 process, 2 requests, 3 targets, 4 table,
// 5 peers, 6 tickets, 7 callers, 8 placement orders.
const (
	HostStarted  Number = 101
	HostReady    Number = 102
	HostStopping Number = 103
	HostStopped  Number = 104
	HostSlept    Number = 105
	HostFault    Number = 106
	LogThinned   Number = 107
	HostReloaded Number = 108

	HostStalled    Number = 109
	HostResponsive Number = 110
	EventSlow      Number = 111

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
	RequestPlaced     Number = 215
	PlacementDecided  Number = 216
	PlacementLost     Number = 217
	PartSuspected     Number = 218
	PartQuarantined   Number = 219
	PartCleared       Number = 220
	PlaceAsked        Number = 221
	TrialAsked        Number = 222
	RequestHeld       Number = 223
	RequestCut        Number = 224
	ConnectionEnded   Number = 225
	ReturnPromised    Number = 231
	ExtraSent         Number = 241
	ExtraRefused      Number = 242
	ExtraEnded        Number = 243

	TargetLost     Number = 301
	TargetReturned Number = 302
	TargetRebooted Number = 303
	TargetLeaving  Number = 304
	TargetProbed   Number = 305
	TargetLimited  Number = 306
	PathLost       Number = 307
	PathFound      Number = 308
	TargetsBrittle Number = 309
	PathChecked    Number = 310

	EvacuationsApplied Number = 311
	DomainEvacuated    Number = 312
	DomainEmptied      Number = 313
	DomainReadmitted   Number = 314
	SendWithheld       Number = 315
	TargetCold         Number = 316
	EnginesUneven      Number = 321

	TableApplied   Number = 401
	TableRefused   Number = 402
	TableStale     Number = 403
	PlatformLost   Number = 404
	PlatformFound  Number = 405
	FleetChanged   Number = 406
	FleetKept      Number = 407
	EntryRefused   Number = 408
	TargetTold     Number = 409
	SourceRestored Number = 410
	StateUnproven  Number = 411

	PeerUp              Number = 501
	PeerDown            Number = 502
	PeerRefused         Number = 503
	PeerReplaced        Number = 504
	CoordinatorsChanged Number = 505

	TicketIssued   Number = 601
	TicketExecuted Number = 602
	TicketBurnt    Number = 603
	TicketMoved    Number = 604
	TicketRefused  Number = 605

	CallerRefused    Number = 701
	ClientsRefused   Number = 711
	ClientsEnded     Number = 712
	ClientsExceeding Number = 713

	OrderGiven   Number = 801
	OrderRefused Number = 802
	OrderDone    Number = 803
)

var catalogue = []Kind{
	{HostStarted, "host started", hclog.Info, "The process has opened its listeners."},
	{HostReady, "host ready", hclog.Info, "The host has a table and accepts requests."},
	{HostStopping, "host stopping", hclog.Info, "The host is draining: it accepts no new requests, or only those that end before its announced stop, and completes or hands over those in flight."},
	{HostStopped, "host stopped", hclog.Info, "The host has stopped; the fields count the requests since it began to stop, by what became of them, and those that it cuts off."},
	{HostSlept, "host slept", hclog.Warn, "The process was suspended for longer than its leases; the reports that it held have expired."},
	{HostFault, "host fault", hclog.Error, "An invariant is violated, or a component of the host failed."},
	{LogThinned, "log thinned", hclog.Warn, "Log lines were suppressed by the rate limit, those about single requests first."},
	{HostReloaded, "host reloaded", hclog.Info, "The settings were reloaded; the fields name the changes."},
	{HostStalled, "host stalled", hclog.Error, "The event loop, which decides about requests, has not answered for 2 s; the host says that it is not ready until it does."},
	{HostResponsive, "host responsive", hclog.Info, "The event loop has answered again after 109."},
	{EventSlow, "event slow", hclog.Warn, "The event loop has taken long for one event and its effects; the fields name its kind and what the host holds."},
	{RequestSubmitted, "request submitted", hclog.Debug, "A caller's request was accepted for dispatch."},
	{RequestDispatched, "request dispatched", hclog.Debug, "The request was sent to a target."},
	{RequestRefused, "request refused", hclog.Info, "The request got a final response other than its result."},
	{RequestEnded, "request ended", hclog.Debug, "The caller has received the complete response."},
	{RequestFailed, "request failed", hclog.Warn, "An attempt at a target ended without a complete response."},
	{RequestResumed, "request resumed", hclog.Info, "The connection of a stalled or broken stream was replaced."},
	{RequestCancelled, "request cancelled", hclog.Info, "The generation was cancelled at its target."},
	{RequestGone, "request gone", hclog.Info, "The caller disconnected before the response was complete."},
	{RequestAttached, "request attached", hclog.Info, "A caller resumed on this host a stream that it had started on another."},
	{RequestSuperseded, "request superseded", hclog.Info, "Another host has taken over the stream."},
	{RequestAnswered, "request answered", hclog.Debug, "A forwarded request got its final response; the fields hold its status and cause."},
	{RequestMoved, "request moved", hclog.Info, "A running stream continues at another target from a copy of its KV cache."},
	{MoveFailed, "move failed", hclog.Warn, "A running stream could not be moved to another target."},
	{MoveAsked, "move asked", hclog.Info, "A stream's target is about to stop; a move of the stream to another target was requested."},
	{RequestPlaced, "request placed", hclog.Debug, "The coordinator answered with a target for a request, or refused it."},
	{PlacementDecided, "placement decided", hclog.Debug, "This host, as coordinator, chose a target for another host's request, or refused it."},
	{PlacementLost, "placement lost", hclog.Warn, "No coordinator answered; this host places the request itself."},
	{PartSuspected, "part suspected", hclog.Warn, "A target has crashed as it began to answer this request, or requests with this part of a prompt."},
	{PartQuarantined, "part quarantined", hclog.Error, "Targets have crashed under this request, or this part of prompts, several times; its repetitions, or requests with it, are refused."},
	{PartCleared, "part cleared", hclog.Info, "An answer has shown that this request, or this part of prompts, does not crash targets."},
	{PlaceAsked, "place asked", hclog.Debug, "This host asked for a place at a target that names a limit of requests a second; the fields say whether there is one and when."},
	{TrialAsked, "trial asked", hclog.Debug, "This host asked whether a request that may have crashed a target may be sent to another one; the fields say whether it may."},
	{RequestHeld, "request held", hclog.Info, "A request waits at a stopping host: it was held when the stop began, or was accepted since and not dispatched at once."},
	{RequestCut, "request cut", hclog.Warn, "The stopping host closes the connection of a request whose response is not complete."},
	{ConnectionEnded, "connection ended", hclog.Info, "A caller's connection ended before the response on it was complete; the fields say which side ended it, and why."},
	{ReturnPromised, "return promised", hclog.Info, "A request in a pool of mixed objectives is refused; the fields say when memory is forecast to be free and when its caller is to come back."},
	{ExtraSent, "extra attempt sent", hclog.Info, "An attempt of an idempotent request has taken unusually long; a second one was sent to another target while the first is in flight."},
	{ExtraRefused, "extra attempt refused", hclog.Debug, "An attempt of an idempotent request has taken unusually long, and no second one is sent; the fields say why."},
	{ExtraEnded, "extra attempt ended", hclog.Info, "An extra attempt has ended; the fields say whether its response was used, and for how long the attempt has run that was of no use."},
	{TargetLost, "target lost", hclog.Warn, "A target no longer responds to load queries."},
	{TargetReturned, "target returned", hclog.Info, "A target responds to load queries again, or is no longer leaving."},
	{TargetRebooted, "target rebooted", hclog.Warn, "A target's boot identifier has changed; its generations are lost."},
	{TargetLeaving, "target leaving", hclog.Info, "A target is about to stop and accepts no new requests."},
	{TargetProbed, "target probed", hclog.Info, "A target has ended connections early; the host has tried to connect to see whether its process is gone."},
	{TargetLimited, "target limited", hclog.Info, "The limit of requests a second that a target names in its responses has changed or ended."},
	{PathLost, "path lost", hclog.Warn, "This host cannot connect to a target to which another host can, or gets no answers from it; it connects through that host, or another one."},
	{PathFound, "path found", hclog.Info, "This host can use its own path to a target again, which it could reach only through other hosts."},
	{TargetsBrittle, "targets brittle", hclog.Info, "What the targets of a pool say in their responses about how many refusals a second they survive has changed or ended."},
	{PathChecked, "path checked", hclog.Info, "Requests to a target have remained without an answer; the host has sent it a health check over its own path and through another host."},
	{EvacuationsApplied, "evacuations applied", hclog.Info, "The set of failure domains that are to be evacuated has changed on this host; from now on it sends nothing new to their targets."},
	{DomainEvacuated, "domain evacuated", hclog.Warn, "An operator has requested the evacuation of a failure domain; its targets get nothing new, and long streams move off."},
	{DomainEmptied, "domain emptied", hclog.Info, "No request is known to run in an evacuated failure domain any more."},
	{DomainReadmitted, "domain readmitted", hclog.Info, "The evacuation of a failure domain was withdrawn, as the source or another host says; its targets get work again."},
	{SendWithheld, "send withheld", hclog.Info, "What was decided earlier was not sent to a target, because its failure domain is to be evacuated by now."},
	{TargetCold, "target cold", hclog.Info, "A target has become cold, and all hosts together send it the rate of requests that the configuration names, or it is cold no longer."},
	{EnginesUneven, "engines uneven", hclog.Info, "Whether the engines of a pool differ in speed so much that the choice of an engine counts late streams has changed; the fields hold the times between two tokens."},
	{TableApplied, "table applied", hclog.Info, "A table is in force on this host."},
	{TableRefused, "table refused", hclog.Error, "A published table is invalid and was rejected as a whole; the last valid table stays in force."},
	{TableStale, "table stale", hclog.Warn, "A published table is older than the one in force and was ignored."},
	{PlatformLost, "platform lost", hclog.Warn, "The configuration service cannot be read; the last valid values stay in force."},
	{PlatformFound, "platform found", hclog.Info, "The configuration service can be read again."},
	{FleetChanged, "fleet changed", hclog.Info, "The list of targets in use has changed."},
	{FleetKept, "fleet kept", hclog.Warn, "Targets are missing from the list of targets, which could not be read before; they stay in use for a grace period."},
	{EntryRefused, "entry refused", hclog.Warn, "A published entry cannot be parsed and provides no target."},
	{TargetTold, "target told", hclog.Info, "A target was queried because the list of targets cannot be read; it is leaving, or the query failed."},
	{SourceRestored, "source restored", hclog.Warn, "The configuration service has begun a new era: it lost its last changes and assigns their revisions again."},
	{StateUnproven, "state unproven", hclog.Info, "A peer of an earlier build has content that this host may lack, and cannot prove that it is complete; this host reads the configuration service itself."},
	{PeerUp, "peer up", hclog.Info, "A peer is live."},
	{PeerDown, "peer down", hclog.Warn, "A peer is no longer live."},
	{PeerRefused, "peer refused", hclog.Warn, "A message or connection from a peer was rejected."},
	{PeerReplaced, "peer replaced", hclog.Info, "A connection to a peer was lost and is dialed again."},
	{CoordinatorsChanged, "coordinators changed", hclog.Info, "Other hosts place the requests of this failure domain, or stand by to do so."},
	{TicketIssued, "ticket issued", hclog.Debug, "A ticket for one call was issued."},
	{TicketExecuted, "ticket executed", hclog.Debug, "The call of a ticket was sent."},
	{TicketBurnt, "ticket burnt", hclog.Debug, "An unused ticket was revoked; its call can no longer run."},
	{TicketMoved, "ticket moved", hclog.Info, "A stopping host transferred its ticket records to a peer."},
	{TicketRefused, "ticket refused", hclog.Info, "A ticket was not valid on this host."},
	{CallerRefused, "caller refused", hclog.Debug, "A call was rejected before it became a request."},
	{ClientsRefused, "clients refused", hclog.Warn, "Connections of clients were refused, as the host has no more for clients; the fields count them since the last such line."},
	{ClientsEnded, "clients ended", hclog.Warn, "Connections of clients that held the most memory for the longest time were closed, or their requests refused; the fields count them since the last such line."},
	{ClientsExceeding, "clients exceeding", hclog.Warn, "Clients have exceeded a limit on the head of a request or on progress; the fields name the limit, and count them since the last such line."},
	{OrderGiven, "order given", hclog.Info, "A placement order was sent to a target."},
	{OrderRefused, "order refused", hclog.Warn, "A target refused a placement order."},
	{OrderDone, "order done", hclog.Info, "A target has reached the ordered state."},
}

var kindByNumber = indexByNumber()

func indexByNumber() map[Number]Kind {
	m := make(map[Number]Kind, len(catalogue))
	for _, k := range catalogue {
		m[k.Number] = k
	}
	return m
}

// Catalogue returns a copy of all event kinds, ordered by number.
func Catalogue() []Kind { return append([]Kind(nil), catalogue...) }

// String returns the event's name.
func (n Number) String() string { return kindByNumber[n].Name }
