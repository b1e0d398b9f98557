package rate

import (
	"context"
	"math"
	"sync"
	"time"

	"leverdrum/internal/wait"
)

const (
	// prefetchWindow is how much expected demand a box leases in advance, as a duration. It requests more when the
	// balance is below the share lowWatermark of that amount.
	prefetchWindow = 400 * time.Millisecond
	lowWatermark   = 0.5
	// requestTimeout bounds a lease request. A response takes a few milliseconds; without one in this time there is no
	// leader to send it.
	requestTimeout = 150 * time.Millisecond
	// requestInterval is the minimum time between two requests of a box. One request covers all limits for which
	// tokens are missing.
	requestInterval = 30 * time.Millisecond
	// exhaustedInterval is the minimum time before an exhausted limit is requested again: some 260 requests per second
	// with 65 boxes.
	exhaustedInterval = 250 * time.Millisecond
	// maxRetryAfter bounds that time, whatever an allocator responds.
	maxRetryAfter = time.Minute
	// maxWait is how long a request may wait for its limit's bucket to admit it. It is shorter than a refusal followed
	// by a retry of the caller would take.
	maxWait = 60 * time.Millisecond
	// demandWindow is the time over which a box averages the demand.
	demandWindow = time.Second
	// idleLimitTTL is how long the state of an unused limit is kept.
	idleLimitTTL = 30 * time.Second
	// ownShareTTL is how long a box's own share accumulates without being requested.
	ownShareTTL = 2 * time.Second
	// retryInterval is the time between two requests without a response.
	retryInterval = 100 * time.Millisecond
)

// Key identifies a limit and the rank of the requests that share it.
type Key struct {
	Name string
	// Rank is the rank of the requests, 0 the most urgent (6).
	Rank int
}

// LimitRequest is the entry for one limit in a call to the allocator.
type LimitRequest struct {
	Key
	// PerSecond is the rate of the limit as known to the requesting box.
	PerSecond float64
	LeaseRequest
}

// LimitGrant is the entry for one limit in the response.
type LimitGrant struct {
	Key
	Grant
}

// LeaseResponse is the response of an allocator.
type LeaseResponse struct {
	// Epoch is unique to each allocator.
	Epoch  string
	Grants []LimitGrant
}

// Options configures a Limiter.
type Options struct {
	// Lease calls the allocator.
	Lease func(ctx context.Context, epoch string, requests []LimitRequest) (LeaseResponse, error)
	// Boxes returns the number of boxes.
	Boxes func() int
	// Now is a monotonic clock that continues while the machine is suspended.
	Now func() time.Duration
	// Window is the duration over which limits are evaluated.
	Window time.Duration
}

// Limiter enforces limits on one box.
type Limiter struct {
	opts   Options
	wakeup chan struct{}

	mu     sync.Mutex
	limits map[Key]*limitState
	epoch  string // of the latest response
	// own allocates this box's share to it while no box responds (4).
	own       *allocator
	ownUsedAt time.Duration // last use
	// isolated reports that the last request had no response.
	isolated bool
}

// limitState is what a box knows of one limit.
type limitState struct {
	limit   Limit
	leases  []lease // in the order in which they expire
	unused  float64 // of expired leases of the current allocator, to be returned
	demand  decayingSum
	usedAt  time.Duration
	waiting []*waiter
	// exhaustedAt is when the allocator's bucket could admit no waiting request, exhaustedUntil when tokens are
	// requested again.
	exhaustedAt, exhaustedUntil time.Duration
}

// lease is an amount of a limit that may be spent until it expires.
type lease struct {
	remaining float64
	expiresAt time.Duration
	epoch     string
}

type waiter struct {
	weight float64
	ready  chan struct{} // closed when the request is to try again
}

// NewLimiter returns a Limiter. It requests leases only while Run runs.
func NewLimiter(opts Options) *Limiter {
	return &Limiter{opts: opts, wakeup: make(chan struct{}, 1), limits: map[Key]*limitState{}, own: newAllocator()}
}

// Charge is the weight that a request took from a limit.
type Charge struct {
	l      *Limiter
	key    Key
	weight float64
}

// Release returns the weight of a request that has not run (5).
func (c Charge) Release() {
	if c.l == nil || c.weight <= 0 {
		return
	}
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	if r := c.l.limits[c.key]; r != nil {
		now := c.l.opts.Now()
		r.leases = append(r.leases, lease{c.weight, now + leaseTTL, c.l.epoch})
	}
}

// Take charges a request to the limit of a key, or returns why it can't. It waits for the allocator's response, and up
// to maxWait for the bucket to refill.
func (l *Limiter) Take(ctx context.Context, key Key, limit Limit, weight float64) (Charge, *Refusal) {
	if !limit.Bounded() || weight <= 0 {
		return Charge{}, nil
	}
	if weight > limit.PerSecond*l.opts.Window.Seconds()+limit.Burst {
		return Charge{}, &Refusal{Exhausted: true, TooLarge: true}
	}
	start := l.opts.Now()
	for first := true; ; first = false {
		pending, refusal := l.trySpend(key, limit, weight, first)
		switch {
		case refusal != nil && refusal.Exhausted && l.opts.Now()-start+refusal.RetryAfter <= maxWait:
			if !wait.For(ctx, refusal.RetryAfter) {
				return Charge{}, &Refusal{}
			}
		case refusal != nil:
			return Charge{}, refusal
		case pending == nil:
			return Charge{l, key, weight}, nil
		default:
			select {
			case <-pending.ready:
			case <-ctx.Done():
				l.cancelWait(key, pending)
				return Charge{}, &Refusal{}
			}
		}
	}
}

// trySpend spends from a lease; if the balance is too low it returns a waiter to wait for.
func (l *Limiter) trySpend(key Key, limit Limit, weight float64, first bool) (*waiter, *Refusal) {
	now := l.opts.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.stateFor(key, limit)
	if first {
		r.demand.add(now, weight, demandWindow)
		r.usedAt = now
	}
	if r.spend(now, weight) {
		if r.balance(now) < lowWatermark*r.prefetchTarget(now) {
			l.wake()
		}
		return nil, nil
	}
	if now < r.exhaustedUntil {
		return nil, &Refusal{RetryAfter: r.exhaustedUntil - now, Exhausted: !l.isolated, Balance: r.balance(now), Age: now - r.exhaustedAt}
	}
	w := &waiter{weight, make(chan struct{})}
	r.waiting = append(r.waiting, w)
	l.wake()
	return w, nil
}

// Exhausted returns how long a limit will remain exhausted, as far as the box knows; false if a request should be
// attempted.
func (l *Limiter) Exhausted(key Key) (time.Duration, bool) {
	now := l.opts.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.limits[key]
	if r == nil || now >= r.exhaustedUntil || r.balance(now) >= 1 {
		return 0, false
	}
	return r.exhaustedUntil - now, true
}

func (l *Limiter) wake() {
	select {
	case l.wakeup <- struct{}{}:
	default:
	}
}

func (l *Limiter) stateFor(key Key, limit Limit) *limitState {
	r := l.limits[key]
	if r == nil {
		r = &limitState{}
		l.limits[key] = r
	}
	r.limit = limit
	return r
}

// cancelWait removes a waiting request.
func (l *Limiter) cancelWait(key Key, cancelled *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.limits[key]
	if r == nil {
		return
	}
	for i, w := range r.waiting {
		if w == cancelled {
			r.waiting = append(r.waiting[:i], r.waiting[i+1:]...)
			return
		}
	}
}

// expire removes expired leases (2).
func (r *limitState) expire(now time.Duration, epoch string) {
	kept := r.leases[:0]
	for _, x := range r.leases {
		switch {
		case now < x.expiresAt && x.remaining > 0:
			kept = append(kept, x)
		case x.epoch == epoch:
			r.unused += x.remaining
		}
	}
	r.leases = kept
}

func (r *limitState) balance(now time.Duration) (sum float64) {
	for _, x := range r.leases {
		if now < x.expiresAt {
			sum += x.remaining
		}
	}
	return sum
}

// spend takes the weight from leases, in the order in which they expire.
func (r *limitState) spend(now time.Duration, weight float64) bool {
	if r.balance(now) < weight {
		return false
	}
	for i := range r.leases {
		x := &r.leases[i]
		if now >= x.expiresAt {
			continue
		}
		part := min(x.remaining, weight)
		x.remaining -= part
		weight -= part
	}
	return true
}

// prefetchTarget is the amount to hold beyond what waiting requests need.
func (r *limitState) prefetchTarget(now time.Duration) float64 {
	return r.demand.rate(now, demandWindow) * prefetchWindow.Seconds()
}

// decayingSum is a sum that decays exponentially over a time span.
type decayingSum struct {
	sum float64
	at  time.Duration
}

func (f *decayingSum) decay(now, span time.Duration) {
	if now > f.at {
		f.sum *= math.Exp(-float64(now-f.at) / float64(span))
		f.at = now
	}
}

func (f *decayingSum) add(now time.Duration, v float64, span time.Duration) {
	f.decay(now, span)
	f.sum += v
}

// rate returns the sum per second.
func (f *decayingSum) rate(now, span time.Duration) float64 {
	f.decay(now, span)
	return f.sum / span.Seconds()
}
