// Package api implements the HTTP API for callers: the OpenAI-compatible endpoints for models,
// completions and chats, and the endpoints for shares, tickets and calls to plain services.
package api

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/event"
	"github.com/wigeonlink/wigeonlink/host"
	"github.com/wigeonlink/wigeonlink/table"
	"github.com/wigeonlink/wigeonlink/target"
	"github.com/wigeonlink/wigeonlink/ticket"
)

type (
	// A Server serves the caller API of one host.
	Server struct {
		host         *host.Host
		keys         *ticket.Keyring
		maxBody      int64         // largest request body in bytes
		writeTimeout time.Duration // limit on sending the buffered events of a stream
	}

	// An Option configures a Server.
	Option interface{ apply(*Server) }

	withMaxBody      int64
	withWriteTimeout time.Duration

	// handler serves a request of an authenticated organisation. If it returns an error,
	// the error is sent as the response.
	handler func(w http.ResponseWriter, r *http.Request, organisation table.Organisation) error

	modelList struct {
		Object string      `json:"object"`
		Data   []modelItem `json:"data"`
	}

	modelItem struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		Owner   string `json:"owned_by"`
	}

	// shareResponse holds the shares of the caller's organisation and of the organisation
	// with the highest rate of service.
	shareResponse struct {
		Own     dispatch.ShareRow `json:"own"`
		Largest dispatch.ShareRow `json:"largest"`
	}
)

const (
	defaultMaxBody      = 1 << 20 // largest request body in bytes
	defaultWriteTimeout = 30 * time.Second
)

// WithMaxBody sets the largest accepted request body in bytes. The default is 1 MiB.
func WithMaxBody(n int64) Option { return withMaxBody(n) }

// WithWriteTimeout sets how long sending the buffered events of a stream to a caller may take
// before the caller counts as disconnected. The default is 30 seconds.
func WithWriteTimeout(d time.Duration) Option { return withWriteTimeout(d) }

func (o withMaxBody) apply(d *Server)      { d.maxBody = int64(o) }
func (o withWriteTimeout) apply(d *Server) { d.writeTimeout = time.Duration(o) }

// NewServer returns the server for the callers of a host. keys seals tickets and the cursors of
// streams.
func NewServer(h *host.Host, keys *ticket.Keyring, opts ...Option) *Server {
	d := &Server{host: h, keys: keys, maxBody: defaultMaxBody, writeTimeout: defaultWriteTimeout}
	for _, o := range opts {
		o.apply(d)
	}
	return d
}

// Handler returns the handler for all endpoints of the API.
func (d *Server) Handler() http.Handler {
	router := mux.NewRouter()
	router.UseEncodedPath()
	router.Handle("/v1/models", d.withOrganisation(d.serveModels)).Methods(http.MethodGet)
	router.Handle("/v1/models/{model}", d.withOrganisation(d.serveModel)).Methods(http.MethodGet)
	router.Handle("/v1/completions", d.withOrganisation(d.serveCompletion)).Methods(http.MethodPost, http.MethodGet)
	router.Handle("/v1/chat/completions", d.withOrganisation(d.serveChat)).Methods(http.MethodPost, http.MethodGet)
	router.Handle("/v1/shares", d.withOrganisation(d.serveShares)).Methods(http.MethodGet)
	router.Handle("/v1/tickets", d.withOrganisation(d.serveIssueTicket)).Methods(http.MethodPost)
	router.Handle("/v1/tickets/{ticket}", d.withOrganisation(d.serveTicketState)).Methods(http.MethodGet)
	router.Handle("/v1/tickets/{ticket}", d.withOrganisation(d.serveRevokeTicket)).Methods(http.MethodDelete)
	router.PathPrefix("/v1/services/{service}").Handler(d.withOrganisation(d.serveService))
	router.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	router.HandleFunc("/readyz", d.serveReady)
	router.NotFoundHandler = d.withOrganisation(func(http.ResponseWriter, *http.Request, table.Organisation) error {
		return answer.New(answer.KindUnknownRoute, "")
	})
	router.MethodNotAllowedHandler = router.NotFoundHandler
	return router
}

// withOrganisation returns an HTTP handler that authenticates the caller's organisation and
// serves the request with f. If either fails, it logs the error and sends it as the response.
func (d *Server) withOrganisation(f handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		organisation, err := d.authenticate(r)
		if err == nil {
			err = f(w, r, organisation)
		}
		if err == nil {
			return
		}
		e := answer.From(err)
		d.host.Log().Emit(event.CallerRefused, event.Fields{Organisation: organisation.Name, Detail: e.Error()})
		answer.Write(w, e)
	})
}

// authenticate returns the organisation of the request's bearer key.
func (d *Server) authenticate(r *http.Request) (table.Organisation, error) {
	t := d.host.Table()
	if t == nil {
		return table.Organisation{}, answer.New(answer.KindNotReady, "")
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return table.Organisation{}, answer.New(answer.KindBadKey, "")
	}
	organisation, ok := t.OrganisationByKey(key)
	if !ok {
		return table.Organisation{}, answer.New(answer.KindBadKey, "")
	}
	return organisation, nil
}

// readBody reads the request body. It returns an error if the body exceeds the maximum size.
func (d *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, d.maxBody))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, answer.New(answer.KindBodyTooLarge, "")
	case err != nil:
		return nil, answer.Wrap(answer.KindBadBody, err, "the body cannot be read")
	}
	return data, nil
}

func (d *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !d.host.Ready() {
		answer.Write(w, answer.New(answer.KindNotReady, ""))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (d *Server) serveModels(w http.ResponseWriter, _ *http.Request, _ table.Organisation) error {
	list := modelList{Object: "list", Data: []modelItem{}}
	for name := range d.host.Table().Models {
		list.Data = append(list.Data, newModelItem(name))
	}
	sort.Slice(list.Data, func(i, j int) bool { return list.Data[i].ID < list.Data[j].ID })
	return writeJSON(w, list)
}

func (d *Server) serveModel(w http.ResponseWriter, r *http.Request, _ table.Organisation) error {
	name := mux.Vars(r)["model"]
	if _, ok := d.host.Table().Models[name]; !ok {
		return answer.New(answer.KindUnknownModel, "")
	}
	return writeJSON(w, newModelItem(name))
}

func newModelItem(name string) modelItem {
	return modelItem{ID: name, Object: "model", Owner: "wigeonlink"}
}

// serveShares responds with the promised and the received share of the caller's organisation and
// of the organisation with the highest rate of service.
func (d *Server) serveShares(w http.ResponseWriter, _ *http.Request, organisation table.Organisation) error {
	var rows []dispatch.ShareRow
	if !d.host.Inspect(func(r *dispatch.Reducer) { rows = r.Shares() }) {
		return answer.New(answer.KindStopping, "")
	}
	var v shareResponse
	for _, row := range rows {
		if row.Organisation == organisation.Name {
			v.Own = row
		}
		if row.Service >= v.Largest.Service {
			v.Largest = row
		}
	}
	return writeJSON(w, v)
}

func writeJSON(w http.ResponseWriter, v any) error { return writeStatus(w, http.StatusOK, v) }

// writeStatus sends v as JSON with the given HTTP status. It always returns nil.
func writeStatus(w http.ResponseWriter, status int, v any) error {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(v)
	return nil
}

// setPrompt sets in s the estimated length of the prompt in tokens, and the hash and length of the
// prefix that other prompts may share.
func setPrompt(s *dispatch.Submit, prompt string) {
	s.PromptTokens = max(target.CountTokens(prompt), 1)
	s.PrefixHash, s.PrefixTokens = target.PrefixOf(prompt)
}
