package ticket

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/table"
	"github.com/wigeonlink/wigeonlink/wire"
)

var now = time.Unix(1_700_000_000, 0)

// newKeyring returns a keyring of the keys derived from phrases.
func newKeyring(c *qt.C, phrases ...string) *Keyring {
	keys := make([][]byte, len(phrases))
	for i, p := range phrases {
		keys[i] = DeriveKey(p)
	}
	k, err := NewKeyring(keys...)
	c.Assert(err, qt.IsNil)
	return k
}

func eventID(sealed string, n int) string { return string(AppendEventID(nil, sealed, n)) }

func TestCursorOpensForItsOrganisationUntilItExpires(t *testing.T) {
	c := qt.New(t)
	k := newKeyring(c, "new", "old")
	sealed, err := newKeyring(c, "old").SealCursor(&wire.Cursor{Organisation: table.HashName("m"), Generation: "g", Expiry: now.Unix() + 10})
	c.Assert(err, qt.IsNil)
	position, err := k.OpenCursor(eventID(sealed, 6), "m", now)
	c.Assert(err, qt.IsNil)
	c.Assert(position.Next, qt.Equals, 7)
	c.Assert(position.Cursor.Generation, qt.Equals, "g")
	refused := []struct {
		name         string
		keyring      *Keyring
		text         string
		organisation string
		now          time.Time
		kind         answer.Kind
	}{
		{"other organisation", k, eventID(sealed, 6), "other", now, answer.KindWrongOrganisation},
		{"expired cursor", k, eventID(sealed, 6), "m", now.Add(10 * time.Second), answer.KindExpiredCursor},
		{"unknown key", newKeyring(c, "new"), eventID(sealed, 6), "m", now, answer.KindBadCursor},
		{"truncated text", k, eventID(sealed[1:], 6), "m", now, answer.KindBadCursor},
		{"event number not numeric", k, sealed + ".x", "m", now, answer.KindBadCursor},
		{"event number below -1", k, sealed + ".-2", "m", now, answer.KindBadCursor},
		{"empty text", k, "", "m", now, answer.KindBadCursor},
	}
	for _, r := range refused {
		_, err := r.keyring.OpenCursor(r.text, r.organisation, r.now)
		c.Assert(answer.From(err).Kind, qt.Equals, r.kind, qt.Commentf("case %s", r.name))
	}
}

func TestSealedTextOpensForItsPurposeOnly(t *testing.T) {
	c := qt.New(t)
	k := newKeyring(c, "key")
	sealed, err := k.SealCursor(&wire.Cursor{Organisation: table.HashName("m")})
	c.Assert(err, qt.IsNil)
	_, err = k.OpenTicket(sealed, "m")
	c.Assert(answer.From(err).Kind, qt.Equals, answer.KindBadTicket)
}

func TestTicketIsClaimedOnce(t *testing.T) {
	c := qt.New(t)
	l := NewLedger()
	id, _, ok := l.Issue("m", now)
	c.Assert(ok, qt.IsTrue)
	d := DigestOf("s", "POST", "/", "", nil)
	var mu sync.Mutex
	var claimers sync.WaitGroup
	claims := 0
	for range 50 {
		claimers.Go(func() {
			if s, _, _ := l.Claim(id, "m", d, now); s == StateUnused {
				mu.Lock()
				claims++
				mu.Unlock()
			}
		})
	}
	claimers.Wait()
	c.Assert(claims, qt.Equals, 1)
	l.Finish(id, StateRan, Reply{Status: 200})
	s, r, _ := l.Claim(id, "m", d, now)
	c.Assert(s, qt.Equals, StateRan)
	c.Assert(r.Status, qt.Equals, 200)
	s, _, _ = l.Claim(id, "m", DigestOf("s", "POST", "/other", "", nil), now)
	c.Assert(s, qt.Equals, StateOtherCall)
}

func TestExpiredOrFrozenTicketIsNotRun(t *testing.T) {
	c := qt.New(t)
	l := NewLedger()
	d := DigestOf("s", "POST", "/", "", nil)
	expired, expiry, _ := l.Issue("m", now)
	s, _, _ := l.Claim(expired, "m", d, expiry)
	c.Assert(s, qt.Equals, StateNotRun)
	unused, _, _ := l.Issue("m", now)
	c.Assert(l.Freeze(), qt.HasLen, 2)
	s, _, _ = l.Claim(unused, "m", d, now)
	c.Assert(s, qt.Equals, StateNotRun)
	_, _, ok := l.Issue("m", now)
	c.Assert(ok, qt.IsFalse)
	l.DeleteExpired(expiry.Add(RecordRetention + time.Second))
	c.Assert(l.Len(), qt.Equals, 0)
}

func TestImportedRecordCannotBeClaimed(t *testing.T) {
	c := qt.New(t)
	l := NewLedger()
	for _, s := range []State{StateUnused, StateExecuting, StateRan, StateNotRun, StateUnknown} {
		l.Import(Entry{ID: s.String(), Organisation: "m", State: s, Expiry: now.Add(time.Minute)})
		got, _, _ := l.Claim(s.String(), "m", Digest{}, now)
		c.Assert(got, qt.Not(qt.Equals), StateUnused)
	}
	got, _ := l.Lookup("unused", "m", now)
	c.Assert(got, qt.Equals, StateUnknown)
}

// FuzzOpen checks that OpenCursor and OpenTicket accept any text without a panic, and that
// OpenCursor never returns a negative token index.
func FuzzOpen(f *testing.F) {
	k, err := NewKeyring(DeriveKey("key"))
	if err != nil {
		f.Fatal(err)
	}
	sealed, err := k.SealCursor(&wire.Cursor{Organisation: table.HashName("m"), Expiry: now.Unix() + 10})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(sealed + ".3")
	f.Add("x.y")
	f.Fuzz(func(t *testing.T, text string) {
		if position, err := k.OpenCursor(text, "m", now); err == nil && position.Next < 0 {
			t.Fatalf("cursor %q: negative token index %d", text, position.Next)
		}
		_, _ = k.OpenTicket(text, "m")
	})
}
