// Package operator serves the HTTP endpoints for the operators of a host: metrics, the
// event log, the shares that organisations are promised and receive, the current and
// forecast load of targets, and the active table.
package operator

import (
	"encoding/json"
	"html/template"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/host"
	"github.com/wigeonlink/wigeonlink/length"
	"github.com/wigeonlink/wigeonlink/meter"
	"github.com/wigeonlink/wigeonlink/table"
)

type (
	// A Status is the state of a host, as /status returns it and the operator page
	// displays it.
	Status struct {
		Host     string               `json:"host"`
		Time     time.Time            `json:"time"`
		Ready    bool                 `json:"ready"`
		Active   int                  `json:"active"` // requests in flight
		Version  uint64               `json:"table"`  // version of the active table; 0 if there is none
		Counts   dispatch.Counts      `json:"counts"`
		Lengths  length.Calibration   `json:"lengths"`
		Shares   []dispatch.ShareRow  `json:"shares"`
		Targets  []dispatch.TargetRow `json:"targets"`
		Domains  []dispatch.DomainRow `json:"domains"`
		Problems []string             `json:"problems,omitempty"` // violated invariants of the reducer
	}

	// tableView is the response body of /table: the active table without the hashes
	// of bearer keys.
	tableView struct {
		Version       uint64             `json:"version"`
		Organisations []organisationView `json:"organisations"`
		Models        []table.Model      `json:"models"`
		Targets       []table.Target     `json:"targets"`
		Services      []table.Service    `json:"services"`
	}

	// organisationView is an organisation without the hash of its bearer key.
	organisationView struct {
		Name     string  `json:"name"`
		Weight   float64 `json:"weight"`
		Rate     float64 `json:"rate"`
		Inflight int     `json:"inflight"`
		Queue    int     `json:"queue"`
		Tail     float64 `json:"tail"`
		Stall    float64 `json:"stall"`
	}

	// handler serves the operator endpoints of one host.
	handler struct {
		host  *host.Host
		meter *meter.Meter
	}
)

// NewHandler returns the HTTP handler for the operator endpoints of a host.
func NewHandler(h *host.Host, m *meter.Meter) http.Handler {
	c := &handler{h, m}
	r := mux.NewRouter()
	r.HandleFunc("/", c.servePage).Methods(http.MethodGet)
	r.HandleFunc("/status", c.serveStatus).Methods(http.MethodGet)
	r.HandleFunc("/shares", c.serveShares).Methods(http.MethodGet)
	r.HandleFunc("/events", c.serveEvents).Methods(http.MethodGet)
	r.HandleFunc("/table", c.serveTable).Methods(http.MethodGet)
	r.Handle("/metrics", m.Handler()).Methods(http.MethodGet)
	return r
}

// status returns the current status of the host, including violated invariants.
func (c *handler) status() Status {
	s := Status{Host: c.host.Name(), Time: time.Now().UTC(), Ready: c.host.Ready(), Active: c.host.InFlightCount()}
	s.Domains = c.host.Domains()
	c.host.Inspect(func(r *dispatch.Reducer) {
		s.Counts, s.Lengths = r.Counts(), r.LengthCalibration()
		s.Shares, s.Targets = r.Shares(), r.Targets()
		if t := r.Table(); t != nil {
			s.Version = t.Version
		}
		if err := r.Check(); err != nil {
			s.Problems = append(s.Problems, err.Error())
		}
	})
	return s
}

func (c *handler) serveStatus(w http.ResponseWriter, _ *http.Request) { writeJSON(w, c.status()) }

func (c *handler) serveShares(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, c.status().Shares)
}

func (c *handler) serveEvents(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, c.host.Log().Records())
}

func (c *handler) serveTable(w http.ResponseWriter, _ *http.Request) {
	t := c.host.Table()
	if t == nil {
		http.Error(w, "no table yet", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, newTableView(t))
}

// newTableView returns the view of a table, with each list sorted by name.
func newTableView(t *table.Table) tableView {
	v := tableView{Version: t.Version}
	for _, name := range sortedKeys(t.Organisations) {
		o := t.Organisations[name]
		v.Organisations = append(v.Organisations, organisationView{o.Name, o.Weight, o.RateLimit, o.MaxInFlight, o.MaxQueued, o.TailWeight, o.StallWeight})
	}
	for _, name := range sortedKeys(t.Models) {
		v.Models = append(v.Models, t.Models[name])
	}
	for _, name := range sortedKeys(t.Targets) {
		v.Targets = append(v.Targets, t.Targets[name])
	}
	for _, name := range sortedKeys(t.Services) {
		v.Services = append(v.Services, t.Services[name])
	}
	return v
}

// writeJSON sends a value as the indented JSON body of a response.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	// An error here means that the client has disconnected; no response is possible.
	_ = enc.Encode(v)
}

func (c *handler) servePage(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	_ = pageTemplate.Execute(w, c.status())
}

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"percent": func(v float64) float64 { return min(100*v, 100) },
	"part":    func(v float64, of int) float64 { return min(100*v/float64(max(of, 1)), 100) },
}).Parse(pageText))
