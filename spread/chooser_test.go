package spread

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// selectionsWhenAllFail returns the next n boxes chosen if every request fails.
func selectionsWhenAllFail(c *parentChooser, list []string, n int) []string {
	var boxes []string
	for range n {
		box := c.next(list, "leader", time.Time{})
		c.recordFailure(box, list)
		boxes = append(boxes, box)
	}
	return boxes
}

var fiveBoxes = []string{"tree", "leader", "c", "d", "e"}

func TestLeaderIsTriedAtIntervals(t *testing.T) {
	g := NewWithT(t)
	c := &parentChooser{}
	g.Expect(selectionsWhenAllFail(c, fiveBoxes, 8)).To(Equal([]string{"tree", "leader", "c", "leader", "d", "e", "tree", "leader"}))
}

func TestSuccessfulParentIsReusedByName(t *testing.T) {
	g := NewWithT(t)
	c, now := &parentChooser{}, time.Now()
	c.recordSuccess("d", now)
	g.Expect(c.next(fiveBoxes, "leader", now)).To(Equal("d"))
	g.Expect(c.next([]string{"tree", "new", "leader", "c", "d"}, "leader", now)).To(Equal("d"), "at any position in the list")
	g.Expect(c.next(fiveBoxes, "leader", now.Add(alternateParentTTL))).To(Equal("tree"))
}

func TestTreeParentIsKept(t *testing.T) {
	g := NewWithT(t)
	c, now := &parentChooser{}, time.Now()
	c.recordSuccess("tree", now)
	g.Expect(c.next(fiveBoxes, "leader", now.Add(time.Hour))).To(Equal("tree"))
	c.recordFailure("tree", fiveBoxes)
	g.Expect(c.next(fiveBoxes, "leader", now)).To(Equal("leader"))
}

func TestFailedAlternateParentFallsBackToTree(t *testing.T) {
	g := NewWithT(t)
	c, now := &parentChooser{}, time.Now()
	c.recordSuccess("d", now)
	c.recordFailure("d", fiveBoxes)
	g.Expect(selectionsWhenAllFail(c, fiveBoxes, 3)).To(Equal([]string{"tree", "leader", "c"}))
}

func TestRetryDelayGrowsAfterAllFailed(t *testing.T) {
	g := NewWithT(t)
	c := &parentChooser{}
	g.Expect(c.delay(fiveBoxes)).To(Equal(retryDelay))
	selectionsWhenAllFail(c, fiveBoxes, 5)
	g.Expect(c.delay(fiveBoxes)).To(Equal(retryDelay))
	selectionsWhenAllFail(c, fiveBoxes, 5)
	g.Expect(c.delay(fiveBoxes)).To(Equal(longRetryDelay))
	c.recordSuccess("tree", time.Now())
	g.Expect(c.delay(fiveBoxes)).To(Equal(retryDelay))
}

func TestStaleLimitGrowsWithHops(t *testing.T) {
	for _, row := range []struct {
		age  time.Duration
		hops int
		want bool
	}{
		{1500 * time.Millisecond, 1, false},
		{1501 * time.Millisecond, 1, true},
		{1501 * time.Millisecond, 2, false},
		{2001 * time.Millisecond, 2, true},
		{3001 * time.Millisecond, 40, true},
		{1501 * time.Millisecond, 0, true},
	} {
		if got := isStale(row.age, row.hops); got != row.want {
			t.Errorf("isStale(%v, %d) = %v", row.age, row.hops, got)
		}
	}
}

// Without batching that grows with the cluster, at 83 boxes each change of the replicated state
// was sent to each box separately.
func TestBatchDelayGrowsWithBoxes(t *testing.T) {
	g := NewWithT(t)
	g.Expect(batchDelayFor(1)).To(BeNumerically("<", 10*time.Millisecond))
	g.Expect(batchDelayFor(11)).To(BeNumerically("<", 20*time.Millisecond))
	g.Expect(batchDelayFor(83)).To(BeNumerically("~", 50*time.Millisecond, time.Millisecond))
	g.Expect(batchDelayFor(400)).To(Equal(maxBatchDelay))
}

// Guards against boxes that learn of a new leader too late. Boxes that started without a leader
// had backed off to one request each 400 ms, and every fourth went to the leader. The control
// boxes could fail before any box had a fresh update (e2e
// TestServingGoesOnWithoutControlBoxes, 2 of 5 CI runs).
func TestNewLeaderRestartsRound(t *testing.T) {
	g := NewWithT(t)
	c := &parentChooser{}
	for range 20 {
		c.recordFailure(c.next(fiveBoxes, "", time.Time{}), fiveBoxes)
	}
	g.Expect(c.delay(fiveBoxes)).To(Equal(longRetryDelay))
	g.Expect(selectionsWhenAllFail(c, fiveBoxes, 2)).To(Equal([]string{"tree", "leader"}))
	g.Expect(c.delay(fiveBoxes)).To(Equal(retryDelay))
}
