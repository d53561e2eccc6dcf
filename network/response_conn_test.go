package network_test

import (
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink/network"
	"github.com/wigeonlink/wigeonlink/standin"
)

// readConn reads from a reader.
type readConn struct {
	net.Conn
	io.Reader
}

func (r readConn) Read(b []byte) (int, error) { return r.Reader.Read(b) }

// A head is checked in the same way however its bytes arrive.
func TestHeadIsCheckedInAnyParts(t *testing.T) {
	m := standin.RawMessage{Header: "Request-Id: 1\r\n", Body: "body: \r\n\r\n x y: 1\r\n"}
	read := func(text string, parts func(io.Reader) io.Reader) error {
		_, err := io.ReadAll(network.NewResponseConn(readConn{Reader: parts(strings.NewReader(text))}, false))
		return err
	}
	whole := func(r io.Reader) io.Reader { return r }
	c := qt.New(t)
	for _, r := range m.Sound() {
		c.Check(read(r.Text, whole), qt.IsNil, qt.Commentf("%s", r.Name))
		c.Check(read(r.Text, iotest.OneByteReader), qt.IsNil, qt.Commentf("%s", r.Name))
	}
	refused := 0
	for _, r := range m.Broken() {
		err := read(r.Text, whole)
		c.Check(read(r.Text, iotest.OneByteReader), qt.Equals, err, qt.Commentf("%s", r.Name))
		if err != nil {
			refused++
		}
	}
	c.Check(refused > 0, qt.IsTrue)
}
