package crasher_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/crasher"
	"leverdrum/wire"
)

// fleet is a model of boxes before servers, driven by a queue of events: requests, among them guilty
// ones, run, break with their server and come again.
type fleet struct {
	random *rand.Rand
	now    time.Duration
	queue  events
	book   crasher.Registry
	index  uint64
	known  time.Duration // from an end until all boxes know what is agreed of it

	servers []*server
	copies  [][]int // servers, by model
	popular float64 // share of requests that are one of a few that many callers send

	ended, innocents, populars, refused, refusedPopular, held, guilty int
	answered                                                          map[crasher.Fingerprint]bool
}

type server struct {
	life int
	down bool
	at   map[*request]time.Duration // since when
}

type request struct {
	print   crasher.Fingerprint
	model   int
	guilty  bool
	popular bool
	takes   time.Duration // from its first event to its last
	first   time.Duration // from its sending to its first event
	begun   time.Duration // when the first event came; 0: none has
	runs    int           // in this attempt
	again   int           // attempts left
}

type moment struct {
	at time.Duration
	do func()
}

type events []moment

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(moment)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func (f *fleet) after(d time.Duration, do func()) { heap.Push(&f.queue, moment{f.now + d, do}) }

func (f *fleet) run(until time.Duration) {
	for len(f.queue) > 0 && f.queue[0].at <= until {
		m := heap.Pop(&f.queue).(moment)
		f.now = m.at
		m.do()
	}
}

func (f *fleet) between(least, most time.Duration) time.Duration {
	return least + time.Duration(f.random.Int64N(int64(most-least)))
}

func newFleet(seed uint64, servers, models, copies int, known time.Duration) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), book: crasher.NewRegistry(), known: known, answered: map[crasher.Fingerprint]bool{}}
	for range servers {
		f.servers = append(f.servers, &server{at: map[*request]time.Duration{}})
	}
	for range models {
		f.copies = append(f.copies, f.random.Perm(servers)[:copies])
	}
	return f
}

// ask draws requests of a rate a second.
func (f *fleet) ask(rate float64) {
	n := 0
	var next func()
	next = func() {
		n++
		r := &request{model: f.random.IntN(len(f.copies)), again: 1, print: crasher.FingerprintOf(crasher.Content{Target: fmt.Sprint(n)})}
		if f.random.Float64() < f.popular {
			kind := f.random.IntN(3)
			f.populars++
			r.popular = true
			r.model, r.print = kind%len(f.copies), crasher.FingerprintOf(crasher.Content{Target: fmt.Sprint("popular", kind)})
		}
		f.innocents++
		f.attempt(r)
		f.after(time.Duration(f.random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	f.after(0, next)
}

// threaten has a guilty request come again and again.
func (f *fleet) threaten(n int) {
	f.guilty++
	f.attempt(&request{model: n % len(f.copies), guilty: true, again: 1 << 30, print: crasher.FingerprintOf(crasher.Content{Target: fmt.Sprint("guilty", n)})})
}

func (f *fleet) attempt(r *request) {
	r.runs = 0
	f.send(r)
}

func (f *fleet) send(r *request) {
	if f.book.Blocks(r.print, "v1") {
		f.refuse(r)
		return
	}
	var up []*server
	for _, i := range f.copies[r.model] {
		if !f.servers[i].down {
			up = append(up, f.servers[i])
		}
	}
	if len(up) == 0 {
		f.retry(r)
		return
	}
	s := up[f.random.IntN(len(up))]
	r.runs++
	r.begun, r.first, r.takes = 0, f.between(30*time.Millisecond, 400*time.Millisecond), f.between(200*time.Millisecond, 3*time.Second)
	s.at[r] = f.now
	life := s.life
	f.after(r.first, func() {
		if since, here := s.at[r]; s.life != life || !here || since+r.first != f.now {
			return
		}
		r.begun = f.now
		if r.guilty {
			f.after(f.between(time.Millisecond, 120*time.Millisecond), func() {
				if s.life == life {
					f.end(s)
				}
			})
			return
		}
		f.after(r.takes, func() {
			if s.life == life && s.at[r]+r.first+r.takes == f.now {
				delete(s.at, r)
				f.served(r)
			}
		})
	})
}

func (f *fleet) refuse(r *request) {
	if r.guilty {
		f.held++
		return
	}
	f.refused++
	if r.popular {
		f.refusedPopular++
	}
}

func (f *fleet) served(r *request) {
	f.answered[r.print] = true
	if f.book.Suspected(r.print, "v1") {
		f.clear(r.print)
	}
}

// clear has it agreed that a request was answered in full.
func (f *fleet) clear(p crasher.Fingerprint) {
	f.after(f.known, func() {
		f.index++
		f.book.Apply(&wire.CrashReport{Served: []*wire.ServedSuspect{{Print: p[:], Version: "v1"}}}, crasher.CommitPosition{Index: f.index, Term: 1})
	})
}

// end ends a server: what is there breaks, is told, and is sent again.
func (f *fleet) end(s *server) {
	if s.down {
		return
	}
	f.ended++
	s.life++
	s.down = true
	report := &wire.CrashReport{}
	var broken []*request
	for r := range s.at {
		broken = append(broken, r)
	}
	sortByPrint(broken)
	for _, r := range broken {
		report.Signs = append(report.Signs, &wire.CrashSign{
			Print: r.print[:], Server: fmt.Sprintf("%p/%d", s, s.life), Version: "v1", Weak: r.begun > 0 && f.now-r.begun > time.Second,
			SentMs: s.at[r].Milliseconds(), EndedMs: f.now.Milliseconds(),
		})
	}
	clear(s.at)
	f.after(f.known, func() {
		f.index++
		f.book.Apply(report, crasher.CommitPosition{Index: f.index, Term: 1})
		for _, s := range report.Signs {
			if p, _ := crasher.ParseFingerprint(s.Print); f.answered[p] {
				f.clear(p)
			}
		}
	})
	for _, r := range broken {
		if r.runs < 2 && !f.book.NextReportBlocks(r.print, "v1", r.runs-1) {
			f.after(time.Millisecond, func() { f.send(r) })
			continue
		}
		f.retry(r)
	}
	f.after(f.between(4*time.Second, 5*time.Second), func() { s.down = false })
}

func (f *fleet) retry(r *request) {
	if r.again == 0 {
		return
	}
	r.again--
	f.after(f.between(100*time.Millisecond, time.Second), func() { f.attempt(r) })
}

func sortByPrint(list []*request) {
	for i := range list {
		for j := i; j > 0 && string(list[j].print[:]) < string(list[j-1].print[:]); j-- {
			list[j], list[j-1] = list[j-1], list[j]
		}
	}
}

// TestShares measures how many servers end until guilty requests are held, and how many innocent ones are refused for
// it: those sent again to the few servers with their model, some of them popular, and those that a rack, a
// hall or all power took down with them.
func TestShares(t *testing.T) {
	ms, sec := time.Millisecond, time.Second
	for _, c := range []struct {
		name                    string
		servers, models, copies int
		rate                    float64
		known                   time.Duration
		guilty                  int
		loss                    int // servers lost at once, three times
		popular                 float64
		ends                    int     // of servers, for each guilty request at most
		share                   float64 // of innocent requests refused, at most
	}{
		{"one, 18 servers, 10 boxes", 18, 39, 2, 66, 50 * ms, 1, 0, 0.1, 4, 0.001},
		{"ten at once, 18 servers, 10 boxes", 18, 39, 2, 66, 50 * ms, 10, 0, 0.1, 4, 0.01},
		{"two, a service of 4", 4, 1, 4, 16, 50 * ms, 2, 0, 0.5, 4, 0.01},
		{"ten at once, 240 servers, 300 boxes", 240, 399, 2, 900, 500 * ms, 10, 0, 0.1, 5, 0.003},
		{"none, a third of the servers lost three times", 18, 39, 2, 66, 50 * ms, 0, 6, 0.1, 0, 0},
		{"none, all power lost three times", 18, 39, 2, 66, 50 * ms, 0, 18, 0.5, 0, 0.001},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			for seed := range uint64(5) {
				f := newFleet(seed, c.servers, c.models, c.copies, c.known)
				f.popular = c.popular
				f.ask(c.rate)
				for n := range c.guilty {
					f.after(5*sec, func() { f.threaten(n) })
				}
				lost := 0
				for n := range 3 {
					f.after(time.Duration(10+7*n)*sec, func() {
						for i := range c.loss {
							f.end(f.servers[i])
							lost++
						}
					})
				}
				f.run(40 * sec)
				t.Logf("%d servers ended, %d of %d guilty requests held; %d of %d innocent requests refused, %d of %d popular ones among them", f.ended-lost, f.held, f.guilty, f.refused, f.innocents, f.refusedPopular, f.populars)
				g.Expect(f.held).To(Equal(f.guilty), "each is refused in the end")
				g.Expect(f.ended - lost).To(BeNumerically("<=", c.ends*c.guilty))
				g.Expect(float64(f.refused)).To(BeNumerically("<=", c.share*float64(f.innocents)))
			}
		})
	}
}
