package abuse

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink/platform/emulator"
)

// subject is one process of the program, which runs with lowered limits, and the site that it serves.
type subject struct {
	site    *emulator.Site
	servers []*emulator.Server
	cmd     *exec.Cmd
	ended   chan struct{}
	caller  netip.AddrPort
	ready   netip.AddrPort
	logPath string
}

const (
	memoryMb      = 64  // of the host; an idle process has a resident set of less than half of it
	maxFds        = 600 // of the host, of which the platform reserves 200 for files
	readyTimeout  = 20 * time.Second
	answerTimeout = 30 * time.Second // for an ordinary request after the crowd has left
	gracePeriod   = 8 * time.Second
)

// newSubject starts a process and waits until it is ready.
func newSubject(t *testing.T) (*qt.C, *subject) {
	c := qt.New(t)
	folder := c.TempDir()
	program := filepath.Join(folder, "wigeonlink")
	out, err := exec.Command("go", "build", "-o", program, "github.com/wigeonlink/wigeonlink/cmd/wigeonlink").CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	s := &subject{ended: make(chan struct{}), logPath: filepath.Join(folder, "log")}
	s.site, err = emulator.NewSite()
	c.Assert(err, qt.IsNil)
	c.Cleanup(s.site.Close)
	for _, zone := range []string{"north", "south"} {
		server, err := s.site.AddServer("counter-"+zone, emulator.CounterService, zone)
		c.Assert(err, qt.IsNil)
		s.servers = append(s.servers, server)
	}
	c.Assert(s.site.Configure(func(o *emulator.Config) {
		o.Limits = map[string]int{"MaxHeaderBytes": 16_384, "MaxBodyBytes": 4 << 20, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15_000}
		for n := range o.Routes {
			o.Routes[n].TimeoutMs = 20_000
		}
	}), qt.IsNil)
	ip := netip.MustParseAddr("127.0.0.1")
	ports := freePorts(c, ip)
	s.caller, s.ready = netip.AddrPortFrom(ip, ports[0]), netip.AddrPortFrom(ip, ports[1])
	settings := emulator.HostSettings{
		Name: "front-1", Domain: "north", IP: ip, Caller: s.caller, Ready: s.ready, Control: netip.AddrPortFrom(ip, ports[2]),
		FirstPort: ports[3], StoreAddress: s.site.StoreAddress, Grace: gracePeriod, MemoryMb: memoryMb, MaxFds: maxFds,
	}
	path := filepath.Join(folder, "settings.toml")
	c.Assert(os.WriteFile(path, []byte(settings.String()), 0o600), qt.IsNil)
	logFile, err := os.Create(s.logPath)
	c.Assert(err, qt.IsNil)
	defer logFile.Close()
	s.cmd = exec.Command(program, "platform", "--metrics", fmt.Sprint(ports[4]))
	s.cmd.Dir = folder
	s.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + folder, "LANG=C", emulator.SettingsVariable + "=" + path}
	s.cmd.Stdout, s.cmd.Stderr = logFile, logFile
	c.Assert(s.cmd.Start(), qt.IsNil)
	go func() {
		_ = s.cmd.Wait() // the state shows how it ended
		close(s.ended)
	}()
	c.Cleanup(s.stop)
	for deadline := time.Now().Add(readyTimeout); !s.isReady(); time.Sleep(50 * time.Millisecond) {
		c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("the host is not ready"))
	}
	return c, s
}

// freePorts returns different ports that are free.
func freePorts(c *qt.C, ip netip.Addr) (ports [5]uint16) {
	for n := range ports {
		l, err := net.Listen("tcp", netip.AddrPortFrom(ip, 0).String())
		c.Assert(err, qt.IsNil)
		defer l.Close()
		ports[n] = l.Addr().(*net.TCPAddr).AddrPort().Port()
	}
	return ports
}

func (s *subject) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + s.ready.String() + emulator.ReadyPath)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (s *subject) stop() {
	_ = s.cmd.Process.Signal(syscall.SIGTERM) // fails only if the process has ended
	select {
	case <-s.ended:
	case <-time.After(gracePeriod):
		_ = s.cmd.Process.Kill() // as above
		<-s.ended
	}
}

// peakMemory returns the largest resident set of the process so far, in bytes.
func (s *subject) peakMemory(c *qt.C) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.cmd.Process.Pid))
	c.Assert(err, qt.IsNil)
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			c.Assert(err, qt.IsNil)
			return kb << 10
		}
	}
	c.Fatal("the process has no peak of its resident set")
	return 0
}

// openDescriptors returns the number of descriptors of the process, or 0 if it has ended.
func (s *subject) openDescriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", s.cmd.Process.Pid))
	if err != nil {
		return 0 // the check after the crowd reports the end
	}
	return len(entries)
}

// attack runs a number of clients until each has returned, then checks the process.
func (s *subject) attack(c *qt.C, clients int, client func(number int)) {
	idle := s.peakMemory(c)
	var crowd sync.WaitGroup
	for n := range clients {
		crowd.Go(func() { client(n) })
	}
	left := make(chan struct{})
	go func() { crowd.Wait(); close(left) }()
	descriptors := 0
	for present := true; present; {
		descriptors = max(descriptors, s.openDescriptors())
		select {
		case <-left:
			present = false
		case <-time.After(20 * time.Millisecond):
		}
	}
	select {
	case <-s.ended:
		c.Fatalf("the process has ended: %v", s.cmd.ProcessState)
	default:
	}
	peak := s.peakMemory(c)
	c.Logf("resident set: idle %.1f MB, peak %.1f MB; descriptors: at most %d", float64(idle)/(1<<20), float64(peak)/(1<<20), descriptors)
	c.Check(peak <= memoryMb<<20, qt.IsTrue, qt.Commentf("the resident set was %d bytes, the settings allow %d", peak, memoryMb<<20))
	c.Check(descriptors <= maxFds, qt.IsTrue, qt.Commentf("%d descriptors were open, the settings allow %d", descriptors, maxFds))
	c.Check(s.answersOrdinaryRequest(), qt.IsTrue, qt.Commentf("no ordinary request was answered within %s", answerTimeout))
}

// answersOrdinaryRequest reports whether the process answers a request within answerTimeout. One that is refused as not executed is sent again.
func (s *subject) answersOrdinaryRequest() bool {
	for _, server := range s.servers {
		server.SetResponseSize(0)
		server.SetFault(emulator.ServerFault{})
	}
	q := emulator.CallerRequest{ID: "ordinary", Path: emulator.LookupsPrefix + "1", Deadline: 2 * time.Second}
	for deadline := time.Now().Add(answerTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		conn, err := net.DialTimeout("tcp", s.caller.String(), time.Second)
		if err != nil {
			continue
		}
		_ = conn.SetDeadline(time.Now().Add(3 * time.Second)) // fails only if the connection is closed
		if _, err = io.WriteString(conn, q.String()); err == nil {
			var resp *http.Response
			if resp, err = http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: q.Method()}); err == nil {
				body, err := io.ReadAll(resp.Body)
				if err == nil && resp.StatusCode == http.StatusOK && string(body) == q.ResponseBody() {
					conn.Close()
					return true
				}
			}
		}
		conn.Close()
	}
	return false
}
