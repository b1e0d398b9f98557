// Package shutdown decides which requests a box still sends to backend servers during a planned stop, and ends those in flight
// before the process ends.
//
// Rules:
//
//  1. A request is sent if its deadline is before the end of the stop.
//  2. A plain request that must not run twice is not sent otherwise: its caller could not repeat it.
//  3. A stream that its caller can resume is sent. If it outlasts the stop, it is broken off and resumed at another box.
//  4. Any other request is sent if the slowest recent request of its route, with a margin, would end in time. Where none is
//     known, it is not sent.
//  5. Requests in flight at the end of the stop are ended early enough to be answered: as unknown if nothing of the response was
//     forwarded. A response that has begun is broken off.
package shutdown

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// slowestMargin is by how much a request may be slower than the slowest recent one of its route (4).
	slowestMargin = 1.25
	// slowestPeriod is the time for which the slowest request of a route counts, at least; twice that at most.
	slowestPeriod = time.Minute
	// maxRoutes bounds the routes whose slowest request is known.
	maxRoutes = 4096
)

// Request is a request that may be sent during a planned stop.
type Request struct {
	Route    string
	Deadline time.Time
	// AtMostOnce is set for a plain request that must not run twice.
	AtMostOnce bool
	// Resumable is set for a stream that its caller can resume.
	Resumable bool
}

// Plan is the planned stop of a box, also before it begins. A nil Plan never begins.
type Plan struct {
	answerBy atomic.Pointer[time.Time] // nil: no stop has begun
	ended    context.Context
	end      context.CancelFunc

	mu                sync.Mutex
	slowest, previous map[string]time.Duration // by route, in the current and the previous period
	since             time.Time                // of the current period
}

// New returns a plan for a stop that has not begun.
func New() *Plan {
	p := &Plan{slowest: map[string]time.Duration{}}
	p.ended, p.end = context.WithCancel(context.Background())
	return p
}

// Begin begins the stop. All requests must have been answered at answerBy.
func (p *Plan) Begin(answerBy time.Time) { p.answerBy.Store(&answerBy) }

// Begun reports whether the stop has begun.
func (p *Plan) Begun() bool { return p != nil && p.answerBy.Load() != nil }

// End ends the requests in flight (5).
func (p *Plan) End() { p.end() }

// Ended reports whether the requests in flight have been ended.
func (p *Plan) Ended() bool { return p != nil && p.ended.Err() != nil }

// OnEnd calls f on its own goroutine when the requests in flight are ended. The returned function prevents that.
func (p *Plan) OnEnd(f func()) (stop func() bool) {
	if p == nil {
		return func() bool { return true }
	}
	return context.AfterFunc(p.ended, f)
}

// InterruptReads makes reads of a request's body fail when the requests in flight are ended. The returned function prevents that. The
// request must be refused if it is called too late.
func (p *Plan) InterruptReads(w http.ResponseWriter) (stop func() bool) {
	return p.OnEnd(func() {
		_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0)) // only writers of tests have no deadlines
	})
}

// Interrupted reports whether a request with this context was ended by the stop, rather than by its deadline or its caller.
func (p *Plan) Interrupted(request, caller context.Context) bool {
	return p.Ended() && request.Err() == context.Canceled && caller.Err() == nil
}

// Admits reports whether a request may be sent now.
func (p *Plan) Admits(r Request, now time.Time) bool {
	if !p.Begun() {
		return true
	}
	answerBy := *p.answerBy.Load()
	switch {
	case !r.Deadline.After(answerBy): // (1)
		return true
	case !now.Before(answerBy), r.AtMostOnce: // (2)
		return false
	case r.Resumable: // (3)
		return true
	}
	slowest, known := p.slowestOf(r.Route)
	return known && !now.Add(time.Duration(slowestMargin*float64(slowest))).After(answerBy) // (4)
}

// Record records how long a request took.
func (p *Plan) Record(route string, took time.Duration) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now(); now.Sub(p.since) >= slowestPeriod {
		p.previous, p.slowest, p.since = p.slowest, map[string]time.Duration{}, now
	}
	if slowest, known := p.slowest[route]; known || len(p.slowest) < maxRoutes {
		p.slowest[route] = max(slowest, took)
	}
}

// slowestOf returns how long the slowest recent request of a route took.
func (p *Plan) slowestOf(route string) (took time.Duration, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	current, inCurrent := p.slowest[route]
	previous, inPrevious := p.previous[route]
	return max(current, previous), inCurrent || inPrevious
}
