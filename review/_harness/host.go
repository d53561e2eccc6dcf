package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// A host is one process of the system, as the deploy file starts it, with its machine's memory limit.
type host struct {
	site     *site
	name     string
	zone     string
	ip       string
	front    string
	ready    string
	settings string
	memory   int // limit in MB
	door     *door

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	stopped bool
	ends    []time.Time // times at which the process ended by itself, by the memory limit too
	peak    int         // resident memory in kB
	misses  int         // readiness checks without 200, in a row
	inUse   atomic.Bool // whether the platform sends it new connections
}

const (
	restartDelay   = 500 * time.Millisecond
	memoryInterval = 10 * time.Millisecond
)

// addHosts writes the settings files of hosts and starts them.
func (s *site) addHosts(count, memoryMB int) error {
	var ports [4]int
	for n := range count {
		h := &host{site: s, name: fmt.Sprintf("front-%d", n+1), zone: zones[n%len(zones)], ip: s.address(), memory: memoryMB}
		s.hosts = append(s.hosts, h)
	}
	for n := range ports {
		var err error
		if ports[n], err = freePort(s.hosts[0].ip); err != nil {
			return err
		}
	}
	control, internal, front, ready := ports[0], ports[1], ports[2], ports[3]
	for _, h := range s.hosts {
		h.front, h.ready = fmt.Sprintf("%s:%d", h.ip, front), fmt.Sprintf("%s:%d", h.ip, ready)
	}
	var seeds []string
	for _, h := range s.hosts[:min(3, count)] {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", h.ip, control)))
	}
	for _, h := range s.hosts {
		h.settings = filepath.Join(s.dir, h.name+".toml")
		storeAddr, err := s.openDoor(h)
		if err != nil {
			return err
		}
		text := fmt.Sprintf(settingsTemplate, h.name, h.ip, h.zone, internal, internal+15, strings.Join(seeds, ","),
			h.front, h.ready, fmt.Sprintf("%s:%d", h.ip, control), h.memory, storeAddr)
		if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if err := h.start(); err != nil {
			return err
		}
		go h.watchReadiness()
	}
	return nil
}

// openDoor starts the host's way to the store and returns its address.
func (s *site) openDoor(h *host) (string, error) {
	l, err := net.Listen("tcp", s.address()+":0")
	if err != nil {
		return "", err
	}
	h.door = &door{store: s.store}
	go func() { _ = (&http.Server{Handler: h.door}).Serve(l) }()
	return l.Addr().String(), nil
}

// freePort returns a port that is free now at a loopback address.
func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// start starts the process; when it ends by itself, it is started again after a short delay.
func (h *host) start() error {
	out, err := os.OpenFile(filepath.Join(h.site.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(h.site.root, "target/wigeonlink"), "platform")
	cmd.Dir = h.site.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + h.site.dir, "LANG=C", "WIGEONLINK_CONFIG=" + h.settings, "WIGEONLINK_SECRET=" + secret}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	h.mu.Lock()
	h.cmd, h.ended = cmd, make(chan struct{})
	ended := h.ended
	h.mu.Unlock()
	h.site.log("%s started", h.name)
	go h.limitMemory(cmd.Process, ended)
	go func() {
		err := cmd.Wait()
		out.Close()
		close(ended)
		h.mu.Lock()
		stopped := h.stopped
		if !stopped {
			h.ends = append(h.ends, time.Now())
		}
		h.mu.Unlock()
		h.site.log("%s ended: %v", h.name, err)
		if stopped {
			return
		}
		time.Sleep(restartDelay)
		if err := h.start(); err != nil {
			h.site.log("%s not started again: %v", h.name, err)
		}
	}()
	return nil
}

// limitMemory kills the process when it exceeds the memory of its machine, as the platform does.
func (h *host) limitMemory(p *os.Process, ended <-chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(memoryInterval):
		}
		kb := residentKB(p.Pid)
		h.mu.Lock()
		h.peak = max(h.peak, kb)
		h.mu.Unlock()
		if kb > h.memory*1024 {
			h.site.log("%s exceeds its memory: %d kB of %d MB, killed", h.name, kb, h.memory)
			_ = p.Kill()
			return
		}
	}
}

func residentKB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := bytes.Cut(data, []byte("VmRSS:"))
	fields := bytes.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kb, _ := strconv.Atoi(string(fields[0]))
	return kb
}

// watchReadiness checks the host once a second, as the platform does. After two misses it gets no new
// connections until it answers 200 again.
func (h *host) watchReadiness() {
	client := &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		ok := false
		if resp, err := client.Get("http://" + h.ready + "/v1/readyz"); err == nil {
			ok = resp.StatusCode == http.StatusOK
			resp.Body.Close()
		}
		if ok {
			h.misses = 0
			h.inUse.Store(true)
		} else if h.misses++; h.misses >= 2 {
			h.inUse.Store(false)
		}
		time.Sleep(time.Second)
	}
}

// terminate sends SIGTERM and, after the grace period, SIGKILL. It returns the channel that is closed when the
// process has ended.
func (h *host) terminate() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopped = true
	p, ended := h.cmd.Process, h.ended
	_ = p.Signal(syscall.SIGTERM)
	h.site.log("SIGTERM to %s", h.name)
	go func() {
		select {
		case <-ended:
		case <-time.After(graceTime):
			h.site.log("SIGKILL to %s", h.name)
			_ = p.Kill()
		}
	}()
	return ended
}

// stop ends the process at once.
func (h *host) stop() {
	h.mu.Lock()
	h.stopped = true
	p, ended := h.cmd.Process, h.ended
	h.mu.Unlock()
	_ = p.Kill()
	select {
	case <-ended:
	case <-time.After(2 * time.Second):
	}
}

// waitReady waits until all hosts are in use.
func (s *site) waitReady(ctx context.Context) bool {
	for ctx.Err() == nil {
		n := 0
		for _, h := range s.hosts {
			if h.inUse.Load() {
				n++
			}
		}
		if n == len(s.hosts) {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

const settingsTemplate = `NodeName = %q
Role = "host"
MachineClass = "front"
Serves = ["front","control"]
Ip = %q
Zone = %q
Region = "occidente"
InternalPortRange = [%d,%d]
SeedNodes = [%s]
Bootstrap = true
LossCounts = false
Discovery = "platform"
EntryMode = "vip"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[Zones]
gdl-centro = "occidente"
zapopan = "occidente"
tlaquepaque = "occidente"
tonala = "occidente"
[Listen]
Front = %q
Ready = %q
Control = %q
[Limits]
CpuShare = 0.4
CpuCores = 1
MemoryMb = %d
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 1
Zones = 1
Regions = 0
[Bounds]
SeedLagS = 3
AddrReuseS = 2
ContactMs = 3000
AckTimeoutMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = 8
LossSlackMs = 200
ConfigApplyMs = 2000
RollbackSlackMs = 250
MaxStretchMs = 5000
EnforceRevoke = false
RevokeMs = 5000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
RetrySlack = 56
RecoveryS = 12
PassMs = 120
AgainS = 4.4
[Platform]
Address = %q
form = "read"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
TtlMinMs = 1000
`
