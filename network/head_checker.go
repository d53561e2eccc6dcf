package network

import (
	"bytes"

	"github.com/rotisserie/eris"
	"golang.org/x/net/http/httpguts"
)

// headChecker checks the heads of responses, as their bytes arrive, for what net/http accepts or drops: versions other than 1.1 and 1.0,
// names of fields that are no tokens, lines that continue the one before, and the transfer coding of HTTP/1.0, which has none. A client would pass
// such lines on, or find the body by other lines than its sender meant. The zero value is ready for the first response.
type headChecker struct {
	line    []byte // bytes of a line whose end has not arrived
	fields  bool   // the status line has been read
	http10  bool   // of HTTP/1.0
	interim bool   // of an interim response, after which another head follows
	ended   bool   // the head of the final response has been read
	err     error  // of a malformed line
}

const statusDigits = 3

var (
	errHeadLine       = eris.Errorf("a line of the response's head is longer than %d bytes", MaxResponseHead)
	errStatusLine     = eris.New("the response does not begin with a status line of HTTP/1.1 or HTTP/1.0")
	errFieldName      = eris.New("a line of the response's head does not begin with the name of a field")
	errHTTP10Encoding = eris.New("the response of HTTP/1.0 has a transfer coding")

	transferEncoding = []byte("Transfer-Encoding")
)

// next prepares for the response to another request on the connection. It has no effect inside a head.
func (h *headChecker) next() {
	if h.ended {
		*h = headChecker{line: h.line}
	}
}

// add checks bytes of the connection up to the end of the head. The error, if any, is that of all later calls, too.
func (h *headChecker) add(data []byte) error {
	for h.err == nil && !h.ended && len(data) > 0 {
		end := bytes.IndexByte(data, '\n')
		if end < 0 {
			h.hold(data)
			break
		}
		line := data[:end]
		if len(h.line) > 0 {
			h.hold(line)
			line = h.line
		}
		h.line, data = h.line[:0], data[end+1:]
		if h.err == nil {
			h.err = h.check(bytes.TrimSuffix(line, []byte("\r")))
		}
	}
	return h.err
}

// hold appends bytes to the line whose end has not arrived.
func (h *headChecker) hold(data []byte) {
	if len(h.line)+len(data) > MaxResponseHead {
		h.err = errHeadLine
		return
	}
	h.line = append(h.line, data...)
}

// checkStatus checks the first line of a head.
func (h *headChecker) checkStatus(line []byte) error {
	version, status, _ := bytes.Cut(line, []byte(" "))
	code, _, _ := bytes.Cut(status, []byte(" "))
	http11 := bytes.Equal(version, []byte("HTTP/1.1"))
	h.http10 = bytes.Equal(version, []byte("HTTP/1.0"))
	if !http11 && !h.http10 || len(code) != statusDigits || bytes.ContainsFunc(code, func(r rune) bool { return r < '0' || r > '9' }) {
		return errStatusLine
	}
	h.fields, h.interim = true, code[0] == '1'
	return nil
}

// check checks a line of a head.
func (h *headChecker) check(line []byte) error {
	switch {
	case !h.fields:
		return h.checkStatus(line)
	case len(line) == 0:
		h.fields, h.ended = false, !h.interim
		return nil
	}
	name, _, ok := bytes.Cut(line, []byte(":"))
	switch {
	case !ok || !httpguts.ValidHeaderFieldName(string(name)):
		return errFieldName
	case h.http10 && bytes.EqualFold(name, transferEncoding):
		return errHTTP10Encoding
	}
	return nil
}
