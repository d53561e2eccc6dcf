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
	// A Table is a checked set of declarations. It is immutable once Check has
	// returned it. The zero value is an empty table of version 0.
	Table struct {
		Version       uint64 // a host ignores a table whose version is not above that of the active one
		Organisations map[string]Organisation
		Models        map[string]Model
		Targets       map[string]Target
		Services      map[string]Service
		Limits        map[LimitKey]Limit
		Routes        *route.Map // routes of forwarded requests; nil if there are none
		CallerLimits  CallerLimits

		nameByKeyHash map[[sha256.Size]byte]string
	}

	// An Organisation is a customer whose callers authenticate with its bearer keys. It has
	// a share of the capacity, limits and latency preferences.
	Organisation struct {
		Name            string
		Weight          float64           // relative share of the capacity
		RateLimit       float64           // limit in requests per second; 0 means no limit
		MaxInFlight     int               // limit of requests in flight; 0 means no limit
		MaxQueued       int               // limit of requests that wait for a target, per host
		TailWeight      float64           // weight of tail latency in the choice of an engine, relative to StallWeight
		StallWeight     float64           // weight of stalls in the choice of an engine, relative to TailWeight
		PriorityPlusOne int               // priority of its requests plus 1; 0 means the priority of the route
		KeyHash         [sha256.Size]byte // hash of the bearer key, see HashKey; zero if the keys were given to AddOrganisation
	}

	// A Model is a generative model that engines run and that callers select by name.
	Model struct {
		Name    string
		Version string
		Engine  EngineSpec
		Cold    ColdSpec

		HealthPath string // path of the health check of the targets; empty if unknown
	}

	// A ColdSpec says how the targets of a pool are used that are cold, as they have just started.
	ColdSpec struct {
		Rate float64       // requests a second from all hosts together that a cold target takes; 0 means no limit
		Time time.Duration // for which a target is cold after its start
	}

	// An EngineSpec holds the properties that all engines of a model share. A zero field
	// means that the property is not known.
	EngineSpec struct {
		Slots          int // largest number of sequences in a batch
		Memory         int // cache capacity in tokens
		TokensPerEvent int `json:"Stride"` // tokens per stream event

		TokenBytes    int64 // cache memory per token, in bytes
		CopyBandwidth int64 `json:"Link"`    // bandwidth of a cache copy, in bytes per second
		CanMove       bool  `json:"Moves"`   // whether a running stream can be moved to another engine
		CanBackUp     bool  `json:"Backups"` // whether the cache of a running stream can be copied incrementally
	}

	// CallerLimits holds size limits and timeouts for callers. For a zero field the host
	// applies its own default.
	CallerLimits struct {
		MaxHeaderBytes int           // largest request header, in bytes
		MaxBodyBytes   int           // largest request body, in bytes
		HeaderTimeout  time.Duration // limit for reading a request header
		IdleTimeout    time.Duration // after which an idle connection is closed
	}

	// A Target is a back end: an engine of a model or a host of a service.
	Target struct {
		Name          string
		Kind          TargetKind
		Model         string // engines only
		Service       string // service hosts only
		Domain        string // failure domain
		Address       netip.AddrPort
		Memory        int       // cache capacity in tokens; engines only
		ChecksFencing bool      `json:"Checks"` // whether the target rejects requests with a stale fencing token
		Weight        float64   // from the sheet; shown to operators, not used for dispatch
		Slots         int       // largest number of concurrent requests; 0 means not known
		StartTime     time.Time `json:"Boot"` // start time of the process; zero means not known
		Leaving       bool      // draining: accepts no new requests and shuts down soon
		ColdUntil     time.Time // end of the time for which the target is cold; zero means that it is not
		Unlisted      bool      `json:"Missing"` // absent from the latest list of targets, which may be incomplete
	}

	// A TargetKind distinguishes model engines from hosts of plain services.
	TargetKind uint8

	// A Service is a plain service, that is an HTTP service other than a model engine, with its
	// routes.
	Service struct {
		Name   string
		Routes []Route
		Cold   ColdSpec

		HealthPath string // as that of a Model
	}

	// A Route selects calls of a service by method and path prefix, and declares
	// whether they are idempotent.
	Route struct {
		Method     string // empty matches every method
		Path       string // path prefix
		Idempotent bool
	}

	// A LimitKey identifies a Limit by the names of its organisation and its model.
	LimitKey struct{ Organisation, Model string }

	// A Limit restricts the use of a model by an organisation.
	Limit struct {
		Weight      float64 // relative share of the model's capacity; 0 means the organisation's own weight
		RateLimit   float64 // requests per second; 0 means no limit
		MaxInFlight int     // requests in flight; 0 means no limit
	}
)

// The target kinds.
const (
	TargetEngine TargetKind = iota
	TargetService
)

// String returns the row kind that declares such a target in a sheet.
func (k TargetKind) String() string {
	if k == TargetService {
		return "host"
	}
	return "engine"
}

// Anonymous is the organisation of requests on routes that require no bearer key.
const Anonymous = "(anonymous)"

// NewTable returns an empty table with the given version. A caller that reads
// declarations from another source than a sheet fills it in, and must not change it once
// it is in use.
func NewTable(version uint64) *Table {
	return &Table{
		Version:       version,
		Organisations: map[string]Organisation{},
		Models:        map[string]Model{},
		Targets:       map[string]Target{},
		Services:      map[string]Service{},
		Limits:        map[LimitKey]Limit{},
		nameByKeyHash: map[[sha256.Size]byte]string{},
	}
}

// AddOrganisation adds an organisation with its bearer keys. A weight or queue limit that is
// not positive is replaced by the default that Check applies to an empty cell.
func (t *Table) AddOrganisation(o Organisation, keys ...string) {
	if o.Weight <= 0 {
		o.Weight = 1
	}
	if o.MaxQueued <= 0 {
		o.MaxQueued = defaultQueueLimit
	}
	t.Organisations[o.Name] = o
	for _, k := range keys {
		t.nameByKeyHash[HashKey(k)] = o.Name
	}
}

// HashKey returns the SHA-256 hash of a bearer key. Tables hold the hash, never the key.
func HashKey(key string) [sha256.Size]byte { return sha256.Sum256([]byte(key)) }

// FormatKeyHash returns the hash of a bearer key as text for the key column of a sheet.
func FormatKeyHash(key string) string {
	h := HashKey(key)
	return "sha256:" + hex.EncodeToString(h[:])
}

// OrganisationByKey returns the organisation with the given bearer key. The lookup is by
// the hash of the key, which prevents timing attacks on the key.
func (t *Table) OrganisationByKey(key string) (Organisation, bool) {
	name, ok := t.nameByKeyHash[HashKey(key)]
	if !ok {
		return Organisation{}, false
	}
	return t.Organisations[name], true
}

// Engines returns the names of the engines of a model, sorted.
func (t *Table) Engines(model string) []string {
	return t.targetNames(func(g Target) bool { return g.Kind == TargetEngine && g.Model == model })
}

// Hosts returns the names of the hosts of a service, sorted.
func (t *Table) Hosts(service string) []string {
	return t.targetNames(func(g Target) bool { return g.Kind == TargetService && g.Service == service })
}

// targetNames returns the sorted names of the targets that match the filter.
func (t *Table) targetNames(match func(Target) bool) []string {
	var names []string
	for name, g := range t.Targets {
		if match(g) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// Route returns the most specific route that matches a call: the one with the longest
// path prefix, and among equal prefixes one with a method. If no route matches, it
// returns the zero Route, which is not idempotent.
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

// HashName returns a 32-bit hash of the name of a host or an organisation. It is the same in
// every process, so hosts can exchange it.
func HashName(name string) uint32 { return uint32(xxhash.Sum64String(name)) }
