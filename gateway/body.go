package gateway

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/budget"
)

// memoryBudget limits the bytes of request bodies held in memory at once. The zero value
// has no limit.
type memoryBudget struct {
	limit int64 // bytes; 0 means no limit
	used  atomic.Int64
}

// reserve adds n bytes to the used bytes. If the sum would exceed the limit, it adds nothing and
// reports false.
func (m *memoryBudget) reserve(n int64) bool {
	if m.used.Add(n) > m.limit && m.limit > 0 {
		m.used.Add(-n)
		return false
	}
	return true
}

func (m *memoryBudget) release(n int64) { m.used.Add(-n) }

// body is the body of a caller's request, held in memory until the request has ended.
type body struct {
	data     []byte
	reserved int64 // bytes that budget counts for data
	budget   *memoryBudget
	account  *budget.Account // of the caller's connection
}

const (
	// bodyGrowth is the least step in bytes by which the buffer of a body grows that is longer or of unknown length.
	bodyGrowth = 64 << 10

	// bodyProgressTimeout limits the time from one part of a body to the next, from half of it on.
	bodyProgressTimeout = 20 * time.Second

	// bodyTimeout limits the time for a whole body of a request whose deadline is earlier.
	bodyTimeout = time.Minute
)

// progressReader reads the body of a request, and fails if nothing of it arrives for bodyProgressTimeout, or after the end.
type progressReader struct {
	io.Reader
	control *http.ResponseController
	end     time.Time // for the whole body
	until   time.Time // the time limit that is set
}

// Read reads from the body.
func (p *progressReader) Read(b []byte) (int, error) {
	if now := time.Now(); p.until.Sub(now) < bodyProgressTimeout/2 && p.until.Before(p.end) {
		p.until = now.Add(bodyProgressTimeout)
		if p.end.Before(p.until) {
			p.until = p.end
		}
		_ = p.control.SetReadDeadline(p.until) // response writers of tests have no deadline
	}
	return p.Reader.Read(b)
}

// readBody reads the body of the call's request.
func (c *call) readBody() (*body, error) {
	if c.r.Body != nil && c.r.Body != http.NoBody {
		control := http.NewResponseController(c.w)
		end := c.started.Add(bodyTimeout)
		if c.deadline.After(end) {
			end = c.deadline
		}
		c.r.Body = io.NopCloser(&progressReader{Reader: c.r.Body, control: control, end: end})
		defer func() { _ = control.SetReadDeadline(time.Time{}) }() // as in Read
	}
	return readBody(c.r, &c.gateway.bodyMemory, c.account, c.gateway.maxBody())
}

// readBody reads the body of r, at most limit bytes. The returned body is never nil and must be
// released even if readBody fails.
func readBody(r *http.Request, m *memoryBudget, a *budget.Account, limit int64) (*body, error) {
	b := &body{budget: m, account: a}
	if r.Body == nil || r.Body == http.NoBody {
		return b, nil
	}
	if r.ContentLength > limit {
		return b, answer.New(answer.KindBodyTooLarge, "")
	}
	if r.ContentLength > 0 && r.ContentLength <= bodyGrowth {
		if !b.reserve(r.ContentLength) {
			return b, answer.New(answer.KindBusy, "")
		}
		b.data = make([]byte, r.ContentLength)
		_, err := io.ReadFull(r.Body, b.data)
		return b, bodyError(err)
	}
	return b, b.readChunks(r.Body, limit)
}

// readChunks reads a body that is long or of unknown length. Its buffer grows with the bytes that have arrived, as a caller may announce
// more than it sends.
func (b *body) readChunks(r io.Reader, limit int64) error {
	for {
		if len(b.data) == cap(b.data) {
			if !b.reserve(min(max(int64(cap(b.data)), bodyGrowth), limit+1+bodyGrowth-int64(cap(b.data)))) {
				return answer.New(answer.KindBusy, "")
			}
			b.data = append(make([]byte, 0, b.reserved), b.data...)
		}
		n, err := r.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		if int64(len(b.data)) > limit {
			return answer.New(answer.KindBodyTooLarge, "")
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return bodyError(err)
		}
	}
}

func bodyError(err error) error {
	if err == nil {
		return nil
	}
	return answer.Wrap(answer.KindBadBody, err, "the body ends early")
}

// reserve reserves n more bytes for the body. It reports false if the budget is exhausted.
func (b *body) reserve(n int64) bool {
	if !b.budget.reserve(n) {
		return false
	}
	if !b.account.Hold(budget.Body, b.reserved+n, time.Now()) {
		b.budget.release(n)
		return false
	}
	b.reserved += n
	return true
}

// release drops the data and returns the reserved bytes to the budget.
func (b *body) release() {
	b.budget.release(b.reserved)
	b.reserved, b.data = 0, nil
}
