// Package route chooses the backend server for a request.
//
// Rules:
//
//  1. A backend that leaves, by whichever word, gets nothing new.
//  2. An ejected backend gets nothing until its time is up, unless all are
//     ejected.
//  3. Of two backends drawn at random the one with less work for its size is
//     taken. Drawing two keeps the boxes from running together to the one that
//     looked idle in an old report.
//  4. Work is counted from this box's own requests in flight, which it knows at
//     once, plus what the backend reported beyond them, which lags.
//  5. A backend in this box's own hall is preferred while its load is about the
//     same.
//  6. A box keeps no more requests in flight at a backend than its limit there.
//     The limit starts at the backend's size, falls by a third when answers come
//     late, are refused or break, at most once a second, and grows by one for
//     each full round of answers that came in time while it was reached.
package route

import (
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"leverdrum/fleet"
	"leverdrum/ledger"
	"leverdrum/state"
	"leverdrum/wire"
)

// Backend is one backend server as this box sees it. Its counters live on from
// table to table.
type Backend struct {
	Name        string
	Address     string
	Hall        string
	Concurrency int
	// Resumes tells that it goes on with streams that others began.
	Resumes bool

	inFlight     atomic.Int64
	reported     atomic.Int64 // work of others, from the last report
	ejectedUntil atomic.Int64 // unix nanoseconds
	failures     atomic.Int32 // in a row
	leaving      atomic.Bool

	limitMu sync.Mutex
	limit   float64
	shrunk  time.Time
}

// Begin counts a request in.
func (b *Backend) Begin() { b.inFlight.Add(1) }

// End counts a request out.
func (b *Backend) End() { b.inFlight.Add(-1) }

// InFlight returns this box's own requests in flight.
func (b *Backend) InFlight() int64 { return b.inFlight.Load() }

const (
	// shrinkBy and shrinkEvery are how a limit falls (6).
	shrinkBy    = 2.0 / 3
	shrinkEvery = time.Second
	// mostOver is how far above a backend's size its limit may grow.
	mostOver = 2
)

// HasRoom reports whether the box's limit at the backend is not reached (6).
func (b *Backend) HasRoom() bool {
	b.limitMu.Lock()
	defer b.limitMu.Unlock()
	return float64(b.inFlight.Load()) < b.limit
}

// Limit returns how many requests the box keeps in flight at most (6).
func (b *Backend) Limit() float64 {
	b.limitMu.Lock()
	defer b.limitMu.Unlock()
	return b.limit
}

// InTime lets the limit grow (6).
func (b *Backend) InTime() {
	b.limitMu.Lock()
	defer b.limitMu.Unlock()
	if float64(b.inFlight.Load()) >= b.limit-1 {
		b.limit = min(b.limit+1/b.limit, float64(b.Concurrency*mostOver))
	}
}

// TooLate makes the limit fall (6).
func (b *Backend) TooLate(now time.Time) {
	b.limitMu.Lock()
	defer b.limitMu.Unlock()
	if now.Sub(b.shrunk) < shrinkEvery {
		return
	}
	b.shrunk = now
	b.limit = max(1, b.limit*shrinkBy)
}

// Report takes over what the backend says it runs and queues (4).
func (b *Backend) Report(work int) { b.reported.Store(max(0, int64(work)-b.inFlight.Load())) }

// SetLeaving takes over the backend's own or the platform's word.
func (b *Backend) SetLeaving(v bool) { b.leaving.Store(v) }

// load is the work for the backend's size (4).
func (b *Backend) load() float64 {
	return float64(b.inFlight.Load()+b.reported.Load()) / float64(b.Concurrency)
}

const (
	// ejectAfter is how many failures in a row take a backend out.
	ejectAfter = 3
	// ejectFor is how long it stays out the first time; it doubles from time to
	// time up to ejectMost.
	ejectFor  = 500 * time.Millisecond
	ejectMost = 30 * time.Second
)

// Failed notes a failure, and reports whether it took the backend out (2).
func (b *Backend) Failed(now time.Time) bool {
	n := b.failures.Add(1)
	if n < ejectAfter {
		return false
	}
	out := min(ejectFor<<min(n-ejectAfter, 8), ejectMost)
	b.ejectedUntil.Store(now.Add(out).UnixNano())
	return true
}

// Succeeded notes an answer.
func (b *Backend) Succeeded() { b.failures.Store(0) }

func (b *Backend) ejected(now time.Time) bool { return b.ejectedUntil.Load() > now.UnixNano() }

// Target is what a request may go to.
type Target struct {
	Name     string
	Class    *fleet.Class
	Service  *fleet.Service // nil for models
	Backends []*Backend
}

// Table maps names to targets. It does not change.
type Table struct {
	Models   map[string]*Target // models and adapters
	Services map[string]*Target
	Index    uint64
}

// Directory makes tables and keeps the backends between them.
type Directory struct {
	hall string

	mu       sync.Mutex
	backends map[string]*Backend
	gone     map[string]bool // machines that leave, by the platform's list
	table    atomic.Pointer[Table]
}

// NewDirectory returns an empty directory for a box in the hall.
func NewDirectory(hall string) *Directory {
	d := &Directory{hall: hall, backends: map[string]*Backend{}, gone: map[string]bool{}}
	d.table.Store(&Table{})
	return d
}

// Table returns the newest table.
func (d *Directory) Table() *Table { return d.table.Load() }

// Backends returns the backends of the newest table.
func (d *Directory) Backends() map[string]*Backend {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := make(map[string]*Backend, len(d.backends))
	for k, v := range d.backends {
		m[k] = v
	}
	return m
}

// SetGone takes over the platform's word on who leaves, and reports whether it
// changed.
func (d *Directory) SetGone(names map[string]bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := !maps.Equal(d.gone, names)
	d.gone = names
	return changed
}

// Gone returns the machines that leave, by the platform's list. The map must
// not be changed.
func (d *Directory) Gone() map[string]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.gone
}

// Update makes a table from the agreed state.
func (d *Directory) Update(view *state.State) {
	if view.Fleet == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh(view.Fleet)
	t := &Table{Models: map[string]*Target{}, Services: map[string]*Target{}, Index: view.Index}
	for name, m := range view.Fleet.Models {
		t.Models[name] = &Target{Name: name, Class: m.Class}
	}
	for name, a := range view.Fleet.Adapters {
		t.Models[name] = &Target{Name: name, Class: view.Fleet.Models[a.Model].Class}
	}
	for name, s := range view.Fleet.Services {
		t.Services[name] = d.serviceTarget(name, s)
	}
	d.placeResidents(t, view)
	d.table.Store(t)
}

// refresh makes the list of backends match the fleet file.
func (d *Directory) refresh(f *fleet.Fleet) {
	next := map[string]*Backend{}
	for name, s := range f.Servers {
		next[name] = d.keep(&Backend{Name: name, Address: s.Address, Hall: s.Hall, Concurrency: s.Kind.Concurrency, Resumes: s.Kind.Resumes})
	}
	for name, i := range f.Instances {
		next[name] = d.keep(&Backend{Name: name, Address: i.Address, Hall: i.Hall, Concurrency: i.Concurrency})
	}
	d.backends = next
}

// keep returns the backend that is known already if it is the same.
func (d *Directory) keep(next *Backend) *Backend {
	b := d.backends[next.Name]
	if b != nil && b.Address == next.Address && b.Hall == next.Hall && b.Concurrency == next.Concurrency && b.Resumes == next.Resumes {
		return b
	}
	next.limit = float64(next.Concurrency)
	return next
}

func (d *Directory) serviceTarget(name string, s *fleet.Service) *Target {
	t := &Target{Name: name, Class: s.Class, Service: s}
	for _, i := range s.Instances {
		if !i.Leaving && !d.gone[i.Name] {
			t.Backends = append(t.Backends, d.backends[i.Name])
		}
	}
	return t
}

// placeResidents lists, under each model and adapter, the servers where it is
// ready. Copies of an old version serve until one of the wanted is ready.
func (d *Directory) placeResidents(t *Table, view *state.State) {
	bases := readyBases(view)
	wanted := map[string]bool{}
	for p, r := range view.Residents {
		if d.serves(view, bases, p, r) && p.Version == wantedVersion(view.Fleet, p) {
			wanted[nameOf(p)] = true
		}
	}
	for p, r := range view.Residents {
		target := t.Models[nameOf(p)]
		if target == nil || !d.serves(view, bases, p, r) {
			continue
		}
		if wanted[nameOf(p)] && p.Version != wantedVersion(view.Fleet, p) {
			continue
		}
		target.Backends = append(target.Backends, d.backends[p.Server])
	}
}

func nameOf(p ledger.Place) string {
	if p.Adapter != "" {
		return p.Adapter
	}
	return p.Model
}

func wantedVersion(f *fleet.Fleet, p ledger.Place) string {
	if a := f.Adapters[p.Adapter]; a != nil {
		return a.Version
	}
	if m := f.Models[p.Model]; m != nil && p.Adapter == "" {
		return m.Version
	}
	return ""
}

func (d *Directory) serves(view *state.State, bases map[base]bool, p ledger.Place, r *wire.Resident) bool {
	if p.Adapter != "" && !bases[base{p.Server, p.Accelerator, p.Model}] {
		return false
	}
	s := view.Fleet.Servers[p.Server]
	if r.Phase != wire.Phase_PHASE_READY || s == nil || s.Leaving { // (1)
		return false
	}
	return !view.Servers[p.Server].GetLeaving() && !d.gone[p.Server]
}

// base is where a model is ready, in whatever version.
type base struct {
	server      string
	accelerator uint32
	model       string
}

func readyBases(view *state.State) map[base]bool {
	bases := map[base]bool{}
	for p, r := range view.Residents {
		if p.Adapter == "" && r.Phase == wire.Phase_PHASE_READY {
			bases[base{p.Server, p.Accelerator, p.Model}] = true
		}
	}
	return bases
}

// hallBonus is how much more load, as a share of its size, a backend in the
// own hall may have and still be preferred (5).
const hallBonus = 0.1

// Choose picks a backend, passing over those in tried. Without one it reports
// whether some could be taken but for their limits.
func (d *Directory) Choose(t *Target, now time.Time, tried []*Backend) (b *Backend, busy bool) {
	for _, ejectedToo := range []bool{false, true} { // (2)
		b, full := d.draw(t.Backends, now, tried, ejectedToo)
		if b != nil {
			return b, false
		}
		if full {
			return nil, true
		}
	}
	return nil, false
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
