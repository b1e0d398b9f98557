package placement

import (
	"cmp"
	"maps"
	"slices"

	"leverdrum/fleet"
	"leverdrum/ledger"
	"leverdrum/wire"
)

// planOnDemandAdapters places each on-demand adapter that requests wait for and that is neither
// ready nor loading on a usable server (9).
func (p *planner) planOnDemandAdapters() {
	for _, name := range slices.Sorted(maps.Keys(p.in.Awaited)) {
		a := p.fleet.Adapters[name]
		if a == nil || !a.OnDemand || !p.in.Awaited[name] || p.adapterServing(a) {
			continue
		}
		if p.knowsSpeeds() {
			p.placeFirstCopy(a) // (24)
			continue
		}
		p.placeAdapter(a)
	}
}

// adapterServing reports whether an adapter is ready or loading on a usable server.
func (p *planner) adapterServing(a *fleet.Adapter) bool {
	return slices.ContainsFunc(p.copies[a.Model], func(c modelCopy) bool {
		r := p.in.State.Residents.Get(adapterLocation(c.acc, a))
		return r != nil && r.Phase != wire.Phase_PHASE_UNLOADING && !c.acc.unusable
	})
}

func (p *planner) placeAdapter(a *fleet.Adapter) {
	var best *accelerator
	for _, c := range p.copies[a.Model] {
		if c.resident.Phase != wire.Phase_PHASE_READY || c.acc.busy || c.acc.unusable || c.acc.free < int64(a.Memory) && !p.slotsFull(c.acc) {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(c.acc.adapters, best.adapters), cmp.Compare(c.acc.load.utilization(), best.load.utilization())) < 0 {
			best = c.acc
		}
	}
	if best == nil {
		return
	}
	if p.slotsFull(best) {
		p.evictAdapter(best, a.Name)
		return
	}
	p.order(best, wire.OrderAction_ORDER_LOAD, &wire.Item{Model: a.Model, Adapter: a.Name, Version: a.Version}, a.Memory, "requests wait for it")
}

func (p *planner) slotsFull(acc *accelerator) bool {
	slots := acc.server.Kind.AdapterSlots
	return slots > 0 && acc.adapters >= slots
}

// evictAdapter orders the unload of the adapter with the least demand that no request waits for.
func (p *planner) evictAdapter(acc *accelerator, forAdapter string) {
	var leastUsed *wire.Resident
	for _, loc := range p.locations {
		r := p.in.State.Residents.Get(loc)
		if !p.adapterEvictable(acc, loc, r) {
			continue
		}
		if leastUsed == nil || p.in.Demand[loc.Adapter].Requests < p.in.Demand[leastUsed.Item.Adapter].Requests {
			leastUsed = r
		}
	}
	if leastUsed != nil {
		p.order(acc, wire.OrderAction_ORDER_UNLOAD, leastUsed.Item, leastUsed.Memory, "makes room for adapter "+forAdapter)
	}
}

func (p *planner) adapterEvictable(acc *accelerator, loc ledger.Location, r *wire.Resident) bool {
	return loc.Server == acc.server.Name && loc.Accelerator == acc.number && loc.Adapter != "" &&
		r.Phase == wire.Phase_PHASE_READY && !p.in.Awaited[loc.Adapter]
}

// minCopies returns the minimum number of copies of a model (10).
func (p *planner) minCopies(m *fleet.Model) int {
	slots := p.adapterSlots[m.Pool]
	if slots == 0 {
		return m.MinCopies
	}
	return min(max(m.MinCopies, (p.requestedAdapters[m.Name]+slots-1)/slots), m.MaxCopies)
}

// countRequestedAdapters counts the requested on-demand adapters of each model, and the slots of
// each pool's servers (10).
func (p *planner) countRequestedAdapters() {
	p.requestedAdapters, p.adapterSlots = map[string]int{}, map[string]int{}
	for name, pool := range p.fleet.Pools {
		if pool.Kind != nil {
			p.adapterSlots[name] = pool.Kind.AdapterSlots
		}
	}
	for name, d := range p.in.Demand {
		if a := p.fleet.Adapters[name]; a != nil && a.OnDemand && d.Requests >= minAdapterRate {
			p.requestedAdapters[a.Model]++
		}
	}
}
