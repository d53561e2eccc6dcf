package dispatch

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/forecast"
	"github.com/wigeonlink/wigeonlink/share"
	"github.com/wigeonlink/wigeonlink/table"
	"github.com/wigeonlink/wigeonlink/target"
)

// callerModel feeds random events to a reducer and tracks, from the callers' side, the state that
// each request must be in.
type callerModel struct {
	reducer                 *Reducer
	now                     time.Time
	nextID                  ID
	held                    map[ID]bool   // requests that wait for a decision
	sent                    map[ID]string // dispatched requests, with their target
	tokens                  map[ID]int    // delivered tokens
	nonIdempotentDispatches map[ID]int    // dispatches of requests that are not idempotent, without unsent ones
	moving                  map[ID]string // destinations of moves in progress
	leaving                 map[string]bool
	inflightCap             int
	version                 uint64
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
		inflightCap:             rapid.IntRange(0, 6).Draw(t, "limit"),
	}
	m.changeTable(t, 3, 2, 4)
	return m
}

// changeTable puts a new table version in force.
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

func (m *callerModel) applyEffect(t *rapid.T, f Effect) {
	switch f.Kind {
	case EffectDispatch:
		m.applyDispatch(t, f)
	case EffectRefuse:
		if !m.held[f.ID] {
			t.Fatalf("refusal of request %d, which is not held", f.ID)
		}
		if f.Answer.Row().Outcome == answer.NotRun && m.tokens[f.ID] > 0 {
			t.Fatalf("request %d refused as not run after %d tokens", f.ID, m.tokens[f.ID])
		}
		delete(m.held, f.ID)
	case EffectMove:
		if m.moving[f.ID] != "" || m.sent[f.ID] != f.Target || f.To.Name == f.Target || m.leaving[f.To.Name] {
			t.Fatalf("move of request %d from %s to %s; it runs at %q and is moving to %q", f.ID, f.Target, f.To.Name, m.sent[f.ID], m.moving[f.ID])
		}
		m.moving[f.ID] = f.To.Name
	case EffectNoMove:
		if m.moving[f.ID] != "" {
			t.Fatalf("request %d reported as not movable while it is moving", f.ID)
		}
	case EffectCancel, EffectResume:
		if m.sent[f.ID] != f.Target {
			t.Fatalf("%s of request %d at %s; it runs at %q", f.Kind, f.ID, f.Target, m.sent[f.ID])
		}
		if f.Kind == EffectCancel {
			delete(m.sent, f.ID)
		}
	}
}

func (m *callerModel) applyDispatch(t *rapid.T, f Effect) {
	switch {
	case !m.held[f.ID]:
		t.Fatalf("dispatch of request %d, which is not held", f.ID)
	case m.tokens[f.ID] > 0:
		t.Fatalf("dispatch of request %d after %d tokens", f.ID, m.tokens[f.ID])
	case m.leaving[f.Target]:
		t.Fatalf("dispatch to target %s, which is leaving", f.Target)
	}
	delete(m.held, f.ID)
	m.sent[f.ID] = f.Target
	if n, ok := m.nonIdempotentDispatches[f.ID]; ok {
		m.nonIdempotentDispatches[f.ID] = n + 1
		if n > 0 {
			t.Fatalf("second dispatch of request %d, which is not idempotent", f.ID)
		}
	}
	inflight := 0
	for id := range m.sent {
		if q := m.reducer.requests[id]; q != nil && q.organisation.spec.Name == "organisation-0" {
			inflight++
		}
	}
	if m.inflightCap > 0 && inflight > m.inflightCap {
		t.Fatalf("%d requests in flight, the cap is %d", inflight, m.inflightCap)
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
	if s.NonIdempotent {
		m.nonIdempotentDispatches[s.ID] = 0
	}
	m.held[s.ID] = true
	m.reduce(t, s)
}

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

func (m *callerModel) ended(t *rapid.T) {
	if id := m.pickSent(t); id != 0 {
		delete(m.sent, id)
		m.reduce(t, Ended{ID: id, Usage: target.Usage{Output: m.tokens[id], Cached: rapid.IntRange(0, 5000).Draw(t, "cached")}})
	}
}

func (m *callerModel) failed(t *rapid.T) {
	id := m.pickSent(t)
	if id == 0 {
		return
	}
	delete(m.sent, id)
	delete(m.moving, id) // a failed attempt ends the move
	m.held[id] = true    // the request waits for a decision again
	delivered := m.tokens[id] > 0
	certainty := rapid.SampledFrom([]target.Certainty{target.CertaintyUnknown, target.CertaintyNotRun, target.CertaintyLost}).Draw(t, "certainty")
	if delivered && certainty == target.CertaintyNotRun {
		certainty = target.CertaintyLost
	}
	unsent := !delivered && certainty == target.CertaintyNotRun && rapid.Bool().Draw(t, "unsent")
	if n, ok := m.nonIdempotentDispatches[id]; ok && unsent {
		m.nonIdempotentDispatches[id] = n - 1
	}
	m.reduce(t, AttemptFailed{ID: id, Certainty: certainty, Delivered: delivered, Rebooted: rapid.Bool().Draw(t, "rebooted"), Unsent: unsent})
}

// moveOrBreak breaks a stream, or lets a move in progress succeed or fail.
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
		m.reduce(t, Abandoned{ID: id})
	}
}

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
			Origin:    rapid.SampledFrom([]string{"a", "b"}).Draw(t, "origin"),
			Sequence:  rapid.Uint64Range(1, 100).Draw(t, "sequence"),
			HostIndex: 1,
			Accounts:  []share.Entry{{Account: share.Account{Organisation: "organisation-0", Pool: "model-0"}, Use: rapid.Float64().Draw(t, "use")}},
			Demands:   []TargetDemand{{engine, forecast.Demand{Streams: 2, Mean: [forecast.Horizons]float64{500, 500, 400}}, rapid.Float64Range(0, 900).Draw(t, "kept")}},
			Held:      []HeldCount{{"organisation-1", "model-0", 3, time.Second}},
		})
	case 3:
		m.reduce(t, CacheReport{Target: engine, Prefix: rapid.Uint64Range(0, 3).Draw(t, "prefix"), Held: rapid.Bool().Draw(t, "held")})
	case 4:
		m.reduce(t, Tick{})
	case 5:
		m.reduce(t, Peers{Hosts: rapid.IntRange(0, 3).Draw(t, "count")})
	case 6:
		m.changeTable(t, rapid.IntRange(1, 3).Draw(t, "organisations"), rapid.IntRange(1, 2).Draw(t, "models"), rapid.IntRange(1, 5).Draw(t, "engines"))
	case 7:
		m.reduce(t, FleetUnconfirmed{Age: time.Duration(rapid.IntRange(0, 3000).Draw(t, "age")) * time.Millisecond})
	case 8:
		left := time.Duration(rapid.IntRange(0, 2000).Draw(t, "left")) * time.Millisecond
		m.reduce(t, LeavingReply{Target: engine, Leaving: rapid.Bool().Draw(t, "told"), Left: left})
	}
}

func (m *callerModel) wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(-50, 2000).Draw(t, "ms")) * time.Millisecond)
	m.reduce(t, Tick{})
}

func runRandomEvents(t *rapid.T) {
	m := newCallerModel(t)
	steps := []func(*rapid.T){m.submit, m.submit, m.submit, m.progress, m.progress, m.ended, m.failed, m.callerLeaves, m.externalEvent, m.wait, m.moveOrBreak}
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
			m.reduce(t, Abandoned{ID: id})
		}
	}
	for range 100 {
		m.now = m.now.Add(time.Second)
		m.reduce(t, Tick{})
		for id := range m.sent {
			delete(m.sent, id)
			m.reduce(t, Abandoned{ID: id})
		}
	}
	if len(m.held) > 0 {
		t.Fatalf("%d held requests received no answer", len(m.held))
	}
}

// After every event of a random sequence the reducer's state must satisfy its invariants and
// agree with the callers' view.
func TestRandomEvents(t *testing.T) { rapid.Check(t, runRandomEvents) }

func FuzzEvents(f *testing.F) { f.Fuzz(rapid.MakeFuzz(runRandomEvents)) }

func TestCheckDetectsInconsistentState(t *testing.T) {
	r := newReducerTest(t, 1, 1)
	r.reduce(0, submit(1, "organisation-0"))
	r.reducer.organisations["organisation-0"].inflight++
	r.Assert(r.reducer.Check(), qt.IsNotNil)
}
