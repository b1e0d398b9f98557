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

// routesFile is a file with the given number of routes, all with one timeout in milliseconds.
func routesFile(number uint64, routes, timeout int) *wire.ApplyFleet {
	names := rand.New(rand.NewPCG(1, 1))
	var b strings.Builder
	for range routes {
		fmt.Fprintf(&b, `{"name":"r-%08x","hostname":"%06x.example","path_prefix":"/%08x/","route_type":"streaming","timeout_ms":%d,"target_latency_ms":800,"priority":1,"backend":"huvo11a","max_attempts":2,"session_affinity":true,"resumable":true}`+"\n",
			names.Uint32(), names.Uint32N(1<<24), names.Uint32(), timeout)
	}
	return standin.NumberedFile(number, b.String())
}

// applyFile commits a file and returns its index.
func (f *fleet) applyFile(t *testing.T, ctx context.Context, a *wire.ApplyFleet) uint64 {
	result, err := f.boxes["a1"].replica.Propose(ctx, &wire.Command{Kind: &wire.Command_Apply{Apply: a}})
	if err != nil || result.Apply != state.Accepted {
		t.Fatalf("file %d: %v, %v", a.Number, result.Apply, err)
	}
	return result.Winner.Index
}

// newLargeFleet starts four halls of 23 boxes. Boxes without a disk have links of 10 Mbit/s.
func newLargeFleet(t *testing.T, ctx context.Context) *fleet {
	f := newEmptyFleet()
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

// maxApplyTime is how long it may take until all boxes have applied a committed file.
const maxApplyTime = 2 * time.Second

// Guards against slow distribution of a large file. A file of 2,000 routes was acknowledged when
// 11 of 91 boxes had applied it; others applied it seven seconds later. The next file changed only
// timeouts and took as long. Each box received the whole file in one response. Eight boxes that
// asked one with a 10 Mbit/s link shared the link for longer than their request timeout, all gave
// up before the end and started over at the next box and at the leader, until its link was full
// of abandoned responses. The boxes' logs showed that 2 MB arrived in abandoned responses, while a
// box that held a file served by it within 8 ms.
func TestLargeFileIsAppliedEverywhereInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := newLargeFleet(t, ctx)
		for _, next := range []struct {
			number          uint64
			routes, timeout int
			after           time.Duration // since the previous file
		}{
			{18, 2000, 5000, 0},
			{20, 2000, 5500, 4500 * time.Millisecond},
			{23, 2000, 6000, 2100 * time.Millisecond},
			{27, 1900, 6000, 2100 * time.Millisecond},
		} {
			time.Sleep(max(0, next.after-maxApplyTime))
			index := f.applyFile(t, ctx, routesFile(next.number, next.routes, next.timeout))
			time.Sleep(maxApplyTime)
			if lagging := f.lagging(index); len(lagging) > 0 {
				t.Errorf("file %d is not applied on %d of %d boxes %v after it was committed", next.number, len(lagging), len(f.boxes), maxApplyTime)
			}
		}
		cancel()
		f.close()
	})
}

// randomTextFile is a file with the given number of random bytes, which compresses to three
// quarters of its size.
func randomTextFile(number uint64, bytes int) *wire.ApplyFleet {
	const alphabet = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ+/"
	rng := rand.New(rand.NewPCG(1, number))
	var b strings.Builder
	for range bytes {
		b.WriteByte(alphabet[rng.IntN(len(alphabet))])
	}
	return standin.NumberedFile(number, b.String())
}

// A response that is being received is not requested again, however long it takes: 750 KB reach
// eight boxes in five seconds over a link of 10 Mbit/s, and eight times as many from there.
func TestFileSlowerThanRequestTimeoutArrives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := newLargeFleet(t, ctx)
		index := f.applyFile(t, ctx, randomTextFile(18, 1_000_000))
		time.Sleep(14 * time.Second)
		if lagging := f.lagging(index); len(lagging) > 0 {
			t.Errorf("the file is not applied on %d of %d boxes", len(lagging), len(f.boxes))
		}
		cancel()
		f.close()
	})
}
