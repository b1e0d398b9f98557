package rate

import (
	"math"
	"time"
)

const (
	// leaseLife is how long a lease may be spent after it was asked for. What is leased at one
	// moment and spent at a later one adds to a span: at the most the rate over this time, 0.5 s of
	// the 0.8 s that an overage of a tenth over a window of 8 s allows.
	leaseLife = 500 * time.Millisecond
	// firstLevel is what a new allocator's bucket holds, in seconds of the rate (3): enough for the
	// first that waited, and with leaseLife below those 0.8 s after five changes of leader in a window.
	firstLevel = 0.05
	// scarce is the level, as a share of the burst, below which nothing is leased ahead of need.
	scarce = 0.25
	// maxBuckets bounds the buckets of an allocator; those that were not asked for in forgetBucket
	// are dropped then.
	maxBuckets   = 1 << 16
	forgetBucket = time.Minute
)

// Limit bounds what is had of something by all boxes together, in units of its own.
type Limit struct {
	// PerSecond is the rate; 0: no limit.
	PerSecond float64
	// Burst is what may be had beyond the rate.
	Burst float64
}

// Bounded reports whether there is a limit.
func (l Limit) Bounded() bool { return l.PerSecond > 0 }

// LeaseRequest is what a box asks for of one limit.
type LeaseRequest struct {
	Pending         float64 // by requests that wait for it
	SmallestPending float64 // by the smallest of these
	Prefetch        float64 // by those that are expected
	Unused          float64 // of leases of the same allocator that have ended
}

// Grant answers an Ask.
type Grant struct {
	Leased float64
	// RetryAfter is when the smallest request that waits can be admitted, where nothing was leased.
	RetryAfter time.Duration
}

// bucket is the token bucket of one limit.
type bucket struct {
	level float64
	at    time.Duration // when the level was so high, by the allocator's clock
	// refused are the ranks that were refused lately (6).
	refused map[int]*refused
}

// allocator leases what limits bear, or a share of it.
type allocator struct {
	buckets map[string]*bucket
}

func newAllocator() *allocator { return &allocator{buckets: map[string]*bucket{}} }

// lease answers one ask, where the allocator has a share of the limit, from 0 to 1.
func (a *allocator) lease(now time.Duration, key Key, limit Limit, share float64, ask LeaseRequest) Grant {
	need, least, ahead := positive(ask.Pending), positive(ask.SmallestPending), positive(ask.Prefetch)
	if !limit.Bounded() {
		return Grant{Leased: need + ahead}
	}
	l := limit.part(share)
	b := a.bucketOf(now, key.Name, l)
	b.fill(now, l)
	b.level = min(b.level+positive(ask.Unused), l.most())
	if b.level < scarce*l.most() {
		ahead = 0
	}
	// A request that is larger than a full bucket is admitted by a full one, which it leaves in debt:
	// it is within the limit of a longer span.
	reserve := b.reserve(now, key.Rank)
	if bearable := min(least+reserve, l.most()); need > 0 && b.level < bearable {
		b.refuse(now, key.Rank, least)
		return Grant{RetryAfter: time.Duration((bearable - b.level) / l.PerSecond * float64(time.Second))}
	}
	leased := min(need+ahead, max(b.level-reserve, min(least, need)))
	b.level -= leased
	if leased > 0 {
		b.serve(key.Rank)
	}
	return Grant{Leased: leased}
}

func positive(v float64) float64 {
	if v > 0 && !math.IsInf(v, 0) { // a NaN is neither
		return v
	}
	return 0
}

// partBurst is the burst of an allocator that has a part of the limit, in seconds of that part's rate:
// the burst itself may have been spent just before, by leases of another.
const partBurst = 0.25

// part is a share of a limit.
func (l Limit) part(share float64) Limit {
	if share >= 1 {
		return l
	}
	l.PerSecond *= share
	l.Burst = min(l.Burst*share, partBurst*l.PerSecond)
	return l
}

// most is what a full bucket holds: at least one unit, else nothing would ever be served.
func (l Limit) most() float64 { return max(l.Burst, 1) }

func (a *allocator) bucketOf(now time.Duration, name string, l Limit) *bucket {
	b := a.buckets[name]
	if b != nil {
		return b
	}
	if len(a.buckets) >= maxBuckets {
		a.forget(now)
	}
	b = &bucket{level: min(firstLevel*l.PerSecond, l.most()), at: now, refused: map[int]*refused{}}
	a.buckets[name] = b
	return b
}

func (a *allocator) forget(now time.Duration) {
	for name, b := range a.buckets {
		if now-b.at > forgetBucket {
			delete(a.buckets, name)
		}
	}
}

// fill adds what the rate has brought since. A limit that was lowered binds at once.
func (b *bucket) fill(now time.Duration, l Limit) {
	if now > b.at {
		b.level += l.PerSecond * (now - b.at).Seconds()
		b.at = now
	}
	b.level = min(b.level, l.most())
}
