package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/wigeonlink/wigeonlink/platform/emulator"
)

type (
	// world is a small deployment on loopback addresses: the store, the servers and the hosts.
	world struct {
		record   *record
		store    *emulator.Store
		address  string // of the store
		config   emulator.Config
		folder   string
		memoryMb int // of the hosts' machines
		servers  []*server

		mu    sync.Mutex
		hosts []*process
	}

	// process is a running host.
	process struct {
		name            string
		cmd             *exec.Cmd
		ended           chan struct{}
		callers, probes netip.AddrPort
		path            string // of its settings file
	}

	// server is one server of a service. It answers on sockets of its own and renews its entry in the store.
	server struct {
		id, service, zone, address string
		slots                      int
		listener                   net.Listener
		handle                     func(net.Conn, *bufio.Reader, *http.Request, []byte)
		onPath                     func(net.Conn) bool // reports whether a connection reaches the server; nil if all do

		mu       sync.Mutex
		sequence int
		state    string
		born     int64
	}

	// record is the list of what was sent, answered and run.
	record struct {
		mu      sync.Mutex
		file    *os.File
		started time.Time
	}
)

const (
	heartbeat = 1200 * time.Millisecond
	grace     = 8 * time.Second
	secret    = "a secret that all hosts of this case share"
)

// started holds the processes of all hosts.
var started []*os.Process

func (r *record) printf(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.started).Seconds()}, values...)...)
}

// newWorld starts a store with a configuration. The case ends with status 2 if that fails.
func newWorld(config emulator.Config) *world {
	folder, err := os.MkdirTemp("", "review-")
	must(err)
	file, err := os.Create("record.txt")
	must(err)
	w := &world{record: &record{file: file, started: time.Now()}, store: emulator.NewStore(), config: config, folder: folder, memoryMb: 284}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	w.address = l.Addr().String()
	go func() { _ = http.Serve(l, w.store) }()
	w.publish()
	return w
}

// publish writes the configuration to the store.
func (w *world) publish() {
	data, err := json.Marshal(w.config)
	must(err)
	w.store.Put("op/config", data)
	w.record.printf("operator writes configuration %d", w.config.Version)
}

// close ends the hosts and removes the temporary folder.
func (w *world) close() {
	for _, p := range w.hosts {
		_ = p.cmd.Process.Kill() // fails only if it has ended
		<-p.ended
	}
	_ = os.RemoveAll(w.folder)
}

// addServer starts a server whose requests handle answers.
func (w *world) addServer(id, service, zone string, slots int, handle func(net.Conn, *bufio.Reader, *http.Request, []byte)) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	s := &server{id: id, service: service, zone: zone, address: l.Addr().String(), slots: slots, listener: l, handle: handle, state: "ready", born: time.Now().UnixMilli()}
	w.servers = append(w.servers, s)
	go s.serve()
	w.beat(s)
	go func() {
		for range time.Tick(heartbeat) {
			w.beat(s)
		}
	}()
	return s
}

// beat writes the server's entry to the store.
func (w *world) beat(s *server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == "" {
		return
	}
	s.sequence++
	w.store.Put("servers/"+s.id, fmt.Appendf(nil,
		`{"Service":%q,"Address":%q,"Zone":%q,"Version":"v1","Slots":%d,"State":%q,"Sequence":%d,"ColdRemainingMs":0,"born":%d}`,
		s.service, s.address, s.zone, s.slots, s.state, s.sequence, s.born))
}

// end ends the server: nobody listens at its address, and its entry is not renewed.
func (s *server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = ""
	_ = s.listener.Close()
}

func (s *server) serve() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			if s.onPath != nil && !s.onPath(c) {
				return
			}
			in := bufio.NewReader(c)
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			switch want := r.Header.Get("Expect-Instance"); {
			case r.URL.Path == "/healthz":
				writeResponse(c, 200, http.Header{"Instance-Id": {s.id}}, "")
			case want != "" && want != s.id:
				writeResponse(c, 421, http.Header{"Instance-Id": {s.id}}, "")
			case r.Header.Get("Request-Id") == "":
				writeResponse(c, 400, http.Header{"Not-Executed": {"1"}}, "")
			default:
				s.handle(c, in, r, body)
			}
		}()
	}
}

// sealed returns the headers of an answer of the server to a request that it has run.
func (s *server) sealed(r *http.Request) http.Header {
	id := r.Header.Get("Request-Id")
	return http.Header{"Request-Id": {id}, "Response-Seal": {s.id + "." + id}}
}

// stream answers a request with the given number of events, one in each interval.
func (s *server) stream(c net.Conn, in *bufio.Reader, r *http.Request, events int, interval time.Duration) {
	left := make(chan struct{})
	go func() {
		defer close(left)
		_, _ = io.Copy(io.Discard, in)
	}()
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
	_ = s.sealed(r).Write(c)
	fmt.Fprintf(c, "\r\n")
	for n := 1; n <= events; n++ {
		select {
		case <-left:
			return
		case <-time.After(interval):
		}
		text := fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n)
		fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
	}
	fmt.Fprintf(c, "0\r\n\r\n")
}

// rst resets a connection, as a process that ends does.
func rst(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // fails only if the connection is closed
	}
	_ = c.Close() // as above
}

// writeResponse writes a whole response with a length.
func writeResponse(c net.Conn, status int, header http.Header, body string) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	_ = header.Write(&b)
	b.WriteString("\r\n" + body)
	_, _ = c.Write(b.Bytes()) // fails only if the host has closed the connection
}

// addHosts starts hosts, with the first one as the seed, and waits until they are ready.
func (w *world) addHosts(zones ...string) {
	addresses := make([]netip.Addr, len(zones))
	for i := range zones {
		// Each host has an address of its own, as all listen on the same ports for each other.
		addresses[i] = netip.AddrFrom4([4]byte{127, byte(20 + rand.IntN(200)), byte(rand.IntN(250)), byte(1 + rand.IntN(250))})
	}
	seed := netip.AddrPortFrom(addresses[0], 8748)
	for i, zone := range zones {
		w.startHost(fmt.Sprintf("front-%d", i+1), zone, addresses[i], seed)
	}
	for _, p := range w.hosts {
		w.awaitReady(p)
	}
	if len(zones) > 1 {
		time.Sleep(2 * time.Second) // until they are connected with each other
	}
}

func (w *world) startHost(name, zone string, ip netip.Addr, seed netip.AddrPort) {
	p := &process{name: name, ended: make(chan struct{}), callers: netip.AddrPortFrom(ip, 8740), probes: netip.AddrPortFrom(ip, 8749)}
	settings := emulator.HostSettings{
		Name: name, Domain: zone, IP: ip, Caller: p.callers, Ready: p.probes, Control: netip.AddrPortFrom(ip, 8748), FirstPort: 7200,
		Seeds: []netip.AddrPort{seed}, StoreAddress: w.address, Grace: grace, MemoryMb: w.memoryMb, MaxFds: 4100,
	}
	path := filepath.Join(w.folder, name+".toml")
	must(os.WriteFile(path, []byte(settings.String()), 0o600))
	p.path = path
	w.hosts = append(w.hosts, p)
	w.run(p)
}

// run starts the process of a host as the deploy file says.
func (w *world) run(p *process) {
	log, err := os.Create(filepath.Join(w.folder, p.name+".log"))
	must(err)
	defer log.Close()
	root, err := filepath.Abs("../..")
	must(err)
	p.cmd = exec.Command(filepath.Join(root, "target", "wigeonlink"), "platform")
	p.cmd.Dir = w.folder
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.folder, "LANG=C", emulator.SettingsVariable + "=" + p.path, "WIGEONLINK_SECRET=" + secret}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // no host outlives the case
	must(p.cmd.Start())
	started = append(started, p.cmd.Process)
	go func() {
		err := p.cmd.Wait()
		w.record.printf("%s has ended: %v", p.name, err)
		close(p.ended)
	}()
	w.record.printf("%s started", p.name)
}

// host returns the process of the host with the given index.
func (w *world) host(n int) *process {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hosts[n]
}

// restart starts a host that has ended again, with the same settings.
func (w *world) restart(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	old := w.hosts[n]
	w.hosts[n] = &process{name: old.name, ended: make(chan struct{}), callers: old.callers, probes: old.probes, path: old.path}
	w.run(w.hosts[n])
}

func (w *world) awaitReady(p *process) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + p.probes.String() + emulator.ReadyPath)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				w.record.printf("%s is ready", p.name)
				return
			}
		}
		if time.Now().After(deadline) {
			fail("%s is not ready", p.name)
		}
	}
}

// post sends a request that is not idempotent on a new connection, and returns the status of its answer, 0 if there is none.
func (w *world) post(p *process, path, id, body string) (status int, sealed bool) {
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(http.MethodPost, "http://"+p.callers.String()+path, strings.NewReader(body))
	must(err)
	r.Host = emulator.HostName
	r.Header = http.Header{"Request-Id": {id}, "Deadline-Ms": {"1000"}, "Authorization": {"Bearer " + emulator.DefaultKey}}
	w.record.printf("client sends %s (%s) to %s", id, body, p.name)
	resp, err := client.Do(r)
	if err != nil {
		w.record.printf("client got no answer to %s: %v", id, err)
		return 0, false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Header.Get("Response-Seal") != ""
}

// fail ends a case that could not run, and the hosts that it has started.
func fail(format string, values ...any) {
	for _, p := range started {
		_ = p.Kill() // fails only if it has ended
	}
	fmt.Fprintf(os.Stderr, strings.TrimSuffix(format, "\n")+"\n", values...)
	os.Exit(2)
}

func must(err error) {
	if err != nil {
		fail("%v", err)
	}
}
