// Package readmission decides when callers that were refused may come back, and which requests are theirs. The load that
// it handles: for some seconds, 2.4 times as many long generations arrive as engines have memory for, and each refused
// caller submits its request again after the Retry-After that it was given. With equal delays they return together, find no
// memory again, and compete with the requests that arrived meanwhile.
package readmission

import (
	"slices"
	"time"
)

type (
	// A Key identifies the request of a caller that may come back.
	Key struct {
		Organisation, Route string
		Subject             uint64 // hash of the last part of the prompt; 0 means not known
	}

	// A Refusal is a request that is refused. Times are durations since an epoch that the caller chooses.
	Refusal struct {
		Key    Key
		Size   float64       // memory that it needs, in tokens
		Wait   time.Duration // forecast time until memory is free for it, after all that is promised
		Left   time.Duration // time until the caller's deadline
		Urgent bool
	}

	// Promises are the refusals whose callers may still come back. The zero value has none.
	Promises struct{ list []promise } // in the order in which they were made

	promise struct {
		Refusal
		made, due time.Duration
	}
)

const (
	// minDelay is the shortest delay; sooner retries only add load.
	minDelay = 50 * time.Millisecond

	// MaxPart is the largest part of the time that a caller has left that a delay takes. Callers ignore delays of more than
	// a third, and the gateway cuts them to a quarter.
	MaxPart = 0.25

	// returnGrace is the time after the delay within which the caller is expected.
	returnGrace = time.Second

	// maxPromises bounds the number of promises. Above it, the oldest are dropped.
	maxPromises = 4096
)

// Promise records the refusal and returns the delay after which its caller is to come back. The delay is that until
// memory is forecast to be free; since Wait includes what is promised already, callers return one after the other.
func (p *Promises) Promise(f Refusal, now time.Duration) time.Duration {
	delay := min(max(f.Wait, minDelay), time.Duration(MaxPart*float64(max(f.Left, 0))))
	if f.Key.Subject == 0 || delay <= 0 {
		return max(delay, 1)
	}
	if len(p.list) >= maxPromises {
		p.list = slices.Delete(p.list, 0, 1)
	}
	p.list = append(p.list, promise{f, now, now + delay})
	return delay
}

// Claim removes the oldest promise to a caller, and returns the time when it was made. It returns false if there is
// none.
func (p *Promises) Claim(key Key, now time.Duration) (made time.Duration, ok bool) {
	p.expire(now)
	i := slices.IndexFunc(p.list, func(m promise) bool { return m.Key == key })
	if i < 0 || key.Subject == 0 {
		return 0, false
	}
	made = p.list[i].made
	p.list = slices.Delete(p.list, i, i+1)
	return made, true
}

// Pending returns the memory that is promised, in tokens: that of urgent requests only, or of all.
func (p *Promises) Pending(urgentOnly bool, now time.Duration) float64 {
	p.expire(now)
	sum := 0.0
	for i := range p.list {
		if !urgentOnly || p.list[i].Urgent {
			sum += p.list[i].Size
		}
	}
	return sum
}

func (p *Promises) expire(now time.Duration) {
	p.list = slices.DeleteFunc(p.list, func(m promise) bool { return now > m.due+returnGrace })
}
