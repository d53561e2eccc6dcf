package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"
)

type (
	// A site is a small deployment on loopback addresses: the store, servers, hosts and their balancer.
	site struct {
		store     *store
		prefix    string // first two numbers of all addresses
		servers   []*server
		hosts     []*host
		runs      runs
		plainWork time.Duration
		started   time.Time
		dir       string // temporary folder for settings files
		root      string // of the repository

		mu     sync.Mutex
		record *os.File
		rng    *rand.Rand
		nextIP int
	}

	// A route of the configuration, with the fields that PROTOCOL.md names.
	route struct {
		Name, Host, Prefix, Kind, Service string
		TimeoutMs, TargetLatencyMs        int
		GapAimMs                          int `json:",omitempty"`
		MaxAttempts, Priority             int
		StickySessions                    bool
	}
)

const (
	hostName    = "kiosk.example"
	tenantName  = "tenant-1"
	apiKey      = "k-4d1f0c2b77"
	modelPool   = "relojero-lm"
	plainPool   = "mostrador"
	diagPrefix  = "/diag/"
	fitPrefix   = "/fit/"
	swapPrefix  = "/swap/"
	readPrefix  = "/warranty/"
	secret      = "set by whoever deploys, the same for all"
	graceTime   = 8 * time.Second
	contactTime = 3 * time.Second

	addressesPerNet = 200 // addresses used of each value of the third number
)

// routes are those of the sheet of relojes-jal.
func routes() []route {
	return []route{
		{Name: "diag", Host: hostName, Prefix: diagPrefix, Kind: "streaming", Service: modelPool, TimeoutMs: 39000, TargetLatencyMs: 1800, GapAimMs: 180, MaxAttempts: 1, Priority: 1, StickySessions: true},
		{Name: "fit", Host: hostName, Prefix: fitPrefix, Kind: "streaming", Service: modelPool, TimeoutMs: 6000, TargetLatencyMs: 1500, GapAimMs: 180, MaxAttempts: 1, StickySessions: true},
		{Name: "swap", Host: hostName, Prefix: swapPrefix, Kind: "non_idempotent", Service: plainPool, TimeoutMs: 1000, TargetLatencyMs: 150, MaxAttempts: 2, Priority: 2},
		{Name: "read", Host: hostName, Prefix: readPrefix, Kind: "idempotent", Service: plainPool, TimeoutMs: 1000, TargetLatencyMs: 150, MaxAttempts: 2, Priority: 2},
	}
}

// newSite prepares the store and the record, which goes into the folder of the case.
func newSite(caseDir string) (*site, error) {
	f, err := os.Create(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "wigeonlink-review-")
	if err != nil {
		return nil, err
	}
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	s := &site{
		store: newStore(), prefix: fmt.Sprintf("127.%d", 20+rand.IntN(200)), plainWork: 30 * time.Millisecond,
		started: time.Now(), dir: dir, root: root, record: f, rng: rand.New(rand.NewPCG(1, 2)), nextIP: addressesPerNet * rand.IntN(200),
	}
	return s, nil
}

// address returns the next unused loopback address.
func (s *site) address() string {
	s.nextIP++
	return fmt.Sprintf("%s.%d.%d", s.prefix, s.nextIP/addressesPerNet, 1+s.nextIP%addressesPerNet)
}

// log writes a line to the record, with the time since the start.
func (s *site) log(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to the standard output.
func (s *site) say(format string, args ...any) {
	s.log(format, args...)
	fmt.Printf(format+"\n", args...)
}

// configure writes the configuration to the store, as the operator does.
func (s *site) configure(version int, list []route) {
	data, _ := json.Marshal(map[string]any{
		"Version": version,
		"Routes":  list,
		"Services": []map[string]any{
			{"Name": modelPool, "HealthPath": "/healthz", "MaxConnections": 252, "Engine": map[string]any{
				"Slots": engineSlots, "KvCapacityTokens": 34288, "KvTokenBytes": 163840, "LinkMbps": 24000.0, "Moves": false, "Backups": false,
				"Stride": tokensPerEvent, "HandleS": 5.0, "Models": []map[string]any{{"Name": "m"}},
			}},
			{"Name": plainPool, "HealthPath": "/healthz", "MaxConnections": 110},
		},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4 << 20, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []map[string]any{{"Name": tenantName, "ApiKeys": []string{apiKey}, "Priority": 1}},
	})
	s.store.put("op/config", data)
	s.log("configuration %d", version)
}

// addServers starts model servers and plain servers, spread over the zones.
func (s *site) addServers(models, plain int) error {
	for n := range models + plain {
		one := &server{site: s, id: fmt.Sprintf("i-%04x%02d", s.rng.IntN(1<<16), n), service: modelPool, zone: zones[n%len(zones)], model: n < models}
		if !one.model {
			one.service = plainPool
		}
		if err := one.start(s.address()); err != nil {
			return err
		}
		s.servers = append(s.servers, one)
	}
	return nil
}

var zones = []string{"gdl-centro", "zapopan", "tlaquepaque", "tonala"}

// close ends all processes that the site started and removes the temporary folder.
func (s *site) close() {
	for _, h := range s.hosts {
		h.stop()
	}
	_ = os.RemoveAll(s.dir)
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.record.Close()
}
