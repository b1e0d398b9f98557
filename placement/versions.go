package placement

import (
	"cmp"
	"slices"
	"strings"

	"leverdrum/fleet"
	"leverdrum/wire"
)

// AwaitedItem is a model or adapter that requests wait for. If Version is set, they are streams that only servers of that software
// version can continue.
type AwaitedItem struct{ Item, Version string }

// planAwaitedVersions places what streams wait for at servers of their software version (26).
func (p *planner) planAwaitedVersions() {
	list := slices.Clone(p.in.AwaitedAtVersions)
	slices.SortFunc(list, func(a, b AwaitedItem) int {
		return cmp.Or(strings.Compare(a.Item, b.Item), strings.Compare(a.Version, b.Version))
	})
	for _, w := range list {
		a := p.fleet.Adapters[w.Item]
		if m := p.fleet.Models[w.Item]; m != nil && a == nil {
			p.placeAtVersion(m, w.Version)
		}
		if a == nil || !a.OnDemand || p.fleet.Models[a.Model] == nil {
			continue
		}
		p.placeAtVersion(p.fleet.Models[a.Model], w.Version)
		p.placeAdapterAtVersion(a, w.Version)
	}
}

// hasVersion reports whether a server's software has a version.
func (p *planner) hasVersion(acc *accelerator, version string) bool {
	return p.in.State.Announcements.Get(acc.server.Name).GetVersion() == version
}

// placeAtVersion orders a copy of a model on a server of a software version, or makes room for it.
func (p *planner) placeAtVersion(m *fleet.Model, version string) {
	if slices.ContainsFunc(p.serving(m), func(c modelCopy) bool { return p.hasVersion(c.acc, version) }) {
		return
	}
	if best := p.soonestAtVersion(m, version); best != nil {
		if p.mayLoad() || p.isCached(m, best) {
			p.loadCopy(m, best, "streams wait for it at servers of software version "+version)
		}
		return
	}
	if p.makingRoomFor[m.Name] { // (11)
		return
	}
	eligible := func(acc *accelerator) bool { return p.canPlace(m, acc) && p.hasVersion(acc, version) }
	if option := p.cheapestEvictionOn(need{model: m}, eligible); option != nil {
		for _, c := range option.evicted {
			p.evict(c, m.Name)
		}
	}
}

// soonestAtVersion returns the preferred accelerator with memory for a model among those of servers of a software version, nil if
// there is none.
func (p *planner) soonestAtVersion(m *fleet.Model, version string) (best *accelerator) {
	for _, acc := range p.accs {
		if p.fits(m, acc) && p.hasVersion(acc, version) && (best == nil || p.preferred(m, acc, best, nil)) {
			best = acc
		}
	}
	return best
}

// placeAdapterAtVersion orders the load of an adapter beside a ready copy of its model on a server of a software version.
func (p *planner) placeAdapterAtVersion(a *fleet.Adapter, version string) {
	var best *accelerator
	for _, c := range p.copies[a.Model] {
		if c.acc.unusable || !p.hasVersion(c.acc, version) {
			continue
		}
		if r := p.in.State.Residents.Get(adapterLocation(c.acc, a)); r != nil && r.Phase != wire.Phase_PHASE_UNLOADING {
			return
		}
		if c.acc.busy || c.resident.Phase != wire.Phase_PHASE_READY || c.acc.free < int64(a.Memory) && !p.slotsFull(c.acc) {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(c.acc.adapters, best.adapters), cmp.Compare(c.acc.load.utilization(), best.load.utilization())) < 0 {
			best = c.acc
		}
	}
	switch {
	case best == nil:
	case p.slotsFull(best):
		p.evictAdapter(best, a.Name)
	default:
		p.order(best, wire.OrderAction_ORDER_LOAD, &wire.Item{Model: a.Model, Adapter: a.Name, Version: a.Version}, a.Memory, "streams wait for it at servers of software version "+version)
	}
}
