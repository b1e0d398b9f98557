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

// tick is the step of the simulation, in which each box asks at most once.
const tick = 10 * time.Millisecond

// theKey is that of the limit in these tests.
var theKey = Key{Name: "w"}

// world is one workspace's quota over several boxes, in simulated time.
type world struct {
	limit  Limit
	now    time.Duration
	boxes  []*simBox
	leader int // box that leads, -1 for none
	// unreached tells that no box reaches another.
	unreached bool
	term      uint64
	started   int
	rand      *rand.Rand
	spends    []spend
	refused   float64
	asked     float64
}

type spend struct {
	at     time.Duration
	weight float64
}

type simBox struct {
	l     *Limiter
	asked *Lessor
	cut   bool
	next  time.Duration // when it asks again
	until time.Duration // when it is back
}

func newWorld(q Limit, boxes int, seed uint64) *world {
	x := &world{limit: q, rand: rand.New(rand.NewPCG(seed, 1)), leader: -1}
	for range boxes {
		x.boxes = append(x.boxes, &simBox{})
	}
	for _, b := range x.boxes {
		x.start(b)
	}
	return x
}

// start gives a box a new process.
func (x *world) start(b *simBox) {
	b.l = NewLimiter(Options{
		Boxes: func() int { return len(x.boxes) }, Now: func() time.Duration { return x.now }, Window: window,
		Lease: func(context.Context, string, []LimitRequest) (LeaseResponse, error) { panic("not called") },
	})
	x.started++
	b.asked = NewLessor(strconv.Itoa(x.started), func() time.Duration { return x.now })
}

// elect has another box lead.
func (x *world) elect() {
	x.term++
	for i, b := range x.boxes {
		if x.now >= b.until && !b.cut {
			x.leader = i
			return
		}
	}
}

// lessor returns the box that a box asks, -1 for none: the leader, else the first that it reaches.
func (x *world) lessor(b *simBox) int {
	if x.unreached {
		return -1
	}
	if x.leader >= 0 && b.cut == x.boxes[x.leader].cut {
		return x.leader
	}
	return slices.IndexFunc(x.boxes[:min(8, len(x.boxes))], func(other *simBox) bool { return x.now >= other.until && other.cut == b.cut })
}

// step goes on by a tick in which the boxes are asked for the weights.
func (x *world) step(weights [][]float64) {
	for i, b := range x.boxes {
		if x.now < b.until {
			continue
		}
		for _, weight := range weights[i] {
			x.arrive(b, weight)
		}
		if x.now >= b.next {
			x.round(b)
		}
	}
	x.now += tick
}

// arrive has a request tried; one that must wait is looked at after the next answer.
func (x *world) arrive(b *simBox, weight float64) {
	x.asked += weight
	wait, refusal := b.l.try(theKey, x.limit, weight, true)
	if wait != nil {
		x.round(b)
		wait, refusal = b.l.try(theKey, x.limit, weight, false)
		if wait != nil {
			b.l.leave(theKey, wait)
		}
	}
	if wait != nil || refusal != nil {
		x.refused += weight
		return
	}
	x.spends = append(x.spends, spend{x.now, weight})
}

// round is Limiter.round with the answer of the allocator, which comes at once or not at all.
func (x *world) round(b *simBox) {
	b.next = x.now + askPause
	epoch, asks := b.l.collect(x.now)
	if len(asks) == 0 {
		return
	}
	b.l.mu.Lock()
	defer b.l.mu.Unlock()
	i := x.lessor(b)
	b.l.setAlone(i < 0)
	if b.l.alone {
		b.next = x.now + againPause
		b.l.takeOver(b.l.answerAlone(asks), asks, x.now)
		return
	}
	lead := Leadership{Boxes: len(x.boxes)}
	if i == x.leader {
		lead.IsLeader, lead.Term = true, x.term
	}
	box := strconv.Itoa(slices.Index(x.boxes, b))
	limitOf := func(LimitRequest) (Limit, bool) { return x.limit, true }
	b.l.takeOver(x.boxes[i].asked.Lease(box, epoch, lead, limitOf, asks), asks, x.now)
}

const window = 8 * time.Second

// worst returns the most that was spent in a window.
func (x *world) worst() (most float64) {
	sum, first := 0.0, 0
	for _, s := range x.spends {
		sum += s.weight
		for x.spends[first].at <= s.at-window {
			sum -= x.spends[first].weight
			first++
		}
		most = max(most, sum)
	}
	return most
}

// bound is what the operators allow in a window: a tenth beyond the quota, and a slack.
func bound(q Limit, slack float64) float64 {
	return (q.PerSecond*window.Seconds()+q.Burst)*1.1 + slack
}

const (
	meanWeight  = 3000.0
	largeWeight = 50000.0
	// slackTokens is what the operators allow beyond, in tokens.
	slackTokens = 110_000.0
)

// arrivals draws requests of about a rate, in tokens a second, for boxes with shares of them.
func (x *world) arrivals(rate float64, shares []float64) [][]float64 {
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

// In whatever order leaders and boxes are lost, boxes cut off and limits changed, what is spent in a
// window stays within what the operators allow.
func TestNoHistorySpendsMoreThanIsAllowed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := Limit{PerSecond: float64(rapid.SampledFrom([]int{60_000, 150_000, 600_000}).Draw(t, "rate"))}
		q.Burst = max(q.PerSecond, 69_000)
		x := newWorld(q, rapid.IntRange(3, 65).Draw(t, "boxes"), rapid.Uint64().Draw(t, "seed"))
		shares := make([]float64, len(x.boxes))
		holders := rapid.IntRange(1, len(shares)).Draw(t, "boxes with callers")
		for i := range holders {
			shares[i] = 1
		}
		x.elect()
		demand := 0.5
		var electAt, leaseEnd time.Duration
		cutUntil := time.Duration(0)
		for x.now < 20*time.Second {
			if x.now%time.Second == 0 {
				switch rapid.SampledFrom([]string{"nothing", "hot", "usual", "leader lost", "restart of all", "restart of one", "cut", "sleep"}).Draw(t, "event") {
				case "hot":
					demand = 7
				case "usual":
					demand = 0.5
				case "leader lost":
					x.leader = -1
					electAt = x.now + time.Duration(rapid.IntRange(450, 2500).Draw(t, "gap"))*time.Millisecond
				case "restart of all":
					x.leader = -1
					for _, b := range x.boxes {
						b.until = x.now + 1200*time.Millisecond
						b.cut = false
						x.start(b)
					}
					electAt = x.now + 2200*time.Millisecond
				case "restart of one":
					x.start(x.boxes[0])
				case "cut": // a tenth of the boxes, no two cuts in a window
					if x.now >= cutUntil+window {
						cutUntil = x.now + 5*time.Second
						for i := range len(x.boxes) / 10 {
							x.boxes[i].cut = true
						}
						if x.leader >= 0 && x.boxes[x.leader].cut { // it leads until its lease ends
							leaseEnd = x.now + 450*time.Millisecond
							electAt = leaseEnd + time.Duration(rapid.IntRange(100, 2000).Draw(t, "gap"))*time.Millisecond
						}
					}
				case "sleep":
					for _, b := range x.boxes[:1] {
						b.until = x.now + 3*time.Second
					}
				}
			}
			if x.now == leaseEnd {
				x.leader = -1
			}
			if x.leader < 0 && x.now >= electAt {
				x.elect()
			}
			if x.now >= cutUntil {
				for _, b := range x.boxes {
					b.cut = false
				}
			}
			x.step(x.arrivals(demand*q.PerSecond, shares))
		}
		if worst, most := x.worst(), bound(q, slackTokens); worst > most {
			t.Fatalf("%.0f tokens in a window, %.0f allowed", worst, most)
		}
	})
}

// The load that quotas are for: every workspace well below its limit, its callers at a few of many
// boxes or at all of them. Nothing of it may be refused, whatever happens to leaders.
func TestBelowItsLimitAWorkspaceIsHardlyRefused(t *testing.T) {
	for name, holders := range map[string]int{"callers at 3 boxes": 3, "at 20": 20, "at all": 65} {
		g := NewWithT(t)
		q := Limit{PerSecond: 300_000, Burst: 300_000}
		x := newWorld(q, 65, 7)
		shares := make([]float64, 65)
		for i := range holders {
			shares[i] = 1
		}
		x.elect()
		for x.now < 30*time.Second {
			x.step(x.arrivals(q.PerSecond/1.8, shares))
		}
		g.Expect(x.refused/x.asked).To(BeNumerically("<", 0.001), name)
	}
}

// A leader is lost for 1.5 s in every 8, twice as often as days with trouble have it.
func TestALostLeaderCostsAWorkspaceLittle(t *testing.T) {
	g := NewWithT(t)
	q := Limit{PerSecond: 300_000, Burst: 300_000}
	x := newWorld(q, 65, 7)
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
	g.Expect(x.refused / x.asked).To(BeNumerically("<", 0.05))
	g.Expect(x.worst()).To(BeNumerically("<=", bound(q, slackTokens)))
}

// A workspace that asks for seven times its limit gets nearly all of it.
func TestAHotWorkspaceGetsItsQuota(t *testing.T) {
	g := NewWithT(t)
	q := Limit{PerSecond: 60_000, Burst: 69_000}
	x := newWorld(q, 65, 7)
	x.elect()
	shares := slices.Repeat([]float64{1}, 65)
	for x.now < 20*time.Second {
		x.step(x.arrivals(7*q.PerSecond, shares))
	}
	served := x.asked - x.refused
	g.Expect(served).To(BeNumerically(">", 0.9*(20*q.PerSecond)))
	g.Expect(x.worst()).To(BeNumerically("<=", q.PerSecond*window.Seconds()+q.Burst+leaseLife.Seconds()*q.PerSecond))
}

// What did not run is given back, and what a lease's time has passed by goes back to its allocator.
func TestWhatWasNotSpentIsGivenBack(t *testing.T) {
	g := NewWithT(t)
	q := Limit{PerSecond: 1000, Burst: 1000}
	x := newWorld(q, 1, 1)
	x.elect()
	x.now = time.Second
	b := x.boxes[0]
	x.arrive(b, 50) // the bucket begins with 50
	g.Expect(x.spends).To(HaveLen(1))
	Charge{b.l, theKey, 50}.Release()
	_, refusal := b.l.try(theKey, x.limit, 50, true)
	g.Expect(refusal).To(BeNil(), "it is there again")
	Charge{b.l, theKey, 50}.Release()
	x.now += 2 * leaseLife
	_, asks := b.l.collect(x.now)
	g.Expect(asks).To(HaveLen(1))
	g.Expect(asks[0].Unused).To(Equal(50.0))
}

// A sleep ends all leases, as long as the clock counts it.
func TestALeaseEndsInASleep(t *testing.T) {
	g := NewWithT(t)
	x := newWorld(Limit{PerSecond: 1000, Burst: 1000}, 1, 1)
	x.elect()
	x.now = time.Second
	b := x.boxes[0]
	x.arrive(b, 1)
	Charge{b.l, theKey, 500}.Release()
	x.now += time.Minute
	wait, _ := b.l.try(theKey, x.limit, 400, true)
	g.Expect(wait).NotTo(BeNil(), "it asks anew")
}
