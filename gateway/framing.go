package gateway

import (
	"net/http"

	"github.com/wigeonlink/wigeonlink/network"
)

type (
	// framing is how a target marks the end of a response body. The zero value means that there is
	// no response.
	framing uint8

	// streamEnd is what the end of a response proves about its stream.
	streamEnd uint8
)

const (
	framingNone    framing = iota // no response
	framingClose                  // by closing the connection, which a target that fails does, too
	framingLength                 // by its length
	framingChunked                // by a final chunk
)

const (
	streamBroken   streamEnd = iota // the target broke the stream off
	streamClosed                    // the target closed the connection between two events, because it had completed or stopped the generation
	streamComplete                  // the framing shows that the response is whole
)

var framingNames = [...]string{"none", "close", "length", "chunked"}

// framingOf returns the framing of a response.
func framingOf(resp *http.Response) framing {
	switch {
	case network.EndsWithConnection(resp):
		return framingClose
	case resp.ContentLength >= 0:
		return framingLength
	}
	return framingChunked
}

// String returns the name of the framing in logs.
func (f framing) String() string { return framingNames[f] }
