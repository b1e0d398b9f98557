package rate

import "time"

const (
	// refusalTTL is how long a rank that was refused is reckoned to come back: some of its callers do.
	refusalTTL = 2 * time.Second
	// maxSkipped is how many leases go to more urgent ranks before it is the turn of one that was refused: it gets
	// one in five.
	maxSkipped = 4
	// maxRanks bounds the ranks that a bucket tells apart.
	maxRanks = 16
)

// refused is a rank that was refused.
type refused struct {
	at     time.Duration // when last
	least  float64       // by the smallest of its requests then
	passed int           // leases to more urgent ranks since it was served
}

// clampRank keeps what another box says within bounds.
func clampRank(rank int) int { return min(max(rank, 0), maxRanks-1) }

// reserve is what a request of a rank must leave in the bucket: enough for each rank that was refused lately and goes
// before it (6).
func (b *bucket) reserve(now time.Duration, rank int) (reserve float64) {
	rank = clampRank(rank)
	own := b.refused[rank]
	for other, r := range b.refused {
		if other != rank && now-r.at < refusalTTL && goesBefore(other, r, rank, own) {
			reserve = max(reserve, r.least)
		}
	}
	return reserve
}

// goesBefore reports whether a rank that was refused goes before another, which may have been refused, too: one whose turn it
// is, else the more urgent.
func goesBefore(a int, refusedA *refused, b int, refusedB *refused) bool {
	turnA, turnB := refusedA.passed >= maxSkipped, refusedB != nil && refusedB.passed >= maxSkipped
	if turnA != turnB {
		return turnA
	}
	return a < b
}

func (b *bucket) refuse(now time.Duration, rank int, least float64) {
	rank = clampRank(rank)
	r := b.refused[rank]
	if r == nil {
		r = &refused{}
		b.refused[rank] = r
	}
	r.at, r.least = now, least
}

// serve notes a lease to a rank.
func (b *bucket) serve(rank int) {
	rank = clampRank(rank)
	delete(b.refused, rank)
	for other, r := range b.refused {
		if other > rank {
			r.passed++
		}
	}
}
