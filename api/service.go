package api

import (
	"net/http"
	"strings"

	"github.com/gorilla/mux"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/table"
	"github.com/wigeonlink/wigeonlink/target"
)

// HeaderOrganisation is the request header in which a plain service receives the name of the
// caller's organisation.
const HeaderOrganisation = "Wigeonlink-Organisation"

// serveService forwards a call to a plain service and sends the service's reply to the caller. A
// call with a ticket is executed at most once.
func (d *Server) serveService(w http.ResponseWriter, r *http.Request, organisation table.Organisation) error {
	name := mux.Vars(r)["service"]
	if _, ok := d.host.Table().Services[name]; !ok {
		return answer.New(answer.KindUnknownService, "")
	}
	path := strings.TrimPrefix(r.URL.Path, "/v1/services/"+name)
	if path == "" {
		path = "/"
	}
	body, err := d.readBody(w, r)
	if err != nil {
		return err
	}
	deadline, err := readDeadline(r)
	if err != nil {
		return err
	}
	call := target.Call{Method: r.Method, Path: path, Query: r.URL.RawQuery, Header: r.Header.Clone(), Body: body}
	call.Header.Del("Authorization")
	call.Header.Set(HeaderOrganisation, organisation.Name)
	if r.Header.Get(HeaderTicket) != "" {
		return d.callWithTicket(w, r, organisation, name, call, deadline)
	}
	reply, err := d.host.CallService(r.Context(), organisation.Name, name, call, deadline)
	if err != nil {
		return err
	}
	writeReply(w, reply)
	return nil
}

// writeReply sends the reply of a plain service to the caller.
func writeReply(w http.ResponseWriter, reply target.Reply) {
	h := w.Header()
	for name, values := range reply.Header {
		h[name] = values
	}
	h.Del("Content-Length")
	h.Set(answer.HeaderOutcome, "whole")
	w.WriteHeader(reply.Status)
	_, _ = w.Write(reply.Body)
}
