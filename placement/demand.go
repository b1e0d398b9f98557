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
	// DefaultDemandSettleTime is how long a new leader waits for demand to be reported,
	// unless Input says otherwise.
	DefaultDemandSettleTime = 10 * time.Second
	// worthShare is the share of the worth of a copy that room is made for which
	// another move must have to be made meanwhile.
	worthShare = 0.3
	// askedFor is the rate, in requests a second, from which an on-demand adapter
	// counts as asked for (10).
	askedFor = 0.15
	// movesAtOnce bounds the copies that demand moves in one decision.
	movesAtOnce = 4
)

// spreadWork books each model's demand on the servers of its copies: in equal parts, but for
// what servers with a limit do not take.
func (p *planner) spreadWork() {
	for _, m := range p.models { // sums depend on their order
		p.book(m, 1)
	}
}

// book adds (or takes off, with -1) the model's work on the servers of its
// copies.
func (p *planner) book(m *fleet.Model, sign float64) {
	list, d := p.serving(m), p.in.Demand[m.Name]
	parts := p.parts(m, list)
	for i, c := range list {
		part := 1 / float64(len(list))
		if parts != nil {
			part = parts[i]
		}
		c.acc.load.add(d, sign*part)
	}
}

func (p *planner) addCopy(m *fleet.Model, c copyOf) {
	p.book(m, -1)
	p.copies[m.Name] = append(p.copies[m.Name], c)
	delete(p.served, m.Name)
	p.book(m, 1)
}

func (p *planner) dropCopy(m *fleet.Model, c copyOf) {
	p.book(m, -1)
	p.copies[m.Name] = slices.DeleteFunc(slices.Clone(p.copies[m.Name]), func(x copyOf) bool { return x == c })
	delete(p.served, m.Name)
	p.book(m, 1)
}

// followAbove is rule 7 for the moves that spare more than so many requests a second
// (1).
func (p *planner) followAbove(rate float64) {
	if p.in.LeaderFor < cmp.Or(p.in.DemandSettleTime, DefaultDemandSettleTime) {
		return
	}
	for p.moves < movesAtOnce {
		best := p.nextMove()
		if best == nil || best.rate <= rate || p.disturbed(best) || !p.mayLoad() && !p.atHand(best.model, best.acc) {
			return
		}
		p.best = nil
		p.moves++
		p.move(best)
	}
}

// nextMove returns the best move that is worth its price, nil when there is none. It
// is looked for once until it is made.
func (p *planner) nextMove() *candidate {
	if p.noMove || p.best != nil {
		return p.best
	}
	least := p.fleet.MoveWeight
	if p.moves == 0 {
		least = max(least, worthShare*p.pendingWorth())
	}
	p.best = p.bestMove()
	if p.best == nil || p.best.worth <= least {
		p.best, p.noMove = nil, true
	}
	return p.best
}

// pendingWorth is what the best further copy would be worth of those models that
// room is being made for: lesser ones do not take the weight store's rate from it.
func (p *planner) pendingWorth() (worth float64) {
	for name := range p.roomFor {
		if m := p.fleet.Models[name]; m != nil {
			if c := p.furtherCopy(m, false); c != nil {
				worth = max(worth, c.worth)
			}
		}
	}
	return worth
}

// disturbed reports whether a move reckons with servers whose copies make room in
// this round: what it is worth is known only when that room is used.
func (p *planner) disturbed(c *candidate) bool {
	for _, l := range c.touched {
		if p.clearing[l] {
			return true
		}
	}
	return false
}

// candidate is one more copy of a model and what it is worth, in requests
// answered in time.
type candidate struct {
	model *fleet.Model
	acc   *accelerator
	out   []copyOf // copies that make room for it
	worth float64
	// rate is how many requests a second it spares once it is there.
	rate float64
	// touched are the servers whose work it changes.
	touched []*load
	// weighed are the places of which it is the best one.
	weighed []*accelerator
}

// Rules for what is found of the models' further copies in one decision:
//
//  1. It is kept until something moves: each load would have it found anew for all models.
//  2. The first copy of a model only makes its server busier. So only what was reckoned with
//     that server is found anew: models that stand there, or whose further copy would.
//  3. After any other move all is found anew: work goes down elsewhere, too.

func (p *planner) bestMove() *candidate {
	var best *candidate
	for _, m := range p.models {
		c, known := p.found[m.Name]
		if !known || p.in.afresh {
			c = p.candidate(m)
			p.found[m.Name] = c
		}
		if c != nil && (best == nil || c.worth > best.worth) {
			best = c
		}
	}
	return best
}

// forgetAt is rule 2 for the first copy of a model on an accelerator.
func (p *planner) forgetAt(m *fleet.Model, a *accelerator) {
	delete(p.found, m.Name)
	for name := range a.models {
		delete(p.found, name)
	}
	for name, c := range p.found {
		if c != nil && (slices.Contains(c.weighed, a) || slices.Contains(c.touched, a.load)) {
			delete(p.found, name)
		}
	}
}

// candidate returns the best further copy of a model whose servers have more
// work than they can do well.
func (p *planner) candidate(m *fleet.Model) *candidate {
	return p.furtherCopy(m, p.roomFor[m.Name]) // (11)
}

// furtherCopy returns the best further copy of a model; of those that need no room to be
// made, if freeOnly.
func (p *planner) furtherCopy(m *fleet.Model, freeOnly bool) *candidate {
	d := p.in.Demand[m.Name]
	list := p.serving(m)
	if p.returns(m) { // (15)
		if p.in.Deferred[m.Name] || p.in.Idle[m.Name] {
			return nil
		}
		return p.placeFor(m, freeOnly)
	}
	if d.BusySlots+d.PrefillLoad == 0 || len(list) == 0 || len(list) >= m.MaxCopies {
		return nil
	}
	if !slices.ContainsFunc(list, func(c copyOf) bool { return c.acc.load.late() > 0 }) {
		return nil
	}
	return p.placeFor(m, freeOnly)
}

// placeFor returns the best place for one more copy of a model, whatever it is worth.
func (p *planner) placeFor(m *fleet.Model, freeOnly bool) *candidate {
	var best *candidate
	atHand, others := p.placesForMore(m, freeOnly)
	places := []placeForMore{atHand, others} // (12)
	if p.limited(m) {
		places = append(places, p.leastMissed(m, freeOnly))
	}
	for _, at := range places {
		if at.acc == nil {
			continue
		}
		if c := p.weigh(m, at.acc, at.out); best == nil || c.worth > best.worth {
			best = &c
		}
	}
	if best != nil {
		for _, at := range places {
			best.weighed = append(best.weighed, at.acc)
		}
	}
	return best
}

// weigh returns what one more copy of a model is worth without those that make room
// for it (7): what it spares while demand lasts, less what their absence costs until
// it is there.
func (p *planner) weigh(m *fleet.Model, acc *accelerator, out []copyOf) candidate {
	spared, missed, touched := p.spared(m, acc, out)
	coming := (p.clearTime(out) + p.loadTime(m, acc)).Seconds()
	requests := spared*max(0, p.lasts(m).Seconds()-coming) - missed*coming
	return candidate{model: m, acc: acc, out: out, worth: requests * p.fleet.AttainmentWeight, rate: spared, touched: touched}
}

const (
	// clearBusy is how long a copy takes to go that requests run on, since it waits for
	// the longest of them: 3 to 5 s where streams lasted a second on average.
	clearBusy = 3 * time.Second
	// clearIdle is the count of requests in service below which a copy goes at once.
	clearIdle = 0.2
)

// clearTime is how long copies take to go.
func (p *planner) clearTime(out []copyOf) time.Duration {
	for _, c := range out {
		m := p.fleet.Models[c.resident.Item.Model]
		if p.in.Demand[m.Name].BusySlots/float64(max(1, len(p.serving(m)))) > clearIdle {
			return clearBusy
		}
	}
	return 0
}

// loadTime is how long a load of the model lasts on an accelerator.
func (p *planner) loadTime(m *fleet.Model, a *accelerator) time.Duration {
	if p.atHand(m, a) {
		return m.WarmTime
	}
	return m.LoadTime
}

// absent is how many requests a second are late, or not served, because a model has no
// copy (7).
func (p *planner) absent(m *fleet.Model) float64 {
	if len(p.serving(m)) > 0 {
		return 0
	}
	return p.absentRate(m)
}

// absentLeast is the rate, in requests a second, at which a model without a copy is missed at
// least. What was not asked for lately may be soon, and a copy that came back costs more than the
// requests that missed it: an order or two, a load of seconds in which room is made, and the copies
// that went for it. Too high, it takes copies from models that are asked for all the time.
const absentLeast = 1.5

// absentRate is the rate at which requests miss a model without a copy (15). Of models that nobody asks for the more may be
// asked for soon, the more of them there are places for.
func (p *planner) absentRate(m *fleet.Model) float64 {
	least := absentLeast
	if !p.isAsked(m) {
		least *= min(1, p.roomShare)
	}
	rate := max(least, p.steady(m))
	if now := p.in.Demand[m.Name].Requests; now >= rareBelow {
		rate = max(rate, now)
	}
	return rate
}

// steady is the rate of requests for a model over a longer time.
func (p *planner) steady(m *fleet.Model) float64 {
	d := p.in.Demand[m.Name]
	return cmp.Or(d.LongTermRequests, d.Requests)
}

// spared returns how many requests a second fewer come too late with one more
// copy of the model and without those that make room for it, and how many more
// while they are gone and it has not come. Each move that is made lowers the sum
// over all servers, so that moves come to an end (7). It returns the servers whose
// work changes, too.
func (p *planner) spared(m *fleet.Model, acc *accelerator, out []copyOf) (spared, missed float64, all []*load) {
	touched := map[*load]load{acc.load: *acc.load}
	models := []*fleet.Model{m}
	for _, c := range out {
		models = append(models, p.fleet.Models[c.resident.Item.Model])
	}
	copies := map[string][]copyOf{}
	for _, x := range models {
		copies[x.Name] = slices.Clone(p.copies[x.Name])
		for _, c := range p.serving(x) {
			touched[c.acc.load] = *c.acc.load
		}
	}
	before := lateOf(touched) + p.absentOf(models)
	for _, c := range out {
		p.dropCopy(p.fleet.Models[c.resident.Item.Model], c)
	}
	between := lateOf(touched) + p.absentOf(models)
	p.addCopy(m, copyOf{acc, &wire.Resident{Server: acc.server.Name, Item: &wire.Item{Model: m.Name, Version: m.Version}, Phase: wire.Phase_PHASE_LOADING}})
	after := lateOf(touched) + p.absentOf(models)
	for l, was := range touched {
		*l = was
	}
	for name, list := range copies {
		p.copies[name] = list
		delete(p.served, name)
	}
	return before - after, between - before, slices.Collect(maps.Keys(touched))
}

func (p *planner) absentOf(list []*fleet.Model) (sum float64) {
	for _, m := range list {
		sum += p.absent(m)
	}
	return sum
}

// lateOf sums in the order of size, since sums of fractions depend on it.
func lateOf(loads map[*load]load) (sum float64) {
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

// placeForMore is an accelerator on which a copy fits once some others are gone, and the room
// for work that its server has then.
type placeForMore struct {
	acc  *accelerator
	out  []copyOf
	room float64
}

// placesForMore returns the accelerators of the servers with the most room for
// work, less the work of copies that must go, on which the copy fits or can be made to
// fit: of those that have the model at hand, and of the others.
func (p *planner) placesForMore(m *fleet.Model, freeOnly bool) (atHand, others placeForMore) {
	sparing := p.sparing(m, false)
	for _, a := range p.accs {
		best := &others
		if p.atHand(m, a) {
			best = &atHand
		}
		at := placeForMore{acc: a, room: a.load.room()}
		// Copies that go only take from the room: where that is no more to begin with they need not be looked at.
		if best.acc != nil && !betterForMore(at, *best) || !p.mayHold(m, a) {
			continue
		}
		if lack := int64(m.Footprint()) - a.free; lack > 0 {
			if freeOnly {
				continue
			}
			out, use, ok := p.spare(a, lack, sparing)
			if !ok {
				continue
			}
			at.out = out
			at.room -= use // what the copies in the way do must be done elsewhere
		}
		if best.acc == nil || betterForMore(at, *best) {
			*best = at
		}
	}
	return atHand, others
}

// betterForMore prefers servers without a limit, then those with more room.
func betterForMore(a, b placeForMore) bool {
	if limitedA, limitedB := a.acc.load.limit != 0, b.acc.load.limit != 0; limitedA != limitedB {
		return limitedB
	}
	return a.room > b.room
}

// move loads the copy, or first makes room for it.
func (p *planner) move(c *candidate) {
	if len(c.out) == 0 {
		d := p.in.Demand[c.model.Name]
		p.load(c.model, c.acc, fmt.Sprintf("demand of %.1f requests a second on %d copies", d.Requests, len(p.serving(c.model))))
		return
	}
	for _, l := range c.touched {
		p.clearing[l] = true
	}
	for _, out := range c.out {
		p.evict(out, c.model.Name)
	}
}
