package clock

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestClockAdvances(t *testing.T) {
	g := NewWithT(t)
	c := New()
	g.Expect(c.boottime).To(BeNumerically(">", 0), "the system has a boot-time clock")
	started := time.Now()
	before := c.Now()
	time.Sleep(20 * time.Millisecond)
	elapsed := c.Now() - before
	g.Expect(elapsed).To(BeNumerically(">=", 19*time.Millisecond))
	g.Expect(elapsed).To(BeNumerically("<=", time.Since(started)+time.Millisecond), "both clocks run alike while the machine is not suspended")
}

// Without a boot-time clock the runtime's clock is used, from the same start.
func TestFallsBackToRuntimeClock(t *testing.T) {
	c := New()
	c.boottime = 0
	NewWithT(t).Expect(c.Now()).To(BeNumerically("<", time.Minute))
}

func BenchmarkNow(b *testing.B) {
	c := New()
	for b.Loop() {
		c.Now()
	}
}
