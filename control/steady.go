package control

import (
	"math"
	"time"

	"leverdrum/placement"
)

// steadySpan is the time over which the rate of requests for a model is averaged that
// tells whether it is asked for all the time or now and then: long enough for some requests of
// a rare model.
const steadySpan = 10 * time.Second

// steadyLeast is the rate, in requests a second, below which nothing is remembered.
const steadyLeast = 0.005

// steady averages the rates of requests over a longer time. Only the goroutine that
// decides uses it.
type steady struct {
	rates map[string]float64 // requests a second, by model or adapter
	at    time.Time
}

// note takes in the rates of now, and fills in the averages.
func (s *steady) note(demand map[string]placement.Demand, now time.Time) {
	if s.rates == nil { // a new leader takes the first rates for the average
		s.rates = map[string]float64{}
		s.at = now
		for name, d := range demand {
			s.rates[name] = d.Requests
		}
	}
	part := 1 - math.Exp(-float64(now.Sub(s.at))/float64(steadySpan))
	s.at = now
	for name, d := range demand {
		s.rates[name] += part * (d.Requests - s.rates[name])
		d.LongTermRequests = s.rates[name]
		demand[name] = d
	}
	for name, rate := range s.rates {
		if _, asked := demand[name]; asked {
			continue
		}
		rate -= part * rate
		if rate < steadyLeast { // callers may invent names
			delete(s.rates, name)
			continue
		}
		s.rates[name] = rate
		demand[name] = placement.Demand{LongTermRequests: rate}
	}
}

// forget begins anew: what was learned in an earlier leadership does not count.
func (s *steady) forget() { s.rates = nil }
