package gateway

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/wigeonlink/wigeonlink/answer"
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
}

// bodyGrowth is the step in bytes by which the buffer of a body of unknown length grows.
const bodyGrowth = 64 << 10

// readBody reads the body of r, at most limit bytes. The returned body is never nil and must be
// released even if readBody fails.
func readBody(r *http.Request, m *memoryBudget, limit int64) (*body, error) {
	b := &body{budget: m}
	if r.Body == nil || r.Body == http.NoBody {
		return b, nil
	}
	if r.ContentLength > limit {
		return b, answer.New(answer.KindBodyTooLarge, "")
	}
	if r.ContentLength > 0 {
		if !b.reserve(r.ContentLength) {
			return b, answer.New(answer.KindBusy, "")
		}
		b.data = make([]byte, r.ContentLength)
		_, err := io.ReadFull(r.Body, b.data)
		return b, bodyError(err)
	}
	return b, b.readChunks(r.Body, limit)
}

// readChunks reads a body of unknown length in steps of at least bodyGrowth.
func (b *body) readChunks(r io.Reader, limit int64) error {
	for {
		if int64(cap(b.data)-len(b.data)) < bodyGrowth {
			if !b.reserve(bodyGrowth) {
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
	b.reserved += n
	return true
}

// release drops the data and returns the reserved bytes to the budget.
func (b *body) release() {
	b.budget.release(b.reserved)
	b.reserved, b.data = 0, nil
}
