package trial

import (
	"fmt"
	"testing"
	"time"
)

func BenchmarkSweep(b *testing.B) {
	for _, load := range []float64{0.9, 1.0, 1.1} {
		for _, w := range [][2]float64{{1, 0}, {3, 1}, {1, 1}, {1, 3}, {0, 1}} {
			pre, stall, tok := 0, time.Duration(0), 0
			between, first := newHistogram(), newHistogram()
			for seed := range 3 {
				u := users[0]
				u.tail, u.stall = w[0], w[1]
				c := u.config(load)
				c.Seed = uint64(seed + 1)
				r := mustRun(b, c)
				pre += r.Preemptions
				stall += r.Stall
				tok += r.Tokens
				between.Merge(r.Between)
				first.Merge(r.First)
			}
			fmt.Println(load, w, "pre", pre, "stall", stall, "tok", tok, "tbt", between.Quantile(.95), between.Quantile(.99), between.Quantile(.999), "ttft", first.Quantile(.5), first.Quantile(.95), first.Quantile(.99))
		}
	}
}
