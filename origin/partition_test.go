package origin_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const (
	never      = time.Duration(0)
	callerTime = 5 * time.Second // that a caller has left
)

// setGroup puts a box into a group that boxes of other groups do not reach. Group 0 has the leader.
func (n *network) setGroup(i, group int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[fmt.Sprint("b", i)] = group
}

func (n *network) group(i int) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[fmt.Sprint("b", i)]
}

// join connects a box to the leader's group. It gets its next update some time later.
func (n *network) join(i int, random *rand.Rand) {
	n.setGroup(i, 0)
	n.updateLater(i, random)
}

func (n *network) updateLater(i int, random *rand.Rand) {
	b := n.boxes[i]
	time.AfterFunc(time.Duration(random.Int64N(int64(updateInterval))), func() {
		if n.runs(b) && n.group(i) == 0 {
			b.Configure(n.committed())
		}
	})
}

// commit changes the versions of the servers. The boxes in the leader's group learn of it, some of them late.
func (n *network) commit(random *rand.Rand, versions ...string) {
	for _, v := range n.committed().Versions[service] {
		if !slices.Contains(versions, v) {
			n.leftAt[v] = time.Now()
		}
	}
	n.updateDeparted()
	n.mu.Lock()
	n.topology.Versions = map[string][]string{service: versions}
	n.mu.Unlock()
	for i := range n.boxes {
		switch {
		case n.group(i) != 0:
		case i == n.leader || random.IntN(4) > 0:
			n.boxes[i].Configure(n.committed())
		default:
			n.updateLater(i, random)
		}
	}
}

// resume looks a stream up for a caller that has some time left.
func (n *network) resume(box int, id string) string {
	ctx, cancel := context.WithTimeout(context.Background(), callerTime)
	defer cancel()
	o, ok := n.boxes[box].Lookup(ctx, id, service, maxAge)
	if !ok {
		return "unknown"
	}
	return o.Version
}

// Guards against a stream that goes on at the version that a box still takes for the only one: the box, and others with it, were
// out of step while servers of a new version joined. Guards against a stream that is rejected although they are reached in time.
func TestResumedAtABoxOutOfStep(t *testing.T) {
	for _, c := range []struct {
		size, outOfStep int
		after           time.Duration // in which they reach the others
	}{
		{10, 1, 100 * time.Millisecond},
		{10, 2, 100 * time.Millisecond},
		{10, 3, time.Millisecond},
		{10, 3, 100 * time.Millisecond},
		{10, 3, 300 * time.Millisecond},
		{10, 4, 20 * time.Millisecond},
		{10, 4, 100 * time.Millisecond},
		{10, 4, 300 * time.Millisecond},
		{10, 4, 1500 * time.Millisecond},
		{10, 2, never},
		{10, 4, never},
		{82, 20, 100 * time.Millisecond},
		{300, 80, 100 * time.Millisecond},
	} {
		t.Run(fmt.Sprintf("%d of %d boxes, %v", c.outOfStep, c.size, c.after), func(t *testing.T) {
			g := NewWithT(t)
			plays, count := 2000/c.size, map[string]int{}
			for seed := range plays {
				synctest.Test(t, func(*testing.T) {
					count[playOutOfStep(rand.New(rand.NewPCG(uint64(seed), 7)), c.size, c.outOfStep, c.after)]++
				})
			}
			t.Log(count)
			g.Expect(count["v1"]).To(BeZero())
			if c.after != never {
				g.Expect(count["v2"]).To(Equal(plays))
			}
		})
	}
}

// playOutOfStep returns the version at which a stream that began at v2 is resumed at a box that has not learned of v2.
func playOutOfStep(random *rand.Rand, size, outOfStep int, after time.Duration) string {
	n := newDurableNetwork(size, random, "v1")
	defer time.Sleep(10 * time.Second) // what is being sent ends
	order := random.Perm(size)
	at := slices.Index(order, n.leader)
	order[at], order[size-1] = order[size-1], order[at]
	for _, i := range order[:outOfStep] {
		n.setGroup(i, 1)
	}
	n.commit(random, "v1", "v2")
	time.Sleep(updateInterval)
	n.begin(order[outOfStep], "r", "v2")
	time.Sleep(time.Second)
	if after != never {
		time.AfterFunc(after, func() {
			for _, i := range order[:outOfStep] {
				n.join(i, random)
			}
		})
	}
	return n.resume(order[0], "r")
}

// Guards against a stream that continues at another version while boxes are cut off, stand still and wake, or learn late.
func TestNeverAnotherVersionInPartitions(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		wrong := ""
		synctest.Test(t, func(*testing.T) { wrong = playPartitions(rand.New(rand.NewPCG(seed, 9)), 12) })
		if wrong != "" {
			rt.Fatal(wrong)
		}
	})
}

// TestPartitionsAtSize is TestNeverAnotherVersionInPartitions with more boxes.
func TestPartitionsAtSize(t *testing.T) {
	for _, size := range []int{82, 300} {
		for seed := range uint64(3) {
			synctest.Test(t, func(t *testing.T) {
				if wrong := playPartitions(rand.New(rand.NewPCG(seed, 11)), size); wrong != "" {
					t.Error(size, seed, wrong)
				}
			})
		}
	}
}

// playPartitions plays a random history and describes the first wrong answer, "" if there is none. Groups cut boxes off together;
// a box that stands still is one without others.
func playPartitions(random *rand.Rand, most int) string {
	size := 3 + random.IntN(most-2)
	n := newDurableNetwork(size, random, "v0")
	n.downDelay = []time.Duration{latency, time.Hour}[random.IntN(2)]
	newest := 0
	began, ids := map[string]string{}, []string(nil)
	for step := range 60 {
		time.Sleep(time.Duration(random.IntN(150)) * time.Millisecond)
		servers := n.committed().Versions[service]
		box := random.IntN(size)
		switch random.IntN(12) {
		case 0: // boxes are cut off together
			group := 1 + random.IntN(2)
			for range 1 + random.IntN(max(1, size/2)) {
				if i := random.IntN(size); i != n.leader {
					n.setGroup(i, group)
				}
			}
		case 1: // a box stands still
			if box != n.leader {
				n.setGroup(box, 10+box)
			}
		case 2, 3:
			for i := range size {
				if n.group(i) != 0 && random.IntN(2) == 0 {
					n.join(i, random)
				}
			}
		case 4:
			if len(servers) == 1 {
				newest++
				n.commit(random, servers[0], fmt.Sprint("v", newest))
			}
		case 5:
			n.commit(random, servers[len(servers)-1])
		case 6, 7, 8: // a box begins streams at servers of its own state; the leader's group has the newest one
			if id := fmt.Sprint("r", step); n.group(box) == 0 && (box == n.leader || random.IntN(2) == 0) {
				n.boxes[box].Configure(n.committed())
				began[id] = servers[random.IntN(len(servers))]
				n.begin(box, id, began[id])
				ids = append(ids, id)
			}
		default:
			if len(ids) == 0 {
				continue
			}
			id := ids[random.IntN(len(ids))]
			if random.IntN(2) == 0 { // others happen meanwhile
				time.AfterFunc(time.Duration(random.IntN(400))*time.Millisecond, func() { n.join(box, rand.New(rand.NewPCG(uint64(step), 1))) })
			}
			if got := n.resume(box, id); got != began[id] && got != "unknown" {
				return fmt.Sprintf("step %d: %s began at %s, looked up as %s", step, id, began[id], got)
			}
		}
		n.updateDeparted()
	}
	time.Sleep(10 * time.Second) // what is being sent ends
	return ""
}

// Guards against lookups that send more messages than before rule 8 while a service has a single version.
func TestLookupOfASingleVersionSendsNoMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		n := newDurableNetwork(10, rand.New(rand.NewPCG(1, 1)), "v1")
		defer time.Sleep(settle)
		const lookups = 100
		for i := range lookups {
			n.begin(i%10, fmt.Sprint("r", i), "v1")
		}
		time.Sleep(settle)
		before, _ := n.counts()
		start := time.Now()
		for i := range lookups {
			g.Expect(n.resume((i+1)%10, fmt.Sprint("r", i))).To(Equal("v1"))
		}
		calls, _ := n.counts()
		g.Expect(calls - before).To(BeNumerically("<=", 3*lookups))
		g.Expect(time.Since(start) / lookups).To(BeNumerically("<=", 2*latency))
	})
}
