package gateway

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonlink/wigeonlink/budget"
)

const (
	// firstBuffer is the size of the first buffer for a response of unknown length, in bytes.
	firstBuffer = 4 << 10

	// copyBuffer is the size of the buffer for the rest of a long response, in bytes: what is read from the target before its caller has taken what
	// was read earlier.
	copyBuffer = 32 << 10
)

// readBuffered reads a response until its end, or until it has more than maxBufferedResponse bytes or the host's memory budget allows no more.
// whole is false if there may be more.
func (a *attempt) readBuffered(resp *http.Response) (data []byte, whole bool, err error) {
	size := int64(firstBuffer)
	if resp.ContentLength >= 0 {
		size = min(resp.ContentLength, maxBufferedResponse) + 1 // one more byte finds the end
	}
	for {
		if len(data) == cap(data) {
			if len(data) > maxBufferedResponse || !a.account.Hold(budget.Answer, size-int64(cap(data)), time.Now()) {
				return data, false, nil
			}
			a.account.Settle() // until the target has sent it
			data = append(make([]byte, 0, size), data...)
			size = min(2*size, maxBufferedResponse+1)
		}
		n, err := resp.Body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, true, nil
		}
		if err != nil {
			return data, false, eris.Wrap(err, "answer")
		}
	}
}

// copyRest forwards a part of a long response that has been read, and then the rest as its caller takes it.
func (a *attempt) copyRest(f *bufferedResponse, rest io.Reader) error {
	a.account.Unsettle(budget.Answer, int64(cap(f.data)), time.Now())
	_, err := delivered{a.call}.Write(f.data)
	f.data = nil
	if err != nil {
		return err
	}
	a.account.Hold(budget.Answer, copyBuffer, time.Now()) // at most what has been held
	_, err = io.CopyBuffer(delivered{a.call}, rest, make([]byte, copyBuffer))
	return err
}
