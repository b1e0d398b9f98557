package pushback

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"leverdrum/dialect"
	"leverdrum/reason"
)

// A simulation of boxes whose servers reject requests and ask for a backoff, in simulated time.

const (
	// reactionTime is the time within which a box must start to honor a backoff. At most maxInBackoff of its requests
	// may reach the server between then and the end of the backoff. Both are the bounds of the rules.
	reactionTime = 500 * time.Millisecond
	maxInBackoff = 2
	// networkDelay is the time from a box to a server, and back.
	networkDelay = time.Millisecond
	// maxDialTime is the longest time to open a connection, before which a request is not sent.
	maxDialTime = 400 * time.Millisecond
	// serviceTime is the time that a server takes to start a response.
	serviceTime = 50 * time.Millisecond
)

type simEvent struct {
	at time.Duration
	do func()
}

type simQueue []simEvent

func (q simQueue) Len() int           { return len(q) }
func (q simQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q simQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)        { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// shedding is a period in which a server rejects a share of all requests.
type shedding struct {
	from, to, backoff time.Duration
	share             float64
}

type simServer struct {
	name      string
	sheddings []shedding
	// backoffs holds the backoffs that it asked of each box, arrived the arrival times of each box's requests.
	backoffs map[int][]shedding
	arrived  map[int][]time.Duration
}

type simBox struct {
	id int
	*Registry
}

type sim struct {
	random  *rand.Rand
	now     time.Duration
	queue   simQueue
	boxes   []*simBox
	servers []*simServer
	// honorsBackoff means that boxes check for a backoff before they send.
	honorsBackoff            bool
	served, refused, offered int
	longestRetryAfter        time.Duration // of all refusals
}

func newSim(seed uint64, boxes, servers int) *sim {
	s := &sim{random: rand.New(rand.NewPCG(seed, 1)), now: time.Hour, honorsBackoff: true}
	for i := range boxes {
		b := &simBox{id: i}
		b.Registry = New(Options{Now: func() time.Duration { return s.now }, Boxes: func() int { return boxes }, Random: s.random.Float64, Log: zap.NewNop()})
		s.boxes = append(s.boxes, b)
	}
	for i := range servers {
		s.servers = append(s.servers, &simServer{name: fmt.Sprint("s", i), backoffs: map[int][]shedding{}, arrived: map[int][]time.Duration{}})
	}
	return s
}

func (s *sim) after(d time.Duration, do func()) { heap.Push(&s.queue, simEvent{s.now + d, do}) }

func (s *sim) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.do()
	}
}

// offer generates requests to all boxes together, at a rate per second.
func (s *sim) offer(perSecond float64, until time.Duration) {
	s.after(time.Duration(s.random.ExpFloat64()/perSecond*float64(time.Second)), func() {
		if s.now > until {
			return
		}
		s.offered++
		s.send(s.boxes[s.random.IntN(len(s.boxes))], s.random.IntN(4), 3)
		s.offer(perSecond, until)
	})
}

// send makes an attempt of a request that has the given number of attempts left.
func (s *sim) send(b *simBox, rank, left int) {
	var open []*simServer
	first := time.Duration(-1)
	for _, v := range s.servers {
		block, blocked := b.Blocked(v.name, rank)
		if !blocked || !s.honorsBackoff {
			open = append(open, v)
		} else if first < 0 || block.RetryAfter < first {
			first = block.RetryAfter
		}
	}
	if len(open) == 0 || left == 0 { // refused immediately
		s.refused++
		s.longestRetryAfter = max(s.longestRetryAfter, first)
		return
	}
	v := open[s.random.IntN(len(open))]
	permit, block := b.Acquire(context.Background(), v.name, rank)
	if block != nil && s.honorsBackoff {
		s.send(b, rank, left)
		return
	}
	dial := time.Duration(0)
	if s.random.IntN(10) == 0 {
		dial = time.Duration(s.random.Int64N(int64(maxDialTime)))
	}
	s.after(dial, func() {
		if s.honorsBackoff && !b.Sendable(v.name) {
			permit.Release()
			s.send(b, rank, left)
			return
		}
		s.after(networkDelay, func() { s.arrive(b, v, rank, left) })
	})
}

func (s *sim) arrive(b *simBox, v *simServer, rank, left int) {
	v.arrived[b.id] = append(v.arrived[b.id], s.now)
	for _, shed := range v.sheddings {
		if s.now >= shed.from && s.now < shed.to && s.random.Float64() < shed.share {
			v.backoffs[b.id] = append(v.backoffs[b.id], shedding{from: s.now, to: s.now + shed.backoff})
			s.after(networkDelay, func() {
				b.Observe(v.name, "r", dialect.Report{Backoff: shed.backoff})
				s.send(b, rank, left-1)
			})
			return
		}
	}
	s.after(serviceTime+networkDelay, func() {
		b.Observe(v.name, "r", dialect.Report{})
		s.served++
	})
}

// maxRequestsInBackoff returns the highest number of requests from one box that reached a server within a backoff.
func (s *sim) maxRequestsInBackoff() (most int) {
	for _, v := range s.servers {
		for box, backoffs := range v.backoffs {
			for _, backoff := range backoffs {
				n := 0
				for _, at := range v.arrived[box] {
					if at > backoff.from+reactionTime && at < backoff.to {
						n++
					}
				}
				most = max(most, n)
			}
		}
	}
	return most
}

// Random load and rejections: no more requests of a box reach a server within a backoff than the rules allow, all
// servers get requests again after their last backoff, and a request that no server accepts is refused with a retry
// time bounded by the longest backoff plus the delays after it.
func TestBackoffHoldsUnderRandomLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		boxes := rapid.SampledFrom([]int{1, 3, 10, 65}).Draw(t, "boxes")
		s := newSim(rapid.Uint64().Draw(t, "seed"), boxes, rapid.IntRange(1, 4).Draw(t, "servers"))
		start := s.now
		longest := time.Duration(0)
		for _, v := range s.servers {
			for range rapid.IntRange(0, 3).Draw(t, "sheddings") {
				from := start + time.Duration(rapid.IntRange(0, 12000).Draw(t, "from"))*time.Millisecond
				shed := shedding{
					from: from, to: from + time.Duration(rapid.IntRange(100, 8000).Draw(t, "for"))*time.Millisecond,
					backoff: time.Duration(rapid.IntRange(50, 6000).Draw(t, "backoff")) * time.Millisecond, share: rapid.SampledFrom([]float64{1, 0.33, 0.1}).Draw(t, "share"),
				}
				v.sheddings = append(v.sheddings, shed)
				longest = max(longest, shed.backoff)
			}
		}
		end := start + 40*time.Second
		s.offer(20+10*float64(boxes), end)
		s.run(end + 5*time.Second)
		g.Expect(s.maxRequestsInBackoff()).To(BeNumerically("<=", maxInBackoff))
		g.Expect(s.longestRetryAfter).To(BeNumerically("<=", longest+maxSpread+maxRankSteps*rankStep+probeInterval))
		for _, v := range s.servers {
			late := 0
			for _, list := range v.arrived {
				for _, at := range list {
					if at > start+30*time.Second {
						late++
					}
				}
			}
			g.Expect(late).To(BeNumerically(">", 0), "%s gets no requests", v.name)
		}
	})
}

// Boxes that ignore backoffs exceed the bound, so the bound is not met by chance.
func TestIgnoredBackoffExceedsBound(t *testing.T) {
	s := newSim(1, 3, 2)
	s.honorsBackoff = false
	s.servers[0].sheddings = []shedding{{from: s.now + time.Second, to: s.now + 5*time.Second, backoff: 3 * time.Second, share: 1}}
	end := s.now + 10*time.Second
	s.offer(60, end)
	s.run(end)
	NewWithT(t).Expect(s.maxRequestsInBackoff()).To(BeNumerically(">", maxInBackoff))
}

// A backoff that ends for all boxes simultaneously causes no peak: in each tenth of a second after it the server gets
// no more requests than usual, apart from random variation.
func TestNoRequestPeakAfterBackoff(t *testing.T) {
	for _, boxes := range []int{10, 65, 300} {
		g := NewWithT(t)
		s := newSim(7, boxes, 2)
		start := s.now
		const backoff = 3 * time.Second
		for _, b := range s.boxes {
			b.Observe("s0", "r", dialect.Report{Backoff: backoff})
		}
		perSecond := 10 * float64(boxes)
		s.offer(perSecond, start+20*time.Second)
		s.run(start + 21*time.Second)
		const slice = 100 * time.Millisecond
		counts := map[int]int{}
		for _, list := range s.servers[0].arrived {
			for _, at := range list {
				counts[int((at-start)/slice)]++
			}
		}
		usual := perSecond / 2 * slice.Seconds()
		peak, first, reached := 0, -1, -1
		for i := range int((backoff + 3*time.Second) / slice) {
			peak = max(peak, counts[i])
			if counts[i] > 0 && first < 0 {
				first = i
			}
			if float64(counts[i]) >= usual/2 && reached < 0 {
				reached = i
			}
		}
		t.Logf("%d boxes: usually %.0f per tenth of a second, at most %d in the 3 s after the backoff; first after %v, half the usual rate after %v",
			boxes, usual, peak, time.Duration(first)*slice-backoff, time.Duration(reached)*slice-backoff)
		g.Expect(float64(peak)).To(BeNumerically("<=", 1.5*usual+8))
		g.Expect(time.Duration(first) * slice).To(BeNumerically("<=", backoff+time.Second))
		g.Expect(time.Duration(reached) * slice).To(BeNumerically("<=", backoff+2*time.Second))
		g.Expect(s.refused).To(BeZero(), "the other server has capacity")
	}
}

// When all servers are in backoff, requests are refused immediately.
func TestAllServersInBackoffRefuseImmediately(t *testing.T) {
	g := NewWithT(t)
	w := newFixture(10)
	for _, server := range []string{"a", "b"} {
		w.reject(server, "2")
	}
	for _, server := range []string{"a", "b"} {
		_, block := w.Acquire(context.Background(), server, 0)
		g.Expect(block).NotTo(BeNil())
		g.Expect(block.Reason).To(Equal(reason.ServersInBackoff))
		g.Expect(block.RetryAfter).To(BeNumerically("<=", 2*time.Second+10*spreadPerBox))
	}
}
