package host

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/forecast"
	"github.com/wigeonlink/wigeonlink/share"
	"github.com/wigeonlink/wigeonlink/wire"
)

func TestDemandWireRoundTrip(t *testing.T) {
	c := qt.New(t)
	want := dispatch.TargetDemand{Target: "e", Demand: forecast.Demand{Streams: 3}}
	for i := range forecast.Horizons {
		want.Demand.MeanMemory[i] = 1000 * float64(i+1)
		want.Demand.MemoryVariance[i] = math.Pow(400*float64(i), 2)
	}
	c.Assert(demandFromWire(demandToWire(&want)), qt.DeepEquals, want)
	c.Assert(demandFromWire(&wire.Demand{Target: "e", Shape: []byte{1}}).Demand, qt.Equals, forecast.Demand{})
}

func TestSumOverPools(t *testing.T) {
	c := qt.New(t)
	sums := sumOverPools([]share.Entry{
		{Account: share.Account{Organisation: "a", Pool: "x"}, Use: 1, Rate: 2},
		{Account: share.Account{Organisation: "b", Pool: "x"}, Use: 5},
		{Account: share.Account{Organisation: "a", Pool: "y"}, Use: 3, Rate: 4},
	})
	c.Assert(sums, qt.DeepEquals, []share.Entry{
		{Account: share.Account{Organisation: "a"}, Use: 4, Rate: 6},
		{Account: share.Account{Organisation: "b"}, Use: 5},
	})
}

func FuzzUnpack(f *testing.F) {
	f.Add(compress([]byte("kind,version\ntable,1\n")))
	f.Add([]byte("not packed"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := decompress(data); err == nil && len(data) == 0 {
			t.Fatal("decompress accepted empty input")
		}
	})
}
