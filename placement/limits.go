package placement

import (
	"slices"
	"time"

	"leverdrum/fleet"
)

// Rules for servers that report a limit (package throttle):
//
//  1. A copy there has at most an equal share of the limit, by the number of models resident there. Boxes
//     send it no more while others have headroom, so the rest of its model's demand is assigned to
//     the copies without a limit.
//  2. Where all copies of a model are on such servers, the requests that they do not admit count as
//     late: a reason for another copy elsewhere.
//  3. A further copy goes to a server without a limit first.
//  4. Such a copy needs little headroom: the rate of a limited server is small. So the accelerator
//     where evictions cost the fewest requests is evaluated, too, and not only the one with the most
//     headroom. The copy stays as long as no other copy is on a server without a limit: its eviction
//     costs as much as that of a last copy.
//  5. What a limited server does not admit is missed for longer than demand lasts: the server is
//     in trouble, and demand reaches it as it does the others.
//  6. A server that is in backoff for many boxes for long counts as one with a limit close to zero.

// backoffLimit is the limit assumed for a server in backoff, in requests per second (6).
const backoffLimit = 0.05

// limitOf returns the limit of a server, in requests per second; 0 means none.
func (p *planner) limitOf(server string) float64 {
	if p.in.InBackoff[server] {
		return backoffLimit
	}
	if len(p.in.State.Limits) == 0 {
		return 0
	}
	return p.in.State.LimitOf(server).PerSecond()
}

// noLimits reports whether no server has a limit.
func (p *planner) noLimits() bool { return len(p.in.State.Limits) == 0 && len(p.in.InBackoff) == 0 }

// limitPerCopy returns the share of a server's limit that one copy on it has at most (1).
func limitPerCopy(a *accelerator) float64 { return a.load.limit / float64(max(1, a.initialModels)) }

// demandShares returns the shares of a model's demand that its copies serve, in their order, or nil
// if they are equal.
func (p *planner) demandShares(m *fleet.Model, list []modelCopy) []float64 {
	var bySpeed []float64
	if p.knowsSpeeds() { // (19)
		bySpeed = copyShares(list)
	}
	if p.noLimits() {
		return bySpeed
	}
	demand := p.in.Demand[m.Name].Requests
	equal := equalShare(len(list))
	shares := make([]float64, len(list))
	remaining, unlimited, unlimitedSum := 1.0, 0, 0.0
	for i, c := range list {
		unlimitedShare := equal
		if bySpeed != nil {
			unlimitedShare = bySpeed[i]
		}
		if c.acc.load.limit == 0 || demand == 0 {
			unlimited++
			unlimitedSum += unlimitedShare
			continue
		}
		shares[i] = min(unlimitedShare, limitPerCopy(c.acc)/demand)
		remaining -= shares[i]
	}
	if unlimited == 0 { // (2)
		return bySpeed
	}
	for i, c := range list {
		switch {
		case c.acc.load.limit != 0 && demand != 0:
		case bySpeed != nil:
			shares[i] = remaining * bySpeed[i] / unlimitedSum
		default:
			shares[i] = remaining / float64(unlimited)
		}
	}
	return shares
}

// limitDuration is how long a server is assumed to keep reporting a limit (5).
const limitDuration = 30 * time.Second

// benefitDuration returns how long one more copy of a model is assumed to be useful.
func (p *planner) benefitDuration(m *fleet.Model) time.Duration {
	if p.allLimited(m) {
		return max(p.fleet.DemandHorizon, limitDuration)
	}
	return p.fleet.DemandHorizon
}

// allLimited reports whether all copies of a model are on servers with a limit.
func (p *planner) allLimited(m *fleet.Model) bool {
	if p.noLimits() {
		return false
	}
	list := p.serving(m)
	return len(list) > 0 && !slices.ContainsFunc(list, func(c modelCopy) bool { return c.acc.load.limit == 0 })
}

// cheapestTarget returns the accelerator without a limit where a copy of the model evicts the
// copies that cost the fewest requests, with these copies; its headroom does not matter (4). With
// freeOnly, only accelerators with enough free memory are considered.
func (p *planner) cheapestTarget(m *fleet.Model, freeOnly bool) (best target) {
	minCost := 0.0
	for _, a := range p.accs {
		if a.load.limit != 0 || !p.canPlace(m, a) {
			continue
		}
		t := target{acc: a}
		if missing := int64(m.Footprint()) - a.free; missing > 0 {
			if freeOnly {
				continue
			}
			evicted, _, ok := p.selectEvictions(a, missing, p.evictionModeFor(m, false))
			if !ok {
				continue
			}
			t.evicted = evicted
		}
		cost := 0.0
		for _, c := range t.evicted {
			cost += p.evictionCost(c)
		}
		if best.acc == nil || cost < minCost {
			best, minCost = t, cost
		}
	}
	return best
}

// onlyUnlimitedCopy reports whether all other copies of a model are on servers with a limit: then
// evicting this one costs as much as evicting the last copy.
func (p *planner) onlyUnlimitedCopy(m *fleet.Model, c modelCopy) bool {
	if p.noLimits() || c.acc.load.limit != 0 {
		return false
	}
	return !slices.ContainsFunc(p.serving(m), func(other modelCopy) bool { return other.acc != c.acc && other.acc.load.limit == 0 })
}
