package spread

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// asked returns the next n boxes that are asked when none gives news.
func asked(c *chooser, list []string, n int) []string {
	var boxes []string
	for range n {
		box := c.next(list, "leader", time.Time{})
		c.failed(box, list)
		boxes = append(boxes, box)
	}
	return boxes
}

var fiveBoxes = []string{"tree", "leader", "c", "d", "e"}

func TestTheLeaderIsAskedBetweenTheOthers(t *testing.T) {
	g := NewWithT(t)
	c := &chooser{}
	g.Expect(asked(c, fiveBoxes, 8)).To(Equal([]string{"tree", "leader", "c", "leader", "d", "e", "tree", "leader"}))
}

func TestABoxThatGaveNewsIsAskedAgainByName(t *testing.T) {
	g := NewWithT(t)
	c, now := &chooser{}, time.Now()
	c.news("d", now)
	g.Expect(c.next(fiveBoxes, "leader", now)).To(Equal("d"))
	g.Expect(c.next([]string{"tree", "new", "leader", "c", "d"}, "leader", now)).To(Equal("d"), "wherever it stands now")
	g.Expect(c.next(fiveBoxes, "leader", now.Add(preferAgain))).To(Equal("tree"))
}

func TestTheTreesParentIsKept(t *testing.T) {
	g := NewWithT(t)
	c, now := &chooser{}, time.Now()
	c.news("tree", now)
	g.Expect(c.next(fiveBoxes, "leader", now.Add(time.Hour))).To(Equal("tree"))
	c.failed("tree", fiveBoxes)
	g.Expect(c.next(fiveBoxes, "leader", now)).To(Equal("leader"))
}

func TestAnotherParentThatFailsLeadsBackToTheTree(t *testing.T) {
	g := NewWithT(t)
	c, now := &chooser{}, time.Now()
	c.news("d", now)
	c.failed("d", fiveBoxes)
	g.Expect(asked(c, fiveBoxes, 3)).To(Equal([]string{"tree", "leader", "c"}))
}

func TestThePauseGrowsOnceAllHaveFailed(t *testing.T) {
	g := NewWithT(t)
	c := &chooser{}
	g.Expect(c.pause(fiveBoxes)).To(Equal(retryPause))
	asked(c, fiveBoxes, 5)
	g.Expect(c.pause(fiveBoxes)).To(Equal(retryPause))
	asked(c, fiveBoxes, 5)
	g.Expect(c.pause(fiveBoxes)).To(Equal(retryLong))
	c.news("tree", time.Now())
	g.Expect(c.pause(fiveBoxes)).To(Equal(retryPause))
}

func TestNewsMayBeOlderFurtherDown(t *testing.T) {
	for _, row := range []struct {
		age   time.Duration
		boxes int
		want  bool
	}{
		{1500 * time.Millisecond, 1, false},
		{1501 * time.Millisecond, 1, true},
		{1501 * time.Millisecond, 2, false},
		{2001 * time.Millisecond, 2, true},
		{3001 * time.Millisecond, 40, true},
		{1501 * time.Millisecond, 0, true},
	} {
		if got := stale(row.age, row.boxes); got != row.want {
			t.Errorf("stale(%v, %d) = %v", row.age, row.boxes, got)
		}
	}
}

// At 83 boxes each change of the agreed state was carried to each box by itself.
func TestNewsIsGatheredTheLongerTheMoreBoxesTakeIt(t *testing.T) {
	g := NewWithT(t)
	g.Expect(gatherFor(1)).To(BeNumerically("<", 10*time.Millisecond))
	g.Expect(gatherFor(11)).To(BeNumerically("<", 20*time.Millisecond))
	g.Expect(gatherFor(83)).To(BeNumerically("~", 50*time.Millisecond, time.Millisecond))
	g.Expect(gatherFor(400)).To(Equal(gatherMost))
}

// Boxes that start before there is a leader asked one box each 400 ms by the time there
// was one, and the leader each fourth time: the control boxes could die before any
// had fresh news (e2e TestServingGoesOnWithoutControlBoxes, 2 of 5 CI runs).
func TestANewLeaderBeginsTheRoundAnew(t *testing.T) {
	g := NewWithT(t)
	c := &chooser{}
	for range 20 {
		c.failed(c.next(fiveBoxes, "", time.Time{}), fiveBoxes)
	}
	g.Expect(c.pause(fiveBoxes)).To(Equal(retryLong))
	g.Expect(asked(c, fiveBoxes, 2)).To(Equal([]string{"tree", "leader"}))
	g.Expect(c.pause(fiveBoxes)).To(Equal(retryPause))
}
