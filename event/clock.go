package event

import (
	"sync"
	"time"
)

type (
	// A Stamp is a time of a hybrid logical clock: physical time, and a count that
	// orders events of the same millisecond. (Kulkarni and others, "Logical
	// Physical Clocks", 2014.)
	Stamp struct {
		Wall  int64  `json:"wall"` // milliseconds since the epoch
		Count uint32 `json:"count"`
	}

	// A Clock gives stamps that never fall, also across processes that exchange
	// them. The zero value is ready to use.
	Clock struct {
		mu   sync.Mutex
		last Stamp
		wall func() time.Time
	}
)

// maxAhead bounds how far a foreign stamp may move the clock forward.
const maxAhead = time.Minute

// Before reports whether s is earlier than o.
func (s Stamp) Before(o Stamp) bool {
	return s.Wall < o.Wall || s.Wall == o.Wall && s.Count < o.Count
}

// Time returns the physical part.
func (s Stamp) Time() time.Time { return time.UnixMilli(s.Wall) }

func (c *Clock) now() int64 {
	if c.wall != nil {
		return c.wall().UnixMilli()
	}
	return time.Now().UnixMilli()
}

// Next returns a stamp later than all before it.
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

// Observe moves the clock past a stamp from another process. A stamp that is
// implausibly far ahead is ignored.
func (c *Clock) Observe(s Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.Before(s) && s.Wall < c.now()+maxAhead.Milliseconds() {
		c.last = s
	}
}
