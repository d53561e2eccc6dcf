package table

import (
	"crypto/sha256"
	"encoding/hex"
	"net/netip"
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonlink/wigeonlink/route"
)

type (
	// A Table is a checked set of declarations. It is never changed after
	// Check has returned it. The zero value is an empty table of version 0.
	Table struct {
		Version       uint64
		Organisations map[string]Organisation
		Models        map[string]Model
		Targets       map[string]Target
		Services      map[string]Service
		Limits        map[LimitKey]Limit
		Routes        *route.Map // of forwarded requests; nil if there are none
		Callers       Callers

		byKey map[[sha256.Size]byte]string
	}

	// An Organisation is an organisation that is promised a share.
	Organisation struct {
		Name     string
		Weight   float64 // relative share
		Rate     float64 // requests a second; 0 means no cap
		Inflight int     // requests at once; 0 means no cap
		Queue    int     // requests held at once on one host
		Tail     float64 // weight of the tail of time between tokens
		Stall    float64 // weight of stall time
		Rank     int     // priority of its requests plus 1; 0 leaves it to the route
		Key      [sha256.Size]byte
	}

	// A Model is a model version that callers can ask for.
	Model struct {
		Name    string
		Version string
		Engine  Engine
	}

	// An Engine is what the engines of a model have in common. Zero fields are not
	// known.
	Engine struct {
		Slots  int // sequences that run at once
		Memory int // tokens
		Stride int // tokens that an event of a stream holds

		TokenBytes int64 // bytes of memory of a token
		Link       int64 // bytes a second that a copy of memory gets
		Moves      bool  // running streams can be moved
		Backups    bool  // the memory of streams can be copied as it grows
	}

	// Callers bounds what a caller may send, and how long it may take. Zero fields
	// leave the host's own bounds in force.
	Callers struct {
		Header        int // bytes
		Body          int // bytes
		HeaderTimeout time.Duration
		Idle          time.Duration
	}

	// A Target is one back end: an engine of a model, or a host of a service.
	Target struct {
		Name    string
		Kind    TargetKind
		Model   string // engines only
		Service string // service hosts only
		Domain  string
		Address netip.AddrPort
		Memory  int  // tokens of engine memory
		Checks  bool // whether it refuses an old fencing number
		Weight  float64
		Slots   int       // requests that it serves at once; 0 means not known
		Boot    time.Time // start of its process; zero means not known
		Leaving bool      // takes no new work and ends soon
		Missing bool      // no longer listed, but perhaps only for want of news
	}

	// A TargetKind tells engines from hosts of plain services.
	TargetKind uint8

	// A Service is a plain service with its routes.
	Service struct {
		Name   string
		Routes []Route
	}

	// A Route is a set of calls of a service.
	Route struct {
		Method     string // empty means any
		Path       string // prefix
		Idempotent bool
	}

	// A LimitKey names an organisation's use of one model.
	LimitKey struct{ Organisation, Model string }

	// A Limit is a cap on an organisation's use of one model.
	Limit struct {
		Weight   float64
		Rate     float64
		Inflight int
	}
)

// The kinds of target.
const (
	TargetEngine TargetKind = iota
	TargetService
)

// String returns the kind's name in the sheet.
func (k TargetKind) String() string {
	if k == TargetService {
		return "host"
	}
	return "engine"
}

// Anonymous is the organisation of requests on routes that want no key.
const Anonymous = "(anonymous)"

// NewTable returns an empty table of a version, to be filled by whoever reads
// declarations from something other than a sheet. It is not changed once it is in use.
func NewTable(version uint64) *Table {
	return &Table{
		Version:       version,
		Organisations: map[string]Organisation{},
		Models:        map[string]Model{},
		Targets:       map[string]Target{},
		Services:      map[string]Service{},
		Limits:        map[LimitKey]Limit{},
		byKey:         map[[sha256.Size]byte]string{},
	}
}

// AddOrganisation adds an organisation with its bearer keys. What it leaves open has
// the sheet's defaults.
func (t *Table) AddOrganisation(o Organisation, keys ...string) {
	if o.Weight <= 0 {
		o.Weight = 1
	}
	if o.Queue <= 0 {
		o.Queue = defaultQueue
	}
	t.Organisations[o.Name] = o
	for _, k := range keys {
		t.byKey[HashKey(k)] = o.Name
	}
}

// HashKey returns the form in which the table holds a bearer key.
func HashKey(key string) [sha256.Size]byte { return sha256.Sum256([]byte(key)) }

// FormatKey returns the cell text of a bearer key's hash.
func FormatKey(key string) string {
	h := HashKey(key)
	return "sha256:" + hex.EncodeToString(h[:])
}

// OrganisationByKey returns the organisation whose bearer key is key. The look-up is by the
// key's hash, so its time says nothing about the key.
func (t *Table) OrganisationByKey(key string) (Organisation, bool) {
	name, ok := t.byKey[HashKey(key)]
	if !ok {
		return Organisation{}, false
	}
	return t.Organisations[name], true
}

// Engines returns the names of the engines of a model, sorted.
func (t *Table) Engines(model string) []string {
	return t.targets(func(g Target) bool { return g.Kind == TargetEngine && g.Model == model })
}

// Hosts returns the names of the hosts of a service, sorted.
func (t *Table) Hosts(service string) []string {
	return t.targets(func(g Target) bool { return g.Kind == TargetService && g.Service == service })
}

func (t *Table) targets(want func(Target) bool) []string {
	var names []string
	for name, g := range t.Targets {
		if want(g) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// Route returns the most specific route of a service for a call. A call that no
// route names is not idempotent.
func (s Service) Route(method, path string) Route {
	best, found := Route{}, false
	for _, r := range s.Routes {
		if r.Method != "" && r.Method != method {
			continue
		}
		if !strings.HasPrefix(path, r.Path) {
			continue
		}
		if !found || len(r.Path) > len(best.Path) || len(r.Path) == len(best.Path) && r.Method != "" {
			best, found = r, true
		}
	}
	return best
}

// Hash returns a number for a name that is the same in every process.
func Hash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }
