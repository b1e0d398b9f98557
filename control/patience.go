package control

import (
	"time"

	"leverdrum/placement"
	"leverdrum/wire"
)

const (
	// patience is how long a model that nobody asks for may be without a copy before
	// others make room for it: a server that crashed is mostly back by then, and has
	// the model on its disk.
	patience = 8 * time.Second
	// idleAfter is the time after which a model that nobody asked for counts as idle: longer than
	// rare ones mostly go without a request.
	idleAfter = 15 * time.Second
)

// weighModels sets which models no room is made for yet, and which are idle
// (placement, rules 13 and 14).
func (c *Controller) weighModels(in *placement.Input, now time.Time) {
	c.noteLacking(in, now)
	in.Deferred, in.Idle = map[string]bool{}, map[string]bool{}
	c.anyAsked = c.anyAsked || len(in.Demand)+len(in.Awaited) > 0
	known := in.LeaderFor >= in.DemandSettleTime && c.anyAsked
	for name := range in.State.Fleet.Models {
		asked := in.Demand[name].Requests > 0 || in.Awaited[name]
		if _, ok := c.askedAt[name]; asked || !ok {
			c.askedAt[name] = now // a new leader knows nothing of the time before
		}
		in.Idle[name] = now.Sub(c.askedAt[name]) >= idleAfter
		if since, lacks := c.lacking[name]; lacks {
			in.Deferred[name] = !known || !asked && now.Sub(since) < patience
		}
	}
}

// noteLacking remembers since when models have had no copy.
func (c *Controller) noteLacking(in *placement.Input, now time.Time) {
	have := map[string]bool{}
	for place, r := range in.State.Residents.All() {
		if place.Adapter == "" && r.Phase != wire.Phase_PHASE_UNLOADING && !in.Down[place.Server] {
			have[place.Model] = true
		}
	}
	for name := range in.State.Fleet.Models {
		if _, known := c.lacking[name]; have[name] {
			delete(c.lacking, name)
		} else if !known {
			c.lacking[name] = now
		}
	}
}
