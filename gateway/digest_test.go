package gateway

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Requests have the same digest only if method, path with query, and body are the same.
func TestRequestDigest(t *testing.T) {
	base := requestDigest("GET", "/a?x=1", []byte("body"))
	qt.Check(t, requestDigest("GET", "/a?x=1", []byte("body")), qt.Equals, base)
	for _, other := range []uint64{
		requestDigest("POST", "/a?x=1", []byte("body")),
		requestDigest("GET", "/a?x=2", []byte("body")),
		requestDigest("GET", "/a?x=1", []byte("bodY")),
		requestDigest("GET", "/a?x=1body", nil),
		requestDigest("GET/a?x=1", "", []byte("body")),
	} {
		qt.Check(t, other, qt.Not(qt.Equals), base)
	}
}

// Generations with the same path and no body differ in the parts of their prompts.
func TestPromptDigest(t *testing.T) {
	base := promptDigest(1, []PromptPart{{ID: 7}, {ID: 8}})
	qt.Check(t, promptDigest(1, []PromptPart{{ID: 7}, {ID: 8}}), qt.Equals, base)
	qt.Check(t, promptDigest(1, []PromptPart{{ID: 7}, {ID: 9}}), qt.Not(qt.Equals), base)
	qt.Check(t, promptDigest(2, []PromptPart{{ID: 7}, {ID: 8}}), qt.Not(qt.Equals), base)
}

// A digest of the largest body must cost its caller no time that shows.
func BenchmarkRequestDigest(b *testing.B) {
	body := make([]byte, 4<<20)
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		requestDigest("POST", "/lots", body)
	}
}
