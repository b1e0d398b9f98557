package clock

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestTheClockGoesOn(t *testing.T) {
	g := NewWithT(t)
	c := New()
	g.Expect(c.booted).To(BeNumerically(">", 0), "the system has such a clock")
	began := time.Now()
	before := c.Now()
	time.Sleep(20 * time.Millisecond)
	passed := c.Now() - before
	g.Expect(passed).To(BeNumerically(">=", 19*time.Millisecond))
	g.Expect(passed).To(BeNumerically("<=", time.Since(began)+time.Millisecond), "both clocks run alike while nobody sleeps")
}

// Without such a clock it is the runtime's, from the same beginning.
func TestWithoutSuchAClock(t *testing.T) {
	c := New()
	c.booted = 0
	NewWithT(t).Expect(c.Now()).To(BeNumerically("<", time.Minute))
}

func BenchmarkNow(b *testing.B) {
	c := New()
	for b.Loop() {
		c.Now()
	}
}
