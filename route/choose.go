package route

import (
	"math/rand/v2"
	"time"
)

// hallBonus is how much more load, as a share of its size, a backend in the
// own hall may have and still be preferred (5).
const hallBonus = 0.1

// Choose picks a backend, passing over those in tried. Without one it reports
// whether some could be taken but for their limits.
func (d *Directory) Choose(t *Target, now time.Time, tried []*Backend) (b *Backend, busy bool) {
	if !mostEjected(t.Backends, now) {
		b, full := d.draw(t.Backends, now, tried, false)
		if b != nil || full {
			return b, b == nil
		}
	}
	b, full := d.draw(t.Backends, now, tried, true) // better than none (2)
	return b, b == nil && full
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

func (d *Directory) draw(list []*Backend, now time.Time, tried []*Backend, ejectedToo bool) (b *Backend, full bool) {
	if len(list) == 0 {
		return nil, false
	}
	may := func(b *Backend) bool {
		if b.leaving.Load() || contains(tried, b) || !ejectedToo && b.ejected(now) {
			return false
		}
		room := b.HasRoom()
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
	loadA, loadB := a.load(), b.load()
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

func contains(list []*Backend, b *Backend) bool {
	for _, x := range list {
		if x == b {
			return true
		}
	}
	return false
}
