package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"leverdrum/internal/wait"
	"leverdrum/platform/standin"
)

// In addition to all other faults, servers reject requests and calls with a Retry-After, and announce only in their responses
// that they are draining. Each server's arrivals are checked by box.
const (
	// backoffReactionTime is the time that a box has to honor a backoff. maxBackoffArrivals is the number of requests that
	// may reach the server from that box between then and the end of the backoff.
	backoffReactionTime = 500 * time.Millisecond
	maxBackoffArrivals  = 2
	// drainReactionTime is the time after a response that says that the server is draining. No request that a caller sends
	// later, through the box that forwarded the response, may reach the server.
	drainReactionTime = 2 * time.Second
)

// pushback holds the backoffs and draining states that servers report.
type pushback struct {
	mu       sync.Mutex
	random   *rand.Rand
	backoffs map[string]backoff // by server ID
	draining map[string]bool
}

// backoff is a time in which a server rejects a share of its requests.
type backoff struct {
	until      time.Time
	share      float64
	retryAfter string // value of the Retry-After header
}

func newPushback(seed uint64) *pushback {
	return &pushback{random: rand.New(rand.NewPCG(seed, 13)), backoffs: map[string]backoff{}, draining: map[string]bool{}}
}

func (p *pushback) draw(n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.random.IntN(n)
}

func (p *pushback) retryAfter(server string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.backoffs[server]
	if time.Now().After(b.until) || p.random.Float64() >= b.share {
		return ""
	}
	return b.retryAfter
}

func (p *pushback) isDraining(server string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.draining[server]
}

var (
	// retryAfterValues are the values of Retry-After, invalid ones among them.
	retryAfterValues = []string{"1", "0.7", "3", "2.25", "0", "soon"}
	rejectShares     = []float64{1, 1, 0.3, 0.1}
)

// run makes one server after another request backoff; occasionally one drains and says so only in its responses.
func (p *pushback) run(ctx context.Context, h *harness) {
	for wait.For(ctx, time.Duration(200+p.draw(1300))*time.Millisecond) {
		index, retryAfter, share, duration := p.draw(serverCount), retryAfterValues[p.draw(len(retryAfterValues))], rejectShares[p.draw(len(rejectShares))], time.Duration(300+p.draw(3000))*time.Millisecond
		drain := p.draw(5) == 0
		s := h.newestServer(index)
		if s == nil {
			continue
		}
		if drain {
			h.t.Logf("%s %s says in its responses that it is draining", time.Now().Format("05.000"), s.ID)
			p.drainServer(ctx, h, index, s)
			continue
		}
		h.t.Logf("%s %s rejects a share of %.1f for %v, with Retry-After %q", time.Now().Format("05.000"), s.ID, share, duration, retryAfter)
		p.mu.Lock()
		p.backoffs[s.ID] = backoff{time.Now().Add(duration), share, retryAfter}
		p.mu.Unlock()
	}
}

// drainServer makes a server say that it is draining, then stops it and starts its successor.
func (p *pushback) drainServer(ctx context.Context, h *harness, index int, s *standin.Server) {
	p.mu.Lock()
	p.draining[s.ID] = true
	p.mu.Unlock()
	wait.For(ctx, drainReactionTime+1500*time.Millisecond)
	s.Stop()
	h.startServer(index)
}

// checkPushback checks the arrivals at each server.
func (h *harness) checkPushback() {
	h.mu.Lock()
	servers := h.servers
	h.mu.Unlock()
	backoffs, notified := 0, 0
	for _, s := range servers {
		arrivals := s.AllArrivals()
		backoffs += h.checkBackoffs(s, arrivals)
		notified += h.checkDraining(s, arrivals)
	}
	h.t.Logf("seed %d: %d backoffs and %d boxes of draining servers checked", h.seed, backoffs, notified)
}

// checkBackoffs checks the arrivals during each backoff and returns the number of backoffs checked. Orders and report queries
// do not name their box, and are checked as if they came from one box, the leader.
func (h *harness) checkBackoffs(s *standin.Server, arrivals []standin.Arrival) (checked int) {
	for i, rejected := range arrivals {
		until := rejected.ReceivedAt.Add(rejected.RetryAfter)
		if rejected.RetryAfter <= backoffReactionTime || !h.boxesUndisturbed(rejected, until) {
			continue
		}
		checked++
		n := 0
		for _, a := range arrivals[i+1:] {
			if since := a.ReceivedAt.Sub(rejected.ReceivedAt); a.Via == rejected.Via && since > backoffReactionTime && since < rejected.RetryAfter {
				n++
			}
		}
		if n > maxBackoffArrivals {
			h.addFailure("server %s requested a backoff from box %q (control %v) for %v and received %d requests during it", s.ID, rejected.Via, rejected.Control, rejected.RetryAfter, n)
		}
	}
	return checked
}

// boxesUndisturbed reports whether the box that received a rejection was not disturbed until a time. Calls of the leader may
// come from any box, so for these no box may have been disturbed.
func (h *harness) boxesUndisturbed(rejected standin.Arrival, until time.Time) bool {
	if !rejected.Control {
		return h.limits.processUndisturbed(rejected.Via, rejected.ReceivedAt, until)
	}
	for _, d := range h.boxes {
		if !h.limits.processUndisturbed(d.ip, rejected.ReceivedAt, until) {
			return false
		}
	}
	return true
}

// checkDraining checks the arrivals through each box that forwarded a response saying that the server is draining. It returns
// the number of these boxes.
func (h *harness) checkDraining(s *standin.Server, arrivals []standin.Arrival) int {
	notified := map[string]time.Time{}
	for _, a := range arrivals {
		if a.Control {
			continue
		}
		since, known := notified[a.Via]
		if known && a.SentAt.After(since.Add(drainReactionTime)) && h.limits.processUndisturbed(a.Via, since, a.ReceivedAt) {
			h.addFailure("server %s received a request through box %s that was sent %v after the response that it is draining", s.ID, a.Via, a.SentAt.Sub(since))
		}
		if a.Draining && !known {
			notified[a.Via] = a.ReceivedAt
		}
	}
	return len(notified)
}
