package host

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonlink/wigeonlink/event"
	"github.com/wigeonlink/wigeonlink/wire"
)

const (
	// arbiterTimeout is the timeout of a question to an arbiter, and relayTimeout that of one that a
	// coordinator passes on.
	arbiterTimeout = 200 * time.Millisecond
	relayTimeout   = 120 * time.Millisecond
)

// errDeclined is the error of a question to a host that is not the arbiter and cannot pass it on.
var errDeclined = eris.New("the host is not the arbiter")

// askArbiter puts a question to the arbiter of a failure domain (see peer.Mesh.Arbiter). If that is this
// host, local is set and there is no answer. It also returns the name of the host that was asked.
func (h *Host) askArbiter(domain string, q *wire.Question) (a *wire.Answer, from string, local bool, err error) {
	if h.mesh == nil {
		return nil, "", true, nil
	}
	p, local, err := h.mesh.Arbiter(domain)
	if err != nil || local {
		return nil, "", local, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), arbiterTimeout)
	defer cancel()
	a, _, err = h.mesh.Ask(ctx, p, q)
	return a, p.Host, false, err
}

// relayToArbiter passes another host's question on to the arbiter of a failure domain. If that is this
// host, local is set. The answer is nil if there is none, or if the question was passed on before.
func (h *Host) relayToArbiter(ctx context.Context, domain string, relayed bool, q *wire.Question) (a *wire.Answer, local bool) {
	p, local, err := h.mesh.Arbiter(domain)
	if err != nil || local || relayed {
		return nil, local
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	a, _, err = h.mesh.Ask(ctx, p, q)
	if err != nil {
		h.log.Emit(event.PeerRefused, event.Fields{Peer: p.Host, Detail: "a question was not relayed: " + err.Error()})
		return nil, false
	}
	return a, false
}
