package route

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// hallBonus is how much more load, as a share of its size, a backend in the
// own hall may have and still be preferred (5).
const hallBonus = 0.1

// Criteria is what a request asks of the choice besides its target.
type Criteria struct {
	// Tried are backends to pass over.
	Tried []*Backend
	// Rank is the urgency of the request, 0 the highest.
	Rank int
	// Session is the hash of the session that the request belongs to, 0 for none.
	Session uint64
}

// Choose picks a backend. Without one it reports whether some could be taken but
// for their limits.
func (d *Directory) Choose(t *Target, now time.Time, w Criteria) (b *Backend, busy bool) {
	b, busy = d.choose(t, now, w)
	if b == nil || w.Session == 0 || t.AffinitySlack == 0 {
		return b, busy
	}
	home := d.homeOf(t.Backends, now, w)
	if home != nil && home.HasCapacity() && home.load() <= b.load()+t.AffinitySlack { // (7)
		return home, false
	}
	return b, false
}

func (d *Directory) choose(t *Target, now time.Time, w Criteria) (b *Backend, busy bool) {
	if !mostEjected(t.Backends, now) {
		b, full := d.draw(t.Backends, now, w, false)
		if b != nil || full {
			return b, b == nil
		}
	}
	b, full := d.draw(t.Backends, now, w, true) // better than none (2)
	return b, b == nil && full
}

// homeOf returns the session's backend: the one of those that work with the
// highest hash of both, so that all boxes find the same one and few sessions move
// when backends come and go (7).
func (d *Directory) homeOf(list []*Backend, now time.Time, w Criteria) *Backend {
	var home *Backend
	var highest uint64
	for _, b := range list {
		if d.drains(b) || b.ejected(now) || contains(w.Tried, b) || d.blocked(b, w.Rank) {
			continue
		}
		var both [16]byte
		binary.LittleEndian.PutUint64(both[:8], w.Session)
		binary.LittleEndian.PutUint64(both[8:], b.hash)
		if h := xxhash.Sum64(both[:]); home == nil || h > highest {
			home, highest = b, h
		}
	}
	return home
}

// mostEjected is the end of rule 2.
func mostEjected(list []*Backend, now time.Time) bool {
	out := 0
	for _, b := range list {
		if b.ejected(now) {
			out++
		}
	}
	return 2*out > len(list)
}

func (d *Directory) draw(list []*Backend, now time.Time, w Criteria, ejectedToo bool) (b *Backend, full bool) {
	if len(list) == 0 {
		return nil, false
	}
	may := func(b *Backend) bool {
		if d.drains(b) || contains(w.Tried, b) || !ejectedToo && b.ejected(now) || d.blocked(b, w.Rank) {
			return false
		}
		room := b.HasCapacity()
		full = full || !room
		return room
	}
	first := firstFrom(list, rand.IntN(len(list)), nil, may)
	second := firstFrom(list, rand.IntN(len(list)), first, may)
	if first == nil || second == nil {
		return first, full
	}
	return d.less(first, second), false // (3)
}

// firstFrom returns the first backend that may be taken, beginning at start and
// passing over one.
func firstFrom(list []*Backend, start int, not *Backend, may func(*Backend) bool) *Backend {
	for i := range list {
		b := list[(start+i)%len(list)]
		if b != not && may(b) {
			return b
		}
	}
	return nil
}

func (d *Directory) less(a, b *Backend) *Backend {
	loadA, loadB := a.load()+d.limited(a), b.load()+d.limited(b)
	if a.Hall == d.hall && b.Hall != d.hall { // (5)
		loadA -= hallBonus
	}
	if b.Hall == d.hall && a.Hall != d.hall {
		loadB -= hallBonus
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

// drains reports whether a backend leaves, by whichever word (1).
func (d *Directory) drains(b *Backend) bool {
	if b.leaving.Load() {
		return true
	}
	_, drains := d.pushback.Draining(b.Name)
	return drains
}

// limitedLoad is how much more load, as a share of its size, a backend with a limit counts as having (8).
const limitedLoad = 0.5

// limited is the load that a backend counts as having for its limit. One that is due for a try is taken.
func (d *Directory) limited(b *Backend) float64 {
	switch {
	case d.pushback.Limit(b.Name) == 0:
		return 0
	case d.pushback.DueForProbe(b.Name):
		return math.Inf(-1)
	}
	return limitedLoad
}

func contains(list []*Backend, b *Backend) bool {
	for _, x := range list {
		if x == b {
			return true
		}
	}
	return false
}
