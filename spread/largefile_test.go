package spread_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"leverdrum/standin"
	"leverdrum/state"
	"leverdrum/wire"
)

// routesFile is a file of so many routes, all with one time-out in milliseconds.
func routesFile(number uint64, routes, timeout int) *wire.ApplyFleet {
	names := rand.New(rand.NewPCG(1, 1))
	var b strings.Builder
	for range routes {
		fmt.Fprintf(&b, `{"name":"r-%08x","hostname":"%06x.example","path_prefix":"/%08x/","route_type":"streaming","timeout_ms":%d,"target_latency_ms":800,"priority":1,"backend":"huvo11a","max_attempts":2,"session_affinity":true,"resumable":true}`+"\n",
			names.Uint32(), names.Uint32N(1<<24), names.Uint32(), timeout)
	}
	return standin.NumberedFile(number, b.String())
}

// apply has a file agreed and returns its index.
func (f *fleet) apply(t *testing.T, ctx context.Context, a *wire.ApplyFleet) uint64 {
	result, err := f.boxes["a1"].replica.Propose(ctx, &wire.Command{Kind: &wire.Command_Apply{Apply: a}})
	if err != nil || result.Apply != state.Accepted {
		t.Fatalf("file %d: %v, %v", a.Number, result.Apply, err)
	}
	return result.Winner.Index
}

// newGrown starts four halls of 23 boxes, all on links of 10 Mbit/s but for those with disks.
func newGrown(t *testing.T, ctx context.Context) *fleet {
	f := newNetwork()
	f.links = newLinks(func(box string) float64 {
		if f.boxes[box].self.Disk {
			return 100 * megabit
		}
		return 10 * megabit
	})
	f.populate(t, ctx, []string{"a", "b", "c", "d"}, 23)
	time.Sleep(3 * time.Second)
	return f
}

// inForce is how long an agreed file may take to be in force on all boxes.
const inForce = 2 * time.Second

// A confirmed file of 2,000 routes was in force on 11 of 91 boxes when it was acknowledged,
// and on others seven seconds later; the next one, which changed time-outs only, took as
// long. Each box took the whole file in one answer. Eight boxes that asked one with a
// link of 10 Mbit/s shared it for longer than the time of their questions, all gave up before the
// end, and began again at the next box and at the leader, until its link was full of answers
// that nobody waited for. Lines of the boxes showed it: 2 MB came with answers that were given up, while a
// box that held a file served by it within 8 ms.
func TestALargeFileIsInForceEverywhereInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := newGrown(t, ctx)
		for _, next := range []struct {
			number          uint64
			routes, timeout int
			after           time.Duration // the one before
		}{
			{18, 2000, 5000, 0},
			{20, 2000, 5500, 4500 * time.Millisecond},
			{23, 2000, 6000, 2100 * time.Millisecond},
			{27, 1900, 6000, 2100 * time.Millisecond},
		} {
			time.Sleep(max(0, next.after-inForce))
			index := f.apply(t, ctx, routesFile(next.number, next.routes, next.timeout))
			time.Sleep(inForce)
			if late := f.behind(index); len(late) > 0 {
				t.Errorf("file %d is not in force on %d of %d boxes %v after it was agreed", next.number, len(late), len(f.boxes), inForce)
			}
		}
		cancel()
		f.close()
	})
}

// letters is a file of so many bytes that packs to three quarters of them.
func letters(number uint64, bytes int) *wire.ApplyFleet {
	const alphabet = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ+/"
	draw := rand.New(rand.NewPCG(1, number))
	var b strings.Builder
	for range bytes {
		b.WriteByte(alphabet[draw.IntN(len(alphabet))])
	}
	return standin.NumberedFile(number, b.String())
}

// What is on its way is not asked for again, however long it takes: 750 KB go to eight boxes
// in five seconds over a link of 10 Mbit/s, and from there to eight times as many.
func TestAFileTooLargeForTheTimeOfAQuestionArrives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := newGrown(t, ctx)
		index := f.apply(t, ctx, letters(18, 1_000_000))
		time.Sleep(14 * time.Second)
		if late := f.behind(index); len(late) > 0 {
			t.Errorf("it is not in force on %d of %d boxes", len(late), len(f.boxes))
		}
		cancel()
		f.close()
	})
}
