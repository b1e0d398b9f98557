// Package route chooses the backend server for a request.
//
// Rules:
//
//  1. A backend that leaves, by whichever word, gets nothing new.
//  2. A backend is ejected when three answers in a row fail, or more than 30 % of
//     them lately. It gets nothing until its time is up, and then one request at
//     first. Ejections do not count where no other backend is left to try, and
//     while more than half of a target's are ejected: then the fault is not theirs.
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
//  7. A request of a session goes to the session's own backend, which keeps the
//     prefix of its prompt, unless that one is busier than the one chosen
//     otherwise by more than the fleet file's affinity-slack, as a share of its
//     size.
//  8. A backend that is at the limit that it names, or rests (package pushback), is skipped. One that names a limit counts as
//     taken to a good part: work goes to the others first.
package route

import (
	"maps"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"leverdrum/fleet"
	"leverdrum/ledger"
	"leverdrum/pushback"
	"leverdrum/state"
	"leverdrum/wire"
)

// Target is what a request may go to.
type Target struct {
	Name     string
	Class    *fleet.Class
	Service  *fleet.Service // nil for models
	Backends []*Backend
	// AffinitySlack is how much busier a session's backend may be (7).
	AffinitySlack float64
}

// Table maps names to targets. It does not change.
type Table struct {
	Models   map[string]*Target // models and adapters
	Services map[string]*Target
	Index    uint64
}

// Directory makes tables and keeps the backends between them.
type Directory struct {
	hall     string
	pushback *pushback.Registry // nil: no backend says anything of itself

	mu       sync.Mutex
	backends map[string]*Backend
	gone     map[string]bool // machines that leave, by the platform's list
	// lives are the incarnations of the servers, where they are known.
	lives map[string]string
	view  *state.State // what the next table is to be made from, nil: nothing new
	table atomic.Pointer[Table]
	stale atomic.Bool
}

// SetPushback has the directory keep to what backends say of themselves (8). It must be called before requests are routed.
func (d *Directory) SetPushback(said *pushback.Registry) { d.pushback = said }

// Blocked reports whether a backend takes no request of a rank now, why, and for how long yet (8).
func (d *Directory) Blocked(b *Backend, rank int) (pushback.Block, bool) {
	if !d.pushback.Active() {
		return pushback.Block{}, false
	}
	return d.pushback.Blocked(b.Name, rank)
}

// NewDirectory returns an empty directory for a box in the hall.
func NewDirectory(hall string) *Directory {
	d := &Directory{hall: hall, backends: map[string]*Backend{}, gone: map[string]bool{}, lives: map[string]string{}}
	d.table.Store(&Table{})
	return d
}

// Table returns the newest table. It is made when it is asked for: a box whose
// callers all come by host and path spends nothing on it.
func (d *Directory) Table() *Table {
	if d.stale.Load() {
		d.mu.Lock()
		d.build()
		d.mu.Unlock()
	}
	return d.table.Load()
}

// Backends returns the backends of the newest table.
func (d *Directory) Backends() map[string]*Backend {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.build()
	m := make(map[string]*Backend, len(d.backends))
	for k, v := range d.backends {
		m[k] = v
	}
	return m
}

// SetTerminatedServers takes over the platform's word on who leaves, and reports whether it
// changed.
func (d *Directory) SetTerminatedServers(names map[string]bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := !maps.Equal(d.gone, names)
	d.gone = names
	return changed
}

// TerminatedServers returns the machines that leave, by the platform's list. The map must
// not be changed.
func (d *Directory) TerminatedServers() map[string]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.gone
}

// Update takes over the agreed state for the next table.
func (d *Directory) Update(view *state.State) {
	if view.Fleet == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.view = view
	d.stale.Store(true)
}

// build makes a table from what was taken over last.
func (d *Directory) build() {
	view := d.view
	if view == nil {
		return
	}
	d.view = nil
	d.refresh(view.Fleet)
	d.noteLives(view)
	t := &Table{Models: map[string]*Target{}, Services: map[string]*Target{}, Index: view.Index}
	for name, m := range view.Fleet.Models {
		t.Models[name] = &Target{Name: name, Class: m.Class, AffinitySlack: view.Fleet.AffinitySlack}
	}
	for name, a := range view.Fleet.Adapters {
		t.Models[name] = &Target{Name: name, Class: view.Fleet.Models[a.Model].Class, AffinitySlack: view.Fleet.AffinitySlack}
	}
	for name, s := range view.Fleet.Services {
		t.Services[name] = d.serviceTarget(view, name, s)
	}
	d.placeResidents(t, view)
	d.table.Store(t)
	d.stale.Store(false)
}

// refresh makes the list of backends match the fleet file.
func (d *Directory) refresh(f *fleet.Fleet) {
	next := map[string]*Backend{}
	for name, s := range f.Servers {
		next[name] = d.keep(&Backend{Name: name, Address: s.Address, Hall: s.Hall, Concurrency: s.Kind.Concurrency, ResumesStreams: s.Kind.Resumes})
	}
	for name, i := range f.Instances {
		next[name] = d.keep(&Backend{Name: name, Address: i.Address, Hall: i.Hall, Concurrency: i.Concurrency})
	}
	d.backends = next
}

// noteLives forgets what servers said that have begun another life since.
func (d *Directory) noteLives(view *state.State) {
	for name := range view.Fleet.Servers {
		life := view.Servers.Get(name).GetIncarnation()
		if life == "" {
			continue
		}
		if before := d.lives[name]; before != "" && life != before {
			d.pushback.Forget(name)
		}
		d.lives[name] = life
	}
	maps.DeleteFunc(d.lives, func(name, _ string) bool { return view.Fleet.Servers[name] == nil })
}

// keep returns the backend that is known already if it is the same.
func (d *Directory) keep(next *Backend) *Backend {
	b := d.backends[next.Name]
	if b != nil && b.Address == next.Address && b.Hall == next.Hall && b.Concurrency == next.Concurrency && b.ResumesStreams == next.ResumesStreams {
		return b
	}
	if b != nil && b.Address != next.Address {
		d.pushback.Forget(next.Name)
	}
	next.limit, next.hash = float64(next.Concurrency), xxhash.Sum64String(next.Name)
	return next
}

func (d *Directory) serviceTarget(view *state.State, name string, s *fleet.Service) *Target {
	t := &Target{Name: name, Class: s.Class, Service: s}
	for _, i := range s.Instances {
		if !i.Leaving && !d.gone[i.Name] && !view.Evacuated(i.Hall) {
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
	for p, r := range view.Residents.All() {
		if d.serves(view, bases, p, r) && p.Version == wantedVersion(view.Fleet, p) {
			wanted[nameOf(p)] = true
		}
	}
	for p, r := range view.Residents.All() {
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

func nameOf(p ledger.Location) string {
	if p.Adapter != "" {
		return p.Adapter
	}
	return p.Model
}

func wantedVersion(f *fleet.Fleet, p ledger.Location) string {
	if a := f.Adapters[p.Adapter]; a != nil {
		return a.Version
	}
	if m := f.Models[p.Model]; m != nil && p.Adapter == "" {
		return m.Version
	}
	return ""
}

func (d *Directory) serves(view *state.State, bases map[base]bool, p ledger.Location, r *wire.Resident) bool {
	if p.Adapter != "" && !bases[base{p.Server, p.Accelerator, p.Model}] {
		return false
	}
	s := view.Fleet.Servers[p.Server]
	if r.Phase != wire.Phase_PHASE_READY || s == nil || s.Leaving { // (1)
		return false
	}
	return !view.Servers.Get(p.Server).GetLeaving() && !d.gone[p.Server] && !view.Evacuated(s.Hall)
}

// base is where a model is ready, in whatever version.
type base struct {
	server      string
	accelerator uint32
	model       string
}

func readyBases(view *state.State) map[base]bool {
	bases := map[base]bool{}
	for p, r := range view.Residents.All() {
		if p.Adapter == "" && r.Phase == wire.Phase_PHASE_READY {
			bases[base{p.Server, p.Accelerator, p.Model}] = true
		}
	}
	return bases
}
