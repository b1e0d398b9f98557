package placement

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// The number of requests that a server answers in time must not fall when demand rises: otherwise a
// copy that relieves an overloaded server seems to have no value.
func TestMoreRequestsNeverServeFewer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one := Demand{Requests: 1, BusySlots: rapid.Float64Range(0, 2).Draw(t, "places"), PrefillLoad: rapid.Float64Range(0, 0.2).Draw(t, "reading")}
		before := 0.0
		for n := 1.0; n < 200; n++ {
			l := load{slots: 48, goodUse: 0.7}
			l.add(one, n)
			inTime := l.requests - l.late()
			if inTime < before-1e-9 {
				t.Fatalf("%v of %v requests are in time, but %v with one request fewer", inTime, n, before)
			}
			before = inTime
		}
	})
}

func TestPrefillAndSlotsAreIndependent(t *testing.T) {
	g := NewWithT(t)
	quick := load{slots: 48, goodUse: 0.7}
	quick.add(Demand{Requests: 60, BusySlots: 72, PrefillLoad: 0.1}, 1)
	g.Expect(quick.late()).To(BeNumerically(">", 20), "short requests fill the slots")
	slow := load{slots: 48, goodUse: 0.7}
	slow.add(Demand{Requests: 20, BusySlots: 20, PrefillLoad: 0.6}, 1)
	g.Expect(slow.late()).To(BeNumerically(">", 5), "slow prefill takes the time")
}
