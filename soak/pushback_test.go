package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"leverdrum/internal/wait"
	"leverdrum/platform/standin"
)

// Servers turn requests and calls away and ask for rest, and say in their answers alone that they are about to end, beside all
// other faults. What each got is judged by what it saw itself, by box.
const (
	// restTold is the time that a box has to hold to a rest, restMost what may reach the server from it between then and the
	// end of the rest.
	restTold = 500 * time.Millisecond
	restMost = 2
	// leaveTold is the time after an answer that says that the server is about to end from which nothing that a caller sends
	// through the box that passed it on may reach the server.
	leaveTold = 2 * time.Second
)

// pushback is what servers say of themselves.
type pushback struct {
	mu     sync.Mutex
	random *rand.Rand
	rests  map[string]resting // by server
	left   map[string]bool
}

// resting is a time in which a server turns a share of what comes away.
type resting struct {
	until time.Time
	share float64
	after string // its Retry-After
}

func newPushback(seed uint64) *pushback {
	return &pushback{random: rand.New(rand.NewPCG(seed, 13)), rests: map[string]resting{}, left: map[string]bool{}}
}

func (p *pushback) draw(n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.random.IntN(n)
}

func (p *pushback) turnAway(server string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.rests[server]
	if time.Now().After(r.until) || p.random.Float64() >= r.share {
		return ""
	}
	return r.after
}

func (p *pushback) leaves(server string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.left[server]
}

var (
	// afters are the rests that servers ask for, strange ones among them.
	afters = []string{"1", "0.7", "3", "2.25", "0", "soon"}
	shares = []float64{1, 1, 0.3, 0.1}
)

// run has one server after another ask for rest, and now and then one end that says so only in its answers.
func (p *pushback) run(ctx context.Context, w *world) {
	for wait.For(ctx, time.Duration(200+p.draw(1300))*time.Millisecond) {
		place, after, share, span := p.draw(servers), afters[p.draw(len(afters))], shares[p.draw(len(shares))], time.Duration(300+p.draw(3000))*time.Millisecond
		ends := p.draw(5) == 0
		s := w.liveServer(place)
		if s == nil {
			continue
		}
		if ends {
			w.t.Logf("%s %s says in its answers that it is about to end", time.Now().Format("05.000"), s.ID)
			p.leave(ctx, w, place, s)
			continue
		}
		w.t.Logf("%s %s turns %.1f of all away for %v, with Retry-After %q", time.Now().Format("05.000"), s.ID, share, span, after)
		p.mu.Lock()
		p.rests[s.ID] = resting{time.Now().Add(span), share, after}
		p.mu.Unlock()
	}
}

// leave has a server say that it is about to end, and end.
func (p *pushback) leave(ctx context.Context, w *world, place int, s *standin.Server) {
	p.mu.Lock()
	p.left[s.ID] = true
	p.mu.Unlock()
	wait.For(ctx, leaveTold+1500*time.Millisecond)
	s.Stop()
	w.startServer(place)
}

// checkPushback judges each server by what it saw.
func (w *world) checkPushback() {
	w.mu.Lock()
	servers := w.servers
	w.mu.Unlock()
	rests, lefts := 0, 0
	for _, s := range servers {
		arrived := s.AllArrivals()
		rests += w.checkRests(s, arrived)
		lefts += w.checkLeft(s, arrived)
	}
	w.t.Logf("seed %d: %d rests and %d boxes of servers that were about to end judged", w.seed, rests, lefts)
}

// checkRests returns how many rests it judged. Orders and the reading of reports, which do not tell their box, are judged as
// those of one: the leader's.
func (w *world) checkRests(s *standin.Server, arrived []standin.Arrival) (judged int) {
	for i, asked := range arrived {
		until := asked.ReceivedAt.Add(asked.RetryAfter)
		if asked.RetryAfter <= restTold || !w.undisturbed(asked, until) {
			continue
		}
		judged++
		n := 0
		for _, a := range arrived[i+1:] {
			if since := a.ReceivedAt.Sub(asked.ReceivedAt); a.Via == asked.Via && since > restTold && since < asked.RetryAfter {
				n++
			}
		}
		if n > restMost {
			w.find("server %s asked box %q (control %v) for %v of rest and got %d requests in it", s.ID, asked.Via, asked.Control, asked.RetryAfter, n)
		}
	}
	return judged
}

// undisturbed reports whether the box that an answer went to was left alone until a time; for calls of the leader, which
// may be any, whether all were.
func (w *world) undisturbed(asked standin.Arrival, until time.Time) bool {
	if !asked.Control {
		return w.limits.undisturbed(asked.Via, asked.ReceivedAt, until)
	}
	for _, d := range w.boxes {
		if !w.limits.undisturbed(d.ip, asked.ReceivedAt, until) {
			return false
		}
	}
	return true
}

// checkLeft returns how many boxes it judged that were told that the server is about to end.
func (w *world) checkLeft(s *standin.Server, arrived []standin.Arrival) int {
	told := map[string]time.Time{}
	for _, a := range arrived {
		if a.Control {
			continue
		}
		since, known := told[a.Via]
		if known && a.SentAt.After(since.Add(leaveTold)) && w.limits.undisturbed(a.Via, since, a.ReceivedAt) {
			w.find("server %s got a request of box %s that was sent %v after its answer that it is about to end", s.ID, a.Via, a.SentAt.Sub(since))
		}
		if a.Draining && !known {
			told[a.Via] = a.ReceivedAt
		}
	}
	return len(told)
}
