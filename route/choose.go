package route

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// localHallBonus is the additional load, as a share of its concurrency, that a
// backend in this box's own hall may have and still be preferred (5).
const localHallBonus = 0.1

// Criteria restricts the choice of a backend for a request.
type Criteria struct {
	// Tried lists the backends to skip.
	Tried []*Backend
	// Rank is the urgency of the request; 0 is the highest.
	Rank int
	// Session is the hash of the session that the request belongs to; 0 for none.
	Session uint64
}

// Choose picks a backend. If there is none, busy reports whether a backend was
// excluded only because of its limit.
func (d *Directory) Choose(t *Target, now time.Time, c Criteria) (b *Backend, busy bool) {
	b, busy = d.choose(t, now, c)
	if b == nil || c.Session == 0 || t.AffinitySlack == 0 {
		return b, busy
	}
	home := d.sessionBackend(t.Backends, now, c)
	if home != nil && home.HasCapacity() && home.load() <= b.load()+t.AffinitySlack { // (7)
		return home, false
	}
	return b, false
}

func (d *Directory) choose(t *Target, now time.Time, c Criteria) (b *Backend, busy bool) {
	if !majorityEjected(t.Backends, now) {
		b, atLimit := d.pickOfTwo(t.Backends, now, c, false)
		if b != nil || atLimit {
			return b, b == nil
		}
	}
	b, atLimit := d.pickOfTwo(t.Backends, now, c, true) // an ejected backend is better than none (2)
	return b, b == nil && atLimit
}

// sessionBackend returns the preferred backend of a session by rendezvous
// hashing: the available backend with the highest hash of session and name. All
// boxes find the same one, and few sessions move when backends are added or
// removed (7).
func (d *Directory) sessionBackend(list []*Backend, now time.Time, c Criteria) *Backend {
	var preferred *Backend
	var highest uint64
	for _, b := range list {
		if d.isDraining(b) || b.ejected(now) || contains(c.Tried, b) || d.blocked(b, c.Rank) {
			continue
		}
		var both [16]byte
		binary.LittleEndian.PutUint64(both[:8], c.Session)
		binary.LittleEndian.PutUint64(both[8:], b.hash)
		if h := xxhash.Sum64(both[:]); preferred == nil || h > highest {
			preferred, highest = b, h
		}
	}
	return preferred
}

// majorityEjected reports whether more than half of the backends are ejected (2).
func majorityEjected(list []*Backend, now time.Time) bool {
	ejected := 0
	for _, b := range list {
		if b.ejected(now) {
			ejected++
		}
	}
	return 2*ejected > len(list)
}

// pickOfTwo draws two eligible backends at random and returns the less loaded
// one (3). If fewer than two are eligible, atLimit reports whether a backend was
// excluded only by its limit.
func (d *Directory) pickOfTwo(list []*Backend, now time.Time, c Criteria, ejectedToo bool) (b *Backend, atLimit bool) {
	if len(list) == 0 {
		return nil, false
	}
	eligible := func(b *Backend) bool {
		if d.isDraining(b) || contains(c.Tried, b) || !ejectedToo && b.ejected(now) || d.blocked(b, c.Rank) {
			return false
		}
		free := b.HasCapacity()
		atLimit = atLimit || !free
		return free
	}
	first := firstEligible(list, rand.IntN(len(list)), nil, eligible)
	second := firstEligible(list, rand.IntN(len(list)), first, eligible)
	if first == nil || second == nil {
		return first, atLimit
	}
	return d.lessLoaded(first, second), false // (3)
}

// firstEligible returns the first eligible backend other than except, searching
// from index start and wrapping around.
func firstEligible(list []*Backend, start int, except *Backend, eligible func(*Backend) bool) *Backend {
	for i := range list {
		b := list[(start+i)%len(list)]
		if b != except && eligible(b) {
			return b
		}
	}
	return nil
}

// lessLoaded returns the backend with the lower load, adjusted by the
// preference for the own hall (5) and the penalty for limits (8).
func (d *Directory) lessLoaded(a, b *Backend) *Backend {
	loadA, loadB := a.load()+d.limitLoad(a), b.load()+d.limitLoad(b)
	if a.Hall == d.hall && b.Hall != d.hall { // (5)
		loadA -= localHallBonus
	}
	if b.Hall == d.hall && a.Hall != d.hall {
		loadB -= localHallBonus
	}
	if loadB < loadA {
		return b
	}
	return a
}

func (d *Directory) blocked(b *Backend, rank int) bool {
	_, blocked := d.Blocked(b, rank)
	return blocked
}

// isDraining reports whether a backend is draining, by any source (1).
func (d *Directory) isDraining(b *Backend) bool {
	if b.draining.Load() {
		return true
	}
	_, draining := d.pushback.Draining(b.Name)
	return draining
}

// limitPenalty is the load, as a share of its concurrency, that is added for a
// backend that reports a limit (8).
const limitPenalty = 0.5

// limitLoad returns the load that is added for a backend's reported limit. A
// backend that is due for a probe is preferred over all others.
func (d *Directory) limitLoad(b *Backend) float64 {
	switch {
	case d.pushback.Limit(b.Name) == 0:
		return 0
	case d.pushback.DueForProbe(b.Name):
		return math.Inf(-1)
	}
	return limitPenalty
}

func contains(list []*Backend, b *Backend) bool {
	for _, x := range list {
		if x == b {
			return true
		}
	}
	return false
}
