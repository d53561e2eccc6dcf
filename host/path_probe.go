package host

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonlink/wigeonlink/table"
)

// pathProber sends health checks to targets. Any answer shows that the path leads to the target, also one that
// says that it is full.
type pathProber struct{ *Host }

// defaultHealthPath is the path of health checks at targets for which the table names none.
const defaultHealthPath = "/"

// Probe implements detour.Prober.
func (h pathProber) Probe(ctx context.Context, c net.Conn, to netip.AddrPort) error {
	t, listed := h.listed.at(to)
	switch {
	case !listed:
		return errNotTarget
	case !h.MaySend(t):
		return errEvacuated
	}
	deadline, _ := ctx.Deadline() // a check has one; without it the zero time sets none
	if err := c.SetDeadline(deadline); err != nil {
		return eris.Wrap(err, "health check")
	}
	defer context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Now()) })() // fails only if the connection is closed
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", h.healthPath(t), to); err != nil {
		return eris.Wrap(err, "health check")
	}
	var first [1]byte
	_, err := io.ReadFull(c, first[:])
	return eris.Wrap(err, "health check")
}

// healthPath returns the path of health checks at a target.
func (h *Host) healthPath(t table.Target) string {
	tab := h.Table()
	if tab == nil {
		return defaultHealthPath
	}
	return cmp.Or(tab.Services[t.Service].HealthPath, tab.Models[t.Service].HealthPath, defaultHealthPath)
}
