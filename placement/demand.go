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
	// lasts is how long demand is taken to last.
	lasts = 5 * time.Minute
	// DemandSettles is how long a new leader waits for demand to be reported,
	// unless Input says otherwise.
	DemandSettles = 10 * time.Second
	// worthShare is the share of the worth of a copy that room is made for which
	// another move must have to be made meanwhile.
	worthShare = 0.3
	// atHandBonus is how much more room, as a share of its size, a server seems to
	// have that has the model at hand.
	atHandBonus = 0.1
	// askedFor is the rate, in requests a second, from which an on-demand adapter
	// counts as asked for (10).
	askedFor = 0.15
	// movesAtOnce bounds the copies that demand moves in one decision.
	movesAtOnce = 4
)

func (l *load) use() float64 { return l.work / l.size }

// late is how many requests a second come too late by the excess.
func (l *load) late() float64 {
	if l.work <= 0 {
		return 0
	}
	return l.excess() / l.work * l.requests
}

// excess is the work that is above good use.
func (l *load) excess() float64 { return max(0, l.work-l.good*l.size) }

// room is the work that still fits into good use.
func (l *load) room() float64 { return max(0, l.good*l.size-l.work) }

// spreadWork books each model's demand in equal parts on the servers of its
// copies.
func (p *planner) spreadWork() {
	for _, m := range p.models { // sums depend on their order
		p.book(m, 1)
	}
}

// book adds (or takes off, with -1) the model's work on the servers of its
// copies.
func (p *planner) book(m *fleet.Model, sign float64) {
	list, d := p.serving(m), p.in.Demand[m.Name]
	for _, c := range list {
		c.acc.load.work += sign * d.Places / float64(len(list))
		c.acc.load.requests += sign * d.Requests / float64(len(list))
	}
}

func (p *planner) addCopy(m *fleet.Model, c copyOf) {
	p.book(m, -1)
	p.copies[m.Name] = append(p.copies[m.Name], c)
	p.book(m, 1)
}

func (p *planner) dropCopy(m *fleet.Model, c copyOf) {
	p.book(m, -1)
	p.copies[m.Name] = slices.DeleteFunc(p.copies[m.Name], func(x copyOf) bool { return x == c })
	p.book(m, 1)
}

// followDemand is rule 7.
func (p *planner) followDemand() {
	if p.in.Since < cmp.Or(p.in.Settles, DemandSettles) {
		return
	}
	least := p.fleet.MoveWeight
	for i := range movesAtOnce {
		if !p.mayLoad() {
			return
		}
		best := p.bestMove()
		if i == 0 {
			least = max(least, worthShare*p.pendingWorth())
		}
		if best == nil || best.worth <= least {
			return
		}
		if p.disturbed(best) {
			return
		}
		p.move(best)
	}
}

// pendingWorth is what the best further copy would be worth of those models that
// room is being made for: lesser ones do not take the weight store's rate from it.
func (p *planner) pendingWorth() (worth float64) {
	for name := range p.roomFor {
		if m := p.fleet.Models[name]; m != nil {
			if c := p.furtherCopy(m); c != nil {
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
	// touched are the servers whose work it changes.
	touched []*load
}

func (p *planner) bestMove() *candidate {
	var best *candidate
	for _, m := range p.models {
		if c := p.candidate(m); c != nil && (best == nil || c.worth > best.worth) {
			best = c
		}
	}
	return best
}

// candidate returns the best further copy of a model whose servers have more
// work than they can do well.
func (p *planner) candidate(m *fleet.Model) *candidate {
	if p.roomFor[m.Name] { // (11)
		return nil
	}
	return p.furtherCopy(m)
}

func (p *planner) furtherCopy(m *fleet.Model) *candidate {
	d := p.in.Demand[m.Name]
	list := p.serving(m)
	if d.Places == 0 || len(list) == 0 || len(list) >= m.MaxCopies {
		return nil
	}
	if !slices.ContainsFunc(list, func(c copyOf) bool { return c.acc.load.excess() > 0 }) {
		return nil
	}
	acc, out := p.placeForMore(m)
	if acc == nil {
		return nil
	}
	requests, touched := p.spared(m, acc, out)
	return &candidate{m, acc, out, requests * lasts.Seconds() * p.fleet.AttainmentWeight, touched}
}

// spared returns how many requests a second fewer come too late with one more
// copy of the model and without those that make room for it. Each move that is
// made lowers the sum over all servers, so that moves come to an end (7). It
// returns the servers whose work changes, too.
func (p *planner) spared(m *fleet.Model, acc *accelerator, out []copyOf) (float64, []*load) {
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
	before := lateOf(touched)
	for _, c := range out {
		p.dropCopy(p.fleet.Models[c.resident.Item.Model], c)
	}
	p.addCopy(m, copyOf{acc, &wire.Resident{Server: acc.server.Name, Item: &wire.Item{Model: m.Name, Version: m.Version}, Phase: wire.Phase_PHASE_LOADING}})
	after := lateOf(touched)
	for l, was := range touched {
		*l = was
	}
	maps.Copy(p.copies, copies)
	return before - after, slices.Collect(maps.Keys(touched))
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

// placeForMore returns the accelerator of the server with the most room for
// work, less the work of copies that must go, on which the copy fits or can be made to fit.
func (p *planner) placeForMore(m *fleet.Model) (*accelerator, []copyOf) {
	var best *accelerator
	var bestOut []copyOf
	most := 0.0
	for _, a := range p.accs {
		if !p.mayHold(m, a) {
			continue
		}
		var out []copyOf
		if lack := int64(m.Footprint()) - a.free; lack > 0 {
			spared, ok := p.spare(a, lack, false)
			if !ok {
				continue
			}
			out = spared
		}
		// What the copies in the way do must be done elsewhere.
		room := a.load.room() - p.missed(out)
		if p.atHand(m, a) { // (12)
			room += atHandBonus * a.load.size
		}
		if best == nil || room > most {
			best, bestOut, most = a, out, room
		}
	}
	return best, bestOut
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
