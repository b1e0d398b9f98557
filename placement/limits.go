package placement

import "leverdrum/fleet"

// Rules for servers that name a limit (package throttle):
//
//  1. A copy there has a part of the limit: what it is by the models that stand there. Boxes send it no more while
//     others have room, so the rest of its model's demand is booked on the copies without a limit.
//  2. Where all copies of a model are on such servers, what they do not bear is missed, as if it
//     came too late: a reason for another copy elsewhere.
//  3. A further copy goes to a server without a limit first.

// limitOf returns the limit of a server, in requests a second; 0 for none.
func (p *planner) limitOf(server string) float64 {
	if len(p.in.State.Limits) == 0 {
		return 0
	}
	return p.in.State.LimitOf(server).PerSecond()
}

// limitPart is the most that one copy on a limited server has of its limit (1).
func limitPart(a *accelerator) float64 { return a.load.limit / float64(max(1, a.stood)) }

// parts are the shares of a model's demand that its copies take, in their order; nil where they are equal.
func (p *planner) parts(m *fleet.Model, list []copyOf) []float64 {
	if len(p.in.State.Limits) == 0 {
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
