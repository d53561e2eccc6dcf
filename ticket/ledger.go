package ticket

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"
)

type (
	// A Ledger holds the records of the tickets that this host executes. A record is
	// the only right to run its call: it is claimed once, and without a record
	// nothing runs. All methods may be called at any time.
	Ledger struct {
		mu      sync.Mutex
		records map[string]*record
		frozen  bool
	}

	// A State says what became of a ticket's call.
	State uint8

	// A Digest identifies the call that a ticket was used for.
	Digest [sha256.Size]byte

	// A Reply is the kept answer of a call that has run.
	Reply struct {
		Status  int
		Service string
		Header  map[string][]string
		Body    []byte
	}

	// An Entry is one ticket's record as handed to another host.
	Entry struct {
		ID           string
		Organisation string
		State        State
		Expiry       time.Time
		Reply        Reply
	}

	record struct {
		Entry
		digest Digest
		used   bool
		done   chan struct{} // closed when the call is no longer executing
	}
)

// The states. A ticket whose call provably did not run is unused again.
const (
	StateNone      State = iota // no record
	StateUnused                 // the call may still run
	StateExecuting              // the call is under way
	StateRan                    // the call ran and its reply is kept
	StateBurnt                  // the call did not run and never will
	StateUnknown                // the call was sent and its fate is not known
	StateOther                  // the ticket was used for another call
)

const (
	// Life is how long a ticket can be used.
	Life = 2 * time.Minute

	// Keep is how long a record outlives its ticket, so that its outcome can be
	// asked for.
	Keep = 10 * time.Minute

	mostRecords = 100_000
	mostKept    = 64 << 10 // bytes of a reply's body
	idSize      = 16       // bytes
)

var stateNames = [...]string{"none", "unused", "executing", "ran", "not_run", "unknown", "other_call"}

// String returns the state's name on the wire.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return stateNames[StateUnknown]
	}
	return stateNames[s]
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{records: map[string]*record{}} }

// DigestOf identifies a call.
func DigestOf(service, method, path, query string, body []byte) Digest {
	h := sha256.New()
	for _, part := range []string{service, method, path, query} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(body)
	return Digest(h.Sum(nil))
}

// Issue makes a record and returns its identifier. It reports false if the ledger is
// full or the host is stopping.
func (l *Ledger) Issue(organisation string, now time.Time) (string, time.Time, bool) {
	var raw [idSize]byte
	_, _ = rand.Read(raw[:]) // crypto/rand never fails
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.frozen || len(l.records) >= mostRecords {
		return "", time.Time{}, false
	}
	id, expiry := hex.EncodeToString(raw[:]), now.Add(Life)
	l.records[id] = &record{Entry: Entry{ID: id, Organisation: organisation, State: StateUnused, Expiry: expiry}}
	return id, expiry, true
}

// Claim takes the right to run a call. Only a claim that reports StateUnused may run
// it, and must end with Finish. While another runs it, wait is closed when that has
// ended.
func (l *Ledger) Claim(id, organisation string, d Digest, now time.Time) (s State, r Reply, wait <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	rec := l.find(id, organisation, now)
	switch {
	case rec == nil:
		return StateNone, Reply{}, nil
	case rec.used && rec.digest != d:
		return StateOther, Reply{}, nil
	case rec.State == StateExecuting:
		return StateExecuting, Reply{}, rec.done
	case rec.State != StateUnused:
		return rec.State, rec.Reply, nil
	case l.frozen:
		rec.State = StateBurnt
		return StateBurnt, Reply{}, nil
	}
	rec.State, rec.digest, rec.used = StateExecuting, d, true
	rec.done = make(chan struct{})
	return StateUnused, Reply{}, nil
}

// find returns an organisation's record. One that expired unused is burnt.
func (l *Ledger) find(id, organisation string, now time.Time) *record {
	rec := l.records[id]
	if rec == nil || rec.Organisation != organisation {
		return nil
	}
	if rec.State == StateUnused && !now.Before(rec.Expiry) {
		rec.State = StateBurnt
	}
	return rec
}

// Finish ends a claim with what is known of its call.
func (l *Ledger) Finish(id string, s State, r Reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	rec := l.records[id]
	if rec == nil || rec.State != StateExecuting {
		return
	}
	if len(r.Body) > mostKept {
		r.Body = nil
	}
	rec.State, rec.Reply = s, r
	close(rec.done)
}

// Look returns what became of a ticket.
func (l *Ledger) Look(id, organisation string, now time.Time) (State, Reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	rec := l.find(id, organisation, now)
	if rec == nil {
		return StateNone, Reply{}
	}
	return rec.State, rec.Reply
}

// Burn makes sure that an unused ticket's call never runs, and returns the state
// that the ticket has then.
func (l *Ledger) Burn(id, organisation string, now time.Time) State {
	l.mu.Lock()
	defer l.mu.Unlock()
	rec := l.find(id, organisation, now)
	if rec == nil {
		return StateNone
	}
	if rec.State == StateUnused {
		rec.State = StateBurnt
	}
	return rec.State
}

// Expire drops records that nobody can ask for any more.
func (l *Ledger) Expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, rec := range l.records {
		if rec.State != StateExecuting && now.Sub(rec.Expiry) > Keep {
			delete(l.records, id)
		}
	}
}

// Freeze ends the use of tickets here and returns the records for another host.
// Unused tickets are burnt: two hosts must never hold the right to run one call.
func (l *Ledger) Freeze() []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.frozen = true
	entries := make([]Entry, 0, len(l.records))
	for _, rec := range l.records {
		e := rec.Entry
		switch e.State {
		case StateUnused:
			rec.State, e.State = StateBurnt, StateBurnt
		case StateExecuting:
			e.State = StateUnknown
		}
		entries = append(entries, e)
	}
	return entries
}

// Adopt takes in a record that another host has handed over. It can be looked at but
// never run.
func (l *Ledger) Adopt(e Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.State == StateUnused || e.State == StateExecuting || len(l.records) >= mostRecords {
		e.State = StateUnknown
	}
	if l.records[e.ID] == nil {
		l.records[e.ID] = &record{Entry: e}
	}
}

// Len returns the number of records.
func (l *Ledger) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records)
}
