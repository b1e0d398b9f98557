package gateway

import (
	"cmp"
	"sync"
	"sync/atomic"
	"time"

	"leverdrum/fleet"
	"leverdrum/ledger"
	"leverdrum/pushback"
	"leverdrum/state"
	"leverdrum/wire"
)

// table is what requests are routed by; it does not change.
type table struct {
	number uint64 // of the configuration
	index  uint64 // of the entry that brought it
	routes *fleet.RouteTable
	limits fleet.Limits
	pools  map[string]*pool
	fleet  *fleet.Fleet
	// evacuates tells that some data hall is evacuated.
	evacuates bool
}

// directory makes tables from the agreed state and keeps the servers between
// them.
//
// A change of the agreed state costs what changed, and what this box uses: the state finds the servers of a service or of a
// model by itself, a list is made when a request first asks for it, and only servers that stood in a list are kept here.
type directory struct {
	hall     string
	regionOf func(hall string) string
	// parting is how long a server that leaves is a last resort.
	parting  time.Duration
	pushback *pushback.Registry // nil: no server says anything of itself

	mu      sync.Mutex
	view    *state.State                  // the newest
	servers map[string]*server            // by id, that this box met
	leaving map[string]time.Time          // since when servers leave, met or not, as this box saw it
	loading map[ledger.Location]time.Time // the same
	making  map[string]*making            // room, by model
	pruned  time.Time                     // when servers that are not used were last dropped
	count   atomic.Int64                  // of boxes
	current atomic.Pointer[table]
	changed atomic.Pointer[chan struct{}]
}

func newDirectory(hall string, parting time.Duration, said *pushback.Registry) *directory {
	d := &directory{hall: hall, regionOf: func(string) string { return "" }, parting: parting, pushback: said, servers: map[string]*server{}, leaving: map[string]time.Time{}, loading: map[ledger.Location]time.Time{}, making: map[string]*making{}}
	d.current.Store(&table{})
	first := make(chan struct{})
	d.changed.Store(&first)
	d.count.Store(1)
	return d
}

func (d *directory) table() *table { return d.current.Load() }

// boxes returns how many boxes share budgets and connections.
func (d *directory) boxes() int { return int(d.count.Load()) }

// news returns a channel that is closed at the next table.
func (d *directory) news() <-chan struct{} { return *d.changed.Load() }

func (d *directory) update(view *state.State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.count.Store(int64(max(1, len(view.Members))))
	if view.Fleet == nil {
		return
	}
	d.view = view
	t := &table{
		number: view.Version.GetNumber(), index: view.Version.GetIndex(), limits: view.Fleet.Limits,
		pools: map[string]*pool{}, fleet: view.Fleet, evacuates: len(view.Evacuations) > 0,
	}
	// Servers come and go far more often than routes change.
	if old := d.current.Load(); old.routes != nil && old.index == t.index {
		t.routes = old.routes
	} else {
		t.routes = fleet.NewRouteTable(view.Fleet.Routes)
	}
	for name, p := range view.Fleet.Pools {
		t.pools[name] = newPool(p, d, view)
	}
	now := time.Now()
	d.noteLeaving(now)
	d.refresh(now)
	d.noteComing(t, view, now)
	d.noteMaking(t, view, now)
	d.current.Store(t)
	next := make(chan struct{})
	close(*d.changed.Swap(&next))
}

// noteLeaving remembers since when servers leave: the time for which they serve on counts from there, also at a box that
// meets them later.
func (d *directory) noteLeaving(now time.Time) {
	for id := range d.leaving {
		if a := d.view.Announcements.Get(id); a == nil || !a.Leaving {
			delete(d.leaving, id)
		}
	}
	for _, id := range d.view.Announcements.Draining() {
		if _, known := d.leaving[id]; !known {
			d.leaving[id] = now
		}
	}
}

// refresh makes the servers that this box met match the announcements. One that left keeps its
// requests; its idle connections are closed.
func (d *directory) refresh(now time.Time) {
	prune := now.Sub(d.pruned) >= pruneEvery
	if prune {
		d.pruned = now
	}
	for id, s := range d.servers {
		a := d.view.Announcements.Get(id)
		if a == nil || a.Address != s.address || prune && s.unused(now) {
			s.conns.close()
			delete(d.servers, id)
			continue
		}
		d.sync(s, a)
	}
}

// serverOf returns the server of an announcement; nil where a newer state knows it no more.
func (d *directory) serverOf(id string) *server {
	if s := d.servers[id]; s != nil {
		return s
	}
	a := d.view.Announcements.Get(id)
	if a == nil {
		return nil
	}
	s := newServer(a)
	s.region = d.regionOf(a.Hall)
	d.servers[id] = s
	d.sync(s, a)
	return s
}

// sync takes over what is agreed of a server.
func (d *directory) sync(s *server, a *wire.Announcement) {
	s.silent.Store(a.Silent)
	s.evacuated.Store(d.view.Evacuated(a.Hall))
	if since, drains := d.pushback.Draining(a.Id); drains {
		d.part(s, time.Now().Add(-since))
	}
	if since, leaves := d.leaving[a.Id]; leaves {
		d.part(s, since)
	}
	if p := d.view.Fleet.Pools[a.Service]; p != nil && p.MaxConnections > 0 {
		s.conns.limit(connectionsOf(p.MaxConnections, d.boxes()))
	}
}

// part has a server count as draining since a time, unless it does already.
func (d *directory) part(s *server, since time.Time) {
	if s.part(since) {
		time.AfterFunc(d.parting-time.Since(since), s.conns.close)
	}
}

// drains takes in that a server said that it drains.
func (d *directory) drains(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.servers[id]; s != nil {
		d.part(s, time.Now())
	}
}

const (
	// minConnections is what a box may open to one server, unless all boxes together would pass what the server takes.
	minConnections = 4
	// connectionShare is the part, in hundredths, of a server's connections that
	// all boxes together use.
	connectionShare = 90
	// pruneEvery is the time between two looks for servers that this box does not use any more.
	pruneEvery = 10 * time.Second
)

// connectionsOf is how many connections a box opens to a server that takes so many from all boxes.
func connectionsOf(most, boxes int) int {
	if share := most * connectionShare / 100 / boxes; share >= minConnections {
		return share
	}
	return max(1, min(minConnections, most/boxes))
}

// noteComing fills in what is on its way.
func (d *directory) noteComing(t *table, view *state.State, now time.Time) {
	for place := range d.loading {
		if view.Residents.Get(place).GetPhase() != wire.Phase_PHASE_LOADING {
			delete(d.loading, place)
		}
	}
	for _, o := range view.Orders.All() {
		place := ledger.OrderLocation(o)
		a := view.Announcements.Get(o.Server)
		if o.Action != wire.OrderAction_ORDER_LOAD || a == nil || t.pools[a.Service] == nil || view.Evacuated(a.Hall) {
			continue
		}
		if _, seen := d.loading[place]; !seen {
			d.loading[place] = now
		}
		name := cmp.Or(place.Adapter, place.Model)
		at := d.loading[place].Add(loadTime(view, place))
		coming := t.pools[a.Service].coming
		if first, ok := coming[name]; !ok || at.Before(first) {
			coming[name] = at
		}
	}
}

// making is when this box first and last saw that room is made for a model.
type making struct{ first, last time.Time }

const (
	// makingTime is how long room takes to be made: an unload waits for its requests.
	makingTime = 3 * time.Second
	// makingGap is the time between the end of an unload and the order that uses its room.
	makingGap = 500 * time.Millisecond
)

// noteMaking counts models that room is being made for as coming, too.
func (d *directory) noteMaking(t *table, view *state.State, now time.Time) {
	for _, o := range view.Orders.All() {
		if o.RoomFor == "" {
			continue
		}
		m := d.making[o.RoomFor]
		if m == nil {
			m = &making{first: now}
			d.making[o.RoomFor] = m
		}
		m.last = now
	}
	for name, m := range d.making {
		model := view.Fleet.Models[name]
		if now.Sub(m.last) > makingGap || model == nil || t.pools[model.Pool] == nil {
			delete(d.making, name)
			continue
		}
		coming := t.pools[model.Pool].coming
		if _, known := coming[name]; !known {
			coming[name] = m.first.Add(makingTime + model.WarmTime)
		}
	}
}

// adapterTime is how long an adapter takes to come, with time to spare.
const adapterTime = 300 * time.Millisecond

// loadTime is how long a load is to take.
func loadTime(view *state.State, place ledger.Location) time.Duration {
	m := view.Fleet.Models[place.Model]
	switch {
	case place.Adapter != "":
		return adapterTime
	case m == nil:
		return 0
	case view.IsCached(place.Server, place.Model):
		return m.DiskTime
	}
	return m.LoadTime
}
