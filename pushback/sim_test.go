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

// A model of boxes before servers that turn requests away and ask for rest, in simulated time.

const (
	// told is the time that a box has to hold to a rest, mostInRest what may reach the server from it between then and the
	// end of the rest: what the users' rule allows.
	told       = 500 * time.Millisecond
	mostInRest = 2
	// way is the time from a box to a server, and back.
	way = time.Millisecond
	// dials is the longest time in which a connection is opened, before which a request does not leave.
	dials = 400 * time.Millisecond
	// serves is how long a server takes to begin an answer.
	serves = 50 * time.Millisecond
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

// shedding is a time in which a server turns a share of all requests away.
type shedding struct {
	from, to, rest time.Duration
	share          float64
}

type simServer struct {
	name  string
	sheds []shedding
	// asked are the rests that it asked each box for, arrived when requests of each box came.
	asked   map[int][]shedding
	arrived map[int][]time.Duration
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
	// heeds tells that boxes ask before they send.
	heeds                   bool
	served, refused, offers int
	longest                 time.Duration // that a refusal named
}

func newSim(seed uint64, boxes, servers int) *sim {
	s := &sim{random: rand.New(rand.NewPCG(seed, 1)), now: time.Hour, heeds: true}
	for i := range boxes {
		b := &simBox{id: i}
		b.Registry = New(Options{Now: func() time.Duration { return s.now }, Boxes: func() int { return boxes }, Random: s.random.Float64, Log: zap.NewNop()})
		s.boxes = append(s.boxes, b)
	}
	for i := range servers {
		s.servers = append(s.servers, &simServer{name: fmt.Sprint("s", i), asked: map[int][]shedding{}, arrived: map[int][]time.Duration{}})
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

// offer has requests come to all boxes together, so many a second.
func (s *sim) offer(perSecond float64, until time.Duration) {
	s.after(time.Duration(s.random.ExpFloat64()/perSecond*float64(time.Second)), func() {
		if s.now > until {
			return
		}
		s.offers++
		s.send(s.boxes[s.random.IntN(len(s.boxes))], s.random.IntN(4), 3)
		s.offer(perSecond, until)
	})
}

// send makes an attempt of a request, of which so many are left.
func (s *sim) send(b *simBox, rank, left int) {
	var open []*simServer
	first := time.Duration(-1)
	for _, v := range s.servers {
		block, blocked := b.Blocked(v.name, rank)
		if !blocked || !s.heeds {
			open = append(open, v)
		} else if first < 0 || block.RetryAfter < first {
			first = block.RetryAfter
		}
	}
	if len(open) == 0 || left == 0 { // at once
		s.refused++
		s.longest = max(s.longest, first)
		return
	}
	v := open[s.random.IntN(len(open))]
	permit, block := b.Acquire(context.Background(), v.name, rank)
	if block != nil && s.heeds {
		s.send(b, rank, left)
		return
	}
	dial := time.Duration(0)
	if s.random.IntN(10) == 0 {
		dial = time.Duration(s.random.Int64N(int64(dials)))
	}
	s.after(dial, func() {
		if s.heeds && !b.Sendable(v.name) {
			permit.Release()
			s.send(b, rank, left)
			return
		}
		s.after(way, func() { s.arrive(b, v, rank, left) })
	})
}

func (s *sim) arrive(b *simBox, v *simServer, rank, left int) {
	v.arrived[b.id] = append(v.arrived[b.id], s.now)
	for _, shed := range v.sheds {
		if s.now >= shed.from && s.now < shed.to && s.random.Float64() < shed.share {
			v.asked[b.id] = append(v.asked[b.id], shedding{from: s.now, to: s.now + shed.rest})
			s.after(way, func() {
				b.Observe(v.name, "r", dialect.Report{Rest: shed.rest})
				s.send(b, rank, left-1)
			})
			return
		}
	}
	s.after(serves+way, func() {
		b.Observe(v.name, "r", dialect.Report{})
		s.served++
	})
}

// mostInOneRest is the most requests that reached a server from a box within a rest.
func (s *sim) mostInOneRest() (most int) {
	for _, v := range s.servers {
		for box, rests := range v.asked {
			for _, rest := range rests {
				n := 0
				for _, at := range v.arrived[box] {
					if at > rest.from+told && at < rest.to {
						n++
					}
				}
				most = max(most, n)
			}
		}
	}
	return most
}

// In no history do more requests of a box reach a server within a rest than the rule allows; all servers get work again
// after their last one; and what no server takes is refused with a time that is no longer than the rests.
func TestNoHistoryBreaksARest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		boxes := rapid.SampledFrom([]int{1, 3, 10, 65}).Draw(t, "boxes")
		s := newSim(rapid.Uint64().Draw(t, "seed"), boxes, rapid.IntRange(1, 4).Draw(t, "servers"))
		start := s.now
		longest := time.Duration(0)
		for _, v := range s.servers {
			for range rapid.IntRange(0, 3).Draw(t, "sheds") {
				from := start + time.Duration(rapid.IntRange(0, 12000).Draw(t, "from"))*time.Millisecond
				shed := shedding{
					from: from, to: from + time.Duration(rapid.IntRange(100, 8000).Draw(t, "for"))*time.Millisecond,
					rest: time.Duration(rapid.IntRange(50, 6000).Draw(t, "rest")) * time.Millisecond, share: rapid.SampledFrom([]float64{1, 0.33, 0.1}).Draw(t, "share"),
				}
				v.sheds = append(v.sheds, shed)
				longest = max(longest, shed.rest)
			}
		}
		end := start + 40*time.Second
		s.offer(20+10*float64(boxes), end)
		s.run(end + 5*time.Second)
		g.Expect(s.mostInOneRest()).To(BeNumerically("<=", mostInRest))
		g.Expect(s.longest).To(BeNumerically("<=", longest+maxSpread+maxRankSteps*rankStep+probeEvery))
		for _, v := range s.servers {
			late := 0
			for _, list := range v.arrived {
				for _, at := range list {
					if at > start+30*time.Second {
						late++
					}
				}
			}
			g.Expect(late).To(BeNumerically(">", 0), "%s lies idle", v.name)
		}
	})
}

// The rule is not kept by chance: boxes that do not ask break it.
func TestBoxesThatDoNotAskBreakRests(t *testing.T) {
	s := newSim(1, 3, 2)
	s.heeds = false
	s.servers[0].sheds = []shedding{{from: s.now + time.Second, to: s.now + 5*time.Second, rest: 3 * time.Second, share: 1}}
	end := s.now + 10*time.Second
	s.offer(60, end)
	s.run(end)
	NewWithT(t).Expect(s.mostInOneRest()).To(BeNumerically(">", mostInRest))
}

// A rest that ends for all boxes in the same instant brings no peak: in each tenth of a second after it no more requests reach
// the server than in a usual one, beyond what chance gives.
func TestTheEndOfARestIsNoStartSignal(t *testing.T) {
	for _, boxes := range []int{10, 65, 300} {
		g := NewWithT(t)
		s := newSim(7, boxes, 2)
		start := s.now
		const rest = 3 * time.Second
		for _, b := range s.boxes {
			b.Observe("s0", "r", dialect.Report{Rest: rest})
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
		for i := range int((rest + 3*time.Second) / slice) {
			peak = max(peak, counts[i])
			if counts[i] > 0 && first < 0 {
				first = i
			}
			if float64(counts[i]) >= usual/2 && reached < 0 {
				reached = i
			}
		}
		t.Logf("%d boxes: usual %.0f a tenth of a second, most %d in the 3 s after the rest; first after %v, half of the usual after %v",
			boxes, usual, peak, time.Duration(first)*slice-rest, time.Duration(reached)*slice-rest)
		g.Expect(float64(peak)).To(BeNumerically("<=", 1.5*usual+8))
		g.Expect(time.Duration(first) * slice).To(BeNumerically("<=", rest+time.Second))
		g.Expect(time.Duration(reached) * slice).To(BeNumerically("<=", rest+2*time.Second))
		g.Expect(s.refused).To(BeZero(), "the other server has room")
	}
}

// Where all servers rest, requests are refused at once.
func TestWhenAllRestRequestsAreRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(10)
	for _, server := range []string{"a", "b"} {
		w.turnedAway(server, "2")
	}
	for _, server := range []string{"a", "b"} {
		_, block := w.Acquire(context.Background(), server, 0)
		g.Expect(block).NotTo(BeNil())
		g.Expect(block.Reason).To(Equal(reason.ServersResting))
		g.Expect(block.RetryAfter).To(BeNumerically("<=", 2*time.Second+10*spreadPerBox))
	}
}
