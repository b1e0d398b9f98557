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
	// serverWindow is the span over which a server's limit is judged, serverOver the share of it that may arrive there
	// and serverSlack the requests besides: what the users' rule allows.
	serverWindow = 4 * time.Second
	serverOver   = 1.5
	serverSlack  = 5
)

// serverLimit is a limit of so many requests a second as package throttle makes it.
func serverLimit(perSecond float64) Limit {
	return Limit{PerSecond: perSecond, Burst: 2 + 0.5*perSecond}
}

// request has one request of a rank tried at a box.
func (x *world) request(b *simBox, rank int) bool {
	key := Key{Name: theKey.Name, Rank: rank}
	wait, refusal := b.l.try(key, x.limit, 1, true)
	if wait != nil {
		x.round(b)
		wait, refusal = b.l.try(key, x.limit, 1, false)
		if wait != nil {
			b.l.leave(key, wait)
		}
	}
	if wait != nil || refusal != nil {
		return false
	}
	x.spends = append(x.spends, spend{x.now, 1})
	return true
}

// requests goes on by a tick in which each box is asked, by chance, for so many requests a second.
func (x *world) requests(perBox float64, rank func() int) (asked, served map[int]int) {
	asked, served = map[int]int{}, map[int]int{}
	for _, b := range x.boxes {
		if x.now < b.until {
			continue
		}
		for mean := perBox * tick.Seconds(); mean > 0; mean-- {
			if x.rand.Float64() >= mean {
				continue
			}
			r := rank()
			asked[r]++
			if x.request(b, r) {
				served[r]++
			}
		}
		if x.now >= b.next {
			x.round(b)
		}
	}
	x.now += tick
	return asked, served
}

// mostIn is the most that was spent in a window, by what was allowed there: limits are those in force, by the time
// from which they were.
func (x *world) overServerLimit(limits []spend) (worst, most float64, at time.Duration) {
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
		allowed := serverOver*serverWindow.Seconds()*highest + serverSlack
		if sum-allowed > worst-most || worst == 0 {
			worst, most, at = sum, allowed, s.at
		}
	}
	return worst, most, at
}

// Over 3 to 300 boxes, whatever the limit, and however leaders are lost, boxes cut off, restarted or suspended, and limits
// changed: in no window a server gets more than the users' rule allows.
func TestNoHistoryGivesAServerMoreThanItNames(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.SampledFrom([]float64{0.05, 0.4, 1, 1.1, 3, 12, 40}).Draw(t, "limit")
		boxes := rapid.SampledFrom([]int{3, 10, 10, 65, 300}).Draw(t, "boxes")
		x := newWorld(serverLimit(perSecond), boxes, rapid.Uint64().Draw(t, "seed"))
		x.elect()
		limits := []spend{{0, perSecond}}
		demand := rapid.SampledFrom([]float64{0.7, 3, 20}).Draw(t, "demand")
		var electAt, leaseEnd, cutUntil time.Duration
		for x.now < 12*time.Second {
			if x.now%time.Second == 0 {
				switch rapid.SampledFrom([]string{"nothing", "limit", "leader lost", "restart of all", "restart of one", "cut", "sleep"}).Draw(t, "event") {
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
						b.until, b.cut = x.now+1200*time.Millisecond, false
						x.start(b)
					}
					electAt = x.now + 2200*time.Millisecond
				case "restart of one":
					x.start(x.boxes[0])
				case "cut":
					if x.now >= cutUntil+serverWindow {
						cutUntil = x.now + 5*time.Second
						for i := range max(1, len(x.boxes)/10) {
							x.boxes[i].cut = true
						}
						if x.leader >= 0 && x.boxes[x.leader].cut { // it leads until its lease ends
							leaseEnd = x.now + 450*time.Millisecond
							electAt = leaseEnd + time.Duration(rapid.IntRange(100, 2000).Draw(t, "gap"))*time.Millisecond
						}
					}
				case "sleep":
					x.boxes[0].until = x.now + 3*time.Second
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
			x.requests(demand*perSecond/float64(boxes), func() int { return x.rand.IntN(3) })
		}
		if worst, most, at := x.overServerLimit(limits); worst > most {
			t.Fatalf("%.0f requests in a window that ends at %v, %.1f allowed", worst, at, most)
		}
	})
}

// Of what a server takes little is left unused where requests enough ask for it.
func TestAServersLimitIsUsed(t *testing.T) {
	for _, boxes := range []int{3, 10, 65, 300} {
		for _, perSecond := range []float64{0.4, 1, 5, 40} {
			g := NewWithT(t)
			x := newWorld(serverLimit(perSecond), boxes, 7)
			x.elect()
			const spanSeconds = 40.0
			for x.now.Seconds() < spanSeconds {
				x.requests(max(3*perSecond, 4)/float64(boxes), func() int { return 0 })
			}
			name := strconv.Itoa(boxes) + " boxes, " + strconv.FormatFloat(perSecond, 'f', -1, 64) + " a second"
			t.Logf("%s: %d taken of %.0f", name, len(x.spends), perSecond*spanSeconds)
			g.Expect(float64(len(x.spends))).To(BeNumerically(">", 0.8*perSecond*spanSeconds-1), name)
		}
	}
}

// Where a limit is scarce the more urgent goes first, and nobody starves.
func TestTheMoreUrgentGoesFirst(t *testing.T) {
	g := NewWithT(t)
	x := newWorld(serverLimit(3), 10, 7)
	x.elect()
	asked, served := map[int]int{}, map[int]int{}
	for x.now < 60*time.Second {
		a, s := x.requests(1.2, func() int { return x.rand.IntN(3) }) // four times the limit
		for r := range 3 {
			asked[r] += a[r]
			served[r] += s[r]
		}
	}
	t.Logf("asked %v, served %v", asked, served)
	g.Expect(served[0]).To(BeNumerically(">", 2*served[1]))
	g.Expect(served[1]).To(BeNumerically(">=", served[2]))
	g.Expect(served[2]).To(BeNumerically(">", 0.04*3*60))
	g.Expect(slices.Max([]int{served[0], served[1], served[2]})).To(Equal(served[0]))
}

// Where the more urgent alone ask for many times what there is, the others still get their turn.
func TestNoRankStarves(t *testing.T) {
	g := NewWithT(t)
	const perSecond, spanSeconds = 3.0, 60.0
	x := newWorld(serverLimit(perSecond), 10, 7)
	x.elect()
	served := map[int]int{}
	for x.now.Seconds() < spanSeconds {
		_, s := x.requests(6, func() int { // twenty times the limit, one in ten of them less urgent
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

// Two ways to keep to a server's limit at the same demand: leases from one allocator, and an equal part at each box. Both are
// within the rule; equal parts leave most of a small limit unused, since callers come to a few boxes at a time.
func TestLeasesLeaveLessUnusedThanEqualParts(t *testing.T) {
	g := NewWithT(t)
	const spanSeconds = 40.0
	taken := func(boxes int, perSecond float64, leases bool) (int, float64) {
		x := newWorld(serverLimit(perSecond), boxes, 7)
		if leases {
			x.elect()
		} else { // nobody reaches another box
			x.leader, x.unreached = -1, true
		}
		for x.now.Seconds() < spanSeconds {
			x.requests(max(3*perSecond, 4)/float64(boxes), func() int { return 0 })
		}
		worst, _, _ := x.overServerLimit([]spend{{0, perSecond}})
		return len(x.spends), worst
	}
	for _, boxes := range []int{3, 10, 65, 300} {
		for _, perSecond := range []float64{0.4, 1, 5, 40} {
			leased, worst := taken(boxes, perSecond, true)
			parts, worstOfParts := taken(boxes, perSecond, false)
			t.Logf("%d boxes, %g a second: leases take %d of %.0f, %.0f in a window; equal parts %d, %.0f", boxes, perSecond, leased, perSecond*spanSeconds, worst, parts, worstOfParts)
			g.Expect(leased).To(BeNumerically(">=", parts))
		}
	}
}

// Again and again no box reaches another for a moment, as while a leader is frozen or elected. What each box saves of its
// own part meanwhile must not be there, whole, the next time: with 10 boxes that is ten requests at once.
func TestMomentsAloneSaveNothingUp(t *testing.T) {
	for _, boxes := range []int{3, 10, 65, 300} {
		for _, perSecond := range []float64{0.4, 1, 3} {
			g := NewWithT(t)
			x := newWorld(serverLimit(perSecond), boxes, 7)
			x.elect()
			for x.now < 120*time.Second {
				x.unreached = x.now%(40*time.Second) > 38*time.Second
				asked := max(20, 4*perSecond)
				if !x.unreached && x.now > 40*time.Second { // most boxes are asked for nothing between two moments
					asked = 0
				}
				x.requests(asked/float64(boxes), func() int { return 0 })
			}
			worst, allowed, at := x.overServerLimit([]spend{{0, perSecond}})
			t.Logf("%d boxes, %g a second: %.0f in a window that ends at %v, allowed %.1f", boxes, perSecond, worst, at, allowed)
			g.Expect(worst).To(BeNumerically("<=", allowed))
		}
	}
}
