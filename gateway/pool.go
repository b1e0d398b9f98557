package gateway

import (
	"sync"
	"time"

	"leverdrum/fleet"
	"leverdrum/state"
	"leverdrum/wire"
)

// pool is a service with its servers in one committed state. Its lists are built when a request
// first needs them.
type pool struct {
	*fleet.Pool
	dir  *directory
	view *state.State
	// readyAt holds when a model or adapter that is being loaded is expected to be ready, by this
	// box's clock, at the earliest of its locations.
	readyAt map[string]time.Time

	mu     sync.Mutex
	all    []*server
	listed bool                 // all is set
	ready  map[string][]*server // by model or adapter
	// gapTarget is the smallest gap target of streams to the pool, once gapTargetKnown is set.
	gapTarget      time.Duration
	gapTargetKnown bool
}

func newPool(p *fleet.Pool, d *directory, view *state.State) *pool {
	return &pool{Pool: p, dir: d, view: view, readyAt: map[string]time.Time{}, ready: map[string][]*server{}}
}

// servers returns all servers, ordered by id.
func (p *pool) servers() []*server {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.listed {
		p.dir.mu.Lock()
		defer p.dir.mu.Unlock()
		for id := range p.view.Announcements.ByService(p.Name) {
			p.all = p.appendServer(p.all, id)
		}
		p.listed = true
	}
	return p.all
}

// readyServers returns the servers, ordered by id, where a model is ready, or an adapter together
// with its model.
func (p *pool) readyServers(name string) []*server {
	p.mu.Lock()
	defer p.mu.Unlock()
	list, known := p.ready[name]
	if known {
		return list
	}
	model, adapter := name, ""
	if a := p.view.Fleet.Adapters[name]; a != nil {
		model, adapter = a.Model, name
	}
	ids := p.readyServerIDs(model, "", nil)
	if adapter != "" {
		ids = p.readyServerIDs(model, adapter, ids)
	}
	p.dir.mu.Lock()
	defer p.dir.mu.Unlock()
	for id := range p.view.Residents.ByItem(model, adapter) {
		if ids[id.Server] {
			delete(ids, id.Server) // each server once
			list = p.appendServer(list, id.Server)
		}
	}
	p.ready[name] = list
	return list
}

// readyServerIDs returns the servers of the service where an item is ready, restricted to the
// given ones unless these are nil.
func (p *pool) readyServerIDs(model, adapter string, among map[string]bool) map[string]bool {
	ids := map[string]bool{}
	for location, r := range p.view.Residents.ByItem(model, adapter) {
		if r.Phase == wire.Phase_PHASE_READY && (among == nil || among[location.Server]) && p.view.Announcements.Get(location.Server).GetService() == p.Name {
			ids[location.Server] = true
		}
	}
	return ids
}

// appendServer appends a server that still exists. The caller holds the directory's lock.
func (p *pool) appendServer(list []*server, id string) []*server {
	if s := p.dir.serverByID(id); s != nil {
		return append(list, s)
	}
	return list
}
