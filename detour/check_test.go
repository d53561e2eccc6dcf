package detour

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink/event"
	"github.com/wigeonlink/wigeonlink/network"
)

type (
	// answerTest is a host, another host and two targets that answer each byte with one.
	answerTest struct {
		*qt.C
		virtual *network.Virtual
		host    *Network
		other   *otherHost
		targets map[netip.AddrPort]*answeringTarget
		losses  chan netip.AddrPort // as observed
	}

	// answeringTarget is a target that may be in trouble, for all hosts.
	answeringTarget struct{ resets, silent bool }

	// byteProber asks for one byte.
	byteProber struct{}
)

func (byteProber) Probe(ctx context.Context, c net.Conn, _ netip.AddrPort) error {
	deadline, _ := ctx.Deadline()
	return ask(c, deadline)
}

// ask sends a byte and waits for one.
func ask(c net.Conn, deadline time.Time) error {
	if err := c.SetDeadline(deadline); err != nil {
		return err
	}
	if _, err := c.Write([]byte("?")); err != nil {
		return err
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

func runAnswerTest(t *testing.T, f func(a *answerTest)) {
	synctest.Test(t, func(t *testing.T) {
		v := network.NewVirtual(time.Millisecond)
		a := &answerTest{C: qt.New(t), virtual: v, targets: map[netip.AddrPort]*answeringTarget{one: {}, two: {}}, losses: make(chan netip.AddrPort, 100)}
		for address, target := range a.targets {
			l, err := v.At(address.Addr()).Listen(address)
			a.Assert(err, qt.IsNil)
			go target.serve(l)
		}
		log := event.NewLog("host")
		a.host = NewNetwork(v.At(netip.MustParseAddr("10.1.0.1")), log)
		a.other = &otherHost{Network: v.At(netip.MustParseAddr("10.1.0.2"))}
		a.host.SetRelay(a.other)
		a.host.SetProber(byteProber{})
		a.host.SetLossObserver(func(to netip.AddrPort) { a.losses <- to })
		f(a)
		v.Close()
		time.Sleep(5 * time.Second)
	})
}

func (g *answeringTarget) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
				return
			}
			switch {
			case g.resets:
				_ = c.(interface{ SetLinger(int) error }).SetLinger(0)
			case g.silent:
				_, _ = io.Copy(io.Discard, c)
			default:
				_, _ = c.Write([]byte("!"))
			}
		}()
	}
}

// lost returns the targets whose paths have been lost since the previous call.
func (a *answerTest) lost() (out []string) {
	for len(a.losses) > 0 {
		out = append(out, (<-a.losses).String())
	}
	slices.Sort(out)
	return out
}

// askedCount returns how often the other host was asked for a connection.
func (a *answerTest) askedCount() int {
	a.other.mu.Lock()
	defer a.other.mu.Unlock()
	return a.other.asked
}

func (a *answerTest) cut(prefix string, c network.Cut) {
	a.virtual.SetCut(netip.MustParseAddr("10.1.0.1"), netip.MustParsePrefix(prefix), c)
}

// request sends a request with a deadline of 1 s, and returns through which host it went.
func (a *answerTest) request(to netip.AddrPort) (via string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	c, err := a.host.Dial(ctx, to)
	if err != nil {
		return "", err
	}
	defer c.Close()
	if d, ok := c.(*Conn); ok {
		via = d.Via
	}
	deadline, _ := ctx.Deadline()
	return via, ask(c, deadline)
}

var (
	openCuts = map[string]network.Cut{"reset": network.CutOpenReset, "silent": network.CutOpenSilent}
	both     = []netip.AddrPort{one, two}
)

// requestAll sends a request to each of the targets, and checks that it is answered and goes through the given host.
func (a *answerTest) requestAll(targets []netip.AddrPort, wantVia string) {
	a.Helper()
	for _, to := range targets {
		via, err := a.request(to)
		a.Check(err, qt.IsNil)
		a.Check(via, qt.Equals, wantVia)
	}
}

// repeat calls f at intervals for a time.
func repeat(d, interval time.Duration, f func()) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(interval) {
		f()
	}
}

// A host whose connections to targets opened and were reset or ignored took each for a proof of its paths, and served nothing
// (review/10). It uses another host's connections once that gets answers and it does not, and its own again after the end.
func TestPathThatOpensWithoutAnswerIsLost(t *testing.T) {
	for name, cut := range openCuts {
		t.Run(name, func(t *testing.T) {
			runAnswerTest(t, func(a *answerTest) { a.loseAndFind(cut) })
		})
	}
}

// loseAndFind cuts the host off from both targets for a while.
func (a *answerTest) loseAndFind(cut network.Cut) {
	a.cut("10.2.0.0/16", cut)
	for _, to := range both {
		go func() { _, _ = a.request(to) }()
	}
	time.Sleep(1500 * time.Millisecond)
	a.Check(a.lost(), qt.DeepEquals, []string{one.String(), two.String()})
	a.Check(a.host.Detached(), qt.IsTrue)
	repeat(2*time.Second, 100*time.Millisecond, func() { a.requestAll(both, "other") })
	a.cut("10.2.0.0/16", network.CutNone)
	repeat(time.Second, 50*time.Millisecond, func() {
		for _, to := range both {
			_, err := a.request(to)
			a.Check(err, qt.IsNil)
		}
	})
	asked := a.askedCount()
	a.requestAll(both, "")
	a.Check(a.askedCount(), qt.Equals, asked)
}

// The path to one target is lost, and that to another one is not: only requests to the first go through another host.
func TestOnePathThatOpensWithoutAnswerIsLost(t *testing.T) {
	for name, cut := range openCuts {
		t.Run(name, func(t *testing.T) {
			runAnswerTest(t, func(a *answerTest) {
				a.cut("10.2.0.1/32", cut)
				_, err := a.request(one)
				a.Check(err, qt.IsNotNil)
				time.Sleep(500 * time.Millisecond)
				a.Check(a.lost(), qt.DeepEquals, []string{one.String()})
				repeat(2*time.Second, 100*time.Millisecond, func() {
					a.requestAll([]netip.AddrPort{one}, "other")
					a.requestAll([]netip.AddrPort{two}, "")
				})
				a.Check(a.host.Detached(), qt.IsFalse)
			})
		})
	}
}

// Targets that reset or ignore the requests of all hosts are not lost paths: no request goes through another host, and the
// checks remain few.
func TestSickTargetsAreNoLostPaths(t *testing.T) {
	for name, trouble := range map[string]answeringTarget{"reset": {resets: true}, "silent": {silent: true}} {
		for _, sick := range [][]netip.AddrPort{{one}, both} {
			t.Run(name, func(t *testing.T) {
				runAnswerTest(t, func(a *answerTest) { a.requestSick(sick, trouble) })
			})
		}
	}
}

// requestSick sends requests to both targets, of which some are sick.
func (a *answerTest) requestSick(sick []netip.AddrPort, trouble answeringTarget) {
	const span = 20 * time.Second
	for _, to := range sick {
		*a.targets[to] = trouble
	}
	repeat(span, 50*time.Millisecond, func() {
		for _, to := range both {
			go func() {
				via, _ := a.request(to)
				a.Check(via, qt.Equals, "")
			}()
		}
	})
	time.Sleep(time.Second)
	a.Check(a.lost(), qt.HasLen, 0)
	a.Check(a.askedCount() <= len(sick)*int(span/maxCheckDelay+3), qt.IsTrue, qt.Commentf("%d checks", a.askedCount()))
}

// Slow targets are not checked while any answers arrive.
func TestSlowTargetIsNotChecked(t *testing.T) {
	runAnswerTest(t, func(a *answerTest) {
		a.targets[one].silent = true
		for range 3 {
			go func() {
				c, err := a.host.Dial(context.Background(), one)
				if a.Check(err, qt.IsNil) {
					_, _ = c.Write([]byte("?"))
				}
			}()
		}
		for range 40 {
			_, err := a.request(two)
			a.Check(err, qt.IsNil)
			time.Sleep(50 * time.Millisecond)
		}
		a.Check(a.askedCount(), qt.Equals, 0)
	})
}

// A request was sent over a path that gives no answers, and ended as unknown, when no other host could be asked at that
// moment. It was not sent.
func TestMutePathIsNotUsedWithoutOtherHost(t *testing.T) {
	runAnswerTest(t, func(a *answerTest) {
		a.cut("10.2.0.0/16", network.CutOpenReset)
		_, err := a.request(one)
		a.Check(err, qt.IsNotNil)
		time.Sleep(100 * time.Millisecond)
		a.other.mu.Lock()
		a.other.err = errors.New("too many relayed connections")
		a.other.mu.Unlock()
		_, err = a.host.Dial(context.Background(), one)
		a.Check(err, qt.ErrorMatches, ".*too many relayed connections")
	})
}

// A host says that no target answers it before the first answer, and again once its connections are lost, also if it has not found
// that out.
func TestHostWithoutAnswersSaysSo(t *testing.T) {
	for name, c := range openCuts {
		t.Run(name, func(t *testing.T) {
			runAnswerTest(t, func(a *answerTest) {
				a.Check(a.host.Unanswered(), qt.IsTrue)
				a.requestAll(both, "")
				a.Check(a.host.Unanswered(), qt.IsFalse)
				a.cut("10.2.0.0/16", c)
				time.Sleep(soundTime)
				_, _ = a.request(one)
				a.Check(a.host.Unanswered(), qt.IsTrue)
			})
		})
	}
}
