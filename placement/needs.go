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

// need is one model that lacks a copy, whatever its demand (1).
type need struct {
	model *fleet.Model
	have  int
	least int
}

func (n need) why() string {
	if n.have == 0 {
		return "no copy"
	}
	return fmt.Sprintf("%d of %d copies", n.have, n.least)
}

// rareBelow is the rate, in requests a second, below which the last copy of a model may go
// where the server has it at hand (15): well above that of the models that are asked for
// every two seconds or so, and below that of those that are asked for all the time.
const rareBelow = 2

// reservation is a place for a model that is loaded later.
type reservation struct {
	need need
	acc  *accelerator
}

// isAsked reports whether a model is asked for, now or now and then, or requests wait for it.
func (p *planner) isAsked(m *fleet.Model) bool {
	d := p.in.Demand[m.Name]
	return d.Requests > 0 || d.LongTermRequests > 0 || p.in.Awaited[m.Name]
}

// mostWithoutRoom is the share of all models that there is room for below which models that nobody asks for do without a
// copy (17): a fleet that has lost half of its servers still places each model that fits beside the last copies of others.
const mostWithoutRoom = 0.5

// anyAskedOf reports whether one of some copies is of a model that is asked for.
func (p *planner) anyAskedOf(copies []copyOf) bool {
	return slices.ContainsFunc(copies, func(c copyOf) bool { return p.isAsked(p.fleet.Models[c.resident.Item.Model]) })
}

func (p *planner) asksFor(m *fleet.Model) bool { return p.in.Demand[m.Name].Requests > 0 }

// loadNeeds orders the loads of models that have their room: those that are asked
// for beside what demand moves, by what each spares, and the others behind all that
// demand asks for (1).
func (p *planner) loadNeeds() {
	for _, r := range p.reserved {
		p.followAbove(p.in.Demand[r.need.model.Name].Requests)
		if r.acc.busy || !p.mayLoad() && !p.atHand(r.need.model, r.acc) {
			continue
		}
		r.acc.free += int64(r.need.model.Footprint())
		p.load(r.need.model, r.acc, r.need.why())
	}
	p.followAbove(0)
}

// reserve keeps room for a model.
func (p *planner) reserve(n need, a *accelerator) {
	p.best = nil // it reckoned with this room
	p.noteChange(n.model, a)
	a.free -= int64(n.model.Footprint())
	a.models[n.model.Name] = true
	p.reserved = append(p.reserved, reservation{n, a})
}

// fillNeeds keeps or makes room for what has no copy, and then for what has too few
// (1).
func (p *planner) fillNeeds() {
	slots := p.fleet.LoadsAtOnce - p.loads
	for _, n := range p.needs() {
		best := p.bestPlace(n.model)
		if best == nil || !p.atHand(n.model, best) {
			if slots <= 0 { // room that no load uses soon is only missed
				continue
			}
			slots--
		}
		if best == nil || p.fasterElsewhere(n, best) {
			p.makeRoom(n)
			continue
		}
		p.reserve(n, best)
	}
}

// fasterElsewhere reports whether a model that is asked for comes sooner by room made
// on a server that has it at hand than on one with free room (12).
func (p *planner) fasterElsewhere(n need, a *accelerator) bool {
	if !p.asksFor(n.model) || p.atHand(n.model, a) || p.in.Deferred[n.model.Name] || p.roomFor[n.model.Name] {
		return false
	}
	best := p.leastHarm(n)
	return best != nil && p.atHand(n.model, best.acc) && best.worth > p.weigh(n.model, a, nil).worth
}

func (p *planner) needs() []need {
	var list []need
	for _, m := range p.models {
		if have := len(p.serving(m)); have < p.least(m) && !p.returns(m) {
			list = append(list, need{m, have, p.least(m)})
		}
	}
	slices.SortStableFunc(list, func(a, b need) int {
		return cmp.Or(cmp.Compare(min(a.have, 1), min(b.have, 1)), p.askedFirst(a, b), cmp.Compare(b.model.Priority, a.model.Priority),
			cmp.Compare(p.in.Demand[b.model.Name].Requests, p.in.Demand[a.model.Name].Requests))
	})
	return list
}

func (p *planner) askedFirst(a, b need) int {
	switch asksA, asksB := p.asksFor(a.model), p.asksFor(b.model); {
	case asksA == asksB:
		return 0
	case asksA:
		return -1
	}
	return 1
}

// serving returns the ready and coming copies of the wanted version on servers
// that work. The list must not be changed.
func (p *planner) serving(m *fleet.Model) []copyOf {
	if list, known := p.served[m.Name]; known && !p.in.afresh {
		return list
	}
	var list []copyOf
	for _, c := range p.copies[m.Name] {
		if c.resident.Item.Version == m.Version && c.resident.Phase != wire.Phase_PHASE_UNLOADING && !c.acc.unusable {
			list = append(list, c)
		}
	}
	p.served[m.Name] = list
	return list
}

// bestPlace is rule 2.
func (p *planner) bestPlace(m *fleet.Model) *accelerator {
	halls := map[string]bool{}
	for _, c := range p.serving(m) {
		halls[c.acc.server.Hall] = true
	}
	var best *accelerator
	for _, a := range p.accs {
		if p.fits(m, a) && (best == nil || p.better(m, a, best, halls)) {
			best = a
		}
	}
	return best
}

// mayHold reports whether a copy may stand on an accelerator if it had room.
func (p *planner) mayHold(m *fleet.Model, a *accelerator) bool {
	return !a.busy && !a.models[m.Name] && m.MayRunOn(a.server)
}

func (p *planner) fits(m *fleet.Model, a *accelerator) bool {
	return p.mayHold(m, a) && a.free >= int64(m.Footprint())
}

func (p *planner) better(m *fleet.Model, a, b *accelerator, halls map[string]bool) bool {
	if limitedA, limitedB := a.load.limit != 0, b.load.limit != 0; limitedA != limitedB {
		return limitedB
	}
	if handA, handB := p.atHand(m, a), p.atHand(m, b); handA != handB { // (12)
		return handA
	}
	if newA, newB := !halls[a.server.Hall], !halls[b.server.Hall]; newA != newB {
		return newA
	}
	if useA, useB := a.load.use(), b.load.use(); useA != useB {
		return useA < useB
	}
	return a.free > b.free
}

// load orders one more copy and books its room and work.
func (p *planner) load(m *fleet.Model, a *accelerator, why string) {
	if !p.atHand(m, a) {
		p.loads++
	}
	p.noteChange(m, a)
	if len(p.serving(m)) == 0 {
		p.forgetAt(m, a)
	} else {
		clear(p.found)
	}
	a.free -= int64(m.Footprint())
	a.models[m.Name] = true
	item := &wire.Item{Model: m.Name, Version: m.Version}
	p.addCopy(m, copyOf{a, &wire.Resident{Server: a.server.Name, Accelerator: a.number, Item: item, Phase: wire.Phase_PHASE_LOADING}})
	p.order(a, wire.OrderAction_ORDER_LOAD, item, m.Memory, why)
}

// makeRoom is rule 5. The copy itself is placed once the room is there.
func (p *planner) makeRoom(n need) {
	if p.roomFor[n.model.Name] || p.in.Deferred[n.model.Name] { // (11, 13)
		return
	}
	best := p.leastHarm(n)
	if best == nil && n.have == 0 && p.repack(n.model) { // (8)
		return
	}
	if best == nil {
		p.plan.Shortages = append(p.plan.Shortages, Shortage{n.model.Name, fmt.Sprintf("%s; no accelerator has %d bytes free now", n.why(), n.model.Footprint())})
		return
	}
	if p.betterSoon(n, best) { // (16)
		return
	}
	if p.roomShare < mostWithoutRoom && !p.isAsked(n.model) && best.worth <= p.fleet.MoveWeight && p.anyAskedOf(best.out) { // (17)
		return
	}
	for _, c := range best.out {
		p.evict(c, n.model.Name)
	}
}

// busyFor is about how long a server takes no order that others are open on, or that
// another leader gave orders to.
const busyFor = 3 * time.Second

// betterSoon reports whether room on a server that takes no order now costs so much less
// that it is worth the wait (16).
func (p *planner) betterSoon(n need, best *candidate) bool {
	waits := p.in.Demand[n.model.Name].Requests * busyFor.Seconds()
	later := p.leastHarmOn(n, func(a *accelerator) bool {
		return a.busy && !a.unusable && !a.models[n.model.Name] && n.model.MayRunOn(a.server)
	})
	return later != nil && later.worth-best.worth > waits+p.fleet.MoveWeight
}

// leastHarm returns where room for a model costs the fewest requests, its own that
// wait for it included (5).
func (p *planner) leastHarm(n need) *candidate {
	return p.leastHarmOn(n, func(a *accelerator) bool { return p.mayHold(n.model, a) })
}

func (p *planner) leastHarmOn(n need, may func(*accelerator) bool) *candidate {
	var best *candidate
	for _, w := range p.waysFor(n, may) {
		c := p.weigh(n.model, w.acc, w.out)
		if best == nil || cmp.Or(cmp.Compare(c.worth, best.worth), cmp.Compare(len(best.out), len(c.out))) > 0 {
			best = &c
		}
	}
	return best
}

// way is an accelerator with what would go there.
type way struct {
	acc  *accelerator
	out  []copyOf
	harm float64 // about how many requests a second go without
	use  float64 // of its server once that has gone
}

// weighed is how many ways to make room are weighed at most of those on servers that have the model at hand, and of the
// others: the ones that are missed least by a reckoning that looks at nothing but the copies that go. To weigh one costs as
// much as to reckon a hundred, and in a fleet of thousands of servers most are alike.
const weighed = 24

// waysFor returns the ways to make room for a model that are worth weighing.
func (p *planner) waysFor(n need, may func(*accelerator) bool) []way {
	var atHand, others []way
	sparing := p.sparing(n.model, n.have == 0)
	for _, a := range p.accs {
		if !may(a) {
			continue
		}
		out, use, ok := p.spare(a, int64(n.model.Footprint())-a.free, sparing)
		if !ok {
			continue
		}
		w := way{acc: a, out: out, use: a.load.use() - use}
		for _, c := range out {
			w.harm += p.lacked(c)
		}
		if p.atHand(n.model, a) {
			atHand = append(atHand, w)
		} else {
			others = append(others, w)
		}
	}
	return append(leastHarmful(atHand), leastHarmful(others)...)
}

func leastHarmful(ways []way) []way {
	if len(ways) <= weighed {
		return ways
	}
	slices.SortStableFunc(ways, func(a, b way) int {
		return cmp.Or(cmp.Compare(a.harm, b.harm), cmp.Compare(a.use, b.use), cmp.Compare(len(a.out), len(b.out)))
	})
	return ways[:weighed]
}

// sparing says which copies may go for a copy of a model.
type sparing int

const (
	// forFirst is for a model that has none: others keep one. Without it others keep their least number.
	forFirst sparing = 1 << iota
	// forAsked is for a model that is asked for: last copies may go that are had again within a moment (14, 15, 17).
	forAsked
	sparings
)

func (p *planner) sparing(m *fleet.Model, first bool) (s sparing) {
	if first {
		s |= forFirst
	}
	if p.isAsked(m) {
		s |= forAsked
	}
	return s
}

// spares are the copies on an accelerator that can go, the least asked for first. They are kept until something moves there,
// or of a model that stands there: each move looks at each of them for each model that has too few copies.
type spares struct {
	round int // planner.round when they were found; 0: they were not
	list  []copyOf
	// sizes are the bytes that each takes, uses the use that it makes of its server (load.use).
	sizes []int64
	uses  []float64
}

// spare returns copies on an accelerator that can go so that so many bytes
// become free: those whose models keep a ready copy elsewhere, and, unless the
// room is for a model without any copy, their least number; the least asked for go
// first. It returns the use that they make of their server, too.
func (p *planner) spare(a *accelerator, bytes int64, which sparing) (out []copyOf, use float64, ok bool) {
	s := p.sparesOf(a, which)
	for i := range s.list {
		bytes -= s.sizes[i]
		use += s.uses[i]
		if bytes <= 0 {
			return s.list[: i+1 : i+1], use, true
		}
	}
	return nil, 0, false
}

// sparesOf returns what stands in the accelerator, or finds it anew if something moved since.
func (p *planner) sparesOf(a *accelerator, which sparing) *spares {
	s := &a.spares[which]
	if s.round > 0 && !p.changedSince(a, s.round) && !p.in.afresh {
		return s
	}
	s.round, s.list, s.sizes, s.uses = p.round, nil, nil, nil
	for name := range a.models {
		if c, ok := p.spareCopy(name, a, which); ok {
			s.list = append(s.list, c)
		}
	}
	slices.SortFunc(s.list, func(x, y copyOf) int {
		mx, my := p.fleet.Models[x.resident.Item.Model], p.fleet.Models[y.resident.Item.Model]
		return cmp.Or(cmp.Compare(p.lacked(x), p.lacked(y)), cmp.Compare(p.steady(mx), p.steady(my)), cmp.Compare(mx.Name, my.Name))
	})
	for _, c := range s.list {
		s.sizes = append(s.sizes, int64(p.fleet.Models[c.resident.Item.Model].Footprint()))
		s.uses = append(s.uses, p.useOf(c))
	}
	return s
}

// changedSince reports whether something moved on an accelerator, or of the models there, after a round.
func (p *planner) changedSince(a *accelerator, round int) bool {
	if a.changed > round {
		return true
	}
	for name := range a.models {
		if p.changed[name] > round {
			return true
		}
	}
	return false
}

// noteChange begins another round, in which a model has changed on an accelerator.
func (p *planner) noteChange(m *fleet.Model, a *accelerator) {
	p.round++
	p.changed[m.Name], a.changed = p.round, p.round
}

// useOf is the use that a copy makes of its server (load.use).
func (p *planner) useOf(c copyOf) float64 {
	m := p.fleet.Models[c.resident.Item.Model]
	alone := load{size: c.acc.load.size, limit: c.acc.load.limit}
	alone.add(p.in.Demand[m.Name], 1/float64(max(1, len(p.serving(m)))))
	return alone.use()
}

// lacked is about how many requests a second go without a copy if it goes.
func (p *planner) lacked(c copyOf) float64 {
	m := p.fleet.Models[c.resident.Item.Model]
	n := len(p.serving(m))
	if n <= 1 || p.onlyFree(m, c) {
		return p.absentRate(m)
	}
	return p.in.Demand[m.Name].Requests / float64(n)
}

// spareCopy returns the model's copy on an accelerator if it can go.
func (p *planner) spareCopy(name string, a *accelerator, which sparing) (copyOf, bool) {
	m := p.fleet.Models[name]
	if m == nil {
		return copyOf{}, false
	}
	var here copyOf
	found, ready, all := false, 0, 0
	for _, c := range p.serving(m) {
		all++
		switch {
		case c.acc == a:
			here, found = c, c.resident.Phase == wire.Phase_PHASE_READY
		case c.resident.Phase == wire.Phase_PHASE_READY:
			ready++
		}
	}
	place := ledger.Location{Server: a.server.Name, Accelerator: a.number, Model: name, Version: m.Version}
	enough := ready >= 1 && (which&forFirst != 0 || all > p.least(m))
	spare := enough || which&forAsked != 0 && all == 1 && p.atHand(m, a) && !p.in.Awaited[name] && p.in.Demand[name].Requests < rareBelow && (p.in.Idle[name] || p.steady(m) < rareBelow) // (14, 15)
	return here, found && spare && p.settled(m, a) && p.in.State.OrphanedAdapter(place) == ""
}

// returns reports whether a model without a copy comes back when that is worth it (15).
func (p *planner) returns(m *fleet.Model) bool { return len(p.serving(m)) == 0 && p.kept(m) }

// settled reports whether nothing of the model is being moved on an accelerator.
func (p *planner) settled(m *fleet.Model, a *accelerator) bool {
	for o := range p.in.State.Orders.ByServer(a.server.Name) {
		if o.Accelerator == a.number && o.Item.Model == m.Name {
			return false
		}
	}
	return true
}

// evict orders a copy away. Its adapters follow once they are without it.
func (p *planner) evict(c copyOf, roomFor string) {
	p.orderFor(c.acc, wire.OrderAction_ORDER_UNLOAD, c.resident.Item, c.resident.Memory, roomFor, "makes room for "+roomFor)
	c.acc.busy = true // nothing else moves there in this round
	p.roomFor[roomFor] = true
	p.noteChange(p.fleet.Models[c.resident.Item.Model], c.acc)
	clear(p.found)
	p.dropCopy(p.fleet.Models[c.resident.Item.Model], c)
}

// atHand reports whether a server can load a model from its own memory or disk
// (12).
func (p *planner) atHand(m *fleet.Model, a *accelerator) bool {
	return slices.Contains(a.hand, m.Name)
}

// kept reports whether some server that works has the model at hand (14).
func (p *planner) kept(m *fleet.Model) bool { return p.keptModels[m.Name] }

// noteKept lists once what is asked of every model many times.
func (p *planner) noteKept() {
	p.keptModels = map[string]bool{}
	for _, a := range p.accs {
		if a.unusable {
			continue
		}
		for _, name := range a.hand {
			p.keptModels[name] = true
		}
	}
}
