package placement

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// TestMoreRequestsNeverServeFewer: what a server answers in time must not fall when more
// is asked of it, or a copy that relieves an overloaded server seems worth nothing.
func TestMoreRequestsNeverServeFewer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one := Demand{Requests: 1, BusySlots: rapid.Float64Range(0, 2).Draw(t, "places"), PrefillLoad: rapid.Float64Range(0, 0.2).Draw(t, "reading")}
		before := 0.0
		for n := 1.0; n < 200; n++ {
			l := load{size: 48, good: 0.7}
			l.add(one, n)
			inTime := l.requests - l.late()
			if inTime < before-1e-9 {
				t.Fatalf("%v of %v requests are in time, %v of one fewer", inTime, n, before)
			}
			before = inTime
		}
	})
}

func TestReadingAndPlacesAreApart(t *testing.T) {
	g := NewWithT(t)
	quick := load{size: 48, good: 0.7}
	quick.add(Demand{Requests: 60, BusySlots: 72, PrefillLoad: 0.1}, 1)
	g.Expect(quick.late()).To(BeNumerically(">", 20), "a quick model fills the places")
	slow := load{size: 48, good: 0.7}
	slow.add(Demand{Requests: 20, BusySlots: 20, PrefillLoad: 0.6}, 1)
	g.Expect(slow.late()).To(BeNumerically(">", 5), "a slow one the time")
}
