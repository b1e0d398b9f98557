package rate

import (
	"context"
	"math"
	"sync"
	"time"

	"leverdrum/internal/wait"
)

const (
	// prefetchWindow is how much expected demand a box leases, in seconds of it, and lowWatermark the part of this
	// below which it asks for more.
	prefetchWindow = 400 * time.Millisecond
	lowWatermark   = 0.5
	// answerTimeout bounds an ask: an answer takes some milliseconds, so what takes longer has no
	// leader to come from.
	answerTimeout = 150 * time.Millisecond
	// askPause is the least time between two asks of a box. One carries all limits that lack.
	askPause = 30 * time.Millisecond
	// spentPause is the least time for which a limit whose bucket is empty is not asked for
	// again: with 65 boxes some 260 asks a second.
	spentPause = 250 * time.Millisecond
	// maxRetryAfter bounds that time, whatever an allocator says.
	maxRetryAfter = time.Minute
	// maxWait is how long a request may wait until its limit's bucket admits it. That is less
	// than the way back to the caller and here again costs it.
	maxWait = 60 * time.Millisecond
	// demandSpan is the time over which a box averages what is asked for.
	demandSpan = time.Second
	// idleRow is how long nothing was asked of a workspace when what is known of it is dropped.
	idleRow = 30 * time.Second
	// ownShareTTL is for how long a box's own part saves up without being asked for.
	ownShareTTL = 2 * time.Second
	// againPause is the time between two asks without an answer.
	againPause = 100 * time.Millisecond
)

// Key names a limit and who of those that share it asks.
type Key struct {
	Name string
	// Rank is of the requests, 0 the most urgent (6).
	Rank int
}

// LimitRequest is one limit of a call to the allocator.
type LimitRequest struct {
	Key
	// PerSecond is the rate of the limit as the box that asks knows it.
	PerSecond float64
	LeaseRequest
}

// LimitGrant is one limit of its answer.
type LimitGrant struct {
	Key
	Grant
}

// LeaseResponse is what an allocator says.
type LeaseResponse struct {
	// Epoch is unlike that of any other allocator.
	Epoch  string
	Grants []LimitGrant
}

// Options make a Limiter.
type Options struct {
	// Lease calls the allocator.
	Lease func(ctx context.Context, epoch string, asks []LimitRequest) (LeaseResponse, error)
	// Boxes returns how many boxes there are.
	Boxes func() int
	// Now is a steady clock that goes on while the machine sleeps.
	Now func() time.Duration
	// Window is the span over which limits are judged.
	Window time.Duration
}

// Limiter is a box's side of the limits.
type Limiter struct {
	opts Options
	kick chan struct{}

	mu    sync.Mutex
	rows  map[Key]*row
	epoch string // of the newest answer
	// own allocates this box's part to it while no box answers (4).
	own   *allocator
	ownAt time.Duration // when it was asked last
	// alone tells that the newest ask had no answer.
	alone bool
}

// row is what a box knows of one limit.
type row struct {
	limit   Limit
	leases  []lease // in the order in which they end
	unused  float64 // of the newest allocator's leases that have ended, to be given back
	demand  fading
	usedAt  time.Duration
	waiting []*waiter
	// spentAt is when the allocator's bucket could bear nothing that waited, spentUntil when it is
	// asked again.
	spentAt, spentUntil time.Duration
}

// lease is a part of a limit that may be spent until a time.
type lease struct {
	left  float64
	until time.Duration
	epoch string
}

type waiter struct {
	weight float64
	ready  chan struct{} // closed when it is to look again
}

// NewLimiter returns a Limiter; Run makes it ask.
func NewLimiter(opts Options) *Limiter {
	return &Limiter{opts: opts, kick: make(chan struct{}, 1), rows: map[Key]*row{}, own: newAllocator()}
}

// Charge is what a request took of a limit.
type Charge struct {
	l      *Limiter
	key    Key
	weight float64
}

// Release gives the weight of a request back that has not run (5).
func (c Charge) Release() {
	if c.l == nil || c.weight <= 0 {
		return
	}
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	if r := c.l.rows[c.key]; r != nil {
		now := c.l.opts.Now()
		r.leases = append(r.leases, lease{c.weight, now + leaseLife, c.l.epoch})
	}
}

// Take asks the limit of a key to admit a request, or says why not. It waits for the allocator's
// answer, and a moment where the bucket is about to bear it.
func (l *Limiter) Take(ctx context.Context, key Key, limit Limit, weight float64) (Charge, *Refusal) {
	if !limit.Bounded() || weight <= 0 {
		return Charge{}, nil
	}
	if weight > limit.PerSecond*l.opts.Window.Seconds()+limit.Burst {
		return Charge{}, &Refusal{Exhausted: true, TooLarge: true}
	}
	began := l.opts.Now()
	for first := true; ; first = false {
		waits, refusal := l.try(key, limit, weight, first)
		switch {
		case refusal != nil && refusal.Exhausted && l.opts.Now()-began+refusal.RetryAfter <= maxWait:
			if !wait.For(ctx, refusal.RetryAfter) {
				return Charge{}, &Refusal{}
			}
		case refusal != nil:
			return Charge{}, refusal
		case waits == nil:
			return Charge{l, key, weight}, nil
		default:
			select {
			case <-waits.ready:
			case <-ctx.Done():
				l.leave(key, waits)
				return Charge{}, &Refusal{}
			}
		}
	}
}

// try spends from a lease; else it returns what to wait for.
func (l *Limiter) try(key Key, limit Limit, weight float64, first bool) (*waiter, *Refusal) {
	now := l.opts.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.rowOf(key, limit)
	if first {
		r.demand.add(now, weight, demandSpan)
		r.usedAt = now
	}
	if r.spend(now, weight) {
		if r.balance(now) < lowWatermark*r.ahead(now) {
			l.wake()
		}
		return nil, nil
	}
	if now < r.spentUntil {
		return nil, &Refusal{RetryAfter: r.spentUntil - now, Exhausted: !l.alone, Balance: r.balance(now), Age: now - r.spentAt}
	}
	x := &waiter{weight, make(chan struct{})}
	r.waiting = append(r.waiting, x)
	l.wake()
	return x, nil
}

// Exhausted returns for how long yet, as far as the box knows, nothing of a limit is to be had; false where a request had best try.
func (l *Limiter) Exhausted(key Key) (time.Duration, bool) {
	now := l.opts.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.rows[key]
	if r == nil || now >= r.spentUntil || r.balance(now) >= 1 {
		return 0, false
	}
	return r.spentUntil - now, true
}

func (l *Limiter) wake() {
	select {
	case l.kick <- struct{}{}:
	default:
	}
}

func (l *Limiter) rowOf(key Key, limit Limit) *row {
	r := l.rows[key]
	if r == nil {
		r = &row{}
		l.rows[key] = r
	}
	r.limit = limit
	return r
}

// leave takes a request off those that wait.
func (l *Limiter) leave(key Key, x *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.rows[key]
	if r == nil {
		return
	}
	for i, y := range r.waiting {
		if y == x {
			r.waiting = append(r.waiting[:i], r.waiting[i+1:]...)
			return
		}
	}
}

// expire ends leases whose time is over (2).
func (r *row) expire(now time.Duration, epoch string) {
	kept := r.leases[:0]
	for _, x := range r.leases {
		switch {
		case now < x.until && x.left > 0:
			kept = append(kept, x)
		case x.epoch == epoch:
			r.unused += x.left
		}
	}
	r.leases = kept
}

func (r *row) balance(now time.Duration) (sum float64) {
	for _, x := range r.leases {
		if now < x.until {
			sum += x.left
		}
	}
	return sum
}

// spend takes the weight from leases, those that end first first.
func (r *row) spend(now time.Duration, weight float64) bool {
	if r.balance(now) < weight {
		return false
	}
	for i := range r.leases {
		x := &r.leases[i]
		if now >= x.until {
			continue
		}
		part := min(x.left, weight)
		x.left -= part
		weight -= part
	}
	return true
}

// ahead is what is to be leased beyond what waits.
func (r *row) ahead(now time.Duration) float64 {
	return r.demand.rate(now, demandSpan) * prefetchWindow.Seconds()
}

// fading is a sum of what came, fading over a span.
type fading struct {
	sum float64
	at  time.Duration
}

func (f *fading) fade(now, span time.Duration) {
	if now > f.at {
		f.sum *= math.Exp(-float64(now-f.at) / float64(span))
		f.at = now
	}
}

func (f *fading) add(now time.Duration, v float64, span time.Duration) {
	f.fade(now, span)
	f.sum += v
}

// rate is what came in a second.
func (f *fading) rate(now, span time.Duration) float64 {
	f.fade(now, span)
	return f.sum / span.Seconds()
}
