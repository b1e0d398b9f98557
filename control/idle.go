package control

import (
	"time"

	"leverdrum/placement"
	"leverdrum/wire"
)

const (
	// replacementDelay is how long a model without requests may be without a copy before other
	// models are evicted for it. A server that crashed has usually restarted by then, and has the
	// model on its disk.
	replacementDelay = 8 * time.Second
	// idleAfter is the time without requests after which a model counts as idle. It is longer than
	// the usual gaps between requests for rare models.
	idleAfter = 15 * time.Second
)

// classifyModels sets the models for which nothing is evicted yet, and the idle models (placement,
// rules 13 and 14).
func (c *Controller) classifyModels(in *placement.Input, now time.Time) {
	c.noteModelsWithoutCopy(in, now)
	in.Deferred, in.Idle = map[string]bool{}, map[string]bool{}
	c.anyRequestSeen = c.anyRequestSeen || len(in.Demand)+len(in.Awaited) > 0
	demandKnown := in.LeaderFor >= in.DemandSettleTime && c.anyRequestSeen
	for name := range in.State.Fleet.Models {
		requested := in.Demand[name].Requests > 0 || in.Awaited[name]
		if _, ok := c.lastRequested[name]; requested || !ok {
			c.lastRequested[name] = now // a new leader does not know earlier requests
		}
		in.Idle[name] = now.Sub(c.lastRequested[name]) >= idleAfter
		if since, missing := c.withoutCopySince[name]; missing {
			in.Deferred[name] = !demandKnown || !requested && now.Sub(since) < replacementDelay
		}
	}
}

// noteModelsWithoutCopy records since when models have had no copy.
func (c *Controller) noteModelsWithoutCopy(in *placement.Input, now time.Time) {
	hasCopy := map[string]bool{}
	for location, r := range in.State.Residents.All() {
		if location.Adapter == "" && r.Phase != wire.Phase_PHASE_UNLOADING && !in.Down[location.Server] {
			hasCopy[location.Model] = true
		}
	}
	for name := range in.State.Fleet.Models {
		if _, known := c.withoutCopySince[name]; hasCopy[name] {
			delete(c.withoutCopySince, name)
		} else if !known {
			c.withoutCopySince[name] = now
		}
	}
}
