package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// world is a small deployment: the platform's store, plain servers of two services and hosts.
type world struct {
	record *record
	site   *site
	dir    string
	net    string // first three parts of the loopback addresses
	hosts  []*host
}

// Names of the configuration.
const (
	hostName  = "kiosk.example"
	apiKey    = "xd9dnn2ctnfzs989anu6"
	tenant    = "huka270"
	service   = "huvo11a"
	other     = "wuno96b"
	bookings  = "/pule252/" // non_idempotent
	lookups   = "/puxa403/" // idempotent
	elsewhere = "/volo102/" // idempotent, of the other service
	model     = "dele69a"   // service of the model servers
	reports   = "/lohu930/" // streaming

	longReports = "/pufi791/" // streaming, with a longer deadline
)

var zones = []string{"gdl-centro", "zapopan"}

// relojesLimits are the limits of a machine of the site relojes-jal.
const relojesLimits = "CpuShare = 0.4\nCpuCores = 1\nMemoryMb = 134\nMaxFds = 4100\nLinkMbps = 1000.0\nDiskMb = 0"

func newWorld(caseDir string, hosts int, limits string) (*world, error) {
	r, err := newRecord(caseDir)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	w := &world{record: r, dir: dir, net: fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))}
	w.closeOnSignal()
	st, err := newStore(w.net + ".250:0")
	if err != nil {
		return w, err
	}
	w.site = &site{record: r, store: st}
	st.put("op/config", config(7))
	for i := range hosts {
		h := &host{record: r, dir: dir, name: fmt.Sprintf("front-%s-%d", zones[i%2], i+1), zone: zones[i%2], ip: fmt.Sprintf("%s.%d", w.net, 11+i), limits: limits, store: st.address()}
		if err := h.choosePorts(); err != nil {
			return w, err
		}
		w.hosts = append(w.hosts, h)
	}
	for i, h := range w.hosts {
		h.internal = w.hosts[0].internal // ports are the same on all machines
		if i < 3 {
			for _, o := range w.hosts {
				o.seeds = append(o.seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", h.ip, h.control)))
			}
		}
	}
	return w, nil
}

// config returns a configuration in the platform's format.
func config(version int) []byte {
	route := func(name, prefix, kind, service string, timeout, target, attempts int) map[string]any {
		return map[string]any{
			"Name": name, "Host": hostName, "Prefix": prefix, "Kind": kind, "TimeoutMs": timeout, "TargetLatencyMs": target, "Priority": 2,
			"Service": service, "MaxAttempts": attempts, "AuthExempt": false,
		}
	}
	data, _ := json.Marshal(map[string]any{ // all values can be encoded
		"Version": version,
		"Routes": []any{
			route("r-book", bookings, "non_idempotent", service, 1000, 150, 2),
			route("r-look", lookups, "idempotent", service, 1000, 150, 2),
			route("r-else", elsewhere, "idempotent", other, 1000, 150, 2),
			route("r-fit", reports, "streaming", model, 6000, 1500, 1),
			route("r-diag", longReports, "streaming", model, 39000, 1800, 1),
		},
		"Services": []any{
			map[string]any{"Name": service, "HealthPath": "/healthz", "MaxConnections": 110, "Protocol": "h1", "Tls": false},
			map[string]any{"Name": other, "HealthPath": "/healthz", "MaxConnections": 110, "Protocol": "h1", "Tls": false},
			map[string]any{"Name": model, "HealthPath": "/healthz", "MaxConnections": 252, "Protocol": "h1", "Tls": false, "Engine": map[string]any{
				"Slots": 24, "KvCapacityTokens": 34288, "KvTokenBytes": 163840, "LinkMbps": 24000.0, "Moves": true, "Backups": true, "Stride": 4,
				"most": 12, "PinMs": 4000.0, "HoldMs": 2000.0, "HandleS": 5.0, "Models": []any{map[string]any{"Name": "m"}},
			}},
		},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{"Name": tenant, "ApiKeys": []string{apiKey}, "Priority": 1}},
	})
	return data
}

// start starts the hosts and waits until all are ready.
func (w *world) start() error {
	for _, h := range w.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	for _, h := range w.hosts {
		if !h.waitReady(15 * time.Second) {
			return fmt.Errorf("host %s is not ready", h.name)
		}
	}
	w.record.add("all hosts are ready")
	return nil
}

// closeOnSignal ends the processes and the case if this process is asked to end.
func (w *world) closeOnSignal() {
	asked := make(chan os.Signal, 1)
	signal.Notify(asked, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-asked
		for _, h := range w.hosts {
			if h.cmd != nil && h.cmd.Process != nil {
				_ = h.cmd.Process.Kill() // fails only if it has ended
			}
		}
		_ = os.RemoveAll(w.dir)
		os.Exit(exitFailed)
	}()
}

// close ends the processes and removes the temporary folder.
func (w *world) close() {
	for _, h := range w.hosts {
		h.stop()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}
