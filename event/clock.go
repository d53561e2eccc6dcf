package event

import (
	"sync"
	"time"
)

type (
	// A Stamp is a timestamp of a hybrid logical clock: the physical time, and a counter
	// that orders events of the same millisecond. See Kulkarni et al., "Logical Physical
	// Clocks", 2014.
	Stamp struct {
		Wall  int64  `json:"wall"`  // milliseconds since the Unix epoch
		Count uint32 `json:"count"` // orders stamps with the same Wall
	}

	// A Clock is a hybrid logical clock. Its stamps strictly increase, and are later than
	// any stamp that it has accepted from another process. The zero value is ready to use.
	Clock struct {
		mu   sync.Mutex
		last Stamp
		wall func() time.Time // physical clock; nil means time.Now
	}
)

// maxClockSkew is the limit by which a stamp from another process may be ahead of the physical
// time of this one.
const maxClockSkew = time.Minute

// Before reports whether s is earlier than o.
func (s Stamp) Before(o Stamp) bool {
	return s.Wall < o.Wall || s.Wall == o.Wall && s.Count < o.Count
}

// Time returns the physical time of s, with a precision of one millisecond.
func (s Stamp) Time() time.Time { return time.UnixMilli(s.Wall) }

// now returns the physical time in milliseconds since the Unix epoch.
func (c *Clock) now() int64 {
	if c.wall != nil {
		return c.wall().UnixMilli()
	}
	return time.Now().UnixMilli()
}

// Next returns a stamp later than all that the clock has returned or accepted.
func (c *Clock) Next() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	if wall := c.now(); wall > c.last.Wall {
		c.last = Stamp{Wall: wall}
	} else {
		c.last.Count++
	}
	return c.last
}

// Observe advances the clock to a stamp from another process. It ignores a stamp that is
// ahead of the physical time by maxClockSkew or more, so that a peer with a wrong clock
// cannot move this clock far into the future.
func (c *Clock) Observe(s Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.Before(s) && s.Wall < c.now()+maxClockSkew.Milliseconds() {
		c.last = s
	}
}
