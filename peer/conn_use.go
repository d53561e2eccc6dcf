package peer

import (
	"sync"

	"github.com/quic-go/quic-go"
)

// connUse counts the relayed connections on each connection with a peer, those that the peer has opened for this
// host and the reverse. The zero value is ready for use. It is safe for concurrent use.
type connUse struct {
	mu     sync.Mutex
	counts map[*quic.Conn]int
}

// add counts a relayed connection. The returned function undoes it, once.
func (u *connUse) add(conn *quic.Conn) (release func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.counts == nil {
		u.counts = map[*quic.Conn]int{}
	}
	u.counts[conn]++
	return sync.OnceFunc(func() { u.remove(conn) })
}

func (u *connUse) remove(conn *quic.Conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.counts[conn]--; u.counts[conn] == 0 {
		delete(u.counts, conn)
	}
}

// inUse reports whether there are relayed connections on a connection, which may be nil.
func (u *connUse) inUse(conn *quic.Conn) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.counts[conn] > 0
}
