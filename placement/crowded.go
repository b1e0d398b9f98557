package placement

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"leverdrum/fleet"
	"leverdrum/ledger"
	"leverdrum/wire"
)

const (
	// recentRate is the rate, in requests per second, of an adapter that was requested once, 2 s ago:
	// boxes average demand with a time constant of 1 s. Below it an adapter counts as not requested
	// lately (23, 24).
	recentRate = 0.135
	// crowdedAdvantage is how many times the requests per copy of an evicted adapter a crowded one must
	// have per copy (23).
	crowdedAdvantage = 2
	// promptnessStep is the difference in promptness below which two servers serve an adapter equally
	// soon (24): estimated speeds are off by a few percent.
	promptnessStep = 0.05
	// maxRoomOrders is the number of open orders that make room for the first copy of an adapter: with one,
	// a server that does not answer would keep the adapter from being loaded.
	maxRoomOrders = 2
)

// planCrowdedAdapters orders one more copy of each crowded adapter, or makes room for it (22).
func (p *planner) planCrowdedAdapters() {
	for _, a := range p.crowdedAdapters() {
		n := len(p.adapterCopies[a.Name])
		reason := fmt.Sprintf("requests for it would be answered late on %d copies", n)
		hasSlot := func(acc *accelerator, a *fleet.Adapter) bool {
			return p.hasAdapterSlot(acc, a) && (!acc.busy || acc.adapterOrder)
		}
		if acc := p.soonest(p.adapterTargets(a, hasSlot)); acc != nil {
			if !acc.busy {
				p.orderAdapter(acc, a, reason)
				p.markCrowded(a)
			}
			continue
		}
		evictable := func(acc *accelerator, a *fleet.Adapter) bool {
			return !acc.busy && p.evictableForCrowded(acc, a) != nil
		}
		if acc := p.soonest(p.adapterTargets(a, evictable)); acc != nil {
			reason = fmt.Sprintf("makes room for adapter %s: requests for it would be answered late on %d copies", a.Name, n)
			p.evictFor(acc, p.evictableForCrowded(acc, a), a, reason)
			p.markCrowded(a)
		}
	}
}

// markCrowded marks the last order as one for a crowded adapter.
func (p *planner) markCrowded(a *fleet.Adapter) {
	p.plan.Decisions[len(p.plan.Decisions)-1].Crowded = a.Name
}

// crowdedAdapters returns the crowded adapters that have a copy, none that is loading and none that room
// is being made for, those with the most requests per copy first (22).
func (p *planner) crowdedAdapters() (list []*fleet.Adapter) {
	for _, name := range slices.Sorted(maps.Keys(p.in.Crowded)) {
		a := p.fleet.Adapters[name]
		if a == nil || !a.OnDemand || !p.in.Crowded[name] || p.roomOrders[name] > 0 || len(p.adapterCopies[name]) == 0 {
			continue
		}
		if !slices.ContainsFunc(p.adapterCopies[name], func(c adapterCopy) bool { return !c.ready }) {
			list = append(list, a)
		}
	}
	slices.SortStableFunc(list, func(a, b *fleet.Adapter) int {
		return cmp.Compare(p.requestsPerCopy(b.Name, len(p.adapterCopies[b.Name])), p.requestsPerCopy(a.Name, len(p.adapterCopies[a.Name])))
	})
	return list
}

func (p *planner) requestsPerCopy(adapter string, copies int) float64 {
	return p.in.Demand[adapter].Requests / float64(max(1, copies))
}

// lossPerCopy returns the requests per second that a copy of an adapter serves, now or over a longer time: one that
// is requested now and then would be loaded again soon.
func (p *planner) lossPerCopy(adapter string) float64 {
	d := p.in.Demand[adapter]
	return max(d.Requests, d.LongTermRequests) / float64(max(1, p.readyCopies(adapter)))
}

// readyCopies returns the number of copies of an adapter that serve. One that is loading may fail.
func (p *planner) readyCopies(adapter string) (n int) {
	for _, c := range p.adapterCopies[adapter] {
		if c.ready {
			n++
		}
	}
	return n
}

// adapterTargets returns the accelerators of usable servers that have a ready copy of the adapter's model, but
// not the adapter, and that satisfy a condition.
func (p *planner) adapterTargets(a *fleet.Adapter, condition func(*accelerator, *fleet.Adapter) bool) (list []*accelerator) {
	for _, c := range p.copies[a.Model] {
		if c.resident.Phase != wire.Phase_PHASE_READY || c.acc.unusable || c.resident.Item.Version != p.fleet.Models[a.Model].Version {
			continue
		}
		if p.in.State.Residents.Get(adapterLocation(c.acc, a)) == nil && condition(c.acc, a) {
			list = append(list, c.acc)
		}
	}
	return list
}

func (p *planner) hasAdapterSlot(acc *accelerator, a *fleet.Adapter) bool {
	return !p.slotsFull(acc) && acc.free >= int64(a.Memory)
}

// soonest returns the accelerator whose server serves a request soonest (20), or nil without any. The
// fewest adapters decide between nearly equal ones.
func (p *planner) soonest(list []*accelerator) *accelerator {
	if len(list) == 0 {
		return nil
	}
	return slices.MinFunc(list, func(a, b *accelerator) int {
		return cmp.Or(cmp.Compare(b.load.promptnessSteps(), a.load.promptnessSteps()), cmp.Compare(a.adapters, b.adapters), cmp.Compare(a.load.utilization(), b.load.utilization()))
	})
}

func (l *load) promptnessSteps() float64 {
	return math.Round(l.promptness(l.headroom()) / promptnessStep)
}

// orderAdapter orders the load of an adapter and accounts for its slot, memory and demand.
func (p *planner) orderAdapter(acc *accelerator, a *fleet.Adapter, reason string) {
	p.order(acc, wire.OrderAction_ORDER_LOAD, &wire.Item{Model: a.Model, Adapter: a.Name, Version: a.Version}, a.Memory, reason)
	acc.adapters++
	acc.free -= int64(a.Memory)
	p.changeAdapterCopies(a, append(slices.Clone(p.adapterCopies[a.Name]), adapterCopy{acc: acc}))
}

// evictFor orders the unload of an adapter to make room for another. Its slot is free once that is done.
func (p *planner) evictFor(acc *accelerator, r *wire.Resident, a *fleet.Adapter, reason string) {
	p.orderFor(acc, wire.OrderAction_ORDER_UNLOAD, r.Item, r.Memory, a.Name, reason)
	acc.busy = true // nothing else changes there in this decision
	p.roomOrders[a.Name]++
	if evicted := p.fleet.Adapters[r.Item.Adapter]; evicted != nil {
		p.changeAdapterCopies(evicted, slices.DeleteFunc(slices.Clone(p.adapterCopies[evicted.Name]), func(c adapterCopy) bool { return c.acc == acc }))
	}
}

// evictableForCrowded returns the adapter on an accelerator to evict for a crowded one, or nil if none may
// be: one with a further copy first, then the one with the least demand (23). A new leader, which does not
// know the demand yet, evicts none.
func (p *planner) evictableForCrowded(acc *accelerator, a *fleet.Adapter) *wire.Resident {
	if !p.knowsDemand() {
		return nil
	}
	value := p.requestsPerCopy(a.Name, len(p.adapterCopies[a.Name])+1)
	return p.leastUsedAdapter(acc, a, func(name string) bool {
		if p.in.Crowded[name] || p.in.Demand[name].Requests >= recentRate || p.readyCopies(name) <= 1 && p.in.Demand[name].LongTermRequests >= recentRate {
			return false
		}
		return crowdedAdvantage*p.lossPerCopy(name) < value
	})
}

// leastUsedAdapter returns the ready on-demand adapter on an accelerator to evict for another one, among
// those that no request waits for and that satisfy a condition; nil if there is none.
func (p *planner) leastUsedAdapter(acc *accelerator, a *fleet.Adapter, condition func(name string) bool) (best *wire.Resident) {
	for loc, r := range p.in.State.Residents.ByServer(acc.server.Name) {
		known := p.fleet.Adapters[loc.Adapter]
		if known == nil || !known.OnDemand || loc.Adapter == a.Name || !p.adapterEvictable(acc, loc, r) || acc.free+int64(r.Memory) < int64(a.Memory) || !condition(loc.Adapter) {
			continue
		}
		if best == nil || p.compareEvictions(r, best) < 0 {
			best = r
		}
	}
	return best
}

// compareEvictions orders adapters by what their eviction costs, the lowest first: those that were not
// requested lately, of these the ones with a further copy, then those with the fewest requests per copy
// (23, 24).
func (p *planner) compareEvictions(a, b *wire.Resident) int {
	x, y := a.Item.Adapter, b.Item.Adapter
	return cmp.Or(cmp.Compare(p.evictionClass(x), p.evictionClass(y)),
		cmp.Compare(p.lossPerCopy(x), p.lossPerCopy(y)), cmp.Compare(x, y))
}

func (p *planner) evictionClass(adapter string) int {
	switch recent := p.in.Demand[adapter].Requests >= recentRate; {
	case !recent && p.readyCopies(adapter) > 1:
		return 0
	case !recent:
		return 1
	}
	return 2
}

// placeFirstCopy loads the first copy of an adapter, or makes room for it (24).
func (p *planner) placeFirstCopy(a *fleet.Adapter) {
	if p.roomOrders[a.Name] >= maxRoomOrders {
		return
	}
	hasSlot := func(acc *accelerator, a *fleet.Adapter) bool { return !acc.busy && p.hasAdapterSlot(acc, a) }
	if acc := p.soonest(p.adapterTargets(a, hasSlot)); acc != nil {
		p.orderAdapter(acc, a, "requests wait for it")
		return
	}
	all := func(string) bool { return true }
	evictable := func(acc *accelerator, a *fleet.Adapter) bool {
		return !acc.busy && p.leastUsedAdapter(acc, a, all) != nil
	}
	var best *accelerator
	var evicted *wire.Resident
	for _, acc := range p.adapterTargets(a, evictable) {
		r := p.leastUsedAdapter(acc, a, all)
		if best == nil || cmp.Or(cmp.Compare(p.evictionClass(r.Item.Adapter), p.evictionClass(evicted.Item.Adapter)),
			cmp.Compare(best.load.promptnessSteps(), acc.load.promptnessSteps()), p.compareEvictions(r, evicted)) < 0 {
			best, evicted = acc, r
		}
	}
	if best != nil {
		p.evictFor(best, evicted, a, "makes room for adapter "+a.Name)
	}
}

// adapterCopy is a copy of an on-demand adapter, ready or loading, on a usable server.
type adapterCopy struct {
	acc   *accelerator
	ready bool
}

// collectAdapterCopies collects the copies of on-demand adapters and the adapters with demand.
func (p *planner) collectAdapterCopies() {
	p.adapterCopies, p.demandedAdapters, p.adapterCounts = map[string][]adapterCopy{}, map[string][]string{}, map[string]int{}
	if !p.knowsSpeeds() && len(p.in.Crowded) == 0 {
		return
	}
	for i, loc := range p.locations {
		a, acc := p.fleet.Adapters[loc.Adapter], p.acceleratorAt(loc)
		if a == nil || !a.OnDemand || acc == nil || acc.unusable || loc.Version != a.Version || p.residents[i].Phase == wire.Phase_PHASE_UNLOADING || !p.hasServingBase(loc, acc) {
			continue
		}
		p.adapterCopies[a.Name] = append(p.adapterCopies[a.Name], adapterCopy{acc, p.residents[i].Phase == wire.Phase_PHASE_READY})
	}
	for name, a := range p.fleet.Adapters {
		if !a.OnDemand {
			continue
		}
		p.adapterCounts[a.Model]++
		if _, requested := p.in.Demand[name]; requested || p.in.Awaited[name] {
			p.demandedAdapters[a.Model] = append(p.demandedAdapters[a.Model], name)
		}
	}
	for _, list := range p.demandedAdapters {
		slices.Sort(list) // floating-point sums depend on the order
	}
}

// adapterDemand returns the demand of an on-demand adapter. Requests wait for an adapter before its demand
// is reported. Until then its model's demand is assumed to be shared equally by the model and its adapters:
// otherwise all adapters of a model that becomes busy would go to the same server.
func (p *planner) adapterDemand(model, name string) Demand {
	d := p.in.Demand[name]
	if d.Requests > 0 || !p.in.Awaited[name] {
		return d
	}
	d, share := p.in.Demand[model], 1/float64(1+p.adapterCounts[model])
	return Demand{Requests: share * d.Requests, BusySlots: share * d.BusySlots, PrefillLoad: share * d.PrefillLoad}
}

// hasServingBase reports whether an adapter's model is ready on its accelerator.
func (p *planner) hasServingBase(loc ledger.Location, acc *accelerator) bool {
	return slices.ContainsFunc(p.copies[loc.Model], func(c modelCopy) bool {
		return c.acc == acc && c.resident.Phase == wire.Phase_PHASE_READY
	})
}

// dropAdapterCopies forgets the adapters beside a copy of their model that is evicted.
func (p *planner) dropAdapterCopies(c modelCopy) {
	for name, list := range p.adapterCopies {
		if p.fleet.Adapters[name].Model == c.resident.Item.Model {
			p.adapterCopies[name] = slices.DeleteFunc(slices.Clone(list), func(x adapterCopy) bool { return x.acc == c.acc })
		}
	}
}

// changeAdapterCopies replaces the copies of an adapter and assigns its model's demand anew.
func (p *planner) changeAdapterCopies(a *fleet.Adapter, copies []adapterCopy) {
	m := p.fleet.Models[a.Model]
	p.addDemand(m, -1)
	p.adapterCopies[a.Name] = copies
	p.addDemand(m, 1)
}

// addAdapterDemand adds the demand of a model's adapters to the servers that have them, in proportion to
// their speeds, or removes it with sign -1. It returns the demand that is left for all copies in the list,
// with that of adapters without a copy (25).
func (p *planner) addAdapterDemand(m *fleet.Model, list []modelCopy, d Demand, sign float64) Demand {
	for _, name := range p.demandedAdapters[m.Name] {
		var hosts []modelCopy
		for _, c := range list {
			if slices.ContainsFunc(p.adapterCopies[name], func(x adapterCopy) bool { return x.acc == c.acc }) {
				hosts = append(hosts, c)
			}
		}
		if len(hosts) == 0 {
			continue
		}
		part := p.adapterDemand(m.Name, name).atMost(d)
		for i, share := range copyShares(hosts) {
			hosts[i].acc.load.add(part, sign*share)
		}
		d.Requests -= part.Requests
		d.BusySlots -= part.BusySlots
		d.PrefillLoad -= part.PrefillLoad
	}
	return d
}

// atMost returns the demand limited to another one. Figures of a model and its adapters are sums of boxes'
// reports at different times.
func (d Demand) atMost(limit Demand) Demand {
	d.Requests = max(0, min(d.Requests, limit.Requests))
	d.BusySlots = max(0, min(d.BusySlots, limit.BusySlots))
	d.PrefillLoad = max(0, min(d.PrefillLoad, limit.PrefillLoad))
	return d
}
