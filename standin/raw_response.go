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

// TroubleName is the name of the header field that broken responses add. In some its bytes are changed.
const TroubleName = "X-Trouble"

// statusOK is the first line of a sound response.
const statusOK = "HTTP/1.1 200 OK"

// rawHalfPause is the time that a server leaves between the end of a response and that of its connection, as the one of net/http does.
const rawHalfPause = 500 * time.Millisecond

// Sound returns the message as the whole responses that a client must accept.
func (m RawMessage) Sound() []RawResponse {
	return []RawResponse{
		{Name: "length", Text: m.withLength(statusOK, "")},
		{Name: "chunks", Text: m.withChunks(statusOK)},
		{Name: "neither", Text: m.unframed(statusOK), Unframed: true},
		{Name: "after an interim response", Text: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + m.withLength(statusOK, "")},
		{Name: "after an interim response of HTTP/1.0", Text: "HTTP/1.0 103 Early Hints\r\n\r\n" + m.withChunks(statusOK)},
		{Name: "HTTP/1.0 with a length", Text: m.withLength("HTTP/1.0 200 OK", "")},
		{Name: "HTTP/1.0 with neither", Text: m.unframed("HTTP/1.0 200 OK"), Unframed: true},
		{Name: "early with a length", Text: m.withLength(statusOK, ""), Early: true},
		{Name: "early with a length, then a reset", Text: m.withLength(statusOK, ""), Early: true, End: EndReset, Pause: time.Millisecond},
		{Name: "early with chunks", Text: m.withChunks(statusOK), Early: true},
		{Name: "early with neither", Text: m.unframed(statusOK), Unframed: true, Early: true, End: EndHalf, Pause: rawHalfPause},
		{Name: "early with neither, request read", Text: m.unframed(statusOK), Unframed: true, Early: true, End: EndDrain},
	}
}

// Broken returns responses that are no whole answers of a server: with a head that is none, or with a body that is cut or cannot be read.
func (m RawMessage) Broken() []RawResponse {
	out := m.brokenConnections()
	out = append(out, m.brokenStatusLines()...)
	out = append(out, m.brokenFields()...)
	return append(out, m.brokenFraming()...)
}

// brokenConnections returns responses that are cut off, or that are none.
func (m RawMessage) brokenConnections() []RawResponse {
	half := m.Body[:len(m.Body)/2]
	length, chunks := m.withLength(statusOK, ""), m.withChunks(statusOK)
	cut := m.cut(half).unframed(statusOK)
	var out []RawResponse
	for _, r := range []RawResponse{
		{Name: "no response"},
		{Name: "status line cut", Text: "HTTP/1.1 20"},
		{Name: "head cut inside a line", Text: statusOK + "\r\n" + m.Header[:len(m.Header)/2]},
		{Name: "head cut between lines", Text: statusOK + "\r\n" + m.Header},
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

// brokenStatusLines returns responses whose first line is not that of a final response of HTTP/1.1 or HTTP/1.0.
func (m RawMessage) brokenStatusLines() []RawResponse {
	var out []RawResponse
	for _, line := range []string{
		"HTTP/1.1 000 Trouble", "HTTP/1.1 099 Trouble", "HTTP/1.1 101 Trouble", "HTTP/1.1 600 Trouble", "HTTP/1.1 999 Trouble", "HTTP/1.1 +20 Trouble",
		"HTTP/1.1 OK", "HTTP/1.1", "HTTP/0.9 200 OK", "HTTP/2.0 200 OK", "HTTP/1.x 200 OK", "HTTP/11 200 OK", " HTTP/1.1 200 OK", "200 OK",
	} {
		out = append(out, RawResponse{Name: "first line " + line, Text: m.withLength(line, "")})
	}
	return out
}

// brokenFields returns whole responses with a header line that is none, in the first and the last place and between other lines.
func (m RawMessage) brokenFields() []RawResponse {
	var out []RawResponse
	for name, line := range map[string]string{
		"blank in a name":         "X Trouble: 1",
		"blank before a name":     " X-Trouble: 1",
		"blank after a name":      "X-Trouble : 1",
		"tab in a name":           "X\tTrouble: 1",
		"tab before a name":       "\tX-Trouble: 1",
		"tab after a name":        "X-Trouble\t: 1",
		"NUL in a name":           "X\x00Trouble: 1",
		"control byte in a name":  "X\x01Trouble: 1",
		"carriage return in name": "X\rTrouble: 1",
		"DEL after a name":        "X-Trouble\x7f: 1",
		"separator in a name":     "X(Trouble): 1",
		"empty name":              ": 1",
		"no colon":                "X-Trouble",
		"control byte in a value": "X-Trouble: \x01",
	} {
		out = append(out,
			RawResponse{Name: name + ", between lines", Text: m.add(line+"\r\n").withLength(statusOK, "")},
			RawResponse{Name: name + ", first line", Text: statusOK + "\r\n" + line + "\r\n" + strings.TrimPrefix(m.withLength("", ""), "\r\n")},
			RawResponse{Name: name + ", last line", Text: m.withLength(statusOK, line+"\r\n")},
		)
	}
	return out
}

// brokenFraming returns responses with bodies whose framing a client cannot find, or cannot read.
func (m RawMessage) brokenFraming() []RawResponse {
	chunks := m.chunks()
	var out []RawResponse
	for _, q := range []struct{ name, status, frame, body string }{
		{"blank after the name of the length", statusOK, "Content-Length : " + fmt.Sprint(len(m.Body)), m.Body + "more"},
		{"blank before the name of the length", statusOK, " Content-Length: " + fmt.Sprint(len(m.Body)), m.Body + "more"},
		{"blank after the name of the coding", statusOK, "Transfer-Encoding : chunked", chunks},
		{"blank before the name of the coding", statusOK, " Transfer-Encoding: chunked", chunks},
		{"two lengths", statusOK, "Content-Length: 1\r\nContent-Length: 2", m.Body},
		{"negative length", statusOK, "Content-Length: -1", m.Body},
		{"length with a sign", statusOK, "Content-Length: +" + fmt.Sprint(len(m.Body)), m.Body},
		{"unknown coding", statusOK, "Transfer-Encoding: other", m.Body},
		{"HTTP/1.0 with chunks", "HTTP/1.0 200 OK", "Transfer-Encoding: chunked", chunks},
		{"HTTP/1.0 with chunks, cut", "HTTP/1.0 200 OK", "transfer-encoding: chunked", chunks[:len(chunks)/2]},
		{"HTTP/1.0 with chunks and a length", "HTTP/1.0 200 OK", "Transfer-Encoding: chunked\r\nContent-Length: " + fmt.Sprint(len(chunks)), chunks},
	} {
		out = append(out, RawResponse{Name: q.name, Text: q.status + "\r\n" + m.Header + q.frame + "\r\n\r\n" + q.body})
	}
	return out
}

// cut returns the message with another body.
func (m RawMessage) cut(body string) RawMessage { return RawMessage{m.Header, body} }

// add returns the message with further header lines.
func (m RawMessage) add(lines string) RawMessage { return RawMessage{m.Header + lines, m.Body} }

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
