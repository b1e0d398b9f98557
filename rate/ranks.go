package rate

import "time"

const (
	// refusalTTL is how long a refused rank is expected to retry: some of its callers do.
	refusalTTL = 2 * time.Second
	// maxSkipped is how many leases go to more urgent ranks before a refused rank takes precedence: it gets one in
	// five.
	maxSkipped = 4
	// maxRanks bounds the ranks that a bucket distinguishes.
	maxRanks = 16
)

// rankRefusal is the state of a rank that was refused.
type rankRefusal struct {
	lastAt   time.Duration // of the last refusal
	smallest float64       // weight of its smallest waiting request then
	skipped  int           // leases to more urgent ranks since it was last served
}

// clampRank bounds a rank received from another box.
func clampRank(rank int) int { return min(max(rank, 0), maxRanks-1) }

// reserve is what a request of a rank must leave in the bucket: enough for each recently refused rank that precedes it
// (6).
func (b *bucket) reserve(now time.Duration, rank int) (reserve float64) {
	rank = clampRank(rank)
	own := b.refusals[rank]
	for other, r := range b.refusals {
		if other != rank && now-r.lastAt < refusalTTL && precedes(other, r, rank, own) {
			reserve = max(reserve, r.smallest)
		}
	}
	return reserve
}

// precedes reports whether the refused rank a precedes rank b, which may have been refused too. A rank that was
// skipped maxSkipped times precedes, otherwise the more urgent one.
func precedes(a int, refusedA *rankRefusal, b int, refusedB *rankRefusal) bool {
	agedA, agedB := refusedA.skipped >= maxSkipped, refusedB != nil && refusedB.skipped >= maxSkipped
	if agedA != agedB {
		return agedA
	}
	return a < b
}

func (b *bucket) recordRefusal(now time.Duration, rank int, smallest float64) {
	rank = clampRank(rank)
	r := b.refusals[rank]
	if r == nil {
		r = &rankRefusal{}
		b.refusals[rank] = r
	}
	r.lastAt, r.smallest = now, smallest
}

// recordLease records a lease to a rank.
func (b *bucket) recordLease(rank int) {
	rank = clampRank(rank)
	delete(b.refusals, rank)
	for other, r := range b.refusals {
		if other > rank {
			r.skipped++
		}
	}
}
