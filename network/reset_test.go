package network_test

import (
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink/network"
)

// onceConn is a connection that reports its reset once: a write in progress gets the error, and a read the end. One of the two returns
// after the other.
type onceConn struct {
	net.Conn
	writing     chan struct{} // closed when a write has begun
	reset       chan struct{} // closed at the reset
	interrupted chan struct{} // closed when the deadline of writes has passed
	writeDelay  time.Duration // from the reset to the end of the write
	readDelay   time.Duration // from the reset to the end of the read
	failure     error         // of the write; nil means that it blocks until it is interrupted
	once        sync.Once
}

func newOnceConn() *onceConn {
	return &onceConn{writing: make(chan struct{}), reset: make(chan struct{}), interrupted: make(chan struct{})}
}

func (o *onceConn) Read([]byte) (int, error) {
	<-o.reset
	time.Sleep(o.readDelay)
	return 0, io.EOF
}

func (o *onceConn) Write([]byte) (int, error) {
	close(o.writing)
	<-o.reset
	if o.failure == nil {
		<-o.interrupted
		return 0, errTimeout
	}
	time.Sleep(o.writeDelay)
	return 0, o.failure
}

func (o *onceConn) SetWriteDeadline(time.Time) error {
	o.once.Do(func() { close(o.interrupted) })
	return nil
}

// errTimeout is the error of an interrupted write.
var errTimeout = func() error {
	a, _ := net.Pipe()
	_ = a.SetWriteDeadline(time.Unix(1, 0))
	_, err := a.Write([]byte("x"))
	return err
}()

// The system reports a reset once. If a write gets the error, the read beside it must not take the end that it finds for an orderly one,
// whichever of the two returns first; without the error of a write that end is orderly, also while a write blocks.
func TestResetReportedToWriteIsReadAsReset(t *testing.T) {
	cases := map[string]struct {
		failure               error
		writeDelay, readDelay time.Duration
		want                  error
	}{
		"write returns first": {syscall.ECONNRESET, 0, time.Second, syscall.ECONNRESET},
		"read returns first":  {syscall.ECONNRESET, time.Second, 0, syscall.ECONNRESET},
		"write timed out":     {syscall.ETIMEDOUT, time.Second, 0, syscall.ETIMEDOUT},
		"write blocks":        {nil, 0, 0, io.EOF},
	}
	for name, q := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, inner := qt.New(t), newOnceConn()
				inner.failure, inner.writeDelay, inner.readDelay = q.failure, q.writeDelay, q.readDelay
				conn := network.NewResetConn(inner)
				written := make(chan error, 1)
				go func() {
					_, err := conn.Write(make([]byte, 10))
					written <- err
				}()
				<-inner.writing
				close(inner.reset)
				_, err := conn.Read(make([]byte, 10))
				c.Check(err, qt.Equals, q.want)
				c.Check(<-written, qt.IsNil)
				n, err := conn.Write(make([]byte, 10)) // is dropped
				c.Check(n, qt.Equals, 10)
				c.Check(err, qt.IsNil)
			})
		})
	}
}
