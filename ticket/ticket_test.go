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

func ring(c *qt.C, phrases ...string) *Keyring {
	keys := make([][]byte, len(phrases))
	for i, p := range phrases {
		keys[i] = DeriveKey(p)
	}
	k, err := NewKeyring(keys...)
	c.Assert(err, qt.IsNil)
	return k
}

func eventID(sealed string, n int) string { return string(AppendEvent(nil, sealed, n)) }

func TestCursorOpensForItsOrganisationUntilItExpires(t *testing.T) {
	c := qt.New(t)
	k := ring(c, "new", "old")
	sealed, err := ring(c, "old").SealCursor(&wire.Cursor{Organisation: table.Hash("m"), Generation: "g", Expiry: now.Unix() + 10})
	c.Assert(err, qt.IsNil)
	at, err := k.OpenCursor(eventID(sealed, 6), "m", now)
	c.Assert(err, qt.IsNil)
	c.Assert(at.Next, qt.Equals, 7)
	c.Assert(at.Cursor.Generation, qt.Equals, "g")
	refused := []struct {
		ring *Keyring
		text string
		who  string
		when time.Time
		kind answer.Kind
	}{
		{k, eventID(sealed, 6), "other", now, answer.KindWrongOrganisation},
		{k, eventID(sealed, 6), "m", now.Add(10 * time.Second), answer.KindExpiredCursor},
		{ring(c, "new"), eventID(sealed, 6), "m", now, answer.KindBadCursor},
		{k, eventID(sealed[1:], 6), "m", now, answer.KindBadCursor},
		{k, sealed + ".x", "m", now, answer.KindBadCursor},
		{k, sealed + ".-2", "m", now, answer.KindBadCursor},
		{k, "", "m", now, answer.KindBadCursor},
	}
	for _, r := range refused {
		_, err := r.ring.OpenCursor(r.text, r.who, r.when)
		c.Assert(answer.From(err).Kind, qt.Equals, r.kind)
	}
}

func TestSealedTextServesOnePurpose(t *testing.T) {
	c := qt.New(t)
	k := ring(c, "key")
	sealed, err := k.SealCursor(&wire.Cursor{Organisation: table.Hash("m")})
	c.Assert(err, qt.IsNil)
	_, err = k.OpenTicket(sealed, "m")
	c.Assert(answer.From(err).Kind, qt.Equals, answer.KindBadTicket)
}

func TestClaimIsGivenOnce(t *testing.T) {
	c := qt.New(t)
	l := NewLedger()
	id, _, ok := l.Issue("m", now)
	c.Assert(ok, qt.IsTrue)
	d := DigestOf("s", "POST", "/", "", nil)
	var mu sync.Mutex
	var all sync.WaitGroup
	claims := 0
	for range 50 {
		all.Go(func() {
			if s, _, _ := l.Claim(id, "m", d, now); s == StateUnused {
				mu.Lock()
				claims++
				mu.Unlock()
			}
		})
	}
	all.Wait()
	c.Assert(claims, qt.Equals, 1)
	l.Finish(id, StateRan, Reply{Status: 200})
	s, r, _ := l.Claim(id, "m", d, now)
	c.Assert(s, qt.Equals, StateRan)
	c.Assert(r.Status, qt.Equals, 200)
	s, _, _ = l.Claim(id, "m", DigestOf("s", "POST", "/other", "", nil), now)
	c.Assert(s, qt.Equals, StateOther)
}

func TestUnusedTicketEndsAsNotRun(t *testing.T) {
	c := qt.New(t)
	l := NewLedger()
	d := DigestOf("s", "POST", "/", "", nil)
	expired, expiry, _ := l.Issue("m", now)
	s, _, _ := l.Claim(expired, "m", d, expiry)
	c.Assert(s, qt.Equals, StateBurnt)
	kept, _, _ := l.Issue("m", now)
	c.Assert(l.Freeze(), qt.HasLen, 2)
	s, _, _ = l.Claim(kept, "m", d, now)
	c.Assert(s, qt.Equals, StateBurnt)
	_, _, ok := l.Issue("m", now)
	c.Assert(ok, qt.IsFalse)
	l.Expire(expiry.Add(Keep + time.Second))
	c.Assert(l.Len(), qt.Equals, 0)
}

func TestAdoptedRecordIsNeverARightToRun(t *testing.T) {
	c := qt.New(t)
	l := NewLedger()
	for _, s := range []State{StateUnused, StateExecuting, StateRan, StateBurnt, StateUnknown} {
		l.Adopt(Entry{ID: s.String(), Organisation: "m", State: s, Expiry: now.Add(time.Minute)})
		got, _, _ := l.Claim(s.String(), "m", Digest{}, now)
		c.Assert(got, qt.Not(qt.Equals), StateUnused)
	}
	got, _ := l.Look("unused", "m", now)
	c.Assert(got, qt.Equals, StateUnknown)
}

func FuzzOpen(f *testing.F) {
	k, err := NewKeyring(DeriveKey("key"))
	if err != nil {
		f.Fatal(err)
	}
	sealed, err := k.SealCursor(&wire.Cursor{Organisation: table.Hash("m"), Expiry: now.Unix() + 10})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(sealed + ".3")
	f.Add("x.y")
	f.Fuzz(func(t *testing.T, text string) {
		if at, err := k.OpenCursor(text, "m", now); err == nil && at.Next < 0 {
			t.Fatal("negative position")
		}
		_, _ = k.OpenTicket(text, "m")
	})
}
