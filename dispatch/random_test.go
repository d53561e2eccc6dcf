package dispatch

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/forecast"
	"github.com/wigeonlink/wigeonlink/limit"
	"github.com/wigeonlink/wigeonlink/quarantine"
	"github.com/wigeonlink/wigeonlink/share"
	"github.com/wigeonlink/wigeonlink/table"
	"github.com/wigeonlink/wigeonlink/target"
)

// callerModel feeds random events to a reducer and records, from the events and the effects, which
// requests the callers must find held, dispatched, moving or ended.
type callerModel struct {
	reducer                 *Reducer
	now                     time.Time
	nextID                  ID
	held                    map[ID]bool     // requests that are neither dispatched nor refused
	sent                    map[ID]string   // targets of the dispatched requests
	tokens                  map[ID]int      // tokens delivered of each request
	nonIdempotentDispatches map[ID]int      // for each request that is not idempotent, number of its dispatches that may have reached a target
	moving                  map[ID]string   // destinations of the moves in progress
	leaving                 map[string]bool // latest LeavingTargets event
	inflightCap             int             // cap on the requests in flight of organisation-0; 0 means none
	version                 uint64          // version of the table in force
	places                  map[string]int  // places granted and not used, by target
	asked                   []Effect        // EffectReserve without a reply
	suspected               []Effect        // EffectTrial without a reply
	probed                  []Effect        // EffectProbe without a result
	outputs                 map[ID]int      // output limits of the requests
	stopAt                  time.Time       // end of the stop; zero before the Stop event
}

func newCallerModel(t *rapid.T) *callerModel {
	m := &callerModel{
		reducer: NewReducer(WithMaxLoadAge(0), WithMaxHold(3*time.Second), WithDisconnectGrace(time.Second),
			WithMoves(rapid.Bool().Draw(t, "moves")), WithBackupFraction(rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "backups"))),
		moving:                  map[ID]string{},
		now:                     benchEpoch,
		held:                    map[ID]bool{},
		sent:                    map[ID]string{},
		tokens:                  map[ID]int{},
		nonIdempotentDispatches: map[ID]int{},
		leaving:                 map[string]bool{},
		places:                  map[string]int{},
		outputs:                 map[ID]int{},
		inflightCap:             rapid.IntRange(0, 6).Draw(t, "limit"),
	}
	m.changeTable(t, 3, 2, 4)
	return m
}

// changeTable puts a new version of the table in force, with the given numbers of organisations,
// models and engines.
func (m *callerModel) changeTable(t *rapid.T, organisations, models, engines int) {
	tab := *benchTable(t, organisations, models, engines)
	m.version++
	tab.Version = m.version
	spec := tab.Organisations["organisation-0"]
	spec.MaxInFlight, spec.MaxQueued = m.inflightCap, 10
	tab.Organisations["organisation-0"] = spec
	for name, spec := range tab.Organisations {
		if name != "organisation-0" {
			spec.RateLimit = 20
			tab.Organisations[name] = spec
		}
	}
	for name, g := range tab.Targets {
		g.Memory = 3000
		tab.Targets[name] = g
	}
	for name, model := range tab.Models {
		model.Engine = table.EngineSpec{CanMove: true, CanBackUp: true, TokenBytes: 1000, CopyBandwidth: 10_000_000}
		tab.Models[name] = model
	}
	m.reduce(t, TableChange{Table: &tab})
}

// reduce applies an event to the reducer, and its effects to the model. It fails the test if the
// reducer's state violates an invariant or the two disagree on the number of requests.
func (m *callerModel) reduce(t *rapid.T, e Event) {
	for _, f := range m.reducer.Reduce(m.now, e) {
		m.applyEffect(t, f)
	}
	if err := m.reducer.Check(); err != nil {
		t.Fatalf("after %T: %v", e, err)
	}
	if got := len(m.reducer.requests); got != len(m.held)+len(m.sent) {
		t.Fatalf("after %T: the reducer has %d requests, callers wait for %d", e, got, len(m.held)+len(m.sent))
	}
}

// applyEffect checks that an effect is allowed in the request's state, and updates that state.
func (m *callerModel) applyEffect(t *rapid.T, f Effect) {
	switch f.Kind {
	case EffectDispatch:
		m.applyDispatch(t, f)
	case EffectReserve:
		m.asked = append(m.asked, f)
	case EffectTrial:
		m.suspected = append(m.suspected, f)
	case EffectProbe:
		m.probed = append(m.probed, f)
	case EffectRefuse:
		if !m.held[f.ID] {
			t.Fatalf("request %d was refused while it was not held", f.ID)
		}
		if f.Answer.Properties().Outcome == answer.OutcomeNotRun && m.tokens[f.ID] > 0 {
			t.Fatalf("request %d was refused as not run after the delivery of %d tokens", f.ID, m.tokens[f.ID])
		}
		delete(m.held, f.ID)
	case EffectMove:
		if m.moving[f.ID] != "" || m.sent[f.ID] != f.Target || f.To.Name == f.Target || m.leaving[f.To.Name] {
			t.Fatalf("request %d was moved from %s to %s while it ran at %q and moved to %q", f.ID, f.Target, f.To.Name, m.sent[f.ID], m.moving[f.ID])
		}
		m.moving[f.ID] = f.To.Name
	case EffectNoMove:
		if m.moving[f.ID] != "" {
			t.Fatalf("request %d reported as not movable while it is moving", f.ID)
		}
	case EffectCancel, EffectResume:
		if m.sent[f.ID] != f.Target {
			t.Fatalf("effect %s of request %d at %s while it ran at %q", f.Kind, f.ID, f.Target, m.sent[f.ID])
		}
		if f.Kind == EffectCancel {
			delete(m.sent, f.ID)
		}
	}
}

func (m *callerModel) applyDispatch(t *rapid.T, f Effect) {
	switch {
	case !m.held[f.ID]:
		t.Fatalf("request %d was dispatched while it was not held", f.ID)
	case m.tokens[f.ID] > 0:
		t.Fatalf("request %d was dispatched after the delivery of %d tokens", f.ID, m.tokens[f.ID])
	case m.leaving[f.Target]:
		t.Fatalf("a request was dispatched to target %s, which is leaving", f.Target)
	}
	if f.Limit.Record.Named {
		if m.places[f.Target]--; m.places[f.Target] < 0 {
			t.Fatalf("request %d was dispatched to %s without a place", f.ID, f.Target)
		}
	}
	if run := time.Duration(m.outputs[f.ID]) * m.reducer.options.stepBase; !m.stopAt.IsZero() && (run == 0 || m.now.Add(run).After(m.stopAt)) {
		t.Fatalf("request %d was dispatched %s before the stop, its output takes %s or more", f.ID, m.stopAt.Sub(m.now), run)
	}
	delete(m.held, f.ID)
	m.sent[f.ID] = f.Target
	if n, ok := m.nonIdempotentDispatches[f.ID]; ok {
		m.nonIdempotentDispatches[f.ID] = n + 1
		if n > 0 {
			t.Fatalf("request %d, which is not idempotent, was dispatched twice", f.ID)
		}
	}
	inflight := 0
	for id := range m.sent {
		if q := m.reducer.requests[id]; q != nil && q.organisation.spec.Name == "organisation-0" {
			inflight++
		}
	}
	if m.inflightCap > 0 && inflight > m.inflightCap {
		t.Fatalf("organisation-0 has %d requests in flight, the cap is %d", inflight, m.inflightCap)
	}
}

// pickSent draws one of the dispatched requests, or returns 0 if there is none.
func (m *callerModel) pickSent(t *rapid.T) ID {
	for id := range m.moving {
		if _, ok := m.sent[id]; !ok {
			delete(m.moving, id) // the request has ended
		}
	}
	ids := make([]ID, 0, len(m.sent))
	for id := ID(1); id <= m.nextID; id++ {
		if _, ok := m.sent[id]; ok {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return 0
	}
	return rapid.SampledFrom(ids).Draw(t, "request")
}

// submit submits a random request, which may be of an unknown organisation or model, or too long.
func (m *callerModel) submit(t *rapid.T) {
	m.nextID++
	s := Submit{
		ID:              m.nextID,
		Organisation:    fmt.Sprintf("organisation-%d", rapid.IntRange(0, 3).Draw(t, "organisation")),
		Pool:            fmt.Sprintf("model-%d", rapid.IntRange(0, 2).Draw(t, "model")),
		PromptTokens:    rapid.IntRange(1, 4000).Draw(t, "prompt"),
		MaxOutputTokens: rapid.SampledFrom([]int{0, 1, 50, 5000}).Draw(t, "limit"),
		NonIdempotent:   rapid.Bool().Draw(t, "once"),
		PrefixHash:      rapid.Uint64Range(0, 3).Draw(t, "prefix"),
	}
	s.PrefixTokens = s.PromptTokens / 2
	if content := rapid.Uint64Range(0, 3).Draw(t, "content"); content > 0 {
		s.Parts = []quarantine.Part{{Pool: s.Pool, ID: content, Organisation: s.Organisation}}
	}
	if s.NonIdempotent {
		m.nonIdempotentDispatches[s.ID] = 0
	}
	m.held[s.ID], m.outputs[s.ID] = true, s.MaxOutputTokens
	m.reduce(t, s)
}

// stop stops the reducer's host, once in a sequence.
func (m *callerModel) stop(t *rapid.T) {
	if m.stopAt.IsZero() && rapid.IntRange(0, 9).Draw(t, "stop") == 0 {
		m.stopAt = m.now.Add(time.Duration(rapid.IntRange(1, 8000).Draw(t, "left")) * time.Millisecond)
		m.reduce(t, Stop{Until: m.stopAt})
	}
}

// progress lets each dispatched request deliver a random number of tokens.
func (m *callerModel) progress(t *rapid.T) {
	var samples []Sample
	for id := ID(1); id <= m.nextID; id++ {
		if _, ok := m.sent[id]; !ok {
			continue
		}
		m.tokens[id] += rapid.SampledFrom([]int{0, 0, 1, 3, 100}).Draw(t, "tokens")
		s := Sample{ID: id, Tokens: m.tokens[id]}
		if s.Tokens > 0 {
			s.LastToken = m.now
		}
		samples = append(samples, s)
	}
	m.reduce(t, Progress{Samples: samples})
}

// ended ends a random dispatched request with a complete answer.
func (m *callerModel) ended(t *rapid.T) {
	if id := m.pickSent(t); id != 0 {
		delete(m.sent, id)
		m.reduce(t, Ended{ID: id, Usage: target.Usage{Output: m.tokens[id], Cached: rapid.IntRange(0, 5000).Draw(t, "cached")}})
	}
}

// failed lets the attempt of a random dispatched request fail.
func (m *callerModel) failed(t *rapid.T) {
	id := m.pickSent(t)
	if id == 0 {
		return
	}
	delete(m.sent, id)
	delete(m.moving, id) // a failed attempt ends the move
	m.held[id] = true    // the request is neither dispatched nor refused
	delivered := m.tokens[id] > 0
	certainty := rapid.SampledFrom([]target.Certainty{target.CertaintyUnknown, target.CertaintyNotRun, target.CertaintyLost}).Draw(t, "certainty")
	if delivered && certainty == target.CertaintyNotRun {
		certainty = target.CertaintyLost
	}
	unsent := !delivered && certainty == target.CertaintyNotRun && rapid.Bool().Draw(t, "unsent")
	if n, ok := m.nonIdempotentDispatches[id]; ok && unsent {
		m.nonIdempotentDispatches[id] = n - 1
	}
	m.reduce(t, AttemptFailed{ID: id, Certainty: certainty, Delivered: delivered, Rebooted: rapid.Bool().Draw(t, "rebooted"), Unsent: unsent, Ended: !unsent && rapid.Bool().Draw(t, "ended")})
}

// moveOrBreak breaks a random dispatched request off, or lets its move in progress succeed or fail.
func (m *callerModel) moveOrBreak(t *rapid.T) {
	id := m.pickSent(t)
	if id == 0 {
		return
	}
	to := m.moving[id]
	switch how := rapid.IntRange(0, 2).Draw(t, "end of a move"); {
	case how == 0:
		m.reduce(t, StreamBroken{ID: id})
	case to == "":
	case how == 1:
		delete(m.moving, id)
		m.sent[id] = to
		m.reduce(t, MoveSucceeded{ID: id})
	default:
		delete(m.moving, id)
		m.reduce(t, MoveFailed{ID: id, Final: rapid.Bool().Draw(t, "over")})
	}
}

// callerLeaves lets the caller of a random dispatched request disconnect, change to another host or
// abandon the request.
func (m *callerModel) callerLeaves(t *rapid.T) {
	id := m.pickSent(t)
	if id == 0 {
		return
	}
	switch rapid.IntRange(0, 2).Draw(t, "how") {
	case 0:
		m.reduce(t, CallerDisconnected{ID: id, Resumable: rapid.Bool().Draw(t, "resumable")})
	case 1:
		delete(m.sent, id)
		m.reduce(t, Superseded{ID: id})
	case 2:
		delete(m.sent, id)
		m.reduce(t, AbandonedByCaller{ID: id})
	}
}

// externalEvent applies a random event that concerns targets, peers, the table or the time.
func (m *callerModel) externalEvent(t *rapid.T) {
	engine := fmt.Sprintf("engine-%04d", rapid.IntRange(0, 4).Draw(t, "engine"))
	switch rapid.IntRange(0, 8).Draw(t, "what") {
	case 0:
		m.leaving = map[string]bool{engine: rapid.Bool().Draw(t, "leaving")}
		m.reduce(t, LeavingTargets{Leaving: m.leaving})
	case 1:
		m.reduce(t, LoadReport{Target: engine, Load: target.Load{UsedTokens: rapid.IntRange(0, 4000).Draw(t, "used"), CapacityTokens: 3000}})
	case 2:
		m.reduce(t, PeerReport{
			Origin:   rapid.SampledFrom([]string{"a", "b"}).Draw(t, "origin"),
			Sequence: rapid.Uint64Range(1, 100).Draw(t, "sequence"),

			Accounts:   []share.Entry{{Account: share.Account{Organisation: "organisation-0", Pool: "model-0"}, Use: rapid.Float64().Draw(t, "use")}},
			Demands:    []TargetDemand{{engine, forecast.Demand{Streams: 2, MeanMemory: [forecast.Horizons]float64{500, 500, 400}}, rapid.Float64Range(0, 900).Draw(t, "kept")}},
			HeldCounts: []HeldCount{{"organisation-1", "model-0", 3, time.Second}},
		})
	case 3:
		m.reduce(t, CacheReport{Target: engine, Prefix: rapid.Uint64Range(0, 3).Draw(t, "prefix"), Cached: rapid.Bool().Draw(t, "held")})
	case 4:
		m.reduce(t, Tick{})
	case 5:
		m.reduce(t, LiveHosts{Hosts: rapid.IntRange(0, 3).Draw(t, "count")})
	case 6:
		m.changeTable(t, rapid.IntRange(1, 3).Draw(t, "organisations"), rapid.IntRange(1, 2).Draw(t, "models"), rapid.IntRange(1, 5).Draw(t, "engines"))
	case 7:
		m.reduce(t, FleetUnconfirmed{Age: time.Duration(rapid.IntRange(0, 3000).Draw(t, "age")) * time.Millisecond})
	case 8:
		left := time.Duration(rapid.IntRange(0, 2000).Draw(t, "left")) * time.Millisecond
		m.reduce(t, LeavingReply{Target: engine, Leaving: rapid.Bool().Draw(t, "told"), Remaining: left})
	}
}

// limitEvent applies a random event that concerns limits, places or crashes of targets.
func (m *callerModel) limitEvent(t *rapid.T) {
	engine := fmt.Sprintf("engine-%04d", rapid.IntRange(0, 4).Draw(t, "engine"))
	granted := rapid.Bool().Draw(t, "granted")
	wait := time.Duration(rapid.IntRange(0, 800).Draw(t, "wait")) * time.Millisecond
	switch rapid.IntRange(0, 4).Draw(t, "what") {
	case 0:
		reading := limit.Reading{Named: rapid.Bool().Draw(t, "named"), Rate: rapid.Float64Range(0, 20).Draw(t, "rate")}
		sent := m.now.Add(-time.Duration(rapid.IntRange(0, 100).Draw(t, "age")) * time.Millisecond)
		m.reduce(t, LimitRead{Target: engine, Reading: reading, Sent: sent, Received: m.now})
	case 1:
		record := limit.Record{Reading: limit.Reading{Named: granted, Rate: 3}, At: m.now.Add(-wait)}
		m.reduce(t, PeerLimits{Limits: []TargetLimit{{Target: engine, Record: record}}})
	case 2:
		if len(m.asked) > 0 {
			e := m.asked[0]
			m.asked = m.asked[1:]
			if granted {
				m.places[e.Target]++
			}
			m.reduce(t, PlaceReply{ID: e.ID, Granted: granted, Wait: wait, Limit: e.Limit})
		}
	case 3:
		if len(m.suspected) > 0 {
			e := m.suspected[0]
			m.suspected = m.suspected[1:]
			m.reduce(t, TrialReply{ID: e.ID, Granted: granted, Wait: wait})
		}
	case 4:
		if len(m.probed) > 0 {
			e := m.probed[0]
			m.probed = m.probed[1:]
			m.reduce(t, Probed{Target: e.Target, Gone: granted})
		}
	}
}

// wait applies a Tick after a random time, which may be negative: the reducer's clock must not go
// back.
func (m *callerModel) wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(-50, 2000).Draw(t, "ms")) * time.Millisecond)
	m.reduce(t, Tick{})
}

// runRandomEvents applies a random sequence of events and then ends all requests.
func runRandomEvents(t *rapid.T) {
	m := newCallerModel(t)
	steps := []func(*rapid.T){m.submit, m.submit, m.submit, m.progress, m.progress, m.ended, m.failed, m.callerLeaves, m.externalEvent, m.limitEvent, m.limitEvent, m.wait, m.moveOrBreak, m.stop}
	for range rapid.IntRange(1, 300).Draw(t, "events") {
		steps[rapid.IntRange(0, len(steps)-1).Draw(t, "step")](t)
	}
	m.finishAll(t)
}

// finishAll ends the running requests and lets all deadlines pass. Every held request must then
// have received an answer.
func (m *callerModel) finishAll(t *rapid.T) {
	for id := ID(1); id <= m.nextID; id++ {
		if _, ok := m.sent[id]; ok {
			delete(m.sent, id)
			m.reduce(t, AbandonedByCaller{ID: id})
		}
	}
	for range 100 {
		m.now = m.now.Add(time.Second)
		m.reduce(t, Tick{})
		for id := range m.sent {
			delete(m.sent, id)
			m.reduce(t, AbandonedByCaller{ID: id})
		}
	}
	if len(m.held) > 0 {
		t.Fatalf("%d held requests received no answer", len(m.held))
	}
}

// After every event of a random sequence, the reducer's state must satisfy its invariants and agree
// with the callerModel.
func TestRandomEvents(t *testing.T) { rapid.Check(t, runRandomEvents) }

func FuzzEvents(f *testing.F) { f.Fuzz(rapid.MakeFuzz(runRandomEvents)) }

func TestCheckDetectsInconsistentState(t *testing.T) {
	r := newReducerTest(t, 1, 1)
	r.reduce(0, submit(1, "organisation-0"))
	r.reducer.organisations["organisation-0"].inflight++
	r.Assert(r.reducer.Check(), qt.IsNotNil)
}
