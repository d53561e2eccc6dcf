package network

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink/budget"
)

// serveGuarded starts a server whose handler counts requests and answers with size bytes.
func serveGuarded(c *qt.C, g Guard, size int) (address string, served *atomic.Int64) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	l := NewRetiringListener(tcp)
	l.Guard = g
	served = &atomic.Int64{}
	s := &http.Server{ConnState: l.ConnState, MaxHeaderBytes: 32 << 10, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		served.Add(1)
		_, _ = w.Write(make([]byte, size)) // fails if the client is given up
	})}
	go func() { _ = s.Serve(l) }()
	c.Cleanup(func() { s.Close() })
	return tcp.Addr().String(), served
}

// exchange sends text on a new connection, then the rest after a pause, and returns the status of the response, or 0 if there is none.
func exchange(c *qt.C, address, text string, pause time.Duration, rest string) int {
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	c.Assert(conn.SetDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	_, _ = io.WriteString(conn, text) // the response says whether it has been read
	time.Sleep(pause)
	_, _ = io.WriteString(conn, rest) // as above
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// Each limit on a head ends it, and a head within all of them, also one of very many lines, is served.
func TestHeadsOverALimitAreRefused(t *testing.T) {
	const head = "GET / HTTP/1.1\r\nHost: a\r\n"
	limits := HeadLimits{Timeout: 300 * time.Millisecond, Bytes: 16_384, Lines: 4096, Empty: 64}
	for _, test := range []struct {
		name, text, rest string
		pause            time.Duration
		limits           HeadLimits
		status           int
	}{
		{name: "ordinary", text: head + "\r\n", limits: limits, status: 200},
		{name: "3,750 lines in 15,000 bytes", text: head + strings.Repeat("a:\r\n", 3750), rest: "\r\n", limits: limits, status: 200},
		{name: "too many lines", text: head + strings.Repeat("a:\r\n", 100), rest: "\r\n", limits: HeadLimits{Lines: 100}, status: 431},
		{name: "too many bytes", text: head + "a: " + strings.Repeat("x", 21_000), limits: limits, status: 431},
		{name: "without end", text: head + strings.Repeat("a:\r\n", 6000), limits: limits, status: 431},
		{name: "empty lines", text: strings.Repeat("\r\n", 64), limits: limits, status: 400},
		{name: "too slow", text: head, pause: 600 * time.Millisecond, rest: "\r\n", limits: limits, status: 0},
		{name: "slow, but in time", text: head, pause: 100 * time.Millisecond, rest: "\r\n", limits: HeadLimits{Timeout: 5 * time.Second}, status: 200},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			address, served := serveGuarded(c, Guard{HeadLimits: func() HeadLimits { return test.limits }}, 0)
			c.Assert(exchange(c, address, test.text, test.pause, test.rest), qt.Equals, test.status)
			c.Assert(served.Load() == 1, qt.Equals, test.status == 200)
		})
	}
}

// A head that is ended for its cost is refused with 503 as not executed, and is not executed when the rest of it arrives.
func TestEvictedHeadIsNotExecuted(t *testing.T) {
	c := qt.New(t)
	b := budget.NewBudget(budget.Limits{Memory: 2 << 20})
	var limited atomic.Int64
	address, served := serveGuarded(c, Guard{Budget: b, Limited: func(l Limit) {
		if l == LimitMemory {
			limited.Add(1)
		}
	}}, 0)
	long := "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:\r\n", 3750)
	status := make(chan int)
	go func() { status <- exchange(c, address, long, time.Second, "\r\n") }()
	time.Sleep(400 * time.Millisecond)
	for end := time.Now().Add(5 * time.Second); exchange(c, address, long, 0, "\r\n") != 200; {
		c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("what the other connection held is not freed"))
	}
	c.Assert(<-status, qt.Equals, 503)
	c.Assert(served.Load(), qt.Equals, int64(1))
	c.Assert(limited.Load() > 0, qt.IsTrue)
}

// Connections and requests are no longer counted when they have ended.
func TestBudgetIsReturned(t *testing.T) {
	c := qt.New(t)
	b := budget.NewBudget(budget.Limits{Memory: 64 << 20, Connections: 8})
	address, _ := serveGuarded(c, Guard{Budget: b}, 10)
	for n := range 20 {
		c.Assert(exchange(c, address, fmt.Sprintf("GET /%d HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", n), 0, ""), qt.Equals, 200)
	}
	for end := time.Now().Add(5 * time.Second); b.Usage() != (budget.Usage{}) && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	c.Assert(b.Usage(), qt.Equals, budget.Usage{})
}

// A client that reads slowly gets its whole response, however long it takes, and one that reads nothing is given up after the time limit.
func TestWritesThatMakeNoProgressAreGivenUp(t *testing.T) {
	const size = 512 << 10
	c := qt.New(t)
	var limited atomic.Int64
	b := budget.NewBudget(budget.Limits{Memory: 64 << 20})
	address, _ := serveGuarded(c, Guard{Budget: b, WriteTimeout: time.Second, Limited: func(l Limit) {
		if l == LimitProgress {
			limited.Add(1)
		}
	}}, size)
	open := func(readBuffer int) *net.TCPConn {
		conn, err := net.Dial("tcp", address)
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { conn.Close() })
		c.Assert(conn.(*net.TCPConn).SetReadBuffer(readBuffer), qt.IsNil)
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		c.Assert(err, qt.IsNil)
		return conn.(*net.TCPConn)
	}
	open(4 << 10) // reads nothing
	slow := open(32 << 10)
	resp, err := http.ReadResponse(bufio.NewReader(slow), nil)
	c.Assert(err, qt.IsNil)
	part := make([]byte, 16<<10)
	total := 0
	for err == nil {
		var n int
		n, err = io.ReadFull(resp.Body, part)
		total += n
		time.Sleep(100 * time.Millisecond)
	}
	c.Assert(total, qt.Equals, size, qt.Commentf("%v", err))
	c.Assert(limited.Load(), qt.Equals, int64(1))
}
