package spread_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/spread"
)

var ackTimeouts = spread.AckTimeouts{AllBoxes: 600 * time.Millisecond, Majority: 2 * time.Second}

// convergedFleet returns a fleet of 32 boxes that all have updates. It ends with the test.
func convergedFleet(t *testing.T) (*fleet, context.Context) {
	ctx, cancel := context.WithCancel(context.Background())
	f := newFleet(t, ctx, 16)
	t.Cleanup(func() { cancel(); f.close() })
	time.Sleep(3 * time.Second)
	return f, ctx
}

// applyAndAwait commits a small file and returns how many boxes had applied it when it was
// acknowledged to the operator, and after what time.
func (f *fleet) applyAndAwait(t *testing.T, ctx context.Context, number uint64) (applied, boxes int, took time.Duration) {
	start := time.Now()
	index := f.applyFile(t, ctx, routesFile(number, 1, 1))
	applied, boxes = f.boxes["a1"].spread.AwaitApplied(ctx, index, ackTimeouts)
	return applied, boxes, time.Since(start)
}

// Guards against acknowledging a file as soon as a majority has applied it, or a tenth of the
// boxes after 600 ms.
func TestAckWaitsForAllRecentlySeenBoxes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, ctx := convergedFleet(t)

		applied, boxes, took := f.applyAndAwait(t, ctx, 1)
		g.Expect(applied).To(Equal(boxes))
		g.Expect(took).To(BeNumerically("<", ackTimeouts.AllBoxes))

		f.setReachability(func(from, to string) bool { return from != "b9" && to != "b9" })
		applied, boxes, took = f.applyAndAwait(t, ctx, 2)
		g.Expect(applied).To(Equal(boxes - 1))
		g.Expect(took).To(BeNumerically("~", ackTimeouts.AllBoxes, 20*time.Millisecond), "b9 was seen recently")

		time.Sleep(4 * time.Second)
		applied, boxes, took = f.applyAndAwait(t, ctx, 3)
		g.Expect(applied).To(Equal(boxes - 1))
		g.Expect(took).To(BeNumerically("<", ackTimeouts.AllBoxes), "b9 is no longer seen")
	})
}

// Guards against each retry of an interrupted request restarting the timeout.
func TestMajorityTimeoutSpansRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, ctx := convergedFleet(t)
		f.setReachability(func(from, to string) bool { return from != "a1" && to != "a1" })
		index := f.applyFile(t, ctx, routesFile(1, 1, 1))
		start := time.Now()
		for range 4 {
			attempt, cancel := context.WithTimeout(ctx, 900*time.Millisecond)
			applied, boxes := f.boxes["a1"].spread.AwaitApplied(attempt, index, ackTimeouts)
			g.Expect(applied).To(BeNumerically("<=", boxes/2))
			cancel()
		}
		g.Expect(time.Since(start)).To(BeNumerically("~", ackTimeouts.Majority, 20*time.Millisecond))
	})
}
