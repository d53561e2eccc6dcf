package limit

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// Responses overtake each other: what allows more counts only if it was certainly sent later.
func TestRecordOfOvertakingResponses(t *testing.T) {
	named := func(rate float64) Reading { return Reading{Named: true, Rate: rate} }
	for _, c := range []struct {
		name           string
		before         Record
		reading        Reading
		sent, received float64
		want           Reading
		changed        bool
	}{
		{"first limit", Record{}, named(5), 1, 2, named(5), true},
		{"old response without a limit", Record{named(5), at(2)}, Reading{}, 1, 3, named(5), false},
		{"later response without a limit", Record{named(5), at(2)}, Reading{}, 2.1, 3, Reading{}, true},
		{"old higher limit", Record{named(5), at(2)}, named(6), 1, 3, named(5), false},
		{"later higher limit", Record{named(5), at(2)}, named(6), 2.1, 3, named(6), true},
		{"lower limit of an old request", Record{named(5), at(2)}, named(4), 1, 3, named(4), true},
		{"same limit", Record{named(5), at(2)}, named(5), 1, 3, named(5), false},
		{"limit after none", Record{Reading{}, at(2)}, named(5), 1, 3, named(5), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := c.before
			qt.Check(t, r.Observe(c.reading, at(c.sent), at(c.received)), qt.Equals, c.changed)
			qt.Check(t, r.Reading, qt.Equals, c.want)
		})
	}
}

// Records of several hosts are the same in the end, in any order of merging.
func TestMergedRecordsAgree(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		var all []Record
		for i := range 8 {
			all = append(all, Record{Reading{random.IntN(3) > 0, float64(random.IntN(5))}, at(float64(i))})
		}
		want := all[len(all)-1]
		random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		var r Record
		for _, o := range all {
			r.Merge(o)
		}
		qt.Assert(t, r, qt.Equals, want)
	}
}

// placesUnder returns the places that are given out under a Poisson load that is a multiple of the rate.
func placesUnder(rate, load float64, seconds float64) []time.Time {
	random := rand.New(rand.NewPCG(uint64(rate*10), uint64(load*10)))
	var p Pacer
	var places []time.Time
	for now := at(0); now.Before(at(seconds)); now = now.Add(time.Duration(random.ExpFloat64() / (rate * load) * float64(time.Second))) {
		if wait, ok := p.Reserve(now, rate, 300*time.Millisecond); ok {
			places = append(places, now.Add(wait))
		}
	}
	return places
}

// mostWithin returns the largest number of the places in a span of time.
func mostWithin(span time.Duration, places []time.Time) int {
	most, first := 0, 0
	for last, place := range places {
		for place.Sub(places[first]) >= span {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// Under any load, the places of 4 s exceed the limit by a small burst at most, and it is used up.
func TestPlacesKeepToTheRate(t *testing.T) {
	const seconds = 60
	for _, rate := range []float64{0.5, 3.7, 5.7, 40, 900} {
		for _, load := range []float64{0.5, 1, 3, 20} {
			places := placesUnder(rate, load, seconds)
			burst := max(2, rate*minBurst.Seconds()+1)
			most := mostWithin(4*time.Second, places)
			qt.Check(t, float64(most) <= 4*rate+burst, qt.IsTrue, qt.Commentf("%d places in 4 s at rate %.1f", most, rate))
			if load >= 3 {
				qt.Check(t, float64(len(places)) >= 0.9*rate*seconds-1, qt.IsTrue, qt.Commentf("%d places at rate %.1f", len(places), rate))
			}
		}
	}
}

// A limit of zero still lets a request through now and then, whose response may end the limit.
func TestZeroRateIsProbed(t *testing.T) {
	var p Pacer
	n := 0
	for s := range 60 {
		if _, ok := p.Reserve(at(float64(s)), 0, 0); ok {
			n++
		}
	}
	qt.Check(t, n, qt.Equals, 11)
}
