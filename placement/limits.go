package placement

import (
	"slices"
	"time"

	"leverdrum/fleet"
)

// Rules for servers that name a limit (package throttle):
//
//  1. A copy there has a part of the limit: what it is by the models that stand there. Boxes send it no more while
//     others have room, so the rest of its model's demand is booked on the copies without a limit.
//  2. Where all copies of a model are on such servers, what they do not bear is missed, as if it
//     came too late: a reason for another copy elsewhere.
//  3. A further copy goes to a server without a limit first.
//  4. Such a copy needs little room for work: the rate of a limited server is small. So where the copies that make room for it
//     are missed least is weighed, too, and not only where most room for work is.
//     It stays as long as no other copy is on a server without a limit: it is missed like a last one.
//  5. What a limited server does not bear is missed for longer than demand lasts: the server is in need, and demand comes
//     to it as to the others.
//  6. A server that rests to many boxes for long counts as one with a limit of next to nothing.

// restingLimit stands for the limit of a server that rests, in requests a second (6).
const restingLimit = 0.05

// limitOf returns the limit of a server, in requests a second; 0 for none.
func (p *planner) limitOf(server string) float64 {
	if p.in.InBackoff[server] {
		return restingLimit
	}
	if len(p.in.State.Limits) == 0 {
		return 0
	}
	return p.in.State.LimitOf(server).PerSecond()
}

// unlimited reports whether no server has a limit.
func (p *planner) unlimited() bool { return len(p.in.State.Limits) == 0 && len(p.in.InBackoff) == 0 }

// limitPart is the most that one copy on a limited server has of its limit (1).
func limitPart(a *accelerator) float64 { return a.load.limit / float64(max(1, a.stood)) }

// parts are the shares of a model's demand that its copies take, in their order; nil where they are equal.
func (p *planner) parts(m *fleet.Model, list []copyOf) []float64 {
	if p.unlimited() {
		return nil
	}
	asked := p.in.Demand[m.Name].Requests
	equal := 1 / float64(max(1, len(list)))
	parts := make([]float64, len(list))
	rest, free := 1.0, 0
	for i, c := range list {
		if c.acc.load.limit == 0 || asked == 0 {
			free++
			continue
		}
		parts[i] = min(equal, limitPart(c.acc)/asked)
		rest -= parts[i]
	}
	if free == 0 { // (2)
		return nil
	}
	for i, c := range list {
		if c.acc.load.limit == 0 || asked == 0 {
			parts[i] = rest / float64(free)
		}
	}
	return parts
}

// limitLasts is how long a server is taken to go on naming a limit (5).
const limitLasts = 30 * time.Second

// lasts is how long one more copy of a model is taken to be of use.
func (p *planner) lasts(m *fleet.Model) time.Duration {
	if p.limited(m) {
		return max(p.fleet.DemandLasts, limitLasts)
	}
	return p.fleet.DemandLasts
}

// limited reports whether all copies of a model stand on servers with a limit.
func (p *planner) limited(m *fleet.Model) bool {
	if p.unlimited() {
		return false
	}
	list := p.serving(m)
	return len(list) > 0 && !slices.ContainsFunc(list, func(c copyOf) bool { return c.acc.load.limit == 0 })
}

// leastMissed is rule 4.
func (p *planner) leastMissed(m *fleet.Model, freeOnly bool) (best placeForMore) {
	least := 0.0
	for _, a := range p.accs {
		if a.load.limit != 0 || !p.mayHold(m, a) {
			continue
		}
		at := placeForMore{acc: a}
		if lack := int64(m.Footprint()) - a.free; lack > 0 {
			if freeOnly {
				continue
			}
			out, _, ok := p.spare(a, lack, p.sparing(m, false))
			if !ok {
				continue
			}
			at.out = out
		}
		missed := 0.0
		for _, c := range at.out {
			missed += p.lacked(c)
		}
		if best.acc == nil || missed < least {
			best, least = at, missed
		}
	}
	return best
}

// onlyFree reports whether all other copies of a model are on servers with a limit: then this one is missed like a
// last one.
func (p *planner) onlyFree(m *fleet.Model, c copyOf) bool {
	if p.unlimited() || c.acc.load.limit != 0 {
		return false
	}
	return !slices.ContainsFunc(p.serving(m), func(other copyOf) bool { return other.acc != c.acc && other.acc.load.limit == 0 })
}
