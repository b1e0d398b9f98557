package placement

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"leverdrum/fleet"
	"leverdrum/wire"
)

const (
	// DefaultDemandSettleTime is how long a new leader waits for demand reports, unless
	// Input.DemandSettleTime says otherwise.
	DefaultDemandSettleTime = 10 * time.Second
	// pendingValueShare is the share of the value of a copy that room is being made for that
	// another move must exceed meanwhile.
	pendingValueShare = 0.3
	// minAdapterRate is the rate, in requests per second, from which an on-demand adapter counts as
	// requested (10).
	minAdapterRate = 0.15
	// maxMovesPerDecision limits the moves made for demand in one decision.
	maxMovesPerDecision = 4
)

// assignDemand adds each model's demand to the servers of its copies: in equal shares or by
// their speeds (19), except for what servers with a limit do not admit.
func (p *planner) assignDemand() {
	for _, m := range p.models { // floating-point sums depend on the order
		p.addDemand(m, 1)
	}
}

// addDemand adds the model's demand to the servers of its copies, or removes it with sign -1.
func (p *planner) addDemand(m *fleet.Model, sign float64) {
	list, d := p.serving(m), p.in.Demand[m.Name]
	if p.knowsSpeeds() {
		d = p.addAdapterDemand(m, list, d, sign) // (25)
	}
	shares := p.demandShares(m, list)
	for i, c := range list {
		share := 1 / float64(len(list))
		if shares != nil {
			share = shares[i]
		}
		c.acc.load.add(d, sign*share)
	}
}

func (p *planner) addCopy(m *fleet.Model, c modelCopy) {
	p.addDemand(m, -1)
	p.copies[m.Name] = append(p.copies[m.Name], c)
	delete(p.servingCache, m.Name)
	p.addDemand(m, 1)
}

func (p *planner) dropCopy(m *fleet.Model, c modelCopy) {
	p.addDemand(m, -1)
	p.copies[m.Name] = slices.DeleteFunc(slices.Clone(p.copies[m.Name]), func(x modelCopy) bool { return x == c })
	delete(p.servingCache, m.Name)
	p.addDemand(m, 1)
}

// knowsDemand reports whether the leader has led for long enough to know the demand.
func (p *planner) knowsDemand() bool {
	return p.in.LeaderFor >= cmp.Or(p.in.DemandSettleTime, DefaultDemandSettleTime)
}

// moveAbove performs the best moves that are worth their price (7) and save more than rate requests
// per second (1).
func (p *planner) moveAbove(rate float64) {
	if !p.knowsDemand() {
		return
	}
	for p.moves < maxMovesPerDecision {
		best := p.nextMove()
		if best == nil || best.rate <= rate || p.touchesEvictions(best) || !p.mayLoad() && !p.isCached(best.model, best.acc) {
			return
		}
		p.best = nil
		p.moves++
		p.perform(best)
	}
}

// nextMove returns the best move that is worth its price, or nil if there is none. The result is
// kept until the move is made.
func (p *planner) nextMove() *candidate {
	if p.noMoveLeft || p.best != nil {
		return p.best
	}
	minValue := p.fleet.MoveWeight
	if p.moves == 0 {
		minValue = max(minValue, pendingValueShare*p.pendingValue())
	}
	p.best = p.bestMove()
	if p.best == nil || p.best.value <= minValue {
		p.best, p.noMoveLeft = nil, true
	}
	return p.best
}

// pendingValue returns the highest value of a further copy among the models that room is being made
// for. Moves of lower value must not take the weight store's capacity from it.
func (p *planner) pendingValue() (value float64) {
	for name := range p.makingRoomFor {
		if m := p.fleet.Models[name]; m != nil {
			if c := p.additionalCopy(m, false); c != nil {
				value = max(value, c.value)
			}
		}
	}
	return value
}

// touchesEvictions reports whether a move affects servers on which copies are evicted in this
// decision: its value is known only once the freed memory is used.
func (p *planner) touchesEvictions(c *candidate) bool {
	for _, l := range c.touched {
		if p.evictingServers[l] {
			return true
		}
	}
	return false
}

// candidate is one more copy of a model and its value, in requests answered in time.
type candidate struct {
	model   *fleet.Model
	acc     *accelerator
	evicted []modelCopy // copies evicted for it
	value   float64
	// rate is how many requests per second it saves once it is loaded.
	rate float64
	// touched are the servers whose load it changes.
	touched []*load
	// evaluated are the accelerators that were compared to choose this one.
	evaluated []*accelerator
}

// Rules for caching the further copies of models within one decision:
//
//  1. A result is kept until something changes: otherwise each load would recompute it for all models.
//  2. The first copy of a model only makes its server busier. So only results that depend on that
//     server are recomputed: those of models resident there, or whose further copy would go there.
//  3. After any other change everything is recomputed: load decreases elsewhere, too.

func (p *planner) bestMove() *candidate {
	var best *candidate
	for _, m := range p.models {
		c, cached := p.candidates[m.Name]
		if !cached || p.in.noCache {
			c = p.bestCandidate(m)
			p.candidates[m.Name] = c
		}
		if c != nil && (best == nil || c.value > best.value) {
			best = c
		}
	}
	return best
}

// invalidateAt is caching rule 2, for the first copy of a model on an accelerator.
func (p *planner) invalidateAt(m *fleet.Model, a *accelerator) {
	delete(p.candidates, m.Name)
	for name := range a.models {
		delete(p.candidates, name)
	}
	for name, c := range p.candidates {
		if c != nil && (slices.Contains(c.evaluated, a) || slices.Contains(c.touched, a.load)) {
			delete(p.candidates, name)
		}
	}
}

// bestCandidate returns the best further copy of a model whose servers have more load than they can
// serve in time.
func (p *planner) bestCandidate(m *fleet.Model) *candidate {
	return p.additionalCopy(m, p.makingRoomFor[m.Name]) // (11)
}

// additionalCopy returns the best further copy of a model; with freeOnly, only where no room must
// be made.
func (p *planner) additionalCopy(m *fleet.Model, freeOnly bool) *candidate {
	d := p.in.Demand[m.Name]
	list := p.serving(m)
	if p.returnsOnDemand(m) { // (15)
		if p.in.Deferred[m.Name] || p.in.Idle[m.Name] {
			return nil
		}
		return p.bestTarget(m, freeOnly)
	}
	if d.BusySlots+d.PrefillLoad == 0 || len(list) == 0 || len(list) >= m.MaxCopies {
		return nil
	}
	if !slices.ContainsFunc(list, func(c modelCopy) bool { return c.acc.load.late() > 0 }) {
		return nil
	}
	return p.bestTarget(m, freeOnly)
}

// bestTarget returns the best accelerator for one more copy of a model, whatever its value.
func (p *planner) bestTarget(m *fleet.Model, freeOnly bool) *candidate {
	var best *candidate
	cached, others, slower := p.targetsByHeadroom(m, freeOnly)
	if !p.evictsFewer(slower, others) {
		slower = target{}
	}
	targets := []target{cached, others, slower} // (12, 20)
	if p.allLimited(m) {
		targets = append(targets, p.cheapestTarget(m, freeOnly))
	}
	for _, t := range targets {
		if t.acc == nil {
			continue
		}
		if c := p.evaluate(m, t.acc, t.evicted); best == nil || c.value > best.value {
			best = &c
		}
	}
	if best != nil {
		for _, t := range targets {
			best.evaluated = append(best.evaluated, t.acc)
		}
	}
	return best
}

// evaluate returns the value of one more copy of a model without the copies that are evicted for it
// (7): what it saves while demand lasts, less what the evictions cost until it is loaded.
func (p *planner) evaluate(m *fleet.Model, acc *accelerator, evicted []modelCopy) candidate {
	gain, loss, touched := p.compareLate(m, acc, evicted)
	delay := (p.evictionTime(evicted) + p.loadTime(m, acc)).Seconds()
	requests := gain*max(0, p.benefitDuration(m).Seconds()-delay) - loss*delay
	return candidate{model: m, acc: acc, evicted: evicted, value: requests * p.fleet.AttainmentWeight, rate: gain, touched: touched}
}

const (
	// busyEvictionTime is how long the eviction of a copy with running requests takes, since it
	// waits for the longest of them: 3 to 5 s where streams lasted a second on average.
	busyEvictionTime = 3 * time.Second
	// idleRequests is the count of requests in service below which a copy is evicted at once.
	idleRequests = 0.2
)

// evictionTime returns how long the eviction of copies takes.
func (p *planner) evictionTime(evicted []modelCopy) time.Duration {
	for _, c := range evicted {
		m := p.fleet.Models[c.resident.Item.Model]
		if p.in.Demand[m.Name].BusySlots/float64(max(1, len(p.serving(m)))) > idleRequests {
			return busyEvictionTime
		}
	}
	return 0
}

// loadTime returns how long loading the model on an accelerator takes.
func (p *planner) loadTime(m *fleet.Model, a *accelerator) time.Duration {
	if p.isCached(m, a) {
		return m.WarmTime
	}
	return m.LoadTime
}

// unserved returns how many requests per second are late or not served because a model has no copy
// (7).
func (p *planner) unserved(m *fleet.Model) float64 {
	if len(p.serving(m)) > 0 {
		return 0
	}
	return p.unservedRate(m)
}

// minUnservedRate is the lowest rate, in requests per second, at which a model without a copy is
// assumed to miss requests. A model without recent requests may be requested soon, and bringing
// back its copy costs more than the missed requests: an order or two, a load of seconds in which
// memory is freed, and the copies evicted for it. If the value is too high, it takes copies from
// models that are requested all the time.
const minUnservedRate = 1.5

// unservedRate returns the rate of requests that a model misses without a copy (15). For models
// without demand its minimum is scaled by the share of all models that fit at once: the more of
// them fit, the more of them may be requested soon.
func (p *planner) unservedRate(m *fleet.Model) float64 {
	minRate := minUnservedRate
	if !p.isRequested(m) {
		minRate *= min(1, p.capacityShare)
	}
	rate := max(minRate, p.longTermRate(m))
	if now := p.in.Demand[m.Name].Requests; now >= rareRate {
		rate = max(rate, now)
	}
	return rate
}

// longTermRate returns the rate of requests for a model over a longer time.
func (p *planner) longTermRate(m *fleet.Model) float64 {
	d := p.in.Demand[m.Name]
	return cmp.Or(d.LongTermRequests, d.Requests)
}

// compareLate returns how many fewer requests per second are late with one more copy of the model
// and without the evicted ones (gain), and how many more are late while those are evicted and the
// copy is not loaded yet (loss). Each move lowers the sum over all servers, so that moves end (7).
// It also returns the servers whose load changes.
func (p *planner) compareLate(m *fleet.Model, acc *accelerator, evicted []modelCopy) (gain, loss float64, servers []*load) {
	touched := map[*load]load{acc.load: *acc.load}
	models := []*fleet.Model{m}
	for _, c := range evicted {
		models = append(models, p.fleet.Models[c.resident.Item.Model])
	}
	copies := map[string][]modelCopy{}
	for _, x := range models {
		copies[x.Name] = slices.Clone(p.copies[x.Name])
		for _, c := range p.serving(x) {
			touched[c.acc.load] = *c.acc.load
		}
	}
	before := totalLate(touched) + p.totalUnserved(models)
	for _, c := range evicted {
		p.dropCopy(p.fleet.Models[c.resident.Item.Model], c)
	}
	whileEvicted := totalLate(touched) + p.totalUnserved(models)
	p.addCopy(m, modelCopy{acc, &wire.Resident{Server: acc.server.Name, Item: &wire.Item{Model: m.Name, Version: m.Version}, Phase: wire.Phase_PHASE_LOADING}})
	after := totalLate(touched) + p.totalUnserved(models)
	for l, saved := range touched {
		*l = saved
	}
	for name, list := range copies {
		p.copies[name] = list
		delete(p.servingCache, name)
	}
	return before - after, whileEvicted - before, slices.Collect(maps.Keys(touched))
}

func (p *planner) totalUnserved(list []*fleet.Model) (sum float64) {
	for _, m := range list {
		sum += p.unserved(m)
	}
	return sum
}

// totalLate adds in sorted order, since floating-point sums depend on it.
func totalLate(loads map[*load]load) (sum float64) {
	var list []float64
	for l := range loads {
		list = append(list, l.late())
	}
	slices.Sort(list)
	for _, v := range list {
		sum += v
	}
	return sum
}

// target is an accelerator on which a copy fits once some others are evicted, and the rank that its
// server then has.
type target struct {
	acc     *accelerator
	evicted []modelCopy
	rank    float64
}

// rank is the headroom left on a server or, where speeds are known, its promptness (20).
func (p *planner) rank(l *load, headroom float64) float64 {
	if !p.knowsSpeeds() {
		return headroom
	}
	return l.promptness(headroom)
}

// targetsByHeadroom returns the accelerators of the servers with the most headroom, less the load
// of copies that must be evicted, on which the copy fits or can be made to fit: one among those
// that have the model cached, and one among the others. Slower servers than the average have one of
// their own: copies that can be evicted there may cost far less than those on fast ones.
func (p *planner) targetsByHeadroom(m *fleet.Model, freeOnly bool) (cached, others, slower target) {
	mode := p.evictionModeFor(m, false)
	for _, a := range p.accs {
		best := &others
		if p.isCached(m, a) {
			best = &cached
		} else if a.load.slowdown() > 1 {
			best = &slower
		}
		headroom := a.load.headroom()
		t := target{acc: a, rank: p.rank(a.load, headroom)}
		// Evictions only reduce the headroom: if it is too small before them, they need not be
		// searched for.
		if best.acc != nil && !betterTarget(t, *best) || !p.canPlace(m, a) {
			continue
		}
		if missing := int64(m.Footprint()) - a.free; missing > 0 {
			if freeOnly {
				continue
			}
			evicted, utilization, ok := p.selectEvictions(a, missing, mode)
			if !ok {
				continue
			}
			t.evicted = evicted
			t.rank = p.rank(a.load, headroom-utilization) // the load of the evicted copies moves elsewhere
		}
		if best.acc == nil || betterTarget(t, *best) {
			*best = t
		}
	}
	return cached, others, slower
}

// betterTarget prefers servers without a limit, then those with the higher rank.
func betterTarget(a, b target) bool {
	if limitedA, limitedB := a.acc.load.limit != 0, b.acc.load.limit != 0; limitedA != limitedB {
		return limitedB
	}
	return a.rank > b.rank
}

// perform loads the copy, or first makes room for it.
func (p *planner) perform(c *candidate) {
	if len(c.evicted) == 0 {
		d := p.in.Demand[c.model.Name]
		p.loadCopy(c.model, c.acc, fmt.Sprintf("demand of %.1f requests per second on %d copies", d.Requests, len(p.serving(c.model))))
		return
	}
	for _, l := range c.touched {
		p.evictingServers[l] = true
	}
	for _, evicted := range c.evicted {
		p.evict(evicted, c.model.Name)
	}
}
