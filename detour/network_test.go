package detour

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink/event"
	"github.com/wigeonlink/wigeonlink/network"
)

// otherHost is a Relay that connects from another machine, or fails with err.
type otherHost struct {
	network.Network
	mu    sync.Mutex
	err   error
	asked int
}

func (o *otherHost) Connect(ctx context.Context, to netip.AddrPort, _ bool) (net.Conn, string, error) {
	o.mu.Lock()
	o.asked++
	failure := o.err
	o.mu.Unlock()
	if failure != nil {
		return nil, "", failure
	}
	c, err := o.Network.Dial(ctx, to)
	return c, "other", err
}

// dialTest is a host, a target that writes a byte to each connection, and another host.
type dialTest struct {
	*qt.C
	virtual *network.Virtual
	host    *Network
	other   *otherHost
	target  netip.AddrPort
}

func runDialTest(t *testing.T, f func(d *dialTest)) {
	synctest.Test(t, func(t *testing.T) {
		v := network.NewVirtual(time.Millisecond)
		d := &dialTest{C: qt.New(t), virtual: v, target: one}
		l, err := v.At(one.Addr()).Listen(one)
		d.Assert(err, qt.IsNil)
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				_, _ = c.Write([]byte("x"))
			}
		}()
		d.host = NewNetwork(v.At(netip.MustParseAddr("10.1.0.1")), event.NewLog("host"))
		d.other = &otherHost{Network: v.At(netip.MustParseAddr("10.1.0.2"))}
		d.host.SetRelay(d.other)
		f(d)
		v.Close()
		time.Sleep(time.Second)
	})
}

func (d *dialTest) cut(c network.Cut) {
	d.virtual.SetCut(netip.MustParseAddr("10.1.0.1"), netip.MustParsePrefix("10.2.0.0/16"), c)
}

// dial opens a connection, and returns through which host and the time that it took.
func (d *dialTest) dial() (via string, took time.Duration, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 250*time.Millisecond)
	defer cancel()
	began := time.Now()
	c, err := d.host.Dial(ctx, d.target)
	if err != nil {
		return "", time.Since(began), err
	}
	defer c.Close()
	if r, ok := c.(*Conn); ok {
		via = r.Via
	}
	var b [1]byte
	_, readErr := io.ReadFull(c, b[:])
	d.Check(readErr, qt.IsNil)
	return via, time.Since(began), nil
}

// Another host opens the connections while a cut lasts, without a delay from the second one on. After its end the
// host's own are used again.
func TestDialThroughAnotherHost(t *testing.T) {
	for name, cut := range map[string]network.Cut{"silent": network.CutSilent, "reset": network.CutReset, "refused": network.CutRefused} {
		t.Run(name, func(t *testing.T) {
			runDialTest(t, func(d *dialTest) {
				via, _, err := d.dial()
				d.Check(err, qt.IsNil)
				d.Check(via, qt.Equals, "")
				d.Check(d.other.asked, qt.Equals, 0)
				d.cut(cut)
				for i := range 3 {
					via, took, err := d.dial()
					d.Check(err, qt.IsNil)
					d.Check(via, qt.Equals, "other")
					d.Check(took < 10*time.Millisecond || i == 0 && took < detourDelay+10*time.Millisecond, qt.IsTrue, qt.Commentf("%s", took))
					time.Sleep(100 * time.Millisecond)
				}
				d.cut(network.CutNone)
				time.Sleep(probeInterval)
				_, _, err = d.dial() // probes
				d.Check(err, qt.IsNil)
				time.Sleep(10 * time.Millisecond)
				asked := d.other.asked
				via, _, err = d.dial()
				d.Check(err, qt.IsNil)
				d.Check(via, qt.Equals, "")
				d.Check(d.other.asked, qt.Equals, asked)
			})
		})
	}
}

// A target that no host reaches fails for its callers in time. That nobody listens is known if one host says so.
func TestDialOfLostTarget(t *testing.T) {
	runDialTest(t, func(d *dialTest) {
		d.target = two // nobody listens there
		_, took, err := d.dial()
		d.Check(err, qt.ErrorIs, syscall.ECONNREFUSED)
		d.Check(took < 20*time.Millisecond, qt.IsTrue)
		d.cut(network.CutSilent)
		_, _, err = d.dial()
		d.Check(err, qt.ErrorIs, syscall.ECONNREFUSED)
		d.other.err = context.DeadlineExceeded
		_, took, err = d.dial()
		d.Check(err, qt.ErrorIs, context.DeadlineExceeded)
		d.Check(took <= 260*time.Millisecond, qt.IsTrue)
		d.Check(d.host.Detached(), qt.IsFalse)
	})
}
