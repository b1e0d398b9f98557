package control

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/placement"
)

func TestLongTermRatesLagAndExpire(t *testing.T) {
	g := NewWithT(t)
	var s longTermRates
	now := time.Now()
	note := func(requests float64) float64 {
		now = now.Add(time.Second)
		demand := map[string]placement.Demand{}
		if requests > 0 {
			demand["m"] = placement.Demand{Requests: requests}
		}
		s.update(demand, now)
		return demand["m"].LongTermRequests
	}
	g.Expect(note(2)).To(BeNumerically("~", 2, 1e-9), "the first rates are used as the average")
	g.Expect(note(20)).To(BeNumerically("~", 2+18*0.095, 0.1), "a rise shows slowly")
	g.Expect(note(0)).To(BeNumerically(">", 3), "as does its end")
	for range 120 {
		note(0)
	}
	g.Expect(s.rates).To(BeEmpty(), "arbitrary names do not accumulate")
	s.reset()
	g.Expect(note(7)).To(BeNumerically("~", 7, 1e-9), "a new leadership starts from scratch")
}
