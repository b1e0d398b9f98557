package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"leverdrum/loadshare"
	"leverdrum/overload"
	"leverdrum/reason"
)

// lane names the requests that compete for the same servers: those for one item of a pool, in the regions
// in which they may be served.
func (j *job) lane() string {
	lane := j.poolName + " " + itemOf(j.prompt)
	if j.regions.restricted() {
		lane += fmt.Sprint(j.regions.route, j.regions.workspace)
	}
	return lane
}

// enterQueue lets the request wait; false where the box has no place for it.
func (j *job) enterQueue() bool {
	q, w, waiting := j.g.admission.queue, j.admission.waiter, j.admission.offered
	if j.admission.decision.ForGap {
		q.Leave(w)
		w, waiting = j.gapWaiter(), 0 // what waits for a gap is not short of capacity
	} else if j.admission.forGap != nil {
		q.Leave(j.admission.forGap)
	}
	if q.Displaced(w) || !q.Enter(w, time.Now()) {
		return false
	}
	j.recordWaiting(waiting)
	return true
}

// figuresInterval is the time between two decisions on a request that waits without figures.
const figuresInterval = 100 * time.Millisecond

// waitsForFigures reports whether a request that waits for capacity goes on waiting when the figures are
// no longer known, as after the loss of a hub. Those with a turn are released at the last pace: by its own figures
// each box would release all at once. The others wait until the figures return or the answer loses its use.
func (j *job) waitsForFigures() bool {
	a := &j.admission
	if a.decision.Verdict != overload.Wait || a.decision.ForGap || a.waiter == nil || !j.admissible() || !overload.Useful(time.Since(j.arrived), j.patience()) {
		return false
	}
	turn, pace := j.g.admission.queue.HasTurn(a.waiter, a.waiter.Demoted, a.waiter.Usage, time.Now())
	if turn && rand.Float64() < pace || !j.enterQueue() {
		return false
	}
	a.decision.For = figuresInterval
	return true
}

// gapWaiter returns what represents the request in the queue while it waits for a gap: a lane of its own,
// in which it neither has a turn before requests that wait for capacity nor sets their pace.
func (j *job) gapWaiter() *overload.Waiter {
	if j.admission.forGap == nil {
		w := j.admission.waiter
		j.admission.forGap = &overload.Waiter{Lane: "gap " + w.Lane, Rank: w.Rank, Since: w.Since, Bytes: w.Bytes}
	}
	return j.admission.forGap
}

// leaveQueue removes the request from the queue, wherever it waits.
func (j *job) leaveQueue() {
	j.recordWaiting(0)
	for _, w := range []*overload.Waiter{j.admission.waiter, j.admission.forGap} {
		if w != nil {
			j.g.admission.queue.Leave(w)
		}
	}
}

// waitForTurn waits until the figures change and the request has its turn, or until it is due to be
// decided on. changed is closed at the next update. It returns early if the context ends.
func (j *job) waitForTurn(ctx context.Context, changed <-chan struct{}) *reason.Reason {
	q, w := j.g.admission.queue, j.admission.waiter
	if j.admission.decision.ForGap {
		w = j.admission.forGap
	}
	due := time.Now().Add(j.admission.decision.For)
	for {
		if refusal := j.pause(ctx, overload.MinWake, nil); refusal != nil {
			return refusal
		}
		if refusal := j.pause(ctx, time.Until(due), changed); refusal != nil {
			return refusal
		}
		if ctx.Err() != nil || !time.Now().Before(due) || q.Displaced(w) {
			return nil
		}
		if turn, _ := q.HasTurn(w, w.Demoted, w.Usage, time.Now()); turn {
			return nil
		}
		changed = j.g.opts.Load.Changed()
	}
}

// pause waits for d, until changed is closed, until the context ends or until the box stops. It returns
// a refusal in the last case.
func (j *job) pause(ctx context.Context, d time.Duration, changed <-chan struct{}) *reason.Reason {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-changed:
	case <-ctx.Done():
	case <-j.g.stopping:
		return reason.Stopping
	}
	return nil
}

// streams returns the number of streams at the server that wait for their next event.
func (s *server) streams(others loadshare.Outstanding) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight - len(s.pending) + others.Running
}

// idle reports whether nothing waits at the server and under half of its slots are taken. others is
// what the other boxes have outstanding there.
func (s *server) idle(others loadshare.Outstanding) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending) == 0 && others.Prefill == 0 && 2*(s.inFlight+others.Running) < s.slots
}

const (
	// refusedTTL is how long a refused request is remembered, so that it counts as a retry when it
	// comes again. Callers that retry at once return within seconds.
	refusedTTL = 5 * time.Second
	// maxRefused is the number of refused requests that are remembered.
	maxRefused = 1024
)

// recentIDs remembers the ids of requests that this box refused lately. A retry at another box, or
// under another id, is not recognized.
type recentIDs struct {
	mu    sync.Mutex
	until map[string]time.Time
	order []string // in the order of their time
}

func newRecentIDs() *recentIDs { return &recentIDs{until: map[string]time.Time{}} }

func (r *recentIDs) add(id string, now time.Time) {
	if id == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.until[id]; !ok {
		r.order = append(r.order, id)
	}
	r.until[id] = now.Add(refusedTTL)
	for len(r.order) > maxRefused {
		delete(r.until, r.order[0])
		r.order = r.order[1:]
	}
}

func (r *recentIDs) has(id string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	until, ok := r.until[id]
	return ok && now.Before(until)
}
