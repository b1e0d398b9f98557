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
	// starting is how many boxes start at once.
	starting = 40
	// packedSize is the size of the state that they need, in bytes.
	packedSize = 750_000
	// copiesMost is how many copies of it each may take: one from its parent and one
	// from a box that was found ahead, and what else may be on its way by then.
	copiesMost = 4
)

// Boxes that start look at others every 40 ms, and asked each that knew more for the
// whole state, all at once and for a quarter of a second: what took longer was given up
// and asked for again, as with files (TestALargeFileIsInForceEverywhereInTime): each took 6.3 copies.
func TestManyBoxesThatStartHaveALargeStateSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := newNetwork()
		f.links = newLinks(func(box string) float64 {
			if box[0] == 's' {
				return 10 * megabit // they start
			}
			return 100 * megabit
		})
		f.populate(t, ctx, []string{"a", "b", "c", "d"}, 2)
		f.apply(t, ctx, letters(18, packedSize*4/3))
		f.forgetEntries(t, ctx)
		time.Sleep(3 * time.Second)
		core := consensus.Options{ElectionMin: 200 * time.Millisecond, Heartbeat: 20 * time.Millisecond, Lease: 160 * time.Millisecond, Seed: 1}
		for i := range starting {
			core.ID = fmt.Sprintf("s%02d/1", i)
			f.start(t, &wire.Member{Box: fmt.Sprintf("s%02d", i), Incarnation: "1", Hall: "abcd"[i%4 : i%4+1]}, replica.MemoryStorage{}, core, "a1", "b1", "c1")
			n := f.boxes[fmt.Sprintf("s%02d", i)]
			f.running.Go(func() { n.spread.Run(ctx) })
		}
		for range 60 {
			time.Sleep(250 * time.Millisecond)
			if len(f.behind(f.boxes["a1"].replica.View().Index)) == 0 {
				break
			}
		}
		if late := f.behind(f.boxes["a1"].replica.View().Index); len(late) > 0 {
			t.Errorf("%d boxes do not have the state: %v", len(late), late)
		}
		if copies := float64(f.links.carried()) / 2 / starting / packedSize; copies > copiesMost {
			t.Errorf("each box took %.1f copies of the state", copies)
		}
		cancel()
		f.close()
	})
}

// forgetEntries has so much agreed that boxes which start need the whole state.
func (f *fleet) forgetEntries(t *testing.T, ctx context.Context) {
	for range 5000 {
		f.propose(t, ctx)
	}
}
