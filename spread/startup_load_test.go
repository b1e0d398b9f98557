package spread_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"leverdrum/consensus"
	"leverdrum/replica"
	"leverdrum/wire"
)

const (
	// startingBoxes is how many boxes start at once.
	startingBoxes = 40
	// packedSize is the size of the state that they need, in bytes.
	packedSize = 750_000
	// maxCopies is how many copies of it each may receive: one from its parent, one from a
	// box that was found ahead, and those already in transit by then.
	maxCopies = 4
)

// Guards against repeated transfers of a large state. Starting boxes probe others every 40 ms.
// They requested the whole state from each box that was ahead, all at once and with a timeout of
// a quarter of a second. Slower transfers were abandoned and requested again, as with files
// (TestLargeFileIsAppliedEverywhereInTime): each box received 6.3 copies.
func TestStartingBoxesGetLargeState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := newEmptyFleet()
		f.links = newLinks(func(box string) float64 {
			if box[0] == 's' {
				return 10 * megabit // the starting boxes
			}
			return 100 * megabit
		})
		f.populate(t, ctx, []string{"a", "b", "c", "d"}, 2)
		f.applyFile(t, ctx, randomTextFile(18, packedSize*4/3))
		f.compactEntries(t, ctx)
		time.Sleep(3 * time.Second)
		core := consensus.Options{ElectionMin: 200 * time.Millisecond, Heartbeat: 20 * time.Millisecond, Lease: 160 * time.Millisecond, Seed: 1}
		for i := range startingBoxes {
			core.ID = fmt.Sprintf("s%02d/1", i)
			f.start(t, &wire.Member{Box: fmt.Sprintf("s%02d", i), Incarnation: "1", Hall: "abcd"[i%4 : i%4+1]}, replica.MemoryStorage{}, core, "a1", "b1", "c1")
			n := f.boxes[fmt.Sprintf("s%02d", i)]
			f.running.Go(func() { n.spread.Run(ctx) })
		}
		for range 60 {
			time.Sleep(250 * time.Millisecond)
			if len(f.lagging(f.boxes["a1"].replica.View().Index)) == 0 {
				break
			}
		}
		if lagging := f.lagging(f.boxes["a1"].replica.View().Index); len(lagging) > 0 {
			t.Errorf("%d boxes do not have the state: %v", len(lagging), lagging)
		}
		if copies := float64(f.links.bytesTransferred()) / 2 / startingBoxes / packedSize; copies > maxCopies {
			t.Errorf("each box received %.1f copies of the state", copies)
		}
		cancel()
		f.close()
	})
}

// compactEntries commits so many commands that starting boxes need the whole state.
func (f *fleet) compactEntries(t *testing.T, ctx context.Context) {
	for range 5000 {
		f.propose(t, ctx)
	}
}
