package rate

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// tick is the step of the simulation. Each box sends at most one lease request per tick.
const tick = 10 * time.Millisecond

// testKey is the key of the limit in these tests.
var testKey = Key{Name: "w"}

// simulation models one workspace's quota across several boxes, in simulated time.
type simulation struct {
	limit  Limit
	now    time.Duration
	boxes  []*simBox
	leader int // index of the leading box, -1 for none
	// isolated means that no box reaches another.
	isolated        bool
	term            uint64
	processes       int
	rand            *rand.Rand
	spends          []spend
	refusedWeight   float64
	requestedWeight float64
}

type spend struct {
	at     time.Duration
	weight float64
}

type simBox struct {
	limiter       *Limiter
	lessor        *Lessor
	partitioned   bool
	nextRequestAt time.Duration // time of its next lease request
	downUntil     time.Duration // time at which it is running again
}

func newSimulation(q Limit, boxes int, seed uint64) *simulation {
	x := &simulation{limit: q, rand: rand.New(rand.NewPCG(seed, 1)), leader: -1}
	for range boxes {
		x.boxes = append(x.boxes, &simBox{})
	}
	for _, b := range x.boxes {
		x.startProcess(b)
	}
	return x
}

// startProcess gives a box a new process.
func (x *simulation) startProcess(b *simBox) {
	b.limiter = NewLimiter(Options{
		Boxes: func() int { return len(x.boxes) }, Now: func() time.Duration { return x.now }, Window: window,
		Lease: func(context.Context, string, []LimitRequest) (LeaseResponse, error) { panic("not called") },
	})
	x.processes++
	b.lessor = NewLessor(strconv.Itoa(x.processes), func() time.Duration { return x.now })
}

// elect makes the first available box the leader, in a new term.
func (x *simulation) elect() {
	x.term++
	for i, b := range x.boxes {
		if x.now >= b.downUntil && !b.partitioned {
			x.leader = i
			return
		}
	}
}

// lessorFor returns the box to which a box sends its requests: the leader, else the first that it reaches, -1 for
// none.
func (x *simulation) lessorFor(b *simBox) int {
	if x.isolated {
		return -1
	}
	if x.leader >= 0 && b.partitioned == x.boxes[x.leader].partitioned {
		return x.leader
	}
	return slices.IndexFunc(x.boxes[:min(8, len(x.boxes))], func(other *simBox) bool { return x.now >= other.downUntil && other.partitioned == b.partitioned })
}

// step advances by one tick in which the boxes receive requests of the given weights.
func (x *simulation) step(weights [][]float64) {
	for i, b := range x.boxes {
		if x.now < b.downUntil {
			continue
		}
		for _, weight := range weights[i] {
			x.arrive(b, weight)
		}
		if x.now >= b.nextRequestAt {
			x.exchange(b)
		}
	}
	x.now += tick
}

// arrive attempts a request; one that must wait is tried again after the next response.
func (x *simulation) arrive(b *simBox, weight float64) {
	x.requestedWeight += weight
	wait, refusal := b.limiter.trySpend(testKey, x.limit, weight, true)
	if wait != nil {
		x.exchange(b)
		wait, refusal = b.limiter.trySpend(testKey, x.limit, weight, false)
		if wait != nil {
			b.limiter.cancelWait(testKey, wait)
		}
	}
	if wait != nil || refusal != nil {
		x.refusedWeight += weight
		return
	}
	x.spends = append(x.spends, spend{x.now, weight})
}

// exchange does what Limiter.refill does; the allocator's response comes immediately or not at all.
func (x *simulation) exchange(b *simBox) {
	b.nextRequestAt = x.now + requestInterval
	epoch, requests := b.limiter.collectRequests(x.now)
	if len(requests) == 0 {
		return
	}
	b.limiter.mu.Lock()
	defer b.limiter.mu.Unlock()
	i := x.lessorFor(b)
	b.limiter.setIsolated(i < 0)
	if b.limiter.isolated {
		b.nextRequestAt = x.now + retryInterval
		b.limiter.recordResponse(b.limiter.leaseLocally(requests), requests, x.now)
		return
	}
	leadership := Leadership{Boxes: len(x.boxes)}
	if i == x.leader {
		leadership.IsLeader, leadership.Term = true, x.term
	}
	box := strconv.Itoa(slices.Index(x.boxes, b))
	limitOf := func(LimitRequest) (Limit, bool) { return x.limit, true }
	b.limiter.recordResponse(x.boxes[i].lessor.Lease(box, epoch, leadership, limitOf, requests), requests, x.now)
}

const window = 8 * time.Second

// worstWindow returns the highest usage in a window.
func (x *simulation) worstWindow() (worst float64) {
	sum, first := 0.0, 0
	for _, s := range x.spends {
		sum += s.weight
		for x.spends[first].at <= s.at-window {
			sum -= x.spends[first].weight
			first++
		}
		worst = max(worst, sum)
	}
	return worst
}

// allowedInWindow is the usage that the rules allow in a window: 10% beyond the quota, plus a slack.
func allowedInWindow(q Limit, slack float64) float64 {
	return (q.PerSecond*window.Seconds()+q.Burst)*1.1 + slack
}

const (
	meanWeight  = 3000.0
	largeWeight = 50000.0
	// slackTokens is the additional usage that the rules allow, in tokens.
	slackTokens = 110_000.0
)

// arrivals draws requests at a mean rate, in tokens per second, distributed over the boxes by the given shares.
func (x *simulation) arrivals(rate float64, shares []float64) [][]float64 {
	weights := make([][]float64, len(x.boxes))
	sum := 0.0
	for _, s := range shares {
		sum += s
	}
	for i, s := range shares {
		for mean := rate * s / sum * tick.Seconds() / meanWeight; mean > 0; mean-- {
			if x.rand.Float64() < mean {
				weights[i] = append(weights[i], min(meanWeight*x.rand.ExpFloat64()+1, largeWeight))
			}
		}
	}
	return weights
}

// Leader loss, partitions, restarts and suspends in any order: the usage in any window stays within the allowed bound.
func TestQuotaHoldsUnderRandomFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := Limit{PerSecond: float64(rapid.SampledFrom([]int{60_000, 150_000, 600_000}).Draw(t, "rate"))}
		q.Burst = max(q.PerSecond, 69_000)
		x := newSimulation(q, rapid.IntRange(3, 65).Draw(t, "boxes"), rapid.Uint64().Draw(t, "seed"))
		shares := make([]float64, len(x.boxes))
		holders := rapid.IntRange(1, len(shares)).Draw(t, "boxes with callers")
		for i := range holders {
			shares[i] = 1
		}
		x.elect()
		demand := 0.5
		var electAt, leaseEnd time.Duration
		partitionUntil := time.Duration(0)
		for x.now < 20*time.Second {
			if x.now%time.Second == 0 {
				switch rapid.SampledFrom([]string{"nothing", "overload", "normal load", "leader lost", "restart of all", "restart of one", "partition", "suspend"}).Draw(t, "event") {
				case "overload":
					demand = 7
				case "normal load":
					demand = 0.5
				case "leader lost":
					x.leader = -1
					electAt = x.now + time.Duration(rapid.IntRange(450, 2500).Draw(t, "gap"))*time.Millisecond
				case "restart of all":
					x.leader = -1
					for _, b := range x.boxes {
						b.downUntil = x.now + 1200*time.Millisecond
						b.partitioned = false
						x.startProcess(b)
					}
					electAt = x.now + 2200*time.Millisecond
				case "restart of one":
					x.startProcess(x.boxes[0])
				case "partition": // a tenth of the boxes, at most one partition in a window
					if x.now >= partitionUntil+window {
						partitionUntil = x.now + 5*time.Second
						for i := range len(x.boxes) / 10 {
							x.boxes[i].partitioned = true
						}
						if x.leader >= 0 && x.boxes[x.leader].partitioned { // it leads until its lease expires
							leaseEnd = x.now + 450*time.Millisecond
							electAt = leaseEnd + time.Duration(rapid.IntRange(100, 2000).Draw(t, "gap"))*time.Millisecond
						}
					}
				case "suspend":
					for _, b := range x.boxes[:1] {
						b.downUntil = x.now + 3*time.Second
					}
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
			x.step(x.arrivals(demand*q.PerSecond, shares))
		}
		if worst, allowed := x.worstWindow(), allowedInWindow(q, slackTokens); worst > allowed {
			t.Fatalf("%.0f tokens in a window, %.0f allowed", worst, allowed)
		}
	})
}

// Normal load: a workspace well below its limit, with callers at a few of many boxes or at all of them. Almost nothing
// may be refused.
func TestNoRefusalsBelowLimit(t *testing.T) {
	for name, holders := range map[string]int{"callers at 3 boxes": 3, "at 20": 20, "at all": 65} {
		g := NewWithT(t)
		q := Limit{PerSecond: 300_000, Burst: 300_000}
		x := newSimulation(q, 65, 7)
		shares := make([]float64, 65)
		for i := range holders {
			shares[i] = 1
		}
		x.elect()
		for x.now < 30*time.Second {
			x.step(x.arrivals(q.PerSecond/1.8, shares))
		}
		g.Expect(x.refusedWeight/x.requestedWeight).To(BeNumerically("<", 0.001), name)
	}
}

// A leader is lost for 1.5 s in every 8 s, twice as often as in days with failures.
func TestLeaderLossRefusesFewRequests(t *testing.T) {
	g := NewWithT(t)
	q := Limit{PerSecond: 300_000, Burst: 300_000}
	x := newSimulation(q, 65, 7)
	shares := make([]float64, 65)
	for i := range shares {
		shares[i] = 1
	}
	for x.now < 40*time.Second {
		at := x.now % (8 * time.Second)
		if at == 0 {
			x.elect()
		}
		if at == 6500*time.Millisecond {
			x.leader = -1
		}
		x.step(x.arrivals(q.PerSecond/1.8, shares))
	}
	g.Expect(x.refusedWeight / x.requestedWeight).To(BeNumerically("<", 0.05))
	g.Expect(x.worstWindow()).To(BeNumerically("<=", allowedInWindow(q, slackTokens)))
}

// A workspace that requests seven times its limit gets nearly all of the limit.
func TestOverloadedWorkspaceGetsItsQuota(t *testing.T) {
	g := NewWithT(t)
	q := Limit{PerSecond: 60_000, Burst: 69_000}
	x := newSimulation(q, 65, 7)
	x.elect()
	shares := slices.Repeat([]float64{1}, 65)
	for x.now < 20*time.Second {
		x.step(x.arrivals(7*q.PerSecond, shares))
	}
	served := x.requestedWeight - x.refusedWeight
	g.Expect(served).To(BeNumerically(">", 0.9*(20*q.PerSecond)))
	g.Expect(x.worstWindow()).To(BeNumerically("<=", q.PerSecond*window.Seconds()+q.Burst+leaseTTL.Seconds()*q.PerSecond))
}

// The weight of requests that did not run is released, and the unspent part of expired leases returns to its
// allocator.
func TestUnspentTokensAreReturned(t *testing.T) {
	g := NewWithT(t)
	q := Limit{PerSecond: 1000, Burst: 1000}
	x := newSimulation(q, 1, 1)
	x.elect()
	x.now = time.Second
	b := x.boxes[0]
	x.arrive(b, 50) // the bucket starts with 50
	g.Expect(x.spends).To(HaveLen(1))
	Charge{b.limiter, testKey, 50}.Release()
	_, refusal := b.limiter.trySpend(testKey, x.limit, 50, true)
	g.Expect(refusal).To(BeNil(), "the released weight is available again")
	Charge{b.limiter, testKey, 50}.Release()
	x.now += 2 * leaseTTL
	_, requests := b.limiter.collectRequests(x.now)
	g.Expect(requests).To(HaveLen(1))
	g.Expect(requests[0].Unused).To(Equal(50.0))
}

// Suspending the machine expires all leases, provided that the clock continues meanwhile.
func TestLeaseExpiresDuringSuspend(t *testing.T) {
	g := NewWithT(t)
	x := newSimulation(Limit{PerSecond: 1000, Burst: 1000}, 1, 1)
	x.elect()
	x.now = time.Second
	b := x.boxes[0]
	x.arrive(b, 1)
	Charge{b.limiter, testKey, 500}.Release()
	x.now += time.Minute
	wait, _ := b.limiter.trySpend(testKey, x.limit, 400, true)
	g.Expect(wait).NotTo(BeNil(), "it requests a new lease")
}
