package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// host is a process of the program, started as the deploy file says.
type host struct {
	record                *record
	dir, name, zone, ip   string
	front, ready, control int
	internal              int
	settings              string // path
	limits                string // lines of the table Limits
	seeds                 []string
	store                 string
	cmd                   *exec.Cmd
	exited                chan struct{}
	output                string // path
}

// freePort returns a port that is free at an address, for TCP and UDP.
func freePort(ip string) (int, error) {
	for range 100 {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return 0, err
		}
		port := l.Addr().(*net.TCPAddr).Port
		p, err := net.ListenPacket("udp", ip+":"+strconv.Itoa(port))
		_ = l.Close()
		if err == nil {
			_ = p.Close()
			return port, nil
		}
	}
	return 0, fmt.Errorf("no free port at %s", ip)
}

// writeSettings writes the settings file, with the bounds of the small deployment of the users' pages.
func (h *host) writeSettings() error {
	text := fmt.Sprintf(`NodeName = %q
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
[Listen]
Front = "%s:%d"
Ready = "%s:%d"
Control = "%s:%d"
[Limits]
%s
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
`, h.name, h.ip, h.zone, h.internal, h.internal+15, strings.Join(h.seeds, ","), h.ip, h.front, h.ip, h.ready, h.ip, h.control, h.limits, h.store)
	h.settings = filepath.Join(h.dir, h.name+".toml")
	return os.WriteFile(h.settings, []byte(text), 0o600)
}

// choosePorts chooses the ports of a host. The range of internal ports is checked at its first port only, which is the one in use.
func (h *host) choosePorts() error {
	for _, p := range []*int{&h.front, &h.ready, &h.control, &h.internal} {
		port, err := freePort(h.ip)
		if err != nil {
			return err
		}
		*p = port
	}
	h.internal = min(h.internal, 65520)
	return nil
}

// start starts the process. Its output goes to a file in the temporary folder.
func (h *host) start() error {
	if err := h.writeSettings(); err != nil {
		return err
	}
	h.output = filepath.Join(h.dir, h.name+".log")
	out, err := os.OpenFile(h.output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	h.cmd = exec.Command("target/wigeonlink", "platform")
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + h.dir, "WIGEONLINK_SECRET=set by whoever deploys, the same for all", "WIGEONLINK_CONFIG=" + h.settings}
	h.cmd.Stdout, h.cmd.Stderr = out, out
	if err := h.cmd.Start(); err != nil {
		return err
	}
	h.exited = make(chan struct{})
	cmd, exited := h.cmd, h.exited
	go func() {
		err := cmd.Wait()
		h.record.add("process %d of host %s has ended: %v", cmd.Process.Pid, h.name, err)
		close(exited)
	}()
	h.record.add("host %s is started, process %d, callers at %s", h.name, h.cmd.Process.Pid, h.frontAddress())
	return nil
}

func (h *host) frontAddress() string { return h.ip + ":" + strconv.Itoa(h.front) }

// waitReady waits until the host says that it is ready.
func (h *host) waitReady(limit time.Duration) bool {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get(fmt.Sprintf("http://%s:%d/v1/readyz", h.ip, h.ready))
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// alive reports whether the process has not ended.
func (h *host) alive() bool {
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

// stop ends the process.
func (h *host) stop() {
	if h.cmd == nil || h.cmd.Process == nil {
		return
	}
	_ = h.cmd.Process.Kill()
	<-h.exited
}

// memory returns the memory of the process that belongs to it alone (RssAnon), in bytes: without the pages of its program.
func (h *host) memory() int64 {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if rest, ok := strings.CutPrefix(lines.Text(), "RssAnon:"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}
