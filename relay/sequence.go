package relay

// A Sequence decides which tokens of a stream are new. The zero value expects
// token 0.
type Sequence struct{ next int }

// A TokenStatus is what a Sequence says of a token.
type TokenStatus uint8

// The verdicts.
const (
	Expected TokenStatus = iota
	Duplicate
	Gap
)

// NewSequence returns a sequence that expects token next.
func NewSequence(next int) Sequence { return Sequence{next} }

// Accept judges token n. It moves on only if the token is the expected one.
func (s *Sequence) Accept(n int) TokenStatus {
	switch {
	case n < s.next:
		return Duplicate
	case n > s.next:
		return Gap
	}
	s.next++
	return Expected
}

// Next returns the number of the expected token.
func (s *Sequence) Next() int { return s.next }

// Complete reports whether a stream of total tokens is whole.
func (s *Sequence) Complete(total int) bool { return s.next == total }
