package target_test

import (
	"context"
	"net"
	"net/http/httptest"
	"testing"

	"github.com/wigeonlink/wigeonlink/standin"
	"github.com/wigeonlink/wigeonlink/target"
)

// BenchmarkLoad measures one load report, the engine's side included.
func BenchmarkLoad(b *testing.B) {
	s := httptest.NewServer(standin.NewEngine("e").Handler())
	defer s.Close()
	e := target.NewResponses(s.Listener.Addr().(*net.TCPAddr).AddrPort())
	b.ReportAllocs()
	for range b.N {
		if _, err := e.Load(context.Background()); err != nil {
			b.Fatal(err)
		}
	}
}
