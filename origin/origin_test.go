package origin_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"leverdrum/internal/fixed"
	"leverdrum/origin"
	"leverdrum/wire"
)

const (
	service = "s"
	latency = 2 * time.Millisecond // one way
	settle  = 100 * time.Millisecond
	maxAge  = 30 * time.Second
)

// TestMain fixes the seed, so that every run gives the same result; -rapid.seed and -rapid.checks on the command line
// take precedence.
func TestMain(m *testing.M) {
	fixed.SetRapidFlags(200)
	os.Exit(m.Run())
}

// network is a cluster of registries. Calls to a box that is down fail after downDelay.
type network struct {
	downDelay time.Duration
	topology  origin.Topology
	configure func(b *origin.Registry) // a box that has started
	// leftAt are the times from which the leaders count that versions have no server any more.
	leftAt map[string]time.Time
	// confirmDelay returns the time in which a leader confirms the state of a box that has started.
	confirmDelay func() time.Duration
	leader       int // the box that leads

	mu    sync.Mutex
	boxes []*origin.Registry
	down  map[string]bool
	cut   map[string]int // boxes of different numbers do not reach each other
	// confirmedAt is the time from which a leader can confirm the state of a box.
	confirmedAt map[*origin.Registry]time.Time
	calls       int
	lost        int
}

// to returns a box that is called, nil if it is down.
func (n *network) to(from, box string) *origin.Registry {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.calls++
	if !n.reaches(from, box) {
		return nil
	}
	var i int
	fmt.Sscanf(box, "b%d", &i)
	return n.boxes[i]
}

// reaches reports whether calls of a box reach another one. The caller holds the lock.
func (n *network) reaches(from, to string) bool { return !n.down[to] && n.cut[from] == n.cut[to] }

func (n *network) setDown(i int, down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down[fmt.Sprint("b", i)] = down
}

func (n *network) isDown(i int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.down[fmt.Sprint("b", i)]
}

func (n *network) counts() (calls, lost int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls, n.lost
}

func newNetwork(size, withDisk int, versions ...string) *network {
	n := &network{down: map[string]bool{}, cut: map[string]int{}, confirmedAt: map[*origin.Registry]time.Time{}, downDelay: latency, leader: min(6, size-1)}
	n.configure = func(b *origin.Registry) { b.Configure(n.topology) }
	n.topology = origin.Topology{Enabled: true, Confirming: true, Confirmed: true, Versions: map[string][]string{service: versions}}
	for i := range size {
		n.topology.Boxes = append(n.topology.Boxes, origin.Box{ID: fmt.Sprint("b", i), Disk: i < withDisk})
		n.boxes = append(n.boxes, nil)
	}
	n.topology.Complete = true
	for i := range size {
		n.restart(i)
	}
	n.topology.Complete = false
	n.setVersions(versions...)
	return n
}

// restart starts a box with nothing in memory.
func (n *network) restart(i int) {
	start := time.Now()
	var b *origin.Registry
	b = origin.New(origin.Options{
		Self: n.topology.Boxes[i].ID, Leader: func() string { return fmt.Sprint("b", n.leader) },
		Confirm: func(ctx context.Context) (origin.Topology, error) { return n.confirm(ctx, i, b) }, Now: func() time.Duration { return time.Since(start) + time.Hour },
		Lost: func(records int) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.lost += records
		},
		Call: func(ctx context.Context, box string, c *wire.OriginCall) (*wire.OriginAnswer, error) {
			time.Sleep(latency)
			if !n.runs(b) {
				return nil, errors.New("the calling box was killed")
			}
			to := n.to(n.topology.Boxes[i].ID, box)
			if to == nil {
				select {
				case <-ctx.Done():
				case <-time.After(n.downDelay):
				}
				return nil, errors.New("the box is down")
			}
			a := to.Serve(ctx, c)
			time.Sleep(latency)
			return a, nil
		},
	})
	n.mu.Lock()
	n.boxes[i] = b
	n.mu.Unlock()
	n.configure(b)
}

// updateInterval is the time between two updates of a box that does not lead.
const updateInterval = 400 * time.Millisecond

// confirm returns the newest topology: at once at the leader, elsewhere with the next update if the leader can be reached.
func (n *network) confirm(ctx context.Context, i int, b *origin.Registry) (origin.Topology, error) {
	wait := time.Until(n.confirmableFrom(b))
	if i != n.leader {
		wait = max(wait, updateInterval)
	}
	for {
		select {
		case <-ctx.Done():
			return origin.Topology{}, ctx.Err()
		case <-time.After(wait):
		}
		n.mu.Lock()
		updated := slices.Contains(n.boxes, b) && n.reaches(fmt.Sprint("b", i), fmt.Sprint("b", n.leader))
		n.mu.Unlock()
		if updated {
			return n.committed(), nil
		}
		wait = updateInterval
	}
}

func (n *network) confirmableFrom(b *origin.Registry) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.confirmedAt[b]
}

// setVersions changes the versions of the servers, for all boxes.
func (n *network) setVersions(versions ...string) {
	n.mu.Lock()
	n.topology.Versions = map[string][]string{service: versions}
	n.mu.Unlock()
	for _, b := range n.boxes {
		b.Configure(n.topology)
	}
}

func (n *network) begin(box int, id, version string) {
	n.boxes[box].Begin(id, origin.Origin{Service: service, Version: version})
}

func (n *network) lookup(box int, id string) string {
	o, ok := n.boxes[box].Lookup(context.Background(), id, service, maxAge)
	if !ok {
		return "unknown"
	}
	return o.Version
}

func TestLookup(t *testing.T) {
	for name, c := range map[string]struct {
		versions []string
		between  func(n *network)
		at       int
		want     string
	}{
		"at the box that began it":                      {[]string{"v1", "v2"}, func(*network) {}, 9, "v2"},
		"at another box":                                {[]string{"v1", "v2"}, func(*network) {}, 5, "v2"},
		"the box that began it is down":                 {[]string{"v1", "v2"}, func(n *network) { n.setDown(9, true) }, 5, "v2"},
		"at a box that has just started":                {[]string{"v1", "v2"}, func(n *network) { n.restart(5) }, 5, "v2"},
		"all boxes were killed":                         {[]string{"v1", "v2"}, func(n *network) { n.restartAll() }, 5, "unknown"},
		"a single version, all boxes were killed":       {[]string{"v2"}, func(n *network) { n.restartAll() }, 5, "unknown"},
		"a single version, long after all were killed":  {[]string{"v2"}, func(n *network) { n.restartAll(); time.Sleep(maxAge) }, 5, "v2"},
		"a single version, begun after all were killed": {[]string{"v2"}, func(n *network) { n.restartAll(); n.begin(9, "r", "v2"); time.Sleep(settle); n.setDown(9, true) }, 5, "v2"},
		"a single version":                              {[]string{"v2"}, func(*network) {}, 5, "v2"},
		"a single version, at a box that is cut off":    {[]string{"v2"}, func(n *network) { n.allDownBut(5) }, 5, "unknown"},
		"another version came later":                    {[]string{"v2"}, func(n *network) { n.setVersions("v2", "v3"); time.Sleep(settle); n.setDown(9, true) }, 5, "v2"},
		"the version has left":                          {[]string{"v1", "v2"}, func(n *network) { n.setVersions("v1") }, 5, "v2"},
		"the version has left, all boxes were killed":   {[]string{"v1", "v2"}, func(n *network) { time.Sleep(time.Second); n.setVersions("v1"); n.restart(5); n.allDownBut(5, 6) }, 5, "unknown"},
		"a single version, most keepers are down":       {[]string{"v2"}, func(n *network) { n.allDownBut(5, 6, 7) }, 5, "v2"},
		"a single version, below the level":             {[]string{"v2"}, func(n *network) { n.topology.Enabled = false; n.restartAll() }, 5, "v2"},
		"below the level":                               {[]string{"v1", "v2"}, func(n *network) { n.topology.Enabled = false; n.restartAll() }, 5, "unknown"},
		"the level was raised later": {[]string{"v2"}, func(n *network) {
			n.topology.Enabled = false
			n.restartAll()
			time.Sleep(maxAge)
			n.topology.Enabled = true
			n.setVersions("v2")
		}, 5, "v2"},
		"two keepers are frozen": {[]string{"v1", "v2"}, func(n *network) { n.downDelay = time.Hour; n.setDown(0, true); n.setDown(1, true); n.setDown(9, true) }, 5, "v2"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				n := newNetwork(10, 4, c.versions...)
				n.begin(9, "r", "v2")
				time.Sleep(settle)
				c.between(n)
				start := time.Now()
				g.Expect(n.lookup(c.at, "r")).To(Equal(c.want))
				g.Expect(time.Since(start)).To(BeNumerically("<", 600*time.Millisecond))
			})
		})
	}
}

func (n *network) restartAll() {
	for i := range n.boxes {
		n.restart(i)
	}
}

func (n *network) allDownBut(up ...int) {
	for i := range n.boxes {
		n.setDown(i, true)
	}
	for _, i := range up {
		n.setDown(i, false)
	}
}

// Guards against traffic between boxes for services whose servers all have one software version.
func TestNothingIsSentForASingleVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		n := newNetwork(10, 4, "v1")
		for i := range 1000 {
			n.begin(i%10, fmt.Sprint("r", i), "v1")
		}
		time.Sleep(time.Second)
		calls, _ := n.counts()
		g.Expect(calls).To(BeZero())
	})
}

// Guards against a caller who returns before the record of its stream has reached a keeper.
func TestLookupRightAfterTheFirstEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		n := newNetwork(10, 4, "v1", "v2")
		for i := range 100 {
			id := fmt.Sprint("r", i)
			n.begin(i%10, id, "v1")
			g.Expect(n.lookup((i+1)%10, id)).To(Equal("v1"))
		}
	})
}

// Guards against a stream that is rejected right before a leader confirms the state of a box that has started, although its caller
// has time left, and against one that waits until its caller has none.
func TestLookupWaitsForTheConfirmation(t *testing.T) {
	for _, c := range []struct {
		confirmedAfter, left, waits time.Duration
		want                        string
	}{
		{1500 * time.Millisecond, 5 * time.Second, 1500 * time.Millisecond, "v1"},
		{2400 * time.Millisecond, 5 * time.Second, 2400 * time.Millisecond, "v1"},
		{1500 * time.Millisecond, 2 * time.Second, time.Second, "unknown"},
		{10 * time.Second, time.Minute, 3 * time.Second, "unknown"},
	} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			n := newDurableNetwork(10, rand.New(rand.NewPCG(5, 1)), "v1")
			defer time.Sleep(settle) // calls under way end
			n.begin(9, "r", "v1")
			time.Sleep(settle)
			n.confirmDelay = func() time.Duration { return c.confirmedAfter }
			n.killAll([]origin.Topology{n.topology}, rand.New(rand.NewPCG(5, 2)))
			ctx, cancel := context.WithTimeout(t.Context(), c.left)
			defer cancel()
			start, got := time.Now(), "unknown"
			if o, ok := n.boxes[5].Lookup(ctx, "r", service, maxAge); ok {
				got = o.Version
			}
			g.Expect(got).To(Equal(c.want), "%+v", c)
			g.Expect(time.Since(start)).To(BeNumerically("~", c.waits, 150*time.Millisecond), "%+v", c)
		})
	}
}

// Guards against a stream that is rejected at once at a box that has just started, since the leader has confirmed its state and the
// box's own is not confirmed yet (soak TestStreamsResumeAfterTheLossOfAllBoxes: 120 of 300).
func TestLookupWaitsForItsOwnConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		n := newDurableNetwork(10, rand.New(rand.NewPCG(5, 1)), "v1")
		defer time.Sleep(time.Second) // calls under way end
		n.begin(9, "r", "v1")
		time.Sleep(settle)
		started := -1
		n.confirmDelay = func() time.Duration {
			if started++; started == n.leader {
				return 0
			}
			return time.Second
		}
		n.killAll([]origin.Topology{n.topology}, rand.New(rand.NewPCG(5, 2)))
		time.Sleep(settle)
		g.Expect(n.resume(5, "r")).To(Equal("v1"))
	})
}

// Guards against a box that has just started and rejects a stream without asking for it, since it does not know the others yet.
func TestLookupWaitsForTheTopology(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		n := newNetwork(10, 4, "v1", "v2")
		n.begin(9, "r", "v2")
		time.Sleep(settle)
		n.configure = func(*origin.Registry) {} // not yet
		n.restart(5)
		time.AfterFunc(200*time.Millisecond, func() { n.boxes[5].Configure(n.topology) })
		g.Expect(n.lookup(5, "r")).To(Equal("v2"))
	})
}

// Guards against records that are lost when the boxes are restarted in turn, each time with a planned stop.
func TestRecordsSurviveARollingRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		n := newNetwork(10, 4, "v1", "v2")
		for i := range 200 {
			n.begin(i%10, fmt.Sprint("r", i), []string{"v1", "v2"}[i%2])
		}
		time.Sleep(settle)
		for i := range n.boxes {
			n.topology.Boxes[i].Leaving = true
			n.setVersions("v1", "v2")
			n.boxes[i].HandOver(t.Context())
			n.topology.Boxes[i].Leaving = false
			n.restart(i)
			n.setVersions("v1", "v2")
		}
		for i := range 200 {
			g.Expect(n.lookup((i+3)%10, fmt.Sprint("r", i))).To(Equal([]string{"v1", "v2"}[i%2]), "stream %d", i)
		}
		_, lost := n.counts()
		g.Expect(lost).To(BeZero())
	})
}

// Guards against a load of records at one box that grows with the boxes.
func TestRecordsAreSpreadOverKeepers(t *testing.T) {
	for _, size := range []int{10, 82, 300} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			n := newNetwork(size, size/10, "v1", "v2")
			for i := range 600 {
				n.begin(i%size, fmt.Sprint("r", i), "v1")
			}
			time.Sleep(settle)
			calls, _ := n.counts()
			g.Expect(calls).To(BeNumerically("<=", 600*3))
			for i := range 600 {
				n.setDown(i%size, true)
				g.Expect(n.lookup((i+1)%size, fmt.Sprint("r", i))).To(Equal("v1"))
				n.setDown(i%size, false)
			}
		})
	}
}

// Guards against a stream that continues at another version whatever happened to boxes and servers since it began: the answer is
// the version that began it, or none.
func TestNeverAnotherVersion(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		wrong := ""
		synctest.Test(t, func(t *testing.T) { wrong = playHistory(rand.New(rand.NewPCG(seed, 1))) })
		if wrong != "" {
			rt.Fatal(wrong)
		}
	})
}

// replaceVersions changes the versions of the servers, for all boxes, and records those that leave.
func (n *network) replaceVersions(versions ...string) {
	for _, v := range n.topology.Versions[service] {
		if !slices.Contains(versions, v) {
			n.leftAt[v] = time.Now()
		}
	}
	n.updateDeparted()
	n.setVersions(versions...)
}

// updateDeparted sets the departed versions of the topology.
func (n *network) updateDeparted() {
	var list []string
	for v, at := range n.leftAt {
		if time.Since(at) < origin.HistoryTTL {
			list = append(list, v)
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.topology.Departed = map[string][]string{service: list}
}

// killAll kills all boxes and starts them again. Boxes have older states, or all the same one, until a leader confirms theirs. New
// leaders do not know how long versions have been gone.
func (n *network) killAll(older []origin.Topology, random *rand.Rand) {
	for v, at := range n.leftAt {
		if time.Since(at) < origin.HistoryTTL {
			n.leftAt[v] = time.Now()
		}
	}
	if random.IntN(2) == 0 {
		older = older[:1]
	}
	n.configure = func(b *origin.Registry) {
		stale := older[random.IntN(len(older))]
		stale.Confirmed = false
		b.Configure(stale)
		delay := n.confirmDelay()
		n.mu.Lock()
		n.confirmedAt[b] = time.Now().Add(delay)
		n.mu.Unlock()
		time.AfterFunc(delay, func() {
			if n.runs(b) {
				b.Configure(n.committed())
			}
		})
	}
	n.restartAll()
}

// committed returns the topology of the newest state.
func (n *network) committed() origin.Topology {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.topology
}

func (n *network) runs(b *origin.Registry) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Contains(n.boxes, b)
}

// newDurableNetwork returns a network whose state has all versions that services lately had.
func newDurableNetwork(size int, random *rand.Rand, versions ...string) *network {
	n := newNetwork(size, 1+random.IntN(4), versions...)
	n.topology.Complete, n.leftAt = true, map[string]time.Time{}
	n.confirmDelay = func() time.Duration { return time.Duration(random.IntN(900)) * time.Millisecond }
	n.setVersions(versions...)
	return n
}

// Guards against streams that are joined from two software versions after all boxes were killed, and against streams of services of
// a single version that are rejected then.
func TestResumedAfterTheLossOfAllBoxes(t *testing.T) {
	const streams = 1000
	for name, c := range map[string]struct {
		before, after []string
		minServed     int
	}{
		"a single version":          {[]string{"v1"}, []string{"v1"}, streams * 95 / 100},
		"two versions":              {[]string{"v1", "v2"}, []string{"v1", "v2"}, 0},
		"the old one has just left": {[]string{"v1", "v2"}, []string{"v2"}, 0},
		"replaced at once":          {[]string{"v1"}, []string{"v2"}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				n := newDurableNetwork(10, rand.New(rand.NewPCG(3, 1)), c.before...)
				for i := range streams {
					n.begin(i%10, fmt.Sprint("r", i), c.before[i%len(c.before)])
				}
				n.replaceVersions(c.after...)
				time.Sleep(settle)
				n.killAll([]origin.Topology{{}, n.topology}, rand.New(rand.NewPCG(3, 2)))
				time.Sleep(time.Second)
				served, joined := 0, 0
				for i := range streams {
					switch n.lookup((i+1)%10, fmt.Sprint("r", i)) {
					case "unknown":
					case c.before[i%len(c.before)]:
						served++
					default:
						joined++
					}
				}
				t.Logf("%d of %d served, %d joined", served, streams, joined)
				g.Expect(joined).To(BeZero())
				g.Expect(served).To(BeNumerically(">=", c.minServed))
			})
		})
	}
}

// Guards against a version that no box remembers after kills of all boxes, and against one that is remembered for ever.
func TestNeverAnotherVersionAfterTheLossOfAllBoxes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		wrong := ""
		synctest.Test(t, func(t *testing.T) { wrong = playLosses(rand.New(rand.NewPCG(seed, 2))) })
		if wrong != "" {
			rt.Fatal(wrong)
		}
	})
}

// playLosses plays a random history with kills of all boxes and describes the first wrong answer, "" if there is none.
func playLosses(r *rand.Rand) string {
	size := 3 + r.IntN(8)
	n := newDurableNetwork(size, r, "v0")
	servers, newest := []string{"v0"}, 0
	began, ids := map[string]string{}, []string(nil)
	older := []origin.Topology{n.topology}
	for step := range 60 {
		time.Sleep(time.Duration(r.IntN(400)) * time.Millisecond)
		box := r.IntN(size)
		switch r.IntN(12) {
		case 0:
			n.restart(box)
		case 1, 2:
			n.killAll(older, r)
		case 3: // a rollout begins
			if len(servers) == 1 {
				newest++
				servers = append(servers, fmt.Sprint("v", newest))
				n.replaceVersions(servers...)
			}
		case 4: // a rollout ends
			servers = servers[len(servers)-1:]
			n.replaceVersions(servers...)
		case 5: // all servers are replaced at once
			newest++
			servers = []string{fmt.Sprint("v", newest)}
			n.replaceVersions(servers...)
		case 6: // streams that began can no longer be resumed
			if r.IntN(4) == 0 {
				time.Sleep(origin.HistoryTTL + time.Second)
				ids = nil
			}
		case 7, 8, 9:
			id := fmt.Sprint("r", step)
			began[id] = servers[r.IntN(len(servers))]
			n.begin(box, id, began[id])
			ids = append(ids, id)
		default:
			if len(ids) == 0 {
				continue
			}
			id := ids[r.IntN(len(ids))]
			if got := n.lookup(box, id); got != began[id] && got != "unknown" {
				return fmt.Sprintf("step %d: %s began at %s, looked up as %s", step, id, began[id], got)
			}
		}
		n.updateDeparted()
		if older = append(older, n.topology); len(older) > 4 {
			older = older[1:]
		}
	}
	time.Sleep(10 * time.Second) // what is being sent ends
	return ""
}

// playHistory plays a random history and describes the first wrong answer, "" if there is none.
func playHistory(r *rand.Rand) string {
	size := 3 + r.IntN(12)
	n := newNetwork(size, 1+r.IntN(4), "v0")
	n.downDelay = []time.Duration{latency, time.Hour}[r.IntN(2)]
	servers, newest := []string{"v0"}, 0
	began, ids := map[string]string{}, []string(nil)
	for step := range 60 {
		time.Sleep(time.Duration(r.IntN(60)) * time.Millisecond)
		switch box := r.IntN(size); r.IntN(11) {
		case 0:
			n.restart(box)
		case 10:
			n.restartAll()
		case 1:
			n.setDown(box, !n.isDown(box))
		case 2: // a rollout begins
			if len(servers) == 1 {
				newest++
				servers = append(servers, fmt.Sprint("v", newest))
				n.setVersions(servers...)
			}
		case 3: // a rollout ends; the boxes that were restarted know only of the new version
			if len(servers) == 2 {
				servers = servers[1:]
				n.setVersions(servers...)
			}
		case 4, 5, 6:
			if id := fmt.Sprint("r", step); !n.isDown(box) {
				began[id] = servers[r.IntN(len(servers))]
				n.begin(box, id, began[id])
				ids = append(ids, id)
			}
		default:
			if len(ids) == 0 {
				continue
			}
			id := ids[r.IntN(len(ids))]
			if got := n.lookup(box, id); got != began[id] && got != "unknown" {
				return fmt.Sprintf("step %d: %s began at %s, looked up as %s", step, id, began[id], got)
			}
		}
	}
	time.Sleep(10 * time.Second) // what is being sent ends
	return ""
}
