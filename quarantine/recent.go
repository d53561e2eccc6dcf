package quarantine

import "time"

// recentParts holds the parts that were added most recently, each with the latest time. The zero value
// is empty.
type recentParts struct {
	current, previous map[Part]time.Time // a part that is added again moves to current
}

const maxRecentParts = 2048 // parts in each of the two maps

// add adds a part. When current is full, it replaces previous.
func (s *recentParts) add(p Part, at time.Time) {
	if _, ok := s.current[p]; !ok && len(s.current) >= maxRecentParts {
		s.previous, s.current = s.current, nil
	}
	if s.current == nil {
		s.current = map[Part]time.Time{}
	}
	s.current[p] = at
}

// latest returns the time at which a part was added last.
func (s *recentParts) latest(p Part) (time.Time, bool) {
	if at, ok := s.current[p]; ok {
		return at, true
	}
	at, ok := s.previous[p]
	return at, ok
}
