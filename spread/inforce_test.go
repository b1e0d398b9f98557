package spread_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/spread"
)

var patience = spread.AckTimeouts{AllBoxes: 600 * time.Millisecond, Majority: 2 * time.Second}

// settled returns a fleet of 32 boxes that all have news. It ends with the test.
func settled(t *testing.T) (*fleet, context.Context) {
	ctx, cancel := context.WithCancel(context.Background())
	f := newFleet(t, ctx, 16)
	t.Cleanup(func() { cancel(); f.close() })
	time.Sleep(3 * time.Second)
	return f, ctx
}

// confirmed has a small file agreed and tells on how many boxes it was in force, and after
// what time, when its operator was told.
func (f *fleet) confirmed(t *testing.T, ctx context.Context, number uint64) (have, boxes int, took time.Duration) {
	began := time.Now()
	index := f.apply(t, ctx, routesFile(number, 1, 1))
	have, boxes = f.boxes["a1"].spread.AwaitApplied(ctx, index, patience)
	return have, boxes, time.Since(began)
}

// A file was confirmed when a majority had it, or a tenth of the boxes after 600 ms.
func TestAFileIsConfirmedOnceAllThatAreHeardHaveIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, ctx := settled(t)

		have, boxes, took := f.confirmed(t, ctx, 1)
		g.Expect(have).To(Equal(boxes))
		g.Expect(took).To(BeNumerically("<", patience.AllBoxes))

		f.network(func(from, to string) bool { return from != "b9" && to != "b9" })
		have, boxes, took = f.confirmed(t, ctx, 2)
		g.Expect(have).To(Equal(boxes - 1))
		g.Expect(took).To(BeNumerically("~", patience.AllBoxes, 20*time.Millisecond), "it was heard lately")

		time.Sleep(4 * time.Second)
		have, boxes, took = f.confirmed(t, ctx, 3)
		g.Expect(have).To(Equal(boxes - 1))
		g.Expect(took).To(BeNumerically("<", patience.AllBoxes), "it is not heard any more")
	})
}

// Each sending of a file that was cut off began to wait anew.
func TestTheWaitForAMajorityEndsOverAllSendings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, ctx := settled(t)
		f.network(func(from, to string) bool { return from != "a1" && to != "a1" })
		index := f.apply(t, ctx, routesFile(1, 1, 1))
		began := time.Now()
		for range 4 {
			sending, end := context.WithTimeout(ctx, 900*time.Millisecond)
			have, boxes := f.boxes["a1"].spread.AwaitApplied(sending, index, patience)
			g.Expect(have).To(BeNumerically("<=", boxes/2))
			end()
		}
		g.Expect(time.Since(began)).To(BeNumerically("~", patience.Majority, 20*time.Millisecond))
	})
}
