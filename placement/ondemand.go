package placement

import (
	"cmp"
	"maps"
	"slices"

	"leverdrum/fleet"
	"leverdrum/ledger"
	"leverdrum/wire"
)

// adaptersOnDemand is rule 9.
func (p *planner) adaptersOnDemand() {
	for _, name := range slices.Sorted(maps.Keys(p.in.Awaited)) {
		a := p.fleet.Adapters[name]
		if a == nil || !a.OnDemand || !p.in.Awaited[name] || p.adapterServed(a) {
			continue
		}
		p.placeAdapter(a)
	}
}

// adapterServed reports whether an adapter is ready or coming on a server that
// works.
func (p *planner) adapterServed(a *fleet.Adapter) bool {
	return slices.ContainsFunc(p.copies[a.Model], func(c copyOf) bool {
		r := p.in.State.Residents.Get(adapterPlace(c.acc, a))
		return r != nil && r.Phase != wire.Phase_PHASE_UNLOADING && !c.acc.unusable
	})
}

func (p *planner) placeAdapter(a *fleet.Adapter) {
	var best *accelerator
	for _, c := range p.copies[a.Model] {
		if c.resident.Phase != wire.Phase_PHASE_READY || c.acc.busy || c.acc.unusable || c.acc.free < int64(a.Memory) && !p.slotsFull(c.acc) {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(c.acc.adapters, best.adapters), cmp.Compare(c.acc.load.use(), best.load.use())) < 0 {
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

// evictAdapter orders the adapter away that is asked for least and that nobody
// waits for.
func (p *planner) evictAdapter(acc *accelerator, for_ string) {
	var worst *wire.Resident
	for _, place := range p.places {
		r := p.in.State.Residents.Get(place)
		if !p.evictable(acc, place, r) {
			continue
		}
		if worst == nil || p.in.Demand[place.Adapter].Requests < p.in.Demand[worst.Item.Adapter].Requests {
			worst = r
		}
	}
	if worst != nil {
		p.order(acc, wire.OrderAction_ORDER_UNLOAD, worst.Item, worst.Memory, "makes room for adapter "+for_)
	}
}

func (p *planner) evictable(acc *accelerator, place ledger.Location, r *wire.Resident) bool {
	return place.Server == acc.server.Name && place.Accelerator == acc.number && place.Adapter != "" &&
		r.Phase == wire.Phase_PHASE_READY && !p.in.Awaited[place.Adapter]
}

// least is the least number of copies of a model (10).
func (p *planner) least(m *fleet.Model) int {
	slots := p.slots[m.Pool]
	if slots == 0 {
		return m.Copies
	}
	return min(max(m.Copies, (p.asked[m.Name]+slots-1)/slots), m.MaxCopies)
}

// countAsked counts the on-demand adapters of each model that are asked for, and
// the slots of each pool's servers (10).
func (p *planner) countAsked() {
	p.asked, p.slots = map[string]int{}, map[string]int{}
	for name, pool := range p.fleet.Pools {
		if pool.Kind != nil {
			p.slots[name] = pool.Kind.AdapterSlots
		}
	}
	for name, d := range p.in.Demand {
		if a := p.fleet.Adapters[name]; a != nil && a.OnDemand && d.Requests >= askedFor {
			p.asked[a.Model]++
		}
	}
}
