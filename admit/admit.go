// Package admit decides which requests start, wait, or are refused at once.
//
// Rules:
//
//  1. A request starts when a backend server that it may go to has room and no
//     waiting request that could use that room goes before it.
//  2. Of those waiting for the same room the one of the highest class priority
//     goes first; of equal ones the one whose caller has the fewest requests in
//     flight here; of equal ones the one that has waited longest.
//  3. A request is refused at once when it cannot be answered in time: when the
//     work before it and its own, at the times seen lately, end behind its
//     deadline, or the first event of its stream would come too late. While it
//     waits the same holds of its own work.
//  4. A caller may take at most half of the waiting room while others wait too.
//  5. What is given up is answered at once. Nothing is held back.
package admit

import (
	"cmp"
	"context"
	"sync"
	"time"

	"leverdrum/reason"
	"leverdrum/route"
)

// waitingRoom bounds the requests that wait in one box.
const waitingRoom = 1024

// weightOfNew is the share of a new answer's time in the mean of a target.
const weightOfNew = 0.1

// Request is one request that wants to start.
type Request struct {
	Target *route.Target
	Caller string
	// Urgency goes before the priority of the class, 0 the highest.
	Urgency  int
	Deadline time.Time
	// FirstEventDeadline is when the first event of a stream is due; zero for none.
	FirstEventDeadline time.Time
	route.Criteria

	since   time.Time
	began   time.Time
	started chan *route.Backend
}

// StartedAt returns when the ticket's newest start was.
func (t *Request) StartedAt() time.Time { return t.began }

// Controller admits the requests of one box.
type Controller struct {
	directory *route.Directory

	mu      sync.Mutex
	waiting []*Request
	callers map[string]int       // in flight
	queued  map[string]int       // waiting, by caller
	took    map[string]*estimate // by target
	first   map[string]*estimate // time to a stream's first event, by target
}

// estimate is how long answers of a target took lately.
type estimate struct{ mean, deviation time.Duration }

// likely is a time that most answers keep to.
func (e *estimate) likely() time.Duration {
	if e == nil {
		return 0
	}
	return e.mean + max(2*e.deviation, e.mean/10)
}

func (e *estimate) learn(took time.Duration) {
	off := took - e.mean
	e.mean += time.Duration(weightOfNew * float64(off))
	e.deviation += time.Duration(weightOfNew * float64(off.Abs()-e.deviation))
}

// NewController returns a gate before the backends of a directory.
func NewController(d *route.Directory) *Controller {
	return &Controller{directory: d, callers: map[string]int{}, queued: map[string]int{}, took: map[string]*estimate{}, first: map[string]*estimate{}}
}

// Acquire waits until the ticket may start and returns its backend, counted in,
// or the reason why it is refused.
func (g *Controller) Acquire(ctx context.Context, t *Request) (*route.Backend, *reason.Reason) {
	now := time.Now()
	g.mu.Lock()
	b, why := g.offer(now, t)
	g.mu.Unlock()
	if b != nil || why != nil {
		return b, why
	}
	return g.wait(ctx, t)
}

// offer starts the ticket, queues it, or refuses it.
func (g *Controller) offer(now time.Time, t *Request) (*route.Backend, *reason.Reason) {
	b, busy := g.directory.Choose(t.Target, now, t.Criteria)
	if b != nil && !g.goesBefore(b, t) { // (1)
		g.start(b, t)
		return b, nil
	}
	if b == nil && !busy {
		return nil, reason.NoServer
	}
	if now.Add(g.expectedWait(t)).After(g.latest(t)) { // (3)
		return nil, reason.Overloaded
	}
	if len(g.waiting) >= waitingRoom {
		return nil, reason.Overloaded
	}
	if g.queued[t.Caller] >= waitingRoom/2 && len(g.queued) > 1 { // (4)
		return nil, reason.OverShare
	}
	t.since, t.started = now, make(chan *route.Backend, 1)
	g.waiting = append(g.waiting, t)
	g.queued[t.Caller]++
	return nil, nil
}

// latest returns when the ticket must start at the latest (3).
func (g *Controller) latest(t *Request) time.Time {
	latest := t.Deadline.Add(-g.took[t.Target.Name].likely())
	if t.FirstEventDeadline.IsZero() {
		return latest
	}
	if first := t.FirstEventDeadline.Add(-g.first[t.Target.Name].likely()); first.Before(latest) {
		return first
	}
	return latest
}

// goesBefore reports whether somebody waits who could use the backend's room
// and goes before the ticket.
func (g *Controller) goesBefore(b *route.Backend, t *Request) bool {
	for _, w := range g.waiting {
		if w.mayUse(b) && !g.less(t, w) {
			return true
		}
	}
	return false
}

func (t *Request) mayUse(b *route.Backend) bool {
	for _, x := range t.Target.Backends {
		if x == b {
			return true
		}
	}
	return false
}

// compareUrgency is below zero where a is the more urgent: by its workspace, then by its class.
func compareUrgency(a, b *Request) int {
	return cmp.Or(cmp.Compare(a.Urgency, b.Urgency), cmp.Compare(b.Target.Class.Priority, a.Target.Class.Priority))
}

// less is rule 2: whether a goes before b.
func (g *Controller) less(a, b *Request) bool {
	if c := compareUrgency(a, b); c != 0 {
		return c < 0
	}
	if ca, cb := g.callers[a.Caller], g.callers[b.Caller]; ca != cb {
		return ca < cb
	}
	return a.since.Before(b.since)
}

// expectedWait is the work of those who go before, spread over the places that
// the ticket could get.
func (g *Controller) expectedWait(t *Request) time.Duration {
	places := 0.0
	for _, b := range t.Target.Backends {
		places += b.Limit()
	}
	if places == 0 {
		return 0
	}
	var work time.Duration
	for _, w := range g.waiting {
		if compareUrgency(w, t) <= 0 && shares(w, t) {
			work += g.took[w.Target.Name].likely()
		}
	}
	return time.Duration(float64(work) / places)
}

func shares(a, b *Request) bool {
	for _, x := range a.Target.Backends {
		if b.mayUse(x) {
			return true
		}
	}
	return false
}

func (g *Controller) start(b *route.Backend, t *Request) {
	b.Begin()
	t.began = time.Now()
	g.callers[t.Caller]++
}

// wait waits for a place, at most until the ticket's own work would not fit
// before its deadline any more (3).
func (g *Controller) wait(ctx context.Context, t *Request) (*route.Backend, *reason.Reason) {
	g.mu.Lock()
	latest := g.latest(t)
	g.mu.Unlock()
	timer := time.NewTimer(time.Until(latest))
	defer timer.Stop()
	select {
	case b := <-t.started:
		return b, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case b := <-t.started: // it started just now
		return b, nil
	default:
	}
	g.remove(t)
	return nil, reason.Overloaded
}

func (g *Controller) remove(t *Request) {
	for i, w := range g.waiting {
		if w == t {
			g.waiting = append(g.waiting[:i], g.waiting[i+1:]...)
			break
		}
	}
	if g.queued[t.Caller]--; g.queued[t.Caller] <= 0 {
		delete(g.queued, t.Caller)
	}
}

// Release counts a request out, and starts those who waited for its room.
// Answered is the time of a whole answer, 0 when there was none.
func (g *Controller) Release(b *route.Backend, t *Request, answered time.Duration) {
	b.End()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.callers[t.Caller]--; g.callers[t.Caller] <= 0 {
		delete(g.callers, t.Caller)
	}
	if answered > 0 {
		learn(g.took, t.Target.Name, answered)
	}
	g.startWaiting(time.Now())
}

// RecordFirstEvent notes how long the first event of a stream took.
func (g *Controller) RecordFirstEvent(t *Request, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	learn(g.first, t.Target.Name, took)
}

func learn(all map[string]*estimate, target string, took time.Duration) {
	if e := all[target]; e != nil {
		e.learn(took)
		return
	}
	all[target] = &estimate{mean: took}
}

// startWaiting starts as many as there is room for, the first by rule 2 first.
func (g *Controller) startWaiting(now time.Time) {
	for {
		var best *Request
		var place *route.Backend
		for _, w := range g.waiting {
			if best != nil && !g.less(w, best) {
				continue
			}
			if b, _ := g.directory.Choose(w.Target, now, w.Criteria); b != nil {
				best, place = w, b
			}
		}
		if best == nil {
			return
		}
		g.remove(best)
		g.start(place, best)
		best.started <- place
	}
}

// Dispatch starts those who can start after the backends changed.
func (g *Controller) Dispatch() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.startWaiting(time.Now())
}

// Waiting returns how many requests wait.
func (g *Controller) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.waiting)
}
