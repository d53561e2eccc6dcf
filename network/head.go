package network

import (
	"bytes"
	"time"

	"github.com/wigeonlink/wigeonlink/budget"
)

type (
	// HeadLimits limit what a client sends before a request's body. A limit of 0 means none.
	HeadLimits struct {
		Timeout time.Duration // from the first byte of the head to its end
		Bytes   int           // of the request line and the header lines
		Lines   int           // header lines
		Empty   int           // bytes of empty lines before the request line
	}

	// A Limit names the limit for which a listener has refused a request or closed a connection.
	Limit uint8

	// headCounter counts the lines of a request's head as its bytes arrive, before net/http parses them.
	headCounter struct {
		empty   int  // bytes of empty lines before the request line
		bytes   int  // from the request line on
		lines   int  // line ends from the request line on
		carried int  // line ends that were read together with the previous request, and may belong to this head
		after   int  // line ends that were read together with the end of the head, or with the last bytes of the body
		blank   bool // the current line has no byte yet
		ended   bool // the empty line after the head has arrived
	}
)

// The limits.
const (
	LimitNone Limit = iota
	LimitConnections
	LimitMemory
	LimitHeadBytes
	LimitHeadLines
	LimitEmptyLines
	LimitProgress
	limitCount
)

// headSlop is added to the limit of a head's bytes, as net/http does: clients count them differently.
const headSlop = 4 << 10

// headTimeSlack is added to the time limit of a head: a client that sends its end in time is not refused for the delay of the network.
const headTimeSlack = 250 * time.Millisecond

// connBufferSize is the size of net/http's read buffer of a connection, beyond which it reads into the buffer of the body's reader.
const connBufferSize = 4 << 10

var limitNames = [limitCount]string{"none", "connections", "memory", "head_bytes", "head_lines", "empty_lines", "progress"}

// Refusals of requests that have not been executed. They close the connection, as the rest of the request is not read.
var (
	refusedBusy  = []byte("HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	refusedHead  = []byte("HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	refusedEmpty = []byte("HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
)

// String returns the name of the limit in logs and metrics.
func (l Limit) String() string { return limitNames[l] }

// refusal returns the response to a request that is refused for the limit.
func (l Limit) refusal() []byte {
	switch l {
	case LimitHeadBytes, LimitHeadLines:
		return refusedHead
	case LimitEmptyLines:
		return refusedEmpty
	}
	return refusedBusy
}

// add counts the next bytes of the connection, up to the end of the head.
func (h *headCounter) add(data []byte) {
	if h.ended {
		return
	}
	if h.bytes == 0 {
		rest := bytes.TrimLeft(data, "\r\n")
		h.empty += len(data) - len(rest)
		data = rest
	}
	for len(data) > 0 && !h.ended {
		line, rest, found := bytes.Cut(data, []byte{'\n'})
		h.bytes += len(data) - len(rest)
		if len(bytes.TrimSuffix(line, []byte{'\r'})) > 0 {
			h.blank = false
		}
		if found {
			h.lines++
			h.ended, h.blank = h.blank, true
		}
		data = rest
	}
	if h.ended {
		h.after = bytes.Count(data, []byte{'\n'})
	}
}

// cost returns the bytes of memory that the head takes once parsed.
func (h *headCounter) cost() int64 {
	return int64(h.bytes)*budget.HeadByteCost + int64(h.lines+h.carried)*budget.HeadLineCost
}

// exceeded returns the limit that the head exceeds.
func (h *headCounter) exceeded(l HeadLimits) Limit {
	switch {
	case l.Empty > 0 && h.empty > l.Empty:
		return LimitEmptyLines
	case l.Bytes > 0 && h.bytes > l.Bytes+headSlop:
		return LimitHeadBytes
	case l.Lines > 0 && h.lines > l.Lines:
		return LimitHeadLines
	}
	return LimitNone
}
