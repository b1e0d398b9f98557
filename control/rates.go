package control

import (
	"math"
	"time"

	"leverdrum/placement"
)

// rateAveragingSpan is the time over which the request rate for a model is averaged to tell steady
// from occasional demand. It is long enough for some requests of a rare model.
const rateAveragingSpan = 10 * time.Second

// minTrackedRate is the rate, in requests a second, below which a model is not tracked.
const minTrackedRate = 0.005

// longTermRates averages request rates over a longer time. Only the goroutine that runs the steps
// uses it.
type longTermRates struct {
	rates     map[string]float64 // requests per second, by model or adapter
	updatedAt time.Time
}

// update adds the current rates and fills in the averages.
func (s *longTermRates) update(demand map[string]placement.Demand, now time.Time) {
	if s.rates == nil { // a new leader uses the first rates as the average
		s.rates = map[string]float64{}
		s.updatedAt = now
		for name, d := range demand {
			s.rates[name] = d.Requests
		}
	}
	weight := 1 - math.Exp(-float64(now.Sub(s.updatedAt))/float64(rateAveragingSpan))
	s.updatedAt = now
	for name, d := range demand {
		s.rates[name] += weight * (d.Requests - s.rates[name])
		d.LongTermRequests = s.rates[name]
		demand[name] = d
	}
	for name, rate := range s.rates {
		if _, requested := demand[name]; requested {
			continue
		}
		rate -= weight * rate
		if rate < minTrackedRate { // callers may request arbitrary names
			delete(s.rates, name)
			continue
		}
		s.rates[name] = rate
		demand[name] = placement.Demand{LongTermRequests: rate}
	}
}

// reset drops the averages: those of an earlier leadership do not count.
func (s *longTermRates) reset() { s.rates = nil }
