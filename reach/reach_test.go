package reach

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// clock is a time that tests advance.
type clock struct{ time.Time }

func (c *clock) wait(d time.Duration) { c.Time = c.Add(d) }

func newTestMonitor() (*Monitor, *clock, *[]Change) {
	var changes []Change
	m := NewMonitor(func(c Change) { changes = append(changes, c) })
	return m, &clock{time.Unix(1000, 0)}, &changes
}

// lose makes the monitor conclude that the box is isolated.
func lose(m *Monitor, c *clock) {
	m.Suspect("s1", c.Time, c.Time)
	m.Conclude(c.Time, 3, 0)
}

func TestServerThatRefusesConnectionsIsNoIsolation(t *testing.T) {
	g := NewWithT(t)
	m, c, _ := newTestMonitor()
	vouched := make(chan bool, 1)
	g.Expect(m.Suspect("s1", c.Time, c.Time)).To(BeTrue())
	m.Vouch(func() { vouched <- true })
	g.Expect(vouched).To(BeEmpty(), "held back while the links are suspected")
	g.Expect(m.Suspect("s2", c.Time, c.Time)).To(BeFalse(), "one suspicion at a time")
	m.Conclude(c.Time, 2, 1)
	g.Eventually(vouched).Should(Receive())
	g.Expect(m.Isolated()).To(BeFalse())
	g.Expect(m.Suspect("s1", c.Time, c.Time)).To(BeFalse(), "the same server, just now")
	g.Expect(m.Suspect("s2", c.Time, c.Time)).To(BeTrue(), "another one")
}

func TestIsolatedBoxIsNoWitness(t *testing.T) {
	g := NewWithT(t)
	m, c, changes := newTestMonitor()
	held := false
	g.Expect(m.Suspect("s1", c.Time, c.Time)).To(BeTrue())
	m.Vouch(func() { held = true })
	m.Conclude(c.Time, 3, 0)
	m.Vouch(func() { held = true })
	g.Expect(m.Isolated()).To(BeTrue())
	g.Expect(*changes).To(Equal([]Change{{Isolated: true, Dials: 3}}))
	g.Consistently(func() bool { return held }, 20*time.Millisecond).Should(BeFalse())
}

func TestNothingIsConcludedWithoutOtherServers(t *testing.T) {
	g := NewWithT(t)
	m, c, _ := newTestMonitor()
	m.Suspect("s1", c.Time, c.Time)
	m.Conclude(c.Time, 0, 0)
	g.Expect(m.Isolated()).To(BeFalse())
}

// Guards against links that are used as soon as a single connection gets through, while they flap.
func TestFlappingLinksAreRegainedLater(t *testing.T) {
	g := NewWithT(t)
	m, c, changes := newTestMonitor()
	dialsToRegain := func() (n int) {
		for m.Isolated() {
			c.wait(100 * time.Millisecond)
			m.DialSucceeded(c.Time, c.Time)
			n++
		}
		return n
	}
	var dials []int
	for range 4 {
		c.wait(time.Second)
		lose(m, c)
		dials = append(dials, dialsToRegain())
	}
	g.Expect(dials).To(Equal([]int{regainDials, 2 * regainDials, maxRegainDials, maxRegainDials}))
	c.wait(2 * flapWindow)
	lose(m, c)
	m.DialSucceeded(c.Time, c.Time.Add(-time.Second))
	g.Expect(m.Isolated()).To(BeTrue(), "a dial that began before does not count")
	c.wait(time.Millisecond)
	m.DialSucceeded(c.Time, c.Time)
	m.DialFailed()
	g.Expect(dialsToRegain()).To(Equal(regainDials), "a failure in between begins the count again")
	g.Expect((*changes)[len(*changes)-1].Isolated).To(BeFalse())
}

// Guards against a dial that took long and succeeded while others were still being tried.
func TestLaterDialResolvesASuspicion(t *testing.T) {
	g := NewWithT(t)
	m, c, _ := newTestMonitor()
	m.Suspect("s1", c.Time, c.Time)
	c.wait(time.Millisecond)
	m.DialSucceeded(c.Time, c.Time)
	m.Conclude(c.Time, 3, 0)
	g.Expect(m.Isolated()).To(BeFalse())
	c.wait(time.Millisecond)
	g.Expect(m.Suspect("s3", c.Time, c.Time.Add(-10*time.Millisecond))).To(BeFalse(), "another server was dialed since")
}
