package desk

import (
	"errors"
	"net/http"
	"net/netip"
	"strings"
	"sync"

	"github.com/gorilla/mux"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/relay"
	"github.com/wigeonlink/wigeonlink/table"
	"github.com/wigeonlink/wigeonlink/target"
)

// serviceSet keeps one adapter for each address.
type serviceSet struct {
	mu  sync.Mutex
	set map[netip.AddrPort]target.Service
}

func (s *serviceSet) at(a netip.AddrPort) target.Service {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.set[a]
	if c == nil {
		c = target.NewService(a)
		if s.set == nil {
			s.set = map[netip.AddrPort]target.Service{}
		}
		s.set[a] = c
	}
	return c
}

// serveService passes a call to a plain service. A call that is not idempotent is
// sent once, whatever happens.
func (d *Desk) serveService(w http.ResponseWriter, r *http.Request, m table.Member) error {
	name := mux.Vars(r)["service"]
	spec, ok := d.host.Table().Services[name]
	if !ok {
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
	call.Header.Set("Wigeonlink-Member", m.Name)
	b := d.host.Submit(dispatch.Submit{
		Member:   m.Name,
		Pool:     name,
		Plain:    true,
		Once:     !spec.Route(r.Method, path).Idempotent,
		Deadline: deadline,
	})
	defer b.Release()
	for {
		verdict, err := b.Wait(r.Context())
		if err != nil {
			return err
		}
		reply, err := d.callService(r, verdict.Target, call)
		if err == nil {
			b.Ended(relay.Result{Ending: relay.EndWhole})
			writeReply(w, reply)
			return nil
		}
		certainty := target.CertainNothing
		var oe *target.OrderError
		if errors.As(err, &oe) {
			certainty = oe.Certainty
		}
		b.Ended(relay.Result{Ending: relay.EndFailed, Certainty: certainty, Cause: err})
	}
}

func (d *Desk) callService(r *http.Request, name string, c target.Call) (target.Reply, error) {
	spec, ok := d.host.Table().Targets[name]
	if !ok {
		return target.Reply{}, &target.OrderError{
			Certainty: target.CertainNotRun,
			Cause:     errors.New("the target is no longer in the table"),
		}
	}
	return d.services.at(spec.Address).Do(r.Context(), c)
}

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
