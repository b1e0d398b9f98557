package gateway

import (
	"sync"
	"time"

	"leverdrum/fleet"
	"leverdrum/state"
	"leverdrum/wire"
)

// pool is one service with its servers, as one agreed state has them. Its lists are made when a request first asks for
// them.
type pool struct {
	*fleet.Pool
	dir  *directory
	view *state.State
	// coming tells when a model or adapter that is being loaded is to be ready, by
	// this box's clock, at the first place of several.
	coming map[string]time.Time

	mu    sync.Mutex
	all   []*server
	made  bool                 // all is
	ready map[string][]*server // by model or adapter
}

func newPool(p *fleet.Pool, d *directory, view *state.State) *pool {
	return &pool{Pool: p, dir: d, view: view, coming: map[string]time.Time{}, ready: map[string][]*server{}}
}

// servers returns all servers, by id.
func (p *pool) servers() []*server {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.made {
		p.dir.mu.Lock()
		defer p.dir.mu.Unlock()
		for id := range p.view.Announcements.ByService(p.Name) {
			p.all = p.add(p.all, id)
		}
		p.made = true
	}
	return p.all
}

// holding returns the servers, by id, where a model, or an adapter beside its model, is ready.
func (p *pool) holding(name string) []*server {
	p.mu.Lock()
	defer p.mu.Unlock()
	list, made := p.ready[name]
	if made {
		return list
	}
	model, adapter := name, ""
	if a := p.view.Fleet.Adapters[name]; a != nil {
		model, adapter = a.Model, name
	}
	bases := p.readyOn(model, "", nil)
	if adapter != "" {
		bases = p.readyOn(model, adapter, bases)
	}
	p.dir.mu.Lock()
	defer p.dir.mu.Unlock()
	for id := range p.view.Residents.ByItem(model, adapter) {
		if bases[id.Server] {
			delete(bases, id.Server) // each server once
			list = p.add(list, id.Server)
		}
	}
	p.ready[name] = list
	return list
}

// readyOn returns the servers of the service where an item is ready, of some or, where these are nil, of all.
func (p *pool) readyOn(model, adapter string, of map[string]bool) map[string]bool {
	on := map[string]bool{}
	for place, r := range p.view.Residents.ByItem(model, adapter) {
		if r.Phase == wire.Phase_PHASE_READY && (of == nil || of[place.Server]) && p.view.Announcements.Get(place.Server).GetService() == p.Name {
			on[place.Server] = true
		}
	}
	return on
}

// add appends a server that is still known. The caller holds the lock of the directory.
func (p *pool) add(list []*server, id string) []*server {
	if s := p.dir.serverOf(id); s != nil {
		return append(list, s)
	}
	return list
}
