// Package route chooses the backend server for a request.
//
// Rules:
//
//  1. A backend that is draining, by any source, gets no new requests.
//  2. A backend is ejected when three consecutive answers fail, or more than
//     30 % of its recent answers. It gets no requests until the ejection ends,
//     and then one at a time at first. Ejections are ignored when no other
//     backend is left to try, and while more than half of a target's backends
//     are ejected: then the backends are not the cause.
//  3. Of two backends drawn at random the one with less work relative to its
//     concurrency is chosen. Drawing two keeps the boxes from all choosing the
//     one that was idle in an outdated report.
//  4. Work is this box's own requests in flight, which it knows immediately,
//     plus the work beyond them that the backend reported, which lags.
//  5. A backend in this box's own hall is preferred while the loads are about
//     equal.
//  6. A box keeps no more requests in flight at a backend than its limit there.
//     The limit starts at the backend's concurrency. It decreases by a third
//     when answers are late, refused or broken, at most once a second. It
//     increases by one for each full round of answers that came in time while
//     the limit was reached.
//  7. A request of a session goes to the session's own backend, which caches the
//     prefix of its prompt, unless that backend's load exceeds the load of the
//     one chosen otherwise by more than the fleet file's affinity-slack, as a
//     share of its concurrency.
//  8. A backend that has reached its own reported limit, or is in backoff
//     (package pushback), is skipped. One that reports a limit counts as partly
//     loaded: requests go to the others first.
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

// Target is a destination that requests can name: a model, an adapter or a
// service.
type Target struct {
	Name     string
	Class    *fleet.Class
	Service  *fleet.Service // nil for models
	Backends []*Backend
	// AffinitySlack is the maximum additional load of a session's backend (7).
	AffinitySlack float64
}

// Table maps names to targets. It is immutable.
type Table struct {
	Models   map[string]*Target // models and adapters
	Services map[string]*Target
	Index    uint64
}

// Directory builds tables and keeps the state of the backends between them.
type Directory struct {
	hall     string
	pushback *pushback.Registry // nil if backends report no limits

	mu         sync.Mutex
	backends   map[string]*Backend
	terminated map[string]bool // servers whose machines the platform lists as being terminated
	// incarnations maps servers to their incarnations, where known.
	incarnations map[string]string
	view         *state.State // source of the next table; nil if unchanged
	table        atomic.Pointer[Table]
	stale        atomic.Bool
}

// SetPushback makes the directory honor the limits and backoffs that backends
// report (8). It must be called before requests are routed.
func (d *Directory) SetPushback(registry *pushback.Registry) { d.pushback = registry }

// Blocked reports whether a backend accepts no request of a rank now, why, and
// for how long (8).
func (d *Directory) Blocked(b *Backend, rank int) (pushback.Block, bool) {
	if !d.pushback.Active() {
		return pushback.Block{}, false
	}
	return d.pushback.Blocked(b.Name, rank)
}

// NewDirectory returns an empty directory for a box in the given hall.
func NewDirectory(hall string) *Directory {
	d := &Directory{hall: hall, backends: map[string]*Backend{}, terminated: map[string]bool{}, incarnations: map[string]string{}}
	d.table.Store(&Table{})
	return d
}

// Table returns the current table. The table is built on demand: a box whose
// callers all use routes by host and path never builds one.
func (d *Directory) Table() *Table {
	if d.stale.Load() {
		d.mu.Lock()
		d.build()
		d.mu.Unlock()
	}
	return d.table.Load()
}

// Backends returns the backends of the current table.
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

// SetTerminatedServers records the servers whose machines the platform lists as
// being terminated, and reports whether the list changed.
func (d *Directory) SetTerminatedServers(names map[string]bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := !maps.Equal(d.terminated, names)
	d.terminated = names
	return changed
}

// TerminatedServers returns the servers whose machines the platform lists as being
// terminated. The map must not be modified.
func (d *Directory) TerminatedServers() map[string]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.terminated
}

// Update sets the replicated state from which the next table is built.
func (d *Directory) Update(view *state.State) {
	if view.Fleet == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.view = view
	d.stale.Store(true)
}

// build builds the table from the latest state. d.mu must be held.
func (d *Directory) build() {
	view := d.view
	if view == nil {
		return
	}
	d.view = nil
	d.updateBackends(view.Fleet)
	d.updateIncarnations(view)
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
	d.addResidents(t, view)
	d.table.Store(t)
	d.stale.Store(false)
}

// updateBackends updates the backends to match the fleet file.
func (d *Directory) updateBackends(f *fleet.Fleet) {
	next := map[string]*Backend{}
	for name, s := range f.Servers {
		next[name] = d.reuse(&Backend{Name: name, Address: s.Address, Hall: s.Hall, Concurrency: s.Kind.Concurrency, ResumesStreams: s.Kind.ResumesStreams})
	}
	for name, i := range f.Instances {
		next[name] = d.reuse(&Backend{Name: name, Address: i.Address, Hall: i.Hall, Concurrency: i.Concurrency})
	}
	d.backends = next
}

// updateIncarnations forgets the reported limits of servers that have a new
// incarnation.
func (d *Directory) updateIncarnations(view *state.State) {
	for name := range view.Fleet.Servers {
		incarnation := view.Servers.Get(name).GetIncarnation()
		if incarnation == "" {
			continue
		}
		if previous := d.incarnations[name]; previous != "" && incarnation != previous {
			d.pushback.Forget(name)
		}
		d.incarnations[name] = incarnation
	}
	maps.DeleteFunc(d.incarnations, func(name, _ string) bool { return view.Fleet.Servers[name] == nil })
}

// reuse returns the known backend if its settings are unchanged, else next.
func (d *Directory) reuse(next *Backend) *Backend {
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
		if !i.Draining && !d.terminated[i.Name] && !view.Evacuated(i.Hall) {
			t.Backends = append(t.Backends, d.backends[i.Name])
		}
	}
	return t
}

// addResidents adds to each model and adapter the servers where it is ready.
// Copies of an old version are used until one of the configured version is
// ready.
func (d *Directory) addResidents(t *Table, view *state.State) {
	ready := readyModels(view)
	currentReady := map[string]bool{}
	for p, r := range view.Residents.All() {
		if d.canServe(view, ready, p, r) && p.Version == configuredVersion(view.Fleet, p) {
			currentReady[itemName(p)] = true
		}
	}
	for p, r := range view.Residents.All() {
		target := t.Models[itemName(p)]
		if target == nil || !d.canServe(view, ready, p, r) {
			continue
		}
		if currentReady[itemName(p)] && p.Version != configuredVersion(view.Fleet, p) {
			continue
		}
		target.Backends = append(target.Backends, d.backends[p.Server])
	}
}

func itemName(p ledger.Location) string {
	if p.Adapter != "" {
		return p.Adapter
	}
	return p.Model
}

func configuredVersion(f *fleet.Fleet, p ledger.Location) string {
	if a := f.Adapters[p.Adapter]; a != nil {
		return a.Version
	}
	if m := f.Models[p.Model]; m != nil && p.Adapter == "" {
		return m.Version
	}
	return ""
}

// canServe reports whether a copy can serve requests: it is ready, an adapter has
// its model ready on the same accelerator, and the server is not draining,
// terminated or in an evacuated hall.
func (d *Directory) canServe(view *state.State, ready map[modelLocation]bool, p ledger.Location, r *wire.Resident) bool {
	if p.Adapter != "" && !ready[modelLocation{p.Server, p.Accelerator, p.Model}] {
		return false
	}
	s := view.Fleet.Servers[p.Server]
	if r.Phase != wire.Phase_PHASE_READY || s == nil || s.Draining { // (1)
		return false
	}
	return !view.Servers.Get(p.Server).GetLeaving() && !d.terminated[p.Server] && !view.Evacuated(s.Hall)
}

// modelLocation is an accelerator where some version of a model is ready.
type modelLocation struct {
	server      string
	accelerator uint32
	model       string
}

func readyModels(view *state.State) map[modelLocation]bool {
	ready := map[modelLocation]bool{}
	for p, r := range view.Residents.All() {
		if p.Adapter == "" && r.Phase == wire.Phase_PHASE_READY {
			ready[modelLocation{p.Server, p.Accelerator, p.Model}] = true
		}
	}
	return ready
}
