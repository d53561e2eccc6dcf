package precedence

import (
	"math"
	"time"
)

// A Demand estimates how many urgent requests arrive at a pool, how much memory each holds and for how long. The zero
// value is that of a pool at which none has arrived. Times are durations since an epoch that the caller chooses.
type Demand struct {
	arrivals  float64 // number, decayed to at
	at        time.Duration
	size      float64 // mean memory of one, in tokens
	residence float64 // mean time for which one holds its memory, in seconds
}

const (
	// arrivalWindow is the time constant of the decay of the number of arrivals. Bursts last for some seconds.
	arrivalWindow = 3 * time.Second

	// meanWeight is the weight of the latest value in the means of memory and residence.
	meanWeight = 0.1

	// reserveDeviations is the margin for random variation, in standard deviations of the number that is present at once.
	reserveDeviations = 2

	// maxReserve is the largest fraction of the memory that is kept.
	maxReserve = 0.25
)

// Arrive records the arrival of a request whose prompt has the given size.
func (d *Demand) Arrive(prompt int, now time.Duration) {
	d.arrivals, d.at = d.decayed(now)+1, now
	if d.size == 0 {
		d.size = float64(prompt)
	}
	d.size += meanWeight * (float64(prompt) - d.size)
}

// Leave records that a request has held its memory for the given time.
func (d *Demand) Leave(residence time.Duration) {
	if d.residence == 0 {
		d.residence = residence.Seconds()
	}
	d.residence += meanWeight * (residence.Seconds() - d.residence)
}

func (d *Demand) decayed(now time.Duration) float64 {
	return d.arrivals * math.Exp(-float64(max(now-d.at, 0))/float64(arrivalWindow))
}

// Residence returns the mean time for which a request holds its memory, or 0 if none has ended.
func (d *Demand) Residence() time.Duration { return time.Duration(d.residence * float64(time.Second)) }

// Size returns the mean memory of a request, in tokens, or 0 if none has arrived.
func (d *Demand) Size() float64 { return d.size }

// Places returns the number of requests for which memory is kept, in a pool with the given memory, in tokens. scale is the
// ratio of the arrivals at the pool to those recorded.
func (d *Demand) Places(memory, scale float64, now time.Duration) int {
	if d.size <= 0 {
		return 0
	}
	present := scale * d.decayed(now) / arrivalWindow.Seconds() * d.residence
	if present <= 0 {
		return 0
	}
	return int(min(math.Ceil(present+reserveDeviations*math.Sqrt(present)), maxReserve*memory/d.size))
}
