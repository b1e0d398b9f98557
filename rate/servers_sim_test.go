package rate

import (
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const (
	// serverWindow is the window over which a server's limit is evaluated. Up to serverOverFactor times the limit may
	// arrive in it, and serverSlack requests besides.
	serverWindow     = 4 * time.Second
	serverOverFactor = 1.5
	serverSlack      = 5
)

// serverLimit returns the limit that package throttle derives from a rate.
func serverLimit(perSecond float64) Limit {
	return Limit{PerSecond: perSecond, Burst: 2 + 0.5*perSecond}
}

// tryRequest attempts one request of a rank at a box.
func (x *simulation) tryRequest(b *simBox, rank int) bool {
	key := Key{Name: testKey.Name, Rank: rank}
	wait, refusal := b.limiter.trySpend(key, x.limit, 1, true)
	if wait != nil {
		x.exchange(b)
		wait, refusal = b.limiter.trySpend(key, x.limit, 1, false)
		if wait != nil {
			b.limiter.cancelWait(key, wait)
		}
	}
	if wait != nil || refusal != nil {
		return false
	}
	x.spends = append(x.spends, spend{x.now, 1})
	return true
}

// stepRequests advances by one tick in which each box receives random requests at the given rate per second.
func (x *simulation) stepRequests(perBox float64, rank func() int) (requested, served map[int]int) {
	requested, served = map[int]int{}, map[int]int{}
	for _, b := range x.boxes {
		if x.now < b.downUntil {
			continue
		}
		for mean := perBox * tick.Seconds(); mean > 0; mean-- {
			if x.rand.Float64() >= mean {
				continue
			}
			r := rank()
			requested[r]++
			if x.tryRequest(b, r) {
				served[r]++
			}
		}
		if x.now >= b.nextRequestAt {
			x.exchange(b)
		}
	}
	x.now += tick
	return requested, served
}

// worstServerWindow returns the window with the highest usage relative to what was allowed in it. The limits are given
// with the time from which each was active.
func (x *simulation) worstServerWindow(limits []spend) (worst, allowed float64, at time.Duration) {
	first, sum := 0, 0.0
	for _, s := range x.spends {
		sum += s.weight
		for x.spends[first].at <= s.at-serverWindow {
			sum -= x.spends[first].weight
			first++
		}
		highest := 0.0
		for i, l := range limits {
			if l.at <= s.at && (i+1 == len(limits) || limits[i+1].at > s.at-serverWindow) {
				highest = max(highest, l.weight)
			}
		}
		bound := serverOverFactor*serverWindow.Seconds()*highest + serverSlack
		if sum-bound > worst-allowed || worst == 0 {
			worst, allowed, at = sum, bound, s.at
		}
	}
	return worst, allowed, at
}

// Leader loss, partitions, restarts, suspends and limit changes in any order, with 3 to 300 boxes and any limit: in no
// window does a server receive more than the rules allow.
func TestServerLimitHoldsUnderRandomFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.SampledFrom([]float64{0.05, 0.4, 1, 1.1, 3, 12, 40}).Draw(t, "limit")
		boxes := rapid.SampledFrom([]int{3, 10, 10, 65, 300}).Draw(t, "boxes")
		x := newSimulation(serverLimit(perSecond), boxes, rapid.Uint64().Draw(t, "seed"))
		x.elect()
		limits := []spend{{0, perSecond}}
		demand := rapid.SampledFrom([]float64{0.7, 3, 20}).Draw(t, "demand")
		var electAt, leaseEnd, partitionUntil time.Duration
		for x.now < 12*time.Second {
			if x.now%time.Second == 0 {
				switch rapid.SampledFrom([]string{"nothing", "limit", "leader lost", "restart of all", "restart of one", "partition", "suspend"}).Draw(t, "event") {
				case "limit":
					perSecond = rapid.SampledFrom([]float64{0.05, 0.4, 1, 3, 12}).Draw(t, "next limit")
					x.limit = serverLimit(perSecond)
					limits = append(limits, spend{x.now, perSecond})
				case "leader lost":
					x.leader = -1
					electAt = x.now + time.Duration(rapid.IntRange(450, 2500).Draw(t, "gap"))*time.Millisecond
				case "restart of all":
					x.leader = -1
					for _, b := range x.boxes {
						b.downUntil, b.partitioned = x.now+1200*time.Millisecond, false
						x.startProcess(b)
					}
					electAt = x.now + 2200*time.Millisecond
				case "restart of one":
					x.startProcess(x.boxes[0])
				case "partition":
					if x.now >= partitionUntil+serverWindow {
						partitionUntil = x.now + 5*time.Second
						for i := range max(1, len(x.boxes)/10) {
							x.boxes[i].partitioned = true
						}
						if x.leader >= 0 && x.boxes[x.leader].partitioned { // it leads until its lease expires
							leaseEnd = x.now + 450*time.Millisecond
							electAt = leaseEnd + time.Duration(rapid.IntRange(100, 2000).Draw(t, "gap"))*time.Millisecond
						}
					}
				case "suspend":
					x.boxes[0].downUntil = x.now + 3*time.Second
				}
			}
			if x.now == leaseEnd {
				x.leader = -1
			}
			if x.leader < 0 && x.now >= electAt {
				x.elect()
			}
			if x.now >= partitionUntil {
				for _, b := range x.boxes {
					b.partitioned = false
				}
			}
			x.stepRequests(demand*perSecond/float64(boxes), func() int { return x.rand.IntN(3) })
		}
		if worst, allowed, at := x.worstServerWindow(limits); worst > allowed {
			t.Fatalf("%.0f requests in a window that ends at %v, %.1f allowed", worst, at, allowed)
		}
	})
}

// With sufficient demand, little of a server's limit remains unused.
func TestServerLimitIsUtilized(t *testing.T) {
	for _, boxes := range []int{3, 10, 65, 300} {
		for _, perSecond := range []float64{0.4, 1, 5, 40} {
			g := NewWithT(t)
			x := newSimulation(serverLimit(perSecond), boxes, 7)
			x.elect()
			const spanSeconds = 40.0
			for x.now.Seconds() < spanSeconds {
				x.stepRequests(max(3*perSecond, 4)/float64(boxes), func() int { return 0 })
			}
			name := strconv.Itoa(boxes) + " boxes, " + strconv.FormatFloat(perSecond, 'f', -1, 64) + " per second"
			t.Logf("%s: %d of %.0f used", name, len(x.spends), perSecond*spanSeconds)
			g.Expect(float64(len(x.spends))).To(BeNumerically(">", 0.8*perSecond*spanSeconds-1), name)
		}
	}
}

// A scarce limit goes to more urgent ranks first, and no rank starves.
func TestUrgentRanksAreServedFirst(t *testing.T) {
	g := NewWithT(t)
	x := newSimulation(serverLimit(3), 10, 7)
	x.elect()
	requested, served := map[int]int{}, map[int]int{}
	for x.now < 60*time.Second {
		a, s := x.stepRequests(1.2, func() int { return x.rand.IntN(3) }) // four times the limit
		for r := range 3 {
			requested[r] += a[r]
			served[r] += s[r]
		}
	}
	t.Logf("requested %v, served %v", requested, served)
	g.Expect(served[0]).To(BeNumerically(">", 2*served[1]))
	g.Expect(served[1]).To(BeNumerically(">=", served[2]))
	g.Expect(served[2]).To(BeNumerically(">", 0.04*3*60))
	g.Expect(slices.Max([]int{served[0], served[1], served[2]})).To(Equal(served[0]))
}

// When the urgent ranks alone exceed the limit many times, the others still get a share.
func TestNoRankStarves(t *testing.T) {
	g := NewWithT(t)
	const perSecond, spanSeconds = 3.0, 60.0
	x := newSimulation(serverLimit(perSecond), 10, 7)
	x.elect()
	served := map[int]int{}
	for x.now.Seconds() < spanSeconds {
		_, s := x.stepRequests(6, func() int { // twenty times the limit, one in ten of them less urgent
			if x.rand.IntN(10) == 0 {
				return 2
			}
			return 0
		})
		served[0] += s[0]
		served[2] += s[2]
	}
	t.Logf("served %v", served)
	g.Expect(served[2]).To(BeNumerically(">", 0.05*perSecond*spanSeconds))
	g.Expect(served[0]).To(BeNumerically(">", 2*served[2]))
}

// Compares two ways to enforce a server's limit under the same demand: leases from one allocator, and an equal share
// at each box. Both are within the rules. Equal shares leave most of a small limit unused, since callers use a few
// boxes at a time.
func TestLeasesUseMoreThanEqualShares(t *testing.T) {
	g := NewWithT(t)
	const spanSeconds = 40.0
	measure := func(boxes int, perSecond float64, leases bool) (int, float64) {
		x := newSimulation(serverLimit(perSecond), boxes, 7)
		if leases {
			x.elect()
		} else { // all boxes are isolated
			x.leader, x.isolated = -1, true
		}
		for x.now.Seconds() < spanSeconds {
			x.stepRequests(max(3*perSecond, 4)/float64(boxes), func() int { return 0 })
		}
		worst, _, _ := x.worstServerWindow([]spend{{0, perSecond}})
		return len(x.spends), worst
	}
	for _, boxes := range []int{3, 10, 65, 300} {
		for _, perSecond := range []float64{0.4, 1, 5, 40} {
			leased, worst := measure(boxes, perSecond, true)
			shared, worstShared := measure(boxes, perSecond, false)
			t.Logf("%d boxes, %g per second: leases use %d of %.0f, %.0f in a window; equal shares %d, %.0f", boxes, perSecond, leased, perSecond*spanSeconds, worst, shared, worstShared)
			g.Expect(leased).To(BeNumerically(">=", shared))
		}
	}
}

// All boxes are isolated repeatedly for a short time, as while a leader is frozen or being elected. The tokens that
// each box accumulates from its own share must not be available in full the next time: with 10 boxes that would be ten
// requests at once.
func TestRepeatedIsolationAccumulatesNoTokens(t *testing.T) {
	for _, boxes := range []int{3, 10, 65, 300} {
		for _, perSecond := range []float64{0.4, 1, 3} {
			g := NewWithT(t)
			x := newSimulation(serverLimit(perSecond), boxes, 7)
			x.elect()
			for x.now < 120*time.Second {
				x.isolated = x.now%(40*time.Second) > 38*time.Second
				demand := max(20, 4*perSecond)
				if !x.isolated && x.now > 40*time.Second { // most boxes receive no requests between two isolated periods
					demand = 0
				}
				x.stepRequests(demand/float64(boxes), func() int { return 0 })
			}
			worst, allowed, at := x.worstServerWindow([]spend{{0, perSecond}})
			t.Logf("%d boxes, %g per second: %.0f in a window that ends at %v, allowed %.1f", boxes, perSecond, worst, at, allowed)
			g.Expect(worst).To(BeNumerically("<=", allowed))
		}
	}
}
