package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/wigeonlink/wigeonlink/platform/emulator"
)

type (
	// machine is where a host runs: a loopback address and the settings of one process after another.
	machine struct {
		name, domain  string
		ip            netip.Addr
		caller, ready netip.AddrPort
		settings      string // path of the settings file
		logPath       string

		mu       sync.Mutex
		process  *process // the latest
		misses   int      // readiness probes in a row without status 200
		rotation bool     // the load balancer opens connections to it
	}

	// process is one process of a host.
	process struct {
		machine *machine
		cmd     *exec.Cmd
		ended   chan struct{}

		mu           sync.Mutex
		terminatedAt time.Time // time of the first SIGTERM; zero before
		endedAt      time.Time // zero while it runs
		killed       bool      // it ran longer than the grace period
		exit         string    // how it ended; empty while it runs
		signals      []sentSignal
	}

	sentSignal struct {
		at     time.Time
		signal syscall.Signal
	}
)

const (
	gracePeriod   = 8 * time.Second
	lastSixth     = gracePeriod * 5 / 6 // time after SIGTERM from which long requests may be cut
	restartDelay  = 500 * time.Millisecond
	probeInterval = time.Second
	probeTimeout  = 900 * time.Millisecond
	probeMisses   = 2 // readiness probes without status 200 that end the use of a host

	secret = "a secret for tests only"
)

// freePorts sets ports to different ones that are free at a loopback address.
func freePorts(ip netip.Addr, ports ...*uint16) error {
	for _, port := range ports {
		l, err := net.Listen("tcp", netip.AddrPortFrom(ip, 0).String())
		if err != nil {
			return err
		}
		defer l.Close()
		*port = l.Addr().(*net.TCPAddr).AddrPort().Port()
	}
	return nil
}

// addMachines writes the settings files of hosts. All hosts use the same ports, each at its own address.
func (s *soak) addMachines(perDomain int) error {
	network, subnet := byte(20+s.pickAddress.IntN(200)), byte(s.pickAddress.IntN(250))
	for i := range perDomain {
		for n, domain := range domains {
			name := fmt.Sprintf("%s-%d", domain, i+1)
			ip := netip.AddrFrom4([4]byte{127, network, subnet, byte(1 + i*len(domains) + n)})
			s.machines = append(s.machines, &machine{name: name, domain: domain, ip: ip, logPath: filepath.Join(s.folder, name+".log")})
		}
	}
	var caller, ready, control, first uint16
	if err := freePorts(s.machines[0].ip, &caller, &ready, &control, &first, &s.metricsPort); err != nil {
		return err
	}
	var seeds []netip.AddrPort
	for _, m := range s.machines[:len(domains)] {
		seeds = append(seeds, netip.AddrPortFrom(m.ip, control))
	}
	for _, m := range s.machines {
		m.caller, m.ready = netip.AddrPortFrom(m.ip, caller), netip.AddrPortFrom(m.ip, ready)
		m.settings = filepath.Join(s.folder, m.name+".toml")
		settings := emulator.HostSettings{
			Name: m.name, Domain: m.domain, IP: m.ip, Caller: m.caller, Ready: m.ready, Control: netip.AddrPortFrom(m.ip, control),
			FirstPort: first, Seeds: seeds, StoreAddress: s.site.StoreAddress, Grace: gracePeriod,
		}
		if err := os.WriteFile(m.settings, []byte(settings.String()), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// start starts a process of the machine's host, which appends to the machine's log.
func (s *soak) start(m *machine) error {
	out, err := os.OpenFile(m.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(s.program, "platform", "--lines", "0", "--metrics", fmt.Sprint(s.metricsPort), "--secret", secret)
	cmd.Dir = s.folder
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.folder, "LANG=C", emulator.SettingsVariable + "=" + m.settings}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &process{machine: m, cmd: cmd, ended: make(chan struct{})}
	m.mu.Lock()
	m.process = p
	m.mu.Unlock()
	s.mu.Lock()
	s.processes = append(s.processes, p)
	s.mu.Unlock()
	go func() {
		_ = cmd.Wait() // the record shows the exit status
		p.mu.Lock()
		p.endedAt, p.exit = time.Now(), cmd.ProcessState.String()
		p.mu.Unlock()
		close(p.ended)
	}()
	return nil
}

// send sends a signal to the process.
func (p *process) send(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.signals = append(p.signals, sentSignal{time.Now(), signal})
	if signal == syscall.SIGTERM && p.terminatedAt.IsZero() {
		p.terminatedAt = time.Now()
	}
	_ = p.cmd.Process.Signal(signal) // fails only if the process has ended
}

// stop sends SIGTERM to the process, waits until it has ended, and ends it at the end of the grace period.
func (p *process) stop() {
	p.send(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(gracePeriod):
		p.kill()
	}
}

// stoppedAt returns the time of the process's first SIGTERM; zero if it got none.
func (p *process) stoppedAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.terminatedAt
}

func (p *process) kill() {
	p.mu.Lock()
	p.killed = true
	p.mu.Unlock()
	_ = p.cmd.Process.Kill() // fails only if the process has ended
	<-p.ended
}

// probe checks the machine's readiness until ctx is done, as the load balancer does.
func (m *machine) probe(ctx context.Context) {
	client := &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		ok := false
		if resp, err := client.Get("http://" + m.ready.String() + emulator.ReadyPath); err == nil {
			ok = resp.StatusCode == http.StatusOK
			resp.Body.Close()
		}
		m.mu.Lock()
		if ok {
			m.misses, m.rotation = 0, true
		} else if m.misses++; m.misses >= probeMisses {
			m.rotation = false
		}
		m.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

func (m *machine) inRotation() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rotation
}

func (m *machine) current() *process {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.process
}
