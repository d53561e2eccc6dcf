package standin

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

// A RawReader is a place at which a client reads responses.
type RawReader struct {
	Message RawMessage // that the client asks for
	Framed  bool       // the client refuses responses that end with their connection
	Kept    bool       // the connection has carried a sound response before
	OwnEnd  bool       // the body shows its own end, and bytes after that are ignored

	// Read sends a request with a body, which it may leave out, and returns the body of the response.
	Read func(ctx context.Context, at netip.AddrPort, upload []byte) (body string, err error)
}

const (
	// rawUpload is the length of a request that is responded to early, in bytes: more than the operating system takes for a server that does not
	// read.
	rawUpload = 3 << 20

	rawTimeout    = 10 * time.Second // of an exchange
	rawConcurrent = 16               // exchanges at the same time
)

// Check has the client read each sound and each broken response of the message. It returns an error for each sound one that the client did not read
// whole, and for each broken one that it did not refuse.
func (r RawReader) Check(ctx context.Context) error {
	sound, broken := r.Message.Sound(), r.Message.Broken()
	wrong := make([]error, len(sound)+len(broken))
	var g errgroup.Group
	g.SetLimit(rawConcurrent)
	for i, resp := range append(sound, broken...) {
		g.Go(func() error {
			body, err := r.Exchange(ctx, resp)
			wrong[i] = eris.Wrapf(r.judge(resp, i < len(sound), body, err), "%s", resp.Name)
			return nil
		})
	}
	_ = g.Wait() // the functions return nil
	return errors.Join(wrong...)
}

// judge returns an error if what the client has read of a response is wrong.
func (r RawReader) judge(resp RawResponse, sound bool, body string, err error) error {
	whole := err == nil && body == r.Message.Body
	switch {
	case sound && !(r.Framed && resp.Unframed):
		if !whole {
			return eris.Errorf("read as %.100q, error %v", body, err)
		}
	case err != nil, whole && r.OwnEnd && resp.SoundHead:
	default:
		return eris.Errorf("taken for a whole response: %.100q", body)
	}
	return nil
}

// Exchange has the client send a request to a server with a response, and returns what it reads. The request is long if the response is an early
// one.
func (r RawReader) Exchange(ctx context.Context, resp RawResponse) (string, error) {
	var count atomic.Int64
	s, err := NewRawServer(func(*http.Request) RawResponse {
		if r.Kept && count.Add(1) == 1 {
			first := r.Message.Sound()[0]
			first.End = EndKeep
			return first
		}
		return resp
	})
	if err != nil {
		return "", err
	}
	defer s.Close()
	ctx, cancel := context.WithTimeout(ctx, rawTimeout)
	defer cancel()
	upload := []byte("{}")
	if resp.Early {
		upload = make([]byte, rawUpload)
	}
	return r.Read(ctx, s.Address(), upload)
}
