package ticket

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"
)

type (
	// A Ledger holds the records of the tickets that this host has issued or imported. The
	// call of a ticket runs only after a successful claim of its record. A record has at most one
	// claim at a time, and cannot be claimed again once its call has run or may have run.
	// All methods are safe for concurrent use.
	Ledger struct {
		mu      sync.Mutex
		records map[string]*record
		frozen  bool
	}

	// A State is the execution state of a ticket's call.
	State uint8

	// A Digest is a hash of a call, see DigestOf. It shows whether a ticket that was used
	// before is presented with the same call.
	Digest [sha256.Size]byte

	// A Reply is the stored response to a ticket's call. Body is nil if the response body
	// was longer than maxReplyBody.
	Reply struct {
		Status  int
		Service string
		Header  map[string][]string
		Body    []byte
	}

	// An Entry is a ticket's record in the form that is transferred to another host.
	Entry struct {
		ID           string
		Organisation string
		State        State
		Expiry       time.Time
		Reply        Reply
	}

	// record is a ticket's record with the state of its claim, which is not transferred.
	record struct {
		Entry
		digest  Digest        // digest of the call that claimed the record; valid if claimed is set
		claimed bool          // whether a call has ever claimed the record
		done    chan struct{} // closed when the claiming call finishes
	}
)

// The states of a ticket. A ticket returns to StateUnused if its call provably did not run.
const (
	StateNone      State = iota // this host has no record of the ticket
	StateUnused                 // the ticket can be claimed for a call
	StateExecuting              // a call has claimed the ticket and is in flight
	StateRan                    // the call ran and its reply is stored
	StateNotRun                 // the call did not run and can no longer run
	StateUnknown                // the call was sent and its outcome is unknown
	StateOtherCall              // the ticket was used for a different call
)

const (
	// Lifetime is the time from the issue of a ticket to its expiry. A ticket can be
	// claimed only before its expiry.
	Lifetime = 2 * time.Minute

	// RecordRetention is how long a record is stored after its ticket has expired. During
	// that time the outcome of the ticket's call can be queried.
	RecordRetention = 10 * time.Minute

	maxRecords   = 100_000  // records in one ledger
	maxReplyBody = 64 << 10 // bytes; a longer response body is not stored
	idSize       = 16       // random bytes in a ticket identifier
)

var stateNames = [...]string{"none", "unused", "executing", "ran", "not_run", "unknown", "other_call"}

// String returns the state's name on the wire. For an undefined state it returns the name of
// StateUnknown.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return stateNames[StateUnknown]
	}
	return stateNames[s]
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{records: map[string]*record{}} }

// DigestOf returns the digest of a call. It hashes a zero byte after each text, so that texts
// that differ only in where one ends and the next begins have different digests.
func DigestOf(service, method, path, query string, body []byte) Digest {
	h := sha256.New()
	for _, part := range []string{service, method, path, query} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(body)
	return Digest(h.Sum(nil))
}

// Issue creates the record of a new ticket and returns its identifier and expiry. It
// returns false if the ledger is full or frozen.
func (l *Ledger) Issue(organisation string, now time.Time) (string, time.Time, bool) {
	var raw [idSize]byte
	_, _ = rand.Read(raw[:]) // crypto/rand never fails
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.frozen || len(l.records) >= maxRecords {
		return "", time.Time{}, false
	}
	id, expiry := hex.EncodeToString(raw[:]), now.Add(Lifetime)
	l.records[id] = &record{Entry: Entry{ID: id, Organisation: organisation, State: StateUnused, Expiry: expiry}}
	return id, expiry, true
}

// Claim claims a ticket for the call with digest d. The caller may run the call only if
// Claim returns StateUnused, and must then call Finish. If s is StateExecuting, wait is closed
// when the call in flight finishes. r is the stored reply to the call, or zero if there is none.
func (l *Ledger) Claim(id, organisation string, d Digest, now time.Time) (s State, r Reply, wait <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	rec := l.find(id, organisation, now)
	switch {
	case rec == nil:
		return StateNone, Reply{}, nil
	case rec.claimed && rec.digest != d:
		return StateOtherCall, Reply{}, nil
	case rec.State == StateExecuting:
		return StateExecuting, Reply{}, rec.done
	case rec.State != StateUnused:
		return rec.State, rec.Reply, nil
	case l.frozen:
		rec.State = StateNotRun
		return StateNotRun, Reply{}, nil
	}
	rec.State, rec.digest, rec.claimed = StateExecuting, d, true
	rec.done = make(chan struct{})
	return StateUnused, Reply{}, nil
}

// find returns the record of a ticket, or nil if there is none or if the ticket belongs to
// another organisation. It sets an unused record past its expiry to StateNotRun. The caller
// holds l.mu.
func (l *Ledger) find(id, organisation string, now time.Time) *record {
	rec := l.records[id]
	if rec == nil || rec.Organisation != organisation {
		return nil
	}
	if rec.State == StateUnused && !now.Before(rec.Expiry) {
		rec.State = StateNotRun
	}
	return rec
}

// Finish stores the outcome of a ticket's call and closes the wait channels that Claim returned
// for it. It ignores a ticket whose state is not StateExecuting.
func (l *Ledger) Finish(id string, s State, r Reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	rec := l.records[id]
	if rec == nil || rec.State != StateExecuting {
		return
	}
	if len(r.Body) > maxReplyBody {
		r.Body = nil
	}
	rec.State, rec.Reply = s, r
	close(rec.done)
}

// Lookup returns the state of a ticket and the stored reply to its call. The state is StateNone
// for a ticket without a record or of another organisation.
func (l *Ledger) Lookup(id, organisation string, now time.Time) (State, Reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	rec := l.find(id, organisation, now)
	if rec == nil {
		return StateNone, Reply{}
	}
	return rec.State, rec.Reply
}

// Revoke sets an unused ticket to StateNotRun, so that its call can no longer run. A ticket in
// any other state is unchanged. Revoke returns the resulting state.
func (l *Ledger) Revoke(id, organisation string, now time.Time) State {
	l.mu.Lock()
	defer l.mu.Unlock()
	rec := l.find(id, organisation, now)
	if rec == nil {
		return StateNone
	}
	if rec.State == StateUnused {
		rec.State = StateNotRun
	}
	return rec.State
}

// DeleteExpired deletes the records whose retention has passed, except those in StateExecuting.
func (l *Ledger) DeleteExpired(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, rec := range l.records {
		if rec.State != StateExecuting && now.Sub(rec.Expiry) > RecordRetention {
			delete(l.records, id)
		}
	}
}

// Freeze stops the issue and use of tickets on this host and returns the records for
// transfer to another host. Unused tickets are set to StateNotRun, because two hosts must
// never both be able to run the same call. The record of a call in flight is transferred with
// StateUnknown.
func (l *Ledger) Freeze() []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.frozen = true
	entries := make([]Entry, 0, len(l.records))
	for _, rec := range l.records {
		e := rec.Entry
		switch e.State {
		case StateUnused:
			rec.State, e.State = StateNotRun, StateNotRun
		case StateExecuting:
			e.State = StateUnknown
		}
		entries = append(entries, e)
	}
	return entries
}

// Import adds a record that another host has transferred, unless the ledger has a record with
// the same identifier. An imported record can be queried but never claimed: its state becomes
// StateUnknown if it is StateUnused or StateExecuting, or if the ledger is full.
func (l *Ledger) Import(e Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.State == StateUnused || e.State == StateExecuting || len(l.records) >= maxRecords {
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
