package gateway

import (
	"cmp"
	"slices"
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

// pool is one service with its servers.
type pool struct {
	*fleet.Pool
	servers []*server
	// holding lists the servers where a model, or an adapter beside its model, is
	// ready.
	holding map[string][]*server
	// coming tells when a model or adapter that is being loaded is to be ready, by
	// this box's clock, at the first place of several.
	coming map[string]time.Time
}

// directory makes tables from the agreed state and keeps the servers between
// them.
type directory struct {
	hall     string
	regionOf func(hall string) string
	// parting is how long a server that leaves is a last resort.
	parting  time.Duration
	pushback *pushback.Registry // nil: no server says anything of itself

	mu      sync.Mutex
	servers map[string]*server         // by id
	loading map[ledger.Place]time.Time // since when, as this box saw it
	making  map[string]*making         // room, by model
	count   atomic.Int64               // of boxes
	current atomic.Pointer[table]
	changed atomic.Pointer[chan struct{}]
}

func newDirectory(hall string, parting time.Duration, said *pushback.Registry) *directory {
	d := &directory{hall: hall, regionOf: func(string) string { return "" }, parting: parting, pushback: said, servers: map[string]*server{}, loading: map[ledger.Place]time.Time{}, making: map[string]*making{}}
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
		names := 0
		if before := d.current.Load().pools[name]; before != nil {
			names = len(before.holding)
		}
		t.pools[name] = &pool{Pool: p, holding: make(map[string][]*server, names), coming: map[string]time.Time{}}
	}
	d.refresh(view)
	loading := d.fill(t, view)
	now := time.Now()
	d.noteComing(t, view, loading, now)
	d.noteMaking(t, view, now)
	d.current.Store(t)
	next := make(chan struct{})
	close(*d.changed.Swap(&next))
}

// refresh makes the servers match the announcements. One that left keeps its
// requests; its idle connections are closed.
func (d *directory) refresh(view *state.State) {
	for id, s := range d.servers {
		a := view.Announced[id]
		if a == nil || a.Address != s.address {
			s.conns.close()
			delete(d.servers, id)
		}
	}
	for id, a := range view.Announced {
		s := d.servers[id]
		if s == nil {
			s = newServer(a)
			s.region = d.regionOf(a.Hall)
			d.servers[id] = s
		}
		s.silent.Store(a.Silent)
		s.evacuated.Store(view.Evacuated(a.Hall))
		if since, drains := d.pushback.Drains(id); drains {
			d.part(s, time.Now().Add(-since))
		}
		if a.Leaving {
			d.part(s, time.Now())
		}
		if p := view.Fleet.Pools[a.Service]; p != nil && p.MaxConnections > 0 {
			s.conns.limit(max(minConnections, p.MaxConnections*connectionShare/100/d.boxes()))
		}
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
	// minConnections is what a box may always open to one server.
	minConnections = 4
	// connectionShare is the part, in hundredths, of a server's connections that
	// all boxes together use.
	connectionShare = 90
)

// fill lists servers and what is ready there, and returns the places that are loading. It goes
// over all residents once: at 240 servers with 720 models a pass takes longer than all else that a
// box does for an agreed order.
func (d *directory) fill(t *table, view *state.State) (loading []ledger.Place) {
	for id, a := range view.Announced {
		if p := t.pools[a.Service]; p != nil {
			p.servers = append(p.servers, d.servers[id])
		}
	}
	var adapters []ledger.Place
	for place, r := range view.Residents {
		switch {
		case r.Phase == wire.Phase_PHASE_LOADING:
			loading = append(loading, place)
		case r.Phase != wire.Phase_PHASE_READY:
		case place.Adapter != "":
			adapters = append(adapters, place)
		default:
			d.hold(t, view, place, place.Model)
		}
	}
	for _, place := range adapters {
		if d.holds(t, view, place) {
			d.hold(t, view, place, place.Adapter)
		}
	}
	for _, p := range t.pools {
		slices.SortFunc(p.servers, byID)
		for _, list := range p.holding {
			slices.SortFunc(list, byID)
		}
	}
	return loading
}

// hold lists a place's server under a name.
func (d *directory) hold(t *table, view *state.State, place ledger.Place, name string) {
	s, a := d.servers[place.Server], view.Announced[place.Server]
	if s == nil || a == nil {
		return
	}
	if p := t.pools[a.Service]; p != nil {
		p.holding[name] = append(p.holding[name], s)
	}
}

// holds reports whether the model of an adapter's place is listed under its server.
func (d *directory) holds(t *table, view *state.State, place ledger.Place) bool {
	p := t.pools[view.Announced[place.Server].GetService()]
	return p != nil && slices.Contains(p.holding[place.Model], d.servers[place.Server])
}

// noteComing fills in what is on its way.
func (d *directory) noteComing(t *table, view *state.State, loading []ledger.Place, now time.Time) {
	for place := range d.loading {
		if view.Residents[place].GetPhase() != wire.Phase_PHASE_LOADING {
			delete(d.loading, place)
		}
	}
	for _, place := range loading {
		a := view.Announced[place.Server]
		if a == nil || t.pools[a.Service] == nil || view.Evacuated(a.Hall) {
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
	for _, o := range view.Orders {
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
func loadTime(view *state.State, place ledger.Place) time.Duration {
	m := view.Fleet.Models[place.Model]
	switch {
	case place.Adapter != "":
		return adapterTime
	case m == nil:
		return 0
	case view.AtHand(place.Server, place.Model):
		return m.DiskTime
	}
	return m.LoadTime
}
