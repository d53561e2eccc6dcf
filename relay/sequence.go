package relay

// A Sequence detects duplicate and missing tokens of a stream by their numbers. The zero value
// expects token 0.
type Sequence struct{ next int }

// A TokenStatus compares the number of a token with the expected number.
type TokenStatus uint8

// The values of TokenStatus.
const (
	Expected  TokenStatus = iota
	Duplicate             // below the expected number
	Gap                   // above the expected number: a token is missing
)

// NewSequence returns a sequence that expects token next.
func NewSequence(next int) Sequence { return Sequence{next} }

// Accept returns the status of token n. It advances the sequence only if n is expected.
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

// Complete reports whether all tokens of a stream of total tokens were accepted.
func (s *Sequence) Complete(total int) bool { return s.next == total }
