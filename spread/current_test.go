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

// step is one event of a simulated run.
type step struct {
	kind  string
	boxes []int // affected boxes
	order []int // in which they are started
	wait  time.Duration
}

func (s step) String() string { return fmt.Sprintf("%s %v %v %v", s.kind, s.boxes, s.order, s.wait) }

func (c *cluster) runStep(s step) {
	switch s.kind {
	case "apply":
		c.applyNextFile()
	case "kill":
		for _, i := range s.boxes {
			c.kill(i)
		}
	case "restart", "power loss":
		for _, i := range s.boxes {
			c.kill(i)
		}
		c.startInOrder(s.order)
	case "start":
		c.startInOrder(s.order)
	case "partition", "heal":
		c.mu.Lock()
		c.isolated = map[string]bool{}
		if s.kind == "partition" {
			for _, i := range s.boxes {
				c.isolated[c.members[i].Box] = true
			}
		}
		c.mu.Unlock()
	}
	c.advance(s.wait)
}

// startInOrder starts boxes one by one, each up to 300 ms after the previous one.
func (c *cluster) startInOrder(order []int) {
	for _, i := range order {
		c.advance(c.randomDuration(300 * time.Millisecond))
		c.start(i)
	}
}

var stepKinds = []string{"apply", "apply", "apply", "kill", "restart", "restart", "power loss", "power loss", "start", "partition", "heal"}

func drawSteps(t *rapid.T, boxes int) []step {
	all := make([]int, boxes)
	for i := range all {
		all[i] = i
	}
	var steps []step
	for range rapid.IntRange(3, 14).Draw(t, "steps") {
		s := step{kind: rapid.SampledFrom(stepKinds).Draw(t, "kind")}
		s.order = rapid.Permutation(all).Draw(t, "order")
		s.boxes = s.order[:rapid.IntRange(1, boxes).Draw(t, "boxes")]
		if s.kind == "power loss" {
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

// Guards against serving an outdated file after a start of all boxes. Boxes confirmed each other
// although the state they had applied was as old as their snapshots. Some then served with a file
// older than an acknowledged one, with keys that the newer file had revoked.
func TestCurrentBoxHasAcknowledgedFile(t *testing.T) {
	currentChecks, acknowledged := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		others := rapid.IntRange(0, 3).Draw(rt, "others")
		lease := rapid.SampledFrom([]time.Duration{3 * time.Second, time.Hour}).Draw(rt, "lease")
		writeDelay := rapid.SampledFrom([]time.Duration{0, 2 * time.Millisecond, 100 * time.Millisecond}).Draw(rt, "disk")
		seed := rapid.Uint64().Draw(rt, "seed")
		steps := drawSteps(rt, 3+others)
		violation := ""
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, seed, lease, writeDelay, 3, others)
			c.startInOrder([]int{0, 1, 2, 3, 4, 5}[:3+others])
			c.advance(3 * time.Second)
			for _, s := range steps {
				c.runStep(s)
			}
			c.advance(2 * time.Second)
			violation, currentChecks, acknowledged = c.violation, currentChecks+c.currentChecks, acknowledged+len(c.acknowledged)
			c.close()
		})
		if violation != "" {
			var lines []string
			for _, s := range steps {
				lines = append(lines, s.String())
			}
			rt.Fatalf("%s\nlease %v, disk %v:\n%s", violation, lease, writeDelay, strings.Join(lines, "\n"))
		}
	})
	if currentChecks == 0 || acknowledged == 0 {
		t.Fatalf("%d files acknowledged and %d times current: the test checked nothing", acknowledged, currentChecks)
	}
	t.Logf("%d files acknowledged, %d times current", acknowledged, currentChecks)
}

// newClusterWithFile returns a cluster of three boxes with a disk and some others that has
// acknowledged a file.
func newClusterWithFile(t *testing.T, lease time.Duration, others int) *cluster {
	c := newCluster(t, 1, lease, 0, 3, others)
	for i := range c.members {
		c.start(i)
	}
	c.advance(3 * time.Second)
	c.applyUntilAcknowledged(1)
	return c
}

// applyUntilAcknowledged applies files until one with at least the given number is acknowledged.
func (c *cluster) applyUntilAcknowledged(number uint64) {
	for range 10 {
		c.applyNextFile()
		c.advance(time.Second)
		if c.newestAcknowledged() >= number {
			return
		}
	}
	c.t.Errorf("file %d was never acknowledged", number)
}

func (c *cluster) newestAcknowledged() (number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range c.acknowledged {
		number = max(number, f.number)
	}
	return number
}

// currentBoxes lists the boxes that report to be current.
func (c *cluster) currentBoxes() (boxes []string) {
	for _, p := range c.runningProcesses() {
		if p.spread.Current() {
			boxes = append(boxes, p.self.Box)
		}
	}
	return boxes
}

// Boxes that keep running serve without any voter, beyond the configuration lease, as long as
// they are a majority of all boxes.
func TestBoxesStayCurrentWithoutVoters(t *testing.T) {
	for others, wantCurrent := range map[int]bool{4: true, 3: false} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			c := newClusterWithFile(t, 3*time.Second, others)
			defer c.close()
			for i := range 3 {
				c.kill(i)
			}
			c.advance(10 * time.Second)
			if wantCurrent {
				g.Expect(c.currentBoxes()).To(Equal([]string{"b3", "b4", "b5", "b6"}))
			} else {
				g.Expect(c.currentBoxes()).To(BeEmpty(), "three of six are not a majority")
			}
			g.Expect(c.violation).To(BeEmpty())
		})
	}
}

// Guards against a box that has just started and takes the state of a formerly isolated box for
// current, without a file that all other boxes had applied.
func TestStateOfIsolatedBoxIsNotCurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newClusterWithFile(t, time.Hour, 3)
		defer c.close()
		c.runStep(step{kind: "partition", boxes: []int{0}, wait: 2 * time.Second})
		c.applyUntilAcknowledged(2)
		for i := range c.members[1:] {
			c.kill(i + 1)
		}
		c.runStep(step{kind: "heal"})
		c.start(3)
		c.advance(3 * time.Second)
		g.Expect(c.currentBoxes()).NotTo(ContainElement("b3"))
		g.Expect(c.violation).To(BeEmpty())
	})
}
