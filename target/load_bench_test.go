package target_test

import (
	"context"
	"net"
	"net/http/httptest"
	"testing"

	"github.com/wigeonlink/wigeonlink/standin"
	"github.com/wigeonlink/wigeonlink/target"
)

// BenchmarkLoad measures a load report request, including its handling by the stand-in
// engine.
func BenchmarkLoad(b *testing.B) {
	s := httptest.NewServer(standin.NewEngine("e").Handler())
	defer s.Close()
	e := target.NewResponsesEngine(s.Listener.Addr().(*net.TCPAddr).AddrPort())
	b.ReportAllocs()
	for range b.N {
		if _, err := e.Load(context.Background()); err != nil {
			b.Fatal(err)
		}
	}
}
