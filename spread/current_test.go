package spread_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// step is one event of a history.
type step struct {
	kind  string
	boxes []int // that it meets
	order []int // in which they come back
	wait  time.Duration
}

func (s step) String() string { return fmt.Sprintf("%s %v %v %v", s.kind, s.boxes, s.order, s.wait) }

func (c *cluster) carryOut(s step) {
	switch s.kind {
	case "apply":
		c.apply()
	case "kill":
		for _, i := range s.boxes {
			c.kill(i)
		}
	case "restart", "power":
		for _, i := range s.boxes {
			c.kill(i)
		}
		c.startIn(s.order)
	case "start":
		c.startIn(s.order)
	case "cut", "heal":
		c.mu.Lock()
		c.cut = map[string]bool{}
		if s.kind == "cut" {
			for _, i := range s.boxes {
				c.cut[c.members[i].Box] = true
			}
		}
		c.mu.Unlock()
	}
	c.pass(s.wait)
}

// startIn starts boxes one after the other, each up to 300 ms after the one before.
func (c *cluster) startIn(order []int) {
	for _, i := range order {
		c.pass(c.draw(300 * time.Millisecond))
		c.start(i)
	}
}

var kinds = []string{"apply", "apply", "apply", "kill", "restart", "restart", "power", "power", "start", "cut", "heal"}

func drawSteps(t *rapid.T, boxes int) []step {
	all := make([]int, boxes)
	for i := range all {
		all[i] = i
	}
	var steps []step
	for range rapid.IntRange(3, 14).Draw(t, "steps") {
		s := step{kind: rapid.SampledFrom(kinds).Draw(t, "kind")}
		s.order = rapid.Permutation(all).Draw(t, "order")
		s.boxes = s.order[:rapid.IntRange(1, boxes).Draw(t, "met")]
		if s.kind == "power" {
			s.boxes = s.order
		}
		if s.kind == "restart" {
			s.order = slices.Clone(s.boxes)
		}
		s.wait = time.Duration(rapid.SampledFrom([]int{0, 20, 100, 400, 1000, 2500, 5000}).Draw(t, "wait")) * time.Millisecond
		steps = append(steps, s)
	}
	return steps
}

// After a start of all boxes some served by an older file than was acknowledged, with keys that it had taken
// away: boxes whose applied state was as old as their snapshots vouched for each other.
func TestABoxThatIsCurrentHasWhatWasAcknowledged(t *testing.T) {
	checked, accepted := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		others := rapid.IntRange(0, 3).Draw(rt, "others")
		lease := rapid.SampledFrom([]time.Duration{3 * time.Second, time.Hour}).Draw(rt, "lease")
		slow := rapid.SampledFrom([]time.Duration{0, 2 * time.Millisecond, 100 * time.Millisecond}).Draw(rt, "disk")
		seed := rapid.Uint64().Draw(rt, "seed")
		steps := drawSteps(rt, 3+others)
		broken := ""
		synctest.Test(t, func(t *testing.T) {
			c := newHistory(t, seed, lease, slow, 3, others)
			c.startIn([]int{0, 1, 2, 3, 4, 5}[:3+others])
			c.pass(3 * time.Second)
			for _, s := range steps {
				c.carryOut(s)
			}
			c.pass(2 * time.Second)
			broken, checked, accepted = c.broken, checked+c.checked, accepted+len(c.accepted)
			c.close()
		})
		if broken != "" {
			var lines []string
			for _, s := range steps {
				lines = append(lines, s.String())
			}
			rt.Fatalf("%s\nlease %v, disk %v:\n%s", broken, lease, slow, strings.Join(lines, "\n"))
		}
	})
	if checked == 0 || accepted == 0 {
		t.Fatalf("%d files acknowledged and %d times current: this proves nothing", accepted, checked)
	}
	t.Logf("%d files acknowledged, %d times current", accepted, checked)
}

// history is a cluster of three boxes with a disk and some others, which has a file in force.
func history(t *testing.T, lease time.Duration, others int) *cluster {
	c := newHistory(t, 1, lease, 0, 3, others)
	for i := range c.members {
		c.start(i)
	}
	c.pass(3 * time.Second)
	c.applied(1)
	return c
}

// applied has files applied until one of a number is acknowledged.
func (c *cluster) applied(number uint64) {
	for range 10 {
		c.apply()
		c.pass(time.Second)
		if c.newestAccepted() >= number {
			return
		}
	}
	c.t.Errorf("file %d was never acknowledged", number)
}

func (c *cluster) newestAccepted() (number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range c.accepted {
		number = max(number, f.number)
	}
	return number
}

// current lists the boxes that say so.
func (c *cluster) current() (boxes []string) {
	for _, p := range c.live() {
		if p.spread.Current() {
			boxes = append(boxes, p.self.Box)
		}
	}
	return boxes
}

// Boxes that ran on serve without any voter, for longer than the configuration lease, as long as
// they are most of all boxes.
func TestBoxesServeOnWithoutVoters(t *testing.T) {
	for others, serve := range map[int]bool{4: true, 3: false} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			c := history(t, 3*time.Second, others)
			defer c.close()
			for i := range 3 {
				c.kill(i)
			}
			c.pass(10 * time.Second)
			if serve {
				g.Expect(c.current()).To(Equal([]string{"b3", "b4", "b5", "b6"}))
			} else {
				g.Expect(c.current()).To(BeEmpty(), "three of six are no majority")
			}
			g.Expect(c.broken).To(BeEmpty())
		})
	}
}

// A box that has just started took the state of one that had been cut off for current, without a
// file that all others had had in force.
func TestStateOfABoxThatWasCutOffIsNotCurrentElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := history(t, time.Hour, 3)
		defer c.close()
		c.carryOut(step{kind: "cut", boxes: []int{0}, wait: 2 * time.Second})
		c.applied(2)
		for i := range c.members[1:] {
			c.kill(i + 1)
		}
		c.carryOut(step{kind: "heal"})
		c.start(3)
		c.pass(3 * time.Second)
		g.Expect(c.current()).NotTo(ContainElement("b3"))
		g.Expect(c.broken).To(BeEmpty())
	})
}
