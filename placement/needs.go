package placement

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"leverdrum/fleet"
	"leverdrum/ledger"
	"leverdrum/wire"
)

// need is a model with fewer copies than its minimum, whatever its demand (1).
type need struct {
	model     *fleet.Model
	have      int
	minCopies int
}

func (n need) reason() string {
	if n.have == 0 {
		return "no copy"
	}
	return fmt.Sprintf("%d of %d copies", n.have, n.minCopies)
}

// rareRate is the rate, in requests per second, below which the last copy of a model may be evicted
// where the server has it cached (15): well above that of models requested every two seconds or so,
// and below that of models requested all the time.
const rareRate = 2

// reservation is memory reserved for a model that is loaded later.
type reservation struct {
	need need
	acc  *accelerator
}

// isRequested reports whether a model has demand, now or on average, or requests wait for it.
func (p *planner) isRequested(m *fleet.Model) bool {
	d := p.in.Demand[m.Name]
	return d.Requests > 0 || d.LongTermRequests > 0 || p.in.Awaited[m.Name]
}

// minCapacityShare is the share of all models that fit at once below which models without demand
// stay without a copy (17). With 0.5, a fleet that has lost half of its servers still places each
// model that fits beside the last copies of others.
const minCapacityShare = 0.5

// anyRequested reports whether one of the copies is of a model that is requested.
func (p *planner) anyRequested(copies []modelCopy) bool {
	return slices.ContainsFunc(copies, func(c modelCopy) bool { return p.isRequested(p.fleet.Models[c.resident.Item.Model]) })
}

func (p *planner) hasDemand(m *fleet.Model) bool { return p.in.Demand[m.Name].Requests > 0 }

// loadReserved orders the loads of models with reserved memory. Models with demand are ordered
// among the moves for demand by the requests that each saves, the others after all of them (1).
func (p *planner) loadReserved() {
	for _, r := range p.reservations {
		p.moveAbove(p.in.Demand[r.need.model.Name].Requests)
		if r.acc.busy || !p.mayLoad() && !p.isCached(r.need.model, r.acc) {
			continue
		}
		r.acc.free += int64(r.need.model.Footprint())
		p.loadCopy(r.need.model, r.acc, r.need.reason())
	}
	p.moveAbove(0)
}

// reserve reserves memory for a model.
func (p *planner) reserve(n need, a *accelerator) {
	p.best = nil // it was computed with this memory free
	p.recordChange(n.model, a)
	a.free -= int64(n.model.Footprint())
	a.models[n.model.Name] = true
	p.reservations = append(p.reservations, reservation{n, a})
}

// reserveForNeeds reserves or frees memory for models without a copy, then for those with too few
// (1).
func (p *planner) reserveForNeeds() {
	loadsLeft := p.fleet.MaxConcurrentLoads - p.openLoads
	for _, n := range p.needs() {
		best := p.bestAccelerator(n.model)
		if best == nil || !p.isCached(n.model, best) {
			if loadsLeft <= 0 { // room that no load uses soon only costs the evicted copies
				continue
			}
			loadsLeft--
		}
		if best == nil || p.fasterElsewhere(n, best) {
			p.makeRoom(n)
			continue
		}
		p.reserve(n, best)
	}
}

// fasterElsewhere reports whether a model with demand is loaded sooner by making room on a server
// that has it cached than on one with free memory (12).
func (p *planner) fasterElsewhere(n need, a *accelerator) bool {
	if !p.hasDemand(n.model) || p.isCached(n.model, a) || p.in.Deferred[n.model.Name] || p.makingRoomFor[n.model.Name] {
		return false
	}
	best := p.cheapestEviction(n)
	return best != nil && p.isCached(n.model, best.acc) && best.value > p.evaluate(n.model, a, nil).value
}

func (p *planner) needs() []need {
	var list []need
	for _, m := range p.models {
		if have := len(p.serving(m)); have < p.minCopies(m) && !p.returnsOnDemand(m) {
			list = append(list, need{m, have, p.minCopies(m)})
		}
	}
	slices.SortStableFunc(list, func(a, b need) int {
		return cmp.Or(cmp.Compare(min(a.have, 1), min(b.have, 1)), p.compareDemand(a, b), cmp.Compare(b.model.Priority, a.model.Priority),
			cmp.Compare(p.in.Demand[b.model.Name].Requests, p.in.Demand[a.model.Name].Requests))
	})
	return list
}

func (p *planner) compareDemand(a, b need) int {
	switch demandA, demandB := p.hasDemand(a.model), p.hasDemand(b.model); {
	case demandA == demandB:
		return 0
	case demandA:
		return -1
	}
	return 1
}

// serving returns the ready and loading copies of the wanted version on usable servers. The caller
// must not change the list.
func (p *planner) serving(m *fleet.Model) []modelCopy {
	if list, cached := p.servingCache[m.Name]; cached && !p.in.noCache {
		return list
	}
	var list []modelCopy
	for _, c := range p.copies[m.Name] {
		if c.resident.Item.Version == m.Version && c.resident.Phase != wire.Phase_PHASE_UNLOADING && !c.acc.unusable {
			list = append(list, c)
		}
	}
	p.servingCache[m.Name] = list
	return list
}

// bestAccelerator returns the preferred accelerator among those with free memory for the model and
// its adapters, or nil if there is none (2).
func (p *planner) bestAccelerator(m *fleet.Model) *accelerator {
	halls := map[string]bool{}
	for _, c := range p.serving(m) {
		halls[c.acc.server.Hall] = true
	}
	var best *accelerator
	for _, a := range p.accs {
		if p.fits(m, a) && (best == nil || p.preferred(m, a, best, halls)) {
			best = a
		}
	}
	return best
}

// canPlace reports whether a copy may be placed on an accelerator if it had enough memory.
func (p *planner) canPlace(m *fleet.Model, a *accelerator) bool {
	return !a.busy && !a.models[m.Name] && m.MayRunOn(a.server)
}

func (p *planner) fits(m *fleet.Model, a *accelerator) bool {
	return p.canPlace(m, a) && a.free >= int64(m.Footprint())
}

func (p *planner) preferred(m *fleet.Model, a, b *accelerator, halls map[string]bool) bool {
	if limitedA, limitedB := a.load.limit != 0, b.load.limit != 0; limitedA != limitedB {
		return limitedB
	}
	if cachedA, cachedB := p.isCached(m, a), p.isCached(m, b); cachedA != cachedB { // (12)
		return cachedA
	}
	if newHallA, newHallB := !halls[a.server.Hall], !halls[b.server.Hall]; newHallA != newHallB {
		return newHallA
	}
	if sooner := p.servesSooner(m, a, b); sooner != 0 { // (20)
		return sooner < 0
	}
	return a.free > b.free
}

// loadCopy orders one more copy and accounts for its memory and load.
func (p *planner) loadCopy(m *fleet.Model, a *accelerator, reason string) {
	if !p.isCached(m, a) {
		p.openLoads++
	}
	p.recordChange(m, a)
	if len(p.serving(m)) == 0 {
		p.invalidateAt(m, a)
	} else {
		clear(p.candidates)
	}
	a.free -= int64(m.Footprint())
	a.models[m.Name] = true
	item := &wire.Item{Model: m.Name, Version: m.Version}
	p.addCopy(m, modelCopy{a, &wire.Resident{Server: a.server.Name, Accelerator: a.number, Item: item, Phase: wire.Phase_PHASE_LOADING}})
	p.order(a, wire.OrderAction_ORDER_LOAD, item, m.Memory, reason)
}

// makeRoom evicts the copies on one accelerator that cost the fewest requests, so that the needed
// copy fits there (5). Without such an accelerator it relocates copies for a model without any copy
// (8), or else records a shortage. The copy itself is placed once the memory is free.
func (p *planner) makeRoom(n need) {
	if p.makingRoomFor[n.model.Name] || p.in.Deferred[n.model.Name] { // (11, 13)
		return
	}
	best := p.cheapestEviction(n)
	if best == nil && n.have == 0 && p.repack(n.model) { // (8)
		return
	}
	if best == nil {
		p.plan.Shortages = append(p.plan.Shortages, Shortage{n.model.Name, fmt.Sprintf("%s; no accelerator has %d bytes free now", n.reason(), n.model.Footprint())})
		return
	}
	if p.worthWaiting(n, best) { // (16)
		return
	}
	if p.capacityShare < minCapacityShare && !p.isRequested(n.model) && best.value <= p.fleet.MoveWeight && p.anyRequested(best.evicted) { // (17)
		return
	}
	for _, c := range best.evicted {
		p.evict(c, n.model.Name)
	}
}

// busyDuration is about how long a server takes no further order because others are open, or
// because another leader gave it orders.
const busyDuration = 3 * time.Second

// worthWaiting reports whether making room on a server that takes no order now costs so much less
// that it is worth the wait (16).
func (p *planner) worthWaiting(n need, best *candidate) bool {
	waitCost := p.in.Demand[n.model.Name].Requests * busyDuration.Seconds()
	busyBest := p.cheapestEvictionOn(n, func(a *accelerator) bool {
		return a.busy && !a.unusable && !a.models[n.model.Name] && n.model.MayRunOn(a.server)
	})
	return busyBest != nil && busyBest.value-best.value > waitCost+p.fleet.MoveWeight
}

// cheapestEviction returns where making room for a model costs the fewest requests, including its
// own that wait for it (5).
func (p *planner) cheapestEviction(n need) *candidate {
	return p.cheapestEvictionOn(n, func(a *accelerator) bool { return p.canPlace(n.model, a) })
}

func (p *planner) cheapestEvictionOn(n need, eligible func(*accelerator) bool) *candidate {
	var best *candidate
	for _, option := range p.evictionOptions(n, eligible) {
		c := p.evaluate(n.model, option.acc, option.evicted)
		if best == nil || cmp.Or(cmp.Compare(c.value, best.value), cmp.Compare(len(best.evicted), len(c.evicted)), compareSlowness(best.acc, c.acc)) > 0 { // (21)
			best = &c
		}
	}
	return best
}

// evictionOption is an accelerator and the copies that would be evicted there.
type evictionOption struct {
	acc         *accelerator
	evicted     []modelCopy
	cost        float64 // estimated requests per second left without a copy
	utilization float64 // of its server after the evictions
}

// maxOptions limits how many options are evaluated on servers that have the model cached, and
// likewise on the others: those with the lowest cost in an estimate that considers only the evicted
// copies. One evaluation costs as much as a hundred such estimates, and in a fleet of thousands of
// servers most options are alike.
const maxOptions = 24

// evictionOptions returns the options to make room for a model that are worth evaluating.
func (p *planner) evictionOptions(n need, eligible func(*accelerator) bool) []evictionOption {
	var cached, others []evictionOption
	mode := p.evictionModeFor(n.model, n.have == 0)
	for _, a := range p.accs {
		if !eligible(a) {
			continue
		}
		evicted, freed, ok := p.selectEvictions(a, int64(n.model.Footprint())-a.free, mode)
		if !ok {
			continue
		}
		option := evictionOption{acc: a, evicted: evicted, utilization: a.load.utilization() - freed}
		for _, c := range evicted {
			option.cost += p.evictionCost(c)
		}
		if p.isCached(n.model, a) {
			cached = append(cached, option)
		} else {
			others = append(others, option)
		}
	}
	return append(cheapest(cached), cheapest(others)...)
}

func cheapest(options []evictionOption) []evictionOption {
	if len(options) <= maxOptions {
		return options
	}
	slices.SortStableFunc(options, func(a, b evictionOption) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.utilization, b.utilization), cmp.Compare(len(a.evicted), len(b.evicted)), compareSlowness(a.acc, b.acc)) // (21)
	})
	return options[:maxOptions]
}

// evictionMode says which copies may be evicted for a copy of a model.
type evictionMode int

const (
	// forFirstCopy is for a model without a copy: others keep one. Without it others keep their
	// minimum.
	forFirstCopy evictionMode = 1 << iota
	// forRequested is for a model that is requested: last copies may be evicted that can be loaded
	// again within a moment (14, 15, 17).
	forRequested
	evictionModes
)

func (p *planner) evictionModeFor(m *fleet.Model, first bool) (s evictionMode) {
	if first {
		s |= forFirstCopy
	}
	if p.isRequested(m) {
		s |= forRequested
	}
	return s
}

// evictionList has the copies on an accelerator that can be evicted, least demand first. It is kept
// until something changes there, or of a model resident there: each move looks at each list for
// each model with too few copies.
type evictionList struct {
	round int // planner.round when computed; 0: not computed
	list  []modelCopy
	// sizes are the bytes that each copy takes, utilizations its part of load.utilization.
	sizes        []int64
	utilizations []float64
}

// selectEvictions returns copies on an accelerator whose eviction frees so many bytes, least demand
// first: copies of models that keep a ready copy elsewhere and, unless the room is for a model
// without a copy, their minimum number. It also returns the copies' part of their server's
// utilization.
func (p *planner) selectEvictions(a *accelerator, bytes int64, mode evictionMode) (evicted []modelCopy, utilization float64, ok bool) {
	s := p.evictionListOf(a, mode)
	for i := range s.list {
		bytes -= s.sizes[i]
		utilization += s.utilizations[i]
		if bytes <= 0 {
			return s.list[: i+1 : i+1], utilization, true
		}
	}
	return nil, 0, false
}

// evictionListOf returns the list kept in the accelerator, recomputed if something changed since.
func (p *planner) evictionListOf(a *accelerator, mode evictionMode) *evictionList {
	s := &a.evictions[mode]
	if s.round > 0 && !p.changedSince(a, s.round) && !p.in.noCache {
		return s
	}
	s.round, s.list, s.sizes, s.utilizations = p.round, nil, nil, nil
	for name := range a.models {
		if c, ok := p.evictableCopy(name, a, mode); ok {
			s.list = append(s.list, c)
		}
	}
	slices.SortFunc(s.list, func(x, y modelCopy) int {
		mx, my := p.fleet.Models[x.resident.Item.Model], p.fleet.Models[y.resident.Item.Model]
		return cmp.Or(cmp.Compare(p.evictionCost(x), p.evictionCost(y)), cmp.Compare(p.longTermRate(mx), p.longTermRate(my)), cmp.Compare(mx.Name, my.Name))
	})
	for _, c := range s.list {
		s.sizes = append(s.sizes, int64(p.fleet.Models[c.resident.Item.Model].Footprint()))
		s.utilizations = append(s.utilizations, p.utilizationOf(c))
	}
	return s
}

// changedSince reports whether an accelerator, or one of the models there, changed after a round.
func (p *planner) changedSince(a *accelerator, round int) bool {
	if a.changedRound > round {
		return true
	}
	for name := range a.models {
		if p.changedRound[name] > round {
			return true
		}
	}
	return false
}

// recordChange starts another round, in which a model has changed on an accelerator.
func (p *planner) recordChange(m *fleet.Model, a *accelerator) {
	p.round++
	p.changedRound[m.Name], a.changedRound = p.round, p.round
}

// utilizationOf returns a copy's part of its server's utilization.
func (p *planner) utilizationOf(c modelCopy) float64 {
	m := p.fleet.Models[c.resident.Item.Model]
	alone := load{slots: c.acc.load.slots, limit: c.acc.load.limit, slowness: c.acc.load.slowness}
	alone.add(p.in.Demand[m.Name], p.shareOf(m, c))
	return alone.utilization()
}

// evictionCost estimates how many requests per second are left without a copy if this one is
// evicted.
func (p *planner) evictionCost(c modelCopy) float64 {
	m := p.fleet.Models[c.resident.Item.Model]
	n := len(p.serving(m))
	if n <= 1 || p.onlyUnlimitedCopy(m, c) {
		return p.unservedRate(m)
	}
	if p.knowsSpeeds() {
		return p.in.Demand[m.Name].Requests * p.shareOf(m, c)
	}
	return p.in.Demand[m.Name].Requests / float64(n)
}

// evictableCopy returns the model's copy on an accelerator if it can be evicted.
func (p *planner) evictableCopy(name string, a *accelerator, mode evictionMode) (modelCopy, bool) {
	m := p.fleet.Models[name]
	if m == nil {
		return modelCopy{}, false
	}
	var here modelCopy
	readyHere, ready, all := false, 0, 0
	for _, c := range p.serving(m) {
		all++
		switch {
		case c.acc == a:
			here, readyHere = c, c.resident.Phase == wire.Phase_PHASE_READY
		case c.resident.Phase == wire.Phase_PHASE_READY:
			ready++
		}
	}
	loc := ledger.Location{Server: a.server.Name, Accelerator: a.number, Model: name, Version: m.Version}
	enough := ready >= 1 && (mode&forFirstCopy != 0 || all > p.minCopies(m))
	evictable := enough || mode&forRequested != 0 && all == 1 && p.isCached(m, a) && !p.in.Awaited[name] && p.in.Demand[name].Requests < rareRate && (p.in.Idle[name] || p.longTermRate(m) < rareRate) // (14, 15)
	return here, readyHere && evictable && p.noOpenOrder(m, a) && p.in.State.OrphanedAdapter(loc) == ""
}

// returnsOnDemand reports whether a model without a copy is loaded again only when that is worth it
// (15).
func (p *planner) returnsOnDemand(m *fleet.Model) bool {
	return len(p.serving(m)) == 0 && p.isCachedAnywhere(m)
}

// noOpenOrder reports whether no order about the model is open on an accelerator.
func (p *planner) noOpenOrder(m *fleet.Model, a *accelerator) bool {
	for o := range p.in.State.Orders.ByServer(a.server.Name) {
		if o.Accelerator == a.number && o.Item.Model == m.Name {
			return false
		}
	}
	return true
}

// evict orders the unload of a copy. Its adapters are unloaded once it is gone.
func (p *planner) evict(c modelCopy, roomFor string) {
	p.orderFor(c.acc, wire.OrderAction_ORDER_UNLOAD, c.resident.Item, c.resident.Memory, roomFor, "makes room for "+roomFor)
	c.acc.busy = true // nothing else changes there in this decision
	p.makingRoomFor[roomFor] = true
	p.recordChange(p.fleet.Models[c.resident.Item.Model], c.acc)
	clear(p.candidates)
	p.dropCopy(p.fleet.Models[c.resident.Item.Model], c)
	p.dropAdapterCopies(c)
}

// isCached reports whether a server can load a model from its own memory or disk (12).
func (p *planner) isCached(m *fleet.Model, a *accelerator) bool {
	return slices.Contains(a.cached, m.Name)
}

// isCachedAnywhere reports whether some usable server has the model cached (14).
func (p *planner) isCachedAnywhere(m *fleet.Model) bool { return p.cachedModels[m.Name] }

// collectCachedModels computes once what is looked up for every model many times.
func (p *planner) collectCachedModels() {
	p.cachedModels = map[string]bool{}
	for _, a := range p.accs {
		if a.unusable {
			continue
		}
		for _, name := range a.cached {
			p.cachedModels[name] = true
		}
	}
}
