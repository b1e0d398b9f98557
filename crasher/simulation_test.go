package crasher_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/crasher"
	"leverdrum/wire"
)

// simulation models boxes in front of servers as an event queue. Requests, some of them guilty, run, fail with
// their server and are retried.
type simulation struct {
	random           *rand.Rand
	now              time.Duration
	queue            eventQueue
	registry         crasher.Registry
	index            uint64
	replicationDelay time.Duration // from a termination until all boxes have applied its report

	servers []*server
	copies  [][]int // indices of servers, by model
	popular float64 // share of requests that are one of a few sent by many callers
	// callerRetries is how often callers of sound requests retry.
	callerRetries int
	// partCount is the number of prompt parts of a request without its last one; 0: requests have none.
	partCount int

	serverCrashes, innocentRequests, popularRequests, refused, refusedPopular, blockedGuilty, guilty int
	denied, provisional                                                                              int // sound requests refused for good; provisional blocks
	answered                                                                                         map[crasher.Fingerprint]bool
	guiltyCrashed                                                                                    func() // called when a guilty request terminates a server; may be nil
	// partCrashes are the times at which servers terminated, by guilty prompt part.
	partCrashes [][]time.Duration
	// partAnswers counts the answers in full, by prompt part. boxes is the number of boxes among which they are spread.
	partAnswers map[uint64]int
	boxes       int
}

type server struct {
	incarnation int
	down        bool
	running     map[*request]time.Duration // by request, when it was sent
}

type request struct {
	print           crasher.Fingerprint
	parts           []uint64 // of the prompt, without the last one
	onCrash         func()   // called when the request terminates a server; may be nil
	model           int
	guilty          bool
	popular         bool
	streamTime      time.Duration // from the first event to the last
	firstEventDelay time.Duration // from sending to the first event
	firstEventAt    time.Duration // 0 if none came
	sends           int           // sends in this attempt
	attemptsLeft    int           // further attempts of the caller
}

type scheduledEvent struct {
	at time.Duration
	do func()
}

type eventQueue []scheduledEvent

func (e eventQueue) Len() int           { return len(e) }
func (e eventQueue) Less(i, j int) bool { return e[i].at < e[j].at }
func (e eventQueue) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)        { *e = append(*e, x.(scheduledEvent)) }
func (e *eventQueue) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func (sim *simulation) schedule(delay time.Duration, do func()) {
	heap.Push(&sim.queue, scheduledEvent{sim.now + delay, do})
}

func (sim *simulation) run(until time.Duration) {
	for len(sim.queue) > 0 && sim.queue[0].at <= until {
		m := heap.Pop(&sim.queue).(scheduledEvent)
		sim.now = m.at
		m.do()
	}
}

func (sim *simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(sim.random.Int64N(int64(high-low)))
}

func newSimulation(seed uint64, servers, models, copies int, replicationDelay time.Duration) *simulation {
	sim := &simulation{callerRetries: 1, random: rand.New(rand.NewPCG(seed, 1)), registry: crasher.NewRegistry(), replicationDelay: replicationDelay, answered: map[crasher.Fingerprint]bool{}, partAnswers: map[uint64]int{}}
	for range servers {
		sim.servers = append(sim.servers, &server{running: map[*request]time.Duration{}})
	}
	for range models {
		sim.copies = append(sim.copies, sim.random.Perm(servers)[:copies])
	}
	return sim
}

// startLoad generates requests at a rate per second.
func (sim *simulation) startLoad(rate float64) {
	n := 0
	var next func()
	next = func() {
		n++
		r := &request{model: sim.random.IntN(len(sim.copies)), attemptsLeft: sim.callerRetries, print: crasher.FingerprintOf(crasher.Content{Target: fmt.Sprint(n)})}
		if sim.random.Float64() < sim.popular {
			kind := sim.random.IntN(3)
			sim.popularRequests++
			r.popular = true
			r.model, r.print = kind%len(sim.copies), crasher.FingerprintOf(crasher.Content{Target: fmt.Sprint("popular", kind)})
		}
		sim.innocentRequests++
		sim.addParts(r)
		sim.attempt(r)
		sim.schedule(time.Duration(sim.random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	sim.schedule(0, next)
}

// startGuilty starts a guilty request that is retried without end.
func (sim *simulation) startGuilty(n int) {
	sim.guilty++
	crashed := func() {
		if sim.guiltyCrashed != nil {
			sim.guiltyCrashed()
		}
	}
	sim.attempt(&request{model: n % len(sim.copies), guilty: true, attemptsLeft: 1 << 30, onCrash: crashed, print: crasher.FingerprintOf(crasher.Content{Target: fmt.Sprint("guilty", n)})})
}

func (sim *simulation) attempt(r *request) {
	r.sends = 0
	sim.send(r)
}

func (sim *simulation) send(r *request) {
	if sim.registry.Blocks(r.print, "v1") || sim.blocksPart(r) {
		sim.refuse(r)
		return
	}
	var up []*server
	for _, i := range sim.copies[r.model] {
		if !sim.servers[i].down {
			up = append(up, sim.servers[i])
		}
	}
	if len(up) == 0 {
		sim.retry(r)
		return
	}
	s := up[sim.random.IntN(len(up))]
	r.sends++
	r.firstEventAt, r.firstEventDelay, r.streamTime = 0, sim.between(30*time.Millisecond, 400*time.Millisecond), sim.between(200*time.Millisecond, 3*time.Second)
	s.running[r] = sim.now
	incarnation := s.incarnation
	sim.schedule(r.firstEventDelay, func() {
		if since, here := s.running[r]; s.incarnation != incarnation || !here || since+r.firstEventDelay != sim.now {
			return
		}
		r.firstEventAt = sim.now
		if r.guilty {
			sim.schedule(sim.between(time.Millisecond, 120*time.Millisecond), func() {
				if s.incarnation == incarnation {
					if r.onCrash != nil && !s.down {
						r.onCrash()
					}
					sim.crash(s)
				}
			})
			return
		}
		sim.schedule(r.streamTime, func() {
			if s.incarnation == incarnation && s.running[r]+r.firstEventDelay+r.streamTime == sim.now {
				delete(s.running, r)
				sim.recordServed(r)
			}
		})
	})
}

func (sim *simulation) refuse(r *request) {
	if r.guilty && !sim.denies(r) && len(r.parts) == 0 {
		sim.schedule(sim.between(5*time.Second, 6*time.Second), func() { sim.attempt(r) })
		return
	}
	if r.guilty {
		sim.blockedGuilty++
		return
	}
	sim.refused++
	if sim.denies(r) {
		sim.denied++
	}
	if r.popular {
		sim.refusedPopular++
	}
}

// denies reports whether a request is blocked definitively.
func (sim *simulation) denies(r *request) bool {
	definitive := func(key crasher.Key) bool {
		return crasher.IsDefinitive(sim.registry.Suspects[key], sim.now.Milliseconds())
	}
	return definitive(crasher.Key{Fingerprint: r.print, Version: "v1"}) || slices.ContainsFunc(r.parts, func(id uint64) bool {
		return definitive(crasher.Key{Fingerprint: crasher.PartFingerprint(simulatedService, id)})
	})
}

func (sim *simulation) recordServed(r *request) {
	sim.answered[r.print] = true
	if sim.registry.Suspected(r.print, "v1") {
		sim.clear(r.print, false)
	}
	for _, id := range r.parts {
		p := crasher.PartFingerprint(simulatedService, id)
		sim.answered[p] = true
		sim.partAnswers[id]++
		if sim.registry.Suspected(p, "") {
			sim.clear(p, false)
		}
	}
}

// simulatedService is the service of all simulated servers.
const simulatedService = "s"

func (sim *simulation) blocksPart(r *request) bool {
	return slices.ContainsFunc(r.parts, func(id uint64) bool {
		return sim.registry.Blocks(crasher.PartFingerprint(simulatedService, id), "") && !sim.boxKnows(id)
	})
}

// clear commits that a request or a prompt part was answered in full, before its evidence was known or since.
func (sim *simulation) clear(p crasher.Fingerprint, before bool) {
	sim.schedule(sim.replicationDelay, func() {
		sim.index++
		served := []*wire.ServedSuspect{{Print: p[:], Version: "v1"}, {Print: p[:], Before: before}}
		sim.registry.Apply(&wire.CrashReport{Served: served}, crasher.CommitPosition{Index: sim.index, Term: 1, UnixMs: sim.now.Milliseconds(), PromptParts: true, ProvisionalBlocks: true, SharedExposure: true})
	})
}

// crash terminates a server: its requests fail, are reported, and are retried.
func (sim *simulation) crash(s *server) {
	if s.down {
		return
	}
	sim.serverCrashes++
	s.incarnation++
	s.down = true
	report := &wire.CrashReport{}
	var interrupted []*request
	for r := range s.running {
		interrupted = append(interrupted, r)
	}
	sortByFingerprint(interrupted)
	for _, r := range interrupted {
		report.Signs = append(report.Signs, &wire.CrashSign{
			Service: simulatedService, Parts: r.parts, Print: r.print[:], Server: fmt.Sprintf("%p/%d", s, s.incarnation), Version: "v1", Weak: r.firstEventAt > 0 && sim.now-r.firstEventAt > time.Second,
			SentMs: s.running[r].Milliseconds(), EndedMs: sim.now.Milliseconds(),
		})
	}
	report.Served = sim.wellKnown(report.Signs)
	clear(s.running)
	sim.schedule(sim.replicationDelay, func() {
		sim.index++
		blocked := sim.registry.Apply(report, crasher.CommitPosition{Index: sim.index, Term: 1, UnixMs: sim.now.Milliseconds(), PromptParts: true, ProvisionalBlocks: true, SharedExposure: true})
		sim.releaseProvisional(blocked)
		for _, s := range report.Signs {
			if p, _ := crasher.ParseFingerprint(s.Print); sim.answered[p] {
				sim.clear(p, false)
			}
			for _, id := range s.Parts {
				if p := crasher.PartFingerprint(simulatedService, id); sim.answered[p] && !sim.registry.Suspects[crasher.Key{Fingerprint: p}].GetServed() {
					sim.clear(p, true)
				}
			}
		}
	})
	for _, r := range interrupted {
		if r.sends < 2 && !sim.registry.NextReportBlocks(r.print, "v1", r.sends-1) && !sim.nextReportBlocksPart(r) {
			sim.schedule(time.Millisecond, func() { sim.send(r) })
			continue
		}
		sim.retry(r)
	}
	sim.schedule(sim.between(4*time.Second, 5*time.Second), func() { s.down = false })
}

// releaseProvisional releases provisionally blocked suspects after their time, when the leader next checks.
func (sim *simulation) releaseProvisional(blocked []*wire.Suspect) {
	for _, s := range blocked {
		if !crasher.IsProvisional(s) {
			continue
		}
		sim.provisional++
		sim.schedule(crasher.TTL(s)+sim.between(0, 5*time.Second), func() {
			sim.index++
			sim.registry.Release(&wire.ReleaseSuspects{Suspects: []*wire.Suspect{s}}, crasher.CommitPosition{Index: sim.index, Term: 1, UnixMs: sim.now.Milliseconds(), PromptParts: true, ProvisionalBlocks: true, SharedExposure: true})
		})
	}
}

func (sim *simulation) nextReportBlocksPart(r *request) bool {
	return slices.ContainsFunc(r.parts, func(id uint64) bool {
		return sim.registry.NextReportBlocks(crasher.PartFingerprint(simulatedService, id), "", r.sends-1)
	})
}

func (sim *simulation) retry(r *request) {
	if r.attemptsLeft == 0 {
		return
	}
	r.attemptsLeft--
	sim.schedule(sim.between(100*time.Millisecond, time.Second), func() { sim.attempt(r) })
}

func sortByFingerprint(list []*request) {
	for i := range list {
		for j := i; j > 0 && string(list[j].print[:]) < string(list[j-1].print[:]); j-- {
			list[j], list[j-1] = list[j-1], list[j]
		}
	}
}

// TestBlockingSimulation checks how many servers terminate until guilty requests are blocked, and how many innocent
// requests are refused because of it: requests retried at the few servers with their model, some of them popular,
// and requests that fail together when a rack, a hall or all power is lost.
func TestBlockingSimulation(t *testing.T) {
	ms, sec := time.Millisecond, time.Second
	for _, c := range []struct {
		name                    string
		servers, models, copies int
		rate                    float64
		replicationDelay        time.Duration
		guilty                  int
		lostServers             int // lost at once, three times
		popular                 float64
		maxCrashes              int     // for each guilty request
		maxRefusedShare         float64 // of innocent requests
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
				sim := newSimulation(seed, c.servers, c.models, c.copies, c.replicationDelay)
				sim.popular = c.popular
				sim.startLoad(c.rate)
				for n := range c.guilty {
					sim.schedule(5*sec, func() { sim.startGuilty(n) })
				}
				lost := 0
				for n := range 3 {
					sim.schedule(time.Duration(10+7*n)*sec, func() {
						for i := range c.lostServers {
							sim.crash(sim.servers[i])
							lost++
						}
					})
				}
				sim.run(40 * sec)
				t.Logf("%d servers terminated, %d of %d guilty requests blocked; %d of %d innocent requests refused, %d of %d popular ones among them", sim.serverCrashes-lost, sim.blockedGuilty, sim.guilty, sim.refused, sim.innocentRequests, sim.refusedPopular, sim.popularRequests)
				g.Expect(sim.blockedGuilty).To(Equal(sim.guilty), "each guilty request is blocked in the end")
				g.Expect(sim.serverCrashes - lost).To(BeNumerically("<=", c.maxCrashes*c.guilty))
				g.Expect(float64(sim.refused)).To(BeNumerically("<=", c.maxRefusedShare*float64(sim.innocentRequests)))
			}
		})
	}
}
