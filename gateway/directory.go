package gateway

import (
	"cmp"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"leverdrum/dialect"
	"leverdrum/fleet"
	"leverdrum/internal/attest"
	"leverdrum/internal/liveness"
	"leverdrum/ledger"
	"leverdrum/pushback"
	"leverdrum/state"
	"leverdrum/wire"
)

// table is the immutable data by which requests are routed.
type table struct {
	number uint64 // configuration number
	index  uint64 // log index of the entry that set the configuration
	routes *fleet.RouteTable
	limits fleet.Limits
	pools  map[string]*pool
	fleet  *fleet.Fleet
	// hasEvacuations reports whether some data hall is evacuated.
	hasEvacuations bool
}

// directory builds tables from the committed state and keeps the servers across tables.
//
// The cost of an update depends on what changed and on what this box uses: the state has indexes
// of servers by service and by model, the list of a pool is built when a request first needs it,
// and only servers that were in a list are tracked here.
type directory struct {
	hall     string
	regionOf func(hall string) string
	// drainingDuration is how long a draining server is used as a last resort.
	drainingDuration time.Duration
	// confirmedAge returns how long ago a leader confirmed that there was nothing newer than an index; nil if that is not known.
	confirmedAge func(index uint64) (time.Duration, bool)
	pushback     *pushback.Registry // nil: servers report no limits or backoff
	dialer       Dialer
	dialect      *dialect.Dialect // set once the gateway has them
	headers      *attest.Headers
	links        *links // set once the gateway has them
	relays       *relays

	mu            sync.Mutex
	view          *state.State                  // the newest state
	servers       map[string]*server            // tracked servers by id
	drainingSince map[string]time.Time          // since when this box saw each server drain, tracked or not
	loadingSince  map[ledger.Location]time.Time // since when this box saw each load under way
	evictions     map[string]*eviction          // evictions under way, by the model that needs the memory
	lastPruned    time.Time                     // when unused servers were last removed
	boxCount      atomic.Int64
	seed          uint64 // specific to this process
	current       atomic.Pointer[table]
	updated       atomic.Pointer[chan struct{}]
}

func newDirectory(hall string, drainingDuration time.Duration, registry *pushback.Registry) *directory {
	d := &directory{seed: rand.Uint64(), hall: hall, regionOf: func(string) string { return "" }, drainingDuration: drainingDuration, pushback: registry, dialer: dialTCP, servers: map[string]*server{}, drainingSince: map[string]time.Time{}, loadingSince: map[ledger.Location]time.Time{}, evictions: map[string]*eviction{}}
	d.current.Store(&table{})
	first := make(chan struct{})
	d.updated.Store(&first)
	d.boxCount.Store(1)
	return d
}

func (d *directory) table() *table { return d.current.Load() }

// boxes returns the number of boxes that share budgets and connections.
func (d *directory) boxes() int { return int(d.boxCount.Load()) }

// nextUpdate returns a channel that is closed when the next table is set.
func (d *directory) nextUpdate() <-chan struct{} { return *d.updated.Load() }

func (d *directory) update(view *state.State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.boxCount.Store(int64(max(1, len(view.Members))))
	if view.Fleet == nil {
		return
	}
	before := d.view
	d.view = view
	t := &table{
		number: view.Version.GetNumber(), index: view.Version.GetIndex(), limits: view.Fleet.Limits,
		pools: map[string]*pool{}, fleet: view.Fleet, hasEvacuations: len(view.Evacuations) > 0,
	}
	// Servers change far more often than routes, so that the route table is reused.
	if old := d.current.Load(); old.routes != nil && old.index == t.index {
		t.routes = old.routes
	} else {
		t.routes = fleet.NewRouteTable(view.Fleet.Routes)
	}
	for name, p := range view.Fleet.Pools {
		t.pools[name] = newPool(p, d, view)
	}
	now := time.Now()
	d.trackDraining(now, before)
	d.syncServers(now)
	d.recordLoading(t, view, now)
	d.recordEvictions(t, view, now)
	d.current.Store(t)
	next := make(chan struct{})
	close(*d.updated.Swap(&next))
}

// trackDraining records since when servers have been draining. The time for which a draining
// server is used counts from there, also at a box that first needs the server later.
func (d *directory) trackDraining(now time.Time, before *state.State) {
	for id := range d.drainingSince {
		if a := d.view.Announcements.Get(id); a == nil || !a.Leaving {
			delete(d.drainingSince, id)
		}
	}
	since := now.Add(-d.lateBy(before))
	for _, id := range d.view.Announcements.Draining() {
		if _, known := d.drainingSince[id]; !known {
			d.drainingSince[id] = since
		}
	}
}

// lateBy returns how long ago what is new since an earlier state may have been acknowledged; 0 if that is not known.
func (d *directory) lateBy(before *state.State) time.Duration {
	if before == nil || d.confirmedAge == nil {
		return 0
	}
	age, _ := d.confirmedAge(before.Index)
	return max(0, age)
}

// syncServers brings the tracked servers in line with the announcements. A server that was removed
// keeps its requests; its idle connections are closed.
func (d *directory) syncServers(now time.Time) {
	prune := now.Sub(d.lastPruned) >= pruneEvery
	if prune {
		d.lastPruned = now
	}
	for id, s := range d.servers {
		a := d.view.Announcements.Get(id)
		if a == nil || a.Address != s.address || prune && s.unused(now) {
			s.pool.close()
			delete(d.servers, id)
			continue
		}
		d.sync(s, a)
	}
}

// serverByID returns the server with an id, or nil where a newer state no longer has it.
func (d *directory) serverByID(id string) *server {
	if s := d.servers[id]; s != nil {
		return s
	}
	a := d.view.Announcements.Get(id)
	if a == nil {
		return nil
	}
	s := newServer(a)
	s.region = d.regionOf(a.Hall)
	s.pool.dialer, s.pool.links, s.pool.server = d.dialer, d.links, s.id
	probe := &endProbe{server: s, dialect: d.dialect, names: d.headers, path: func() string { return d.healthCheckPath(s.service) }}
	s.checker = liveness.NewChecker(probe.run)
	d.servers[id] = s
	d.sync(s, a)
	return s
}

// sync applies the committed state of a server.
func (d *directory) sync(s *server, a *wire.Announcement) {
	s.unresponsive.Store(a.Silent)
	s.evacuated.Store(d.view.Evacuated(a.Hall))
	if since, draining := d.pushback.Draining(a.Id); draining {
		d.markDraining(s, time.Now().Add(-since))
	}
	if since, draining := d.drainingSince[a.Id]; draining {
		d.markDraining(s, since)
	}
	if p := d.view.Fleet.Pools[a.Service]; p != nil && p.MaxConnections > 0 {
		s.pool.setLimit(connectionLimit(p.MaxConnections, d.boxes()))
	}
}

// markDraining marks a server as draining since a time, unless it is marked already.
func (d *directory) markDraining(s *server, since time.Time) {
	if s.markDraining(since) {
		time.AfterFunc(d.drainingDuration-time.Since(since), s.pool.close)
	}
}

// recordDraining records that a server reported in a response that it is draining.
func (d *directory) recordDraining(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.servers[id]; s != nil {
		d.markDraining(s, time.Now())
	}
}

const (
	// minConnections is the least number of connections that a box may open to one server, unless
	// all boxes together would exceed the server's maximum.
	minConnections = 4
	// connectionShare is the percentage of a server's maximum of connections that all boxes
	// together use.
	connectionShare = 90
	// pruneEvery is the interval between removals of unused servers.
	pruneEvery = 10 * time.Second
)

// connectionLimit returns how many connections one box may open to a server that allows the given
// number for all boxes.
func connectionLimit(maxConnections, boxes int) int {
	if share := maxConnections * connectionShare / 100 / boxes; share >= minConnections {
		return share
	}
	return max(1, min(minConnections, maxConnections/boxes))
}

// recordLoading sets when items with a load order are expected to be ready.
func (d *directory) recordLoading(t *table, view *state.State, now time.Time) {
	for location := range d.loadingSince {
		if view.Residents.Get(location).GetPhase() != wire.Phase_PHASE_LOADING {
			delete(d.loadingSince, location)
		}
	}
	for _, o := range view.Orders.All() {
		location := ledger.OrderLocation(o)
		a := view.Announcements.Get(o.Server)
		if o.Action != wire.OrderAction_ORDER_LOAD || a == nil || t.pools[a.Service] == nil || view.Evacuated(a.Hall) {
			continue
		}
		if _, seen := d.loadingSince[location]; !seen {
			d.loadingSince[location] = now
		}
		name := cmp.Or(location.Adapter, location.Model)
		at := d.loadingSince[location].Add(loadTime(view, location))
		readyAt := t.pools[a.Service].readyAt
		if first, ok := readyAt[name]; !ok || at.Before(first) {
			readyAt[name] = at
		}
	}
}

// eviction is when this box first and last saw that memory is being freed for a model.
type eviction struct{ firstSeen, lastSeen time.Time }

const (
	// evictionTime is the expected time to free memory: an unload waits for its requests.
	evictionTime = 3 * time.Second
	// evictionGap is the longest time between the end of an unload and the order that loads into
	// the freed memory.
	evictionGap = 500 * time.Millisecond
)

// recordEvictions counts models for which memory is being freed as loading, too.
func (d *directory) recordEvictions(t *table, view *state.State, now time.Time) {
	for _, o := range view.Orders.All() {
		if o.RoomFor == "" {
			continue
		}
		m := d.evictions[o.RoomFor]
		if m == nil {
			m = &eviction{firstSeen: now}
			d.evictions[o.RoomFor] = m
		}
		m.lastSeen = now
	}
	for name, m := range d.evictions {
		model := view.Fleet.Models[name]
		if now.Sub(m.lastSeen) > evictionGap || model == nil || t.pools[model.Pool] == nil {
			delete(d.evictions, name)
			continue
		}
		readyAt := t.pools[model.Pool].readyAt
		if _, known := readyAt[name]; !known {
			readyAt[name] = m.firstSeen.Add(evictionTime + model.WarmTime)
		}
	}
}

// adapterLoadTime is the expected load time of an adapter, with a margin.
const adapterLoadTime = 300 * time.Millisecond

// loadTime returns the expected duration of a load.
func loadTime(view *state.State, location ledger.Location) time.Duration {
	m := view.Fleet.Models[location.Model]
	switch {
	case location.Adapter != "":
		return adapterLoadTime
	case m == nil:
		return 0
	case view.IsCached(location.Server, location.Model):
		return m.DiskTime
	}
	return m.LoadTime
}
