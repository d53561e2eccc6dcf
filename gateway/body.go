package gateway

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/wigeonlink/wigeonlink/answer"
)

// memory bounds the bytes of requests' bodies that are held at once. The zero value
// allows any number.
type memory struct {
	most int64
	used atomic.Int64
}

// take reserves bytes, or reports that there is no room.
func (m *memory) take(n int64) bool {
	if m.used.Add(n) > m.most && m.most > 0 {
		m.used.Add(-n)
		return false
	}
	return true
}

func (m *memory) give(n int64) { m.used.Add(-n) }

// body is a request's body in memory.
type body struct {
	data   []byte
	taken  int64
	memory *memory
}

// bodyStep is how much room is reserved at a time for a body of unknown length.
const bodyStep = 64 << 10 // bytes

// readBody reads a whole body of at most most bytes. release gives its room back.
func readBody(r *http.Request, m *memory, most int64) (*body, error) {
	b := &body{memory: m}
	if r.Body == nil || r.Body == http.NoBody {
		return b, nil
	}
	if r.ContentLength > most {
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
	return b, b.readChunks(r.Body, most)
}

// readChunks reads a body whose length is not known ahead.
func (b *body) readChunks(r io.Reader, most int64) error {
	for {
		if int64(cap(b.data)-len(b.data)) < bodyStep {
			if !b.reserve(bodyStep) {
				return answer.New(answer.KindBusy, "")
			}
			b.data = append(make([]byte, 0, b.taken), b.data...)
		}
		n, err := r.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		if int64(len(b.data)) > most {
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

func (b *body) reserve(n int64) bool {
	if !b.memory.take(n) {
		return false
	}
	b.taken += n
	return true
}

// release gives the body's room back.
func (b *body) release() {
	b.memory.give(b.taken)
	b.taken, b.data = 0, nil
}
