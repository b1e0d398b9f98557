// Package admit decides whether a request starts, waits or is refused
// immediately.
//
// Rules:
//
//  1. A request starts when a backend server that it may use has free capacity
//     and no waiting request that could use that capacity has precedence.
//  2. Among requests waiting for the same capacity, the one with the highest
//     class priority starts first; among equal ones the one whose caller has the
//     fewest requests in flight in this box; among equal ones the one that has
//     waited longest.
//  3. A request is refused immediately when it cannot be answered in time: when
//     the work ahead of it and its own, estimated from recent times, end after
//     its deadline, or the first event of its stream would be too late. While it
//     waits, the same check applies to its own work.
//  4. A caller may occupy at most half of the queue while other callers wait.
//  5. A request that is given up is answered immediately. No answer is delayed.
package admit

import (
	"cmp"
	"context"
	"sync"
	"time"

	"leverdrum/reason"
	"leverdrum/route"
)

// maxWaiting bounds the requests that wait in one box.
const maxWaiting = 1024

// estimateSmoothing is the weight of a new answer's time in a target's mean.
const estimateSmoothing = 0.1

// Request is a request to be admitted.
type Request struct {
	Target *route.Target
	Caller string
	// Urgency takes precedence over the priority of the class; 0 is the highest.
	Urgency  int
	Deadline time.Time
	// FirstEventDeadline is when the first event of a stream is due; zero for
	// none.
	FirstEventDeadline time.Time
	route.Criteria

	queuedAt  time.Time
	startedAt time.Time
	assigned  chan *route.Backend
}

// StartedAt returns when the request was last assigned a backend.
func (r *Request) StartedAt() time.Time { return r.startedAt }

// Controller admits the requests of one box.
type Controller struct {
	directory *route.Directory

	mu              sync.Mutex
	waiting         []*Request
	inFlight        map[string]int       // by caller
	waitingByCaller map[string]int       // number of waiting requests
	answerTimes     map[string]*estimate // time to a whole answer, by target
	firstEventTimes map[string]*estimate // time to a stream's first event, by target
}

// estimate is a smoothed mean and deviation of recent answer times.
type estimate struct{ mean, deviation time.Duration }

// upperBound returns a time within which most answers come.
func (e *estimate) upperBound() time.Duration {
	if e == nil {
		return 0
	}
	return e.mean + max(2*e.deviation, e.mean/10)
}

func (e *estimate) add(took time.Duration) {
	difference := took - e.mean
	e.mean += time.Duration(estimateSmoothing * float64(difference))
	e.deviation += time.Duration(estimateSmoothing * float64(difference.Abs()-e.deviation))
}

// NewController returns an admission controller for the backends of a directory.
func NewController(d *route.Directory) *Controller {
	return &Controller{directory: d, inFlight: map[string]int{}, waitingByCaller: map[string]int{}, answerTimes: map[string]*estimate{}, firstEventTimes: map[string]*estimate{}}
}

// Acquire waits until the request may start and returns its backend, with the
// request counted as in flight there, or the reason why it is refused.
func (c *Controller) Acquire(ctx context.Context, r *Request) (*route.Backend, *reason.Reason) {
	now := time.Now()
	c.mu.Lock()
	b, refusal := c.admitOrQueue(now, r)
	c.mu.Unlock()
	if b != nil || refusal != nil {
		return b, refusal
	}
	return c.wait(ctx, r)
}

// admitOrQueue starts the request, queues it, or refuses it.
func (c *Controller) admitOrQueue(now time.Time, r *Request) (*route.Backend, *reason.Reason) {
	b, busy := c.directory.Choose(r.Target, now, r.Criteria)
	if b != nil && !c.hasPriorWaiter(b, r) { // (1)
		c.assign(b, r)
		return b, nil
	}
	if b == nil && !busy {
		return nil, reason.NoServer
	}
	if now.Add(c.expectedWait(r)).After(c.latestStart(r)) { // (3)
		return nil, reason.Overloaded
	}
	if len(c.waiting) >= maxWaiting {
		return nil, reason.Overloaded
	}
	if c.waitingByCaller[r.Caller] >= maxWaiting/2 && len(c.waitingByCaller) > 1 { // (4)
		return nil, reason.OverShare
	}
	r.queuedAt, r.assigned = now, make(chan *route.Backend, 1)
	c.waiting = append(c.waiting, r)
	c.waitingByCaller[r.Caller]++
	return nil, nil
}

// latestStart returns the latest time at which the request can start and still
// be answered in time (3).
func (c *Controller) latestStart(r *Request) time.Time {
	latest := r.Deadline.Add(-c.answerTimes[r.Target.Name].upperBound())
	if r.FirstEventDeadline.IsZero() {
		return latest
	}
	if first := r.FirstEventDeadline.Add(-c.firstEventTimes[r.Target.Name].upperBound()); first.Before(latest) {
		return first
	}
	return latest
}

// hasPriorWaiter reports whether a waiting request could use the backend's
// capacity and has precedence over r.
func (c *Controller) hasPriorWaiter(b *route.Backend, r *Request) bool {
	for _, w := range c.waiting {
		if w.canUse(b) && !c.startsBefore(r, w) {
			return true
		}
	}
	return false
}

func (r *Request) canUse(b *route.Backend) bool {
	for _, x := range r.Target.Backends {
		if x == b {
			return true
		}
	}
	return false
}

// compareUrgency orders requests by the urgency of their workspace, then by the
// priority of their class. It is negative if a is more urgent.
func compareUrgency(a, b *Request) int {
	return cmp.Or(cmp.Compare(a.Urgency, b.Urgency), cmp.Compare(b.Target.Class.Priority, a.Target.Class.Priority))
}

// startsBefore reports whether a has precedence over b (2).
func (c *Controller) startsBefore(a, b *Request) bool {
	if order := compareUrgency(a, b); order != 0 {
		return order < 0
	}
	if ca, cb := c.inFlight[a.Caller], c.inFlight[b.Caller]; ca != cb {
		return ca < cb
	}
	return a.queuedAt.Before(b.queuedAt)
}

// expectedWait estimates the wait as the work of the requests with precedence,
// divided by the number of slots that r could use.
func (c *Controller) expectedWait(r *Request) time.Duration {
	slots := 0.0
	for _, b := range r.Target.Backends {
		slots += b.Limit()
	}
	if slots == 0 {
		return 0
	}
	var work time.Duration
	for _, other := range c.waiting {
		if compareUrgency(other, r) <= 0 && sharesBackend(other, r) {
			work += c.answerTimes[other.Target.Name].upperBound()
		}
	}
	return time.Duration(float64(work) / slots)
}

func sharesBackend(a, b *Request) bool {
	for _, x := range a.Target.Backends {
		if b.canUse(x) {
			return true
		}
	}
	return false
}

func (c *Controller) assign(b *route.Backend, r *Request) {
	b.Begin()
	r.startedAt = time.Now()
	c.inFlight[r.Caller]++
}

// wait waits for a slot, at most until the request's own work would no longer
// end before its deadline (3).
func (c *Controller) wait(ctx context.Context, r *Request) (*route.Backend, *reason.Reason) {
	c.mu.Lock()
	latest := c.latestStart(r)
	c.mu.Unlock()
	timer := time.NewTimer(time.Until(latest))
	defer timer.Stop()
	select {
	case b := <-r.assigned:
		return b, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case b := <-r.assigned: // assigned while the wait ended
		return b, nil
	default:
	}
	c.remove(r)
	return nil, reason.Overloaded
}

func (c *Controller) remove(r *Request) {
	for i, w := range c.waiting {
		if w == r {
			c.waiting = append(c.waiting[:i], c.waiting[i+1:]...)
			break
		}
	}
	if c.waitingByCaller[r.Caller]--; c.waitingByCaller[r.Caller] <= 0 {
		delete(c.waitingByCaller, r.Caller)
	}
}

// Release ends a request and starts waiting requests that can use its capacity.
// answered is the time to a whole answer; 0 if there was none.
func (c *Controller) Release(b *route.Backend, r *Request, answered time.Duration) {
	b.End()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight[r.Caller]--; c.inFlight[r.Caller] <= 0 {
		delete(c.inFlight, r.Caller)
	}
	if answered > 0 {
		recordTime(c.answerTimes, r.Target.Name, answered)
	}
	c.dispatch(time.Now())
}

// RecordFirstEvent records the time to the first event of a stream.
func (c *Controller) RecordFirstEvent(r *Request, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	recordTime(c.firstEventTimes, r.Target.Name, took)
}

func recordTime(all map[string]*estimate, target string, took time.Duration) {
	if e := all[target]; e != nil {
		e.add(took)
		return
	}
	all[target] = &estimate{mean: took}
}

// dispatch starts as many waiting requests as there is capacity for, in the order
// of rule 2.
func (c *Controller) dispatch(now time.Time) {
	for {
		var best *Request
		var backend *route.Backend
		for _, w := range c.waiting {
			if best != nil && !c.startsBefore(w, best) {
				continue
			}
			if b, _ := c.directory.Choose(w.Target, now, w.Criteria); b != nil {
				best, backend = w, b
			}
		}
		if best == nil {
			return
		}
		c.remove(best)
		c.assign(backend, best)
		best.assigned <- backend
	}
}

// Dispatch starts the waiting requests that can start after a change of the
// backends.
func (c *Controller) Dispatch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dispatch(time.Now())
}

// Waiting returns the number of waiting requests.
func (c *Controller) Waiting() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.waiting)
}
