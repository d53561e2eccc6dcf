package standin

import (
	"fmt"
	"strings"
	"time"
)

// A RawMessage is the content of a response with status 200, from which sound and broken responses are made.
type RawMessage struct {
	Header string // header lines, each with its end, except those that frame the body
	Body   string
}

// rawHalfPause is the time that a server leaves between the end of a response and that of its connection.
const rawHalfPause = 100 * time.Millisecond

// Sound returns the message as the whole responses that a client must accept.
func (m RawMessage) Sound() []RawResponse {
	const ok = "HTTP/1.1 200 OK"
	return []RawResponse{
		{Name: "length", Text: m.withLength(ok, "")},
		{Name: "chunks", Text: m.withChunks(ok)},
		{Name: "neither", Text: m.unframed(ok), Unframed: true},
		{Name: "after an interim response", Text: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + m.withLength(ok, "")},
		{Name: "HTTP/1.0 with a length", Text: m.withLength("HTTP/1.0 200 OK", "")},
		{Name: "HTTP/1.0 with neither", Text: m.unframed("HTTP/1.0 200 OK"), Unframed: true},
		{Name: "early with a length", Text: m.withLength(ok, ""), Early: true},
		{Name: "early with a length, then a reset", Text: m.withLength(ok, ""), Early: true, End: EndReset, Pause: time.Millisecond},
		{Name: "early with chunks", Text: m.withChunks(ok), Early: true},
		{Name: "early with neither", Text: m.unframed(ok), Unframed: true, Early: true, End: EndHalf, Pause: rawHalfPause},
	}
}

// Broken returns responses that are no whole answers of a server: with a head that is none, or with a body that is cut or cannot be read.
func (m RawMessage) Broken() []RawResponse {
	return m.brokenConnections()
}

// brokenConnections returns responses that are cut off, or that are none.
func (m RawMessage) brokenConnections() []RawResponse {
	const ok = "HTTP/1.1 200 OK"
	half := m.Body[:len(m.Body)/2]
	length, chunks := m.withLength(ok, ""), m.withChunks(ok)
	cut := m.cut(half).unframed(ok)
	var out []RawResponse
	for _, r := range []RawResponse{
		{Name: "no response"},
		{Name: "status line cut", Text: "HTTP/1.1 20"},
		{Name: "head cut inside a line", Text: ok + "\r\n" + m.Header[:len(m.Header)/2]},
		{Name: "head cut between lines", Text: ok + "\r\n" + m.Header},
		{Name: "bytes of no HTTP message", Text: "\x15\x03\x01\x00\x02\x02\x28"},
		{Name: "length cut", Text: length[:len(length)-len(m.Body)+len(half)], SoundHead: true},
		{Name: "chunks cut inside one", Text: chunks[:len(chunks)-len("0\r\n\r\n")-len(m.Body)/2], SoundHead: true},
		{Name: "chunks cut after one", Text: chunks[:len(chunks)-len("0\r\n\r\n")], SoundHead: true},
		{Name: "chunks cut in their end", Text: chunks[:len(chunks)-len("\r\n")], SoundHead: true},
		{Name: "size of a chunk that is none", Text: strings.Replace(chunks, "\r\n\r\n", "\r\n\r\nx", 1), SoundHead: true},
		{Name: "chunk longer than its size", Text: strings.Replace(chunks, "\r\n0\r\n", "x\r\n0\r\n", 1), SoundHead: true},
	} {
		out = append(out, r)
		r.Name, r.End = r.Name+", then a reset", EndReset
		out = append(out, r)
	}
	return append(out,
		RawResponse{Name: "neither, cut by a reset", Text: cut, Unframed: true, SoundHead: true, End: EndReset, Pause: time.Millisecond},
		RawResponse{Name: "neither, cut early by a reset", Text: cut, Unframed: true, SoundHead: true, Early: true, End: EndReset, Pause: time.Millisecond},
	)
}

// cut returns the message with another body.
func (m RawMessage) cut(body string) RawMessage { return RawMessage{m.Header, body} }

func (m RawMessage) unframed(status string) string {
	return status + "\r\n" + m.Header + "\r\n" + m.Body
}

// withLength returns the message with a length, and with further header lines.
func (m RawMessage) withLength(status, lines string) string {
	return fmt.Sprintf("%s\r\n%sContent-Length: %d\r\n%s\r\n%s", status, m.Header, len(m.Body), lines, m.Body)
}

func (m RawMessage) withChunks(status string) string {
	return status + "\r\n" + m.Header + "Transfer-Encoding: chunked\r\n\r\n" + m.chunks()
}

// chunks returns the body as one chunk and the end of chunks.
func (m RawMessage) chunks() string {
	return fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(m.Body), m.Body)
}
