package relay

// A Sequence detects duplicate and missing tokens of a stream by their numbers, which are
// consecutive. The zero value expects token 0.
type Sequence struct{ next int }

// A TokenStatus is the result of comparing the number of a token with the expected number.
type TokenStatus uint8

// The values of TokenStatus.
const (
	Expected  TokenStatus = iota
	Duplicate             // below the expected number: the token was accepted before
	Gap                   // above the expected number: a token is missing
)

// NewSequence returns a sequence whose first expected token has the number next.
func NewSequence(next int) Sequence { return Sequence{next} }

// Accept returns the status of the token with number n. If it is the expected one, the sequence
// then expects n+1.
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

// Complete reports whether the sequence has accepted exactly the tokens of a stream of total
// tokens.
func (s *Sequence) Complete(total int) bool { return s.next == total }
