package rate

import (
	"math"
	"time"
)

const (
	// leaseTTL is how long a lease is valid after it was requested. Tokens leased at one moment and spent at a later
	// one add to the usage within a window: at most the rate over this time, 0.5 s of the 0.8 s that an overage of 10%
	// over a window of 8 s allows.
	leaseTTL = 500 * time.Millisecond
	// initialFillSeconds is what the bucket of a new allocator holds, in seconds of the rate (3). It admits the first
	// request that waited, and after five leader changes in a window the sum with leaseTTL is still below those 0.8 s.
	initialFillSeconds = 0.05
	// prefetchMinFill is the fill level, as a share of the burst, below which nothing is leased for expected requests.
	prefetchMinFill = 0.25
	// maxBuckets bounds the buckets of an allocator. When it is reached, buckets that were not used for bucketTTL are
	// dropped.
	maxBuckets = 1 << 16
	bucketTTL  = time.Minute
)

// Limit bounds what all boxes together use of a resource, in units of that resource.
type Limit struct {
	// PerSecond is the rate; 0 means no limit.
	PerSecond float64
	// Burst is what may be used beyond the rate.
	Burst float64
}

func (l Limit) Bounded() bool { return l.PerSecond > 0 }

// LeaseRequest is the demand of a box for one limit.
type LeaseRequest struct {
	Pending         float64 // total weight of the waiting requests
	SmallestPending float64 // weight of the smallest waiting request
	Prefetch        float64 // weight of the expected requests
	Unused          float64 // unspent part of expired leases of the same allocator
}

// Grant is the response to a LeaseRequest.
type Grant struct {
	Leased float64
	// RetryAfter is when the smallest waiting request can be admitted, if nothing was leased.
	RetryAfter time.Duration
}

type bucket struct {
	tokens   float64
	filledAt time.Duration // time of the last refill, by the allocator's clock
	// refusals holds the ranks that were refused recently (6).
	refusals map[int]*rankRefusal
}

// allocator leases the tokens of limits, or of a share of each limit.
type allocator struct {
	buckets map[string]*bucket
}

func newAllocator() *allocator { return &allocator{buckets: map[string]*bucket{}} }

// lease handles one request. The allocator has the given share of the limit, from 0 to 1.
func (a *allocator) lease(now time.Duration, key Key, limit Limit, share float64, request LeaseRequest) Grant {
	pending, smallest, prefetch := positiveOrZero(request.Pending), positiveOrZero(request.SmallestPending), positiveOrZero(request.Prefetch)
	if !limit.Bounded() {
		return Grant{Leased: pending + prefetch}
	}
	l := limit.scaled(share)
	b := a.bucketFor(now, key.Name, l)
	b.fill(now, l)
	b.tokens = min(b.tokens+positiveOrZero(request.Unused), l.capacity())
	if b.tokens < prefetchMinFill*l.capacity() {
		prefetch = 0
	}
	// A full bucket admits a request larger than its capacity and goes into debt: over a longer window this is within
	// the limit.
	reserve := b.reserve(now, key.Rank)
	if required := min(smallest+reserve, l.capacity()); pending > 0 && b.tokens < required {
		b.recordRefusal(now, key.Rank, smallest)
		return Grant{RetryAfter: time.Duration((required - b.tokens) / l.PerSecond * float64(time.Second))}
	}
	leased := min(pending+prefetch, max(b.tokens-reserve, min(smallest, pending)))
	b.tokens -= leased
	if leased > 0 {
		b.recordLease(key.Rank)
	}
	return Grant{Leased: leased}
}

func positiveOrZero(v float64) float64 {
	if v > 0 && !math.IsInf(v, 0) { // false for NaN
		return v
	}
	return 0
}

// partialBurstSeconds bounds the burst of an allocator that has only a share of the limit, in seconds of that share's
// rate: leases of another allocator may have used the limit's own burst just before.
const partialBurstSeconds = 0.25

// scaled returns the given share of a limit.
func (l Limit) scaled(share float64) Limit {
	if share >= 1 {
		return l
	}
	l.PerSecond *= share
	l.Burst = min(l.Burst*share, partialBurstSeconds*l.PerSecond)
	return l
}

// capacity is what a full bucket holds: at least one unit, otherwise no request would ever be admitted.
func (l Limit) capacity() float64 { return max(l.Burst, 1) }

func (a *allocator) bucketFor(now time.Duration, name string, l Limit) *bucket {
	b := a.buckets[name]
	if b != nil {
		return b
	}
	if len(a.buckets) >= maxBuckets {
		a.evictIdle(now)
	}
	b = &bucket{tokens: min(initialFillSeconds*l.PerSecond, l.capacity()), filledAt: now, refusals: map[int]*rankRefusal{}}
	a.buckets[name] = b
	return b
}

func (a *allocator) evictIdle(now time.Duration) {
	for name, b := range a.buckets {
		if now-b.filledAt > bucketTTL {
			delete(a.buckets, name)
		}
	}
}

// fill adds the tokens accumulated since the last refill. A lowered limit takes effect immediately.
func (b *bucket) fill(now time.Duration, l Limit) {
	if now > b.filledAt {
		b.tokens += l.PerSecond * (now - b.filledAt).Seconds()
		b.filledAt = now
	}
	b.tokens = min(b.tokens, l.capacity())
}
