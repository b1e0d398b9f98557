package control

import (
	"time"

	"golang.org/x/time/rate"

	"leverdrum/placement"
	"leverdrum/state"
	"leverdrum/wire"
)

const (
	// crowdedTTL is how long a notice of a crowded adapter stays valid without being repeated.
	crowdedTTL = time.Second
	// crowdedPause is how long after the load of a further copy was ordered notices of the same adapter
	// are ignored: boxes that do not know of the copy yet would have further ones loaded.
	crowdedPause = 300 * time.Millisecond
	// crowdedOrderRate is the maximum number of orders a second for crowded adapters, crowdedBurst how
	// many may follow each other at once. Each order costs a commit of the replicated log, which all
	// boxes receive, and a call to a server, which takes no other order meanwhile.
	crowdedOrderRate = 10
	crowdedBurst     = 4
)

// crowdedAdapters are the on-demand adapters whose servers would all answer late, as boxes report.
type crowdedAdapters struct {
	reportedAt map[string]time.Time // last notice, by adapter
	orderedAt  map[string]time.Time // last load of a further copy, by adapter
	limiter    *rate.Limiter        // of orders; only the goroutine that runs the steps uses it
}

func newCrowdedAdapters() crowdedAdapters {
	return crowdedAdapters{reportedAt: map[string]time.Time{}, orderedAt: map[string]time.Time{}, limiter: rate.NewLimiter(crowdedOrderRate, crowdedBurst)}
}

// noteCrowded records notices of crowded adapters. Names that the fleet file does not have are ignored,
// so that it bounds what is kept. It reports whether one of the adapters was not crowded before. c.mu must be
// held.
func (c *Controller) noteCrowded(list []*wire.Demand, view *state.State, now time.Time) (news bool) {
	for _, d := range list {
		if view.Fleet == nil || view.Fleet.Adapters[d.Model] == nil || !view.Fleet.Adapters[d.Model].OnDemand {
			continue
		}
		if at, ordered := c.crowded.orderedAt[d.Model]; ordered && now.Sub(at) < crowdedPause {
			continue
		}
		if at, known := c.crowded.reportedAt[d.Model]; !known || now.Sub(at) >= crowdedTTL {
			news = true
		}
		c.crowded.reportedAt[d.Model] = now
	}
	return news
}

// crowdedNow returns the adapters that are currently crowded, or nil if none is.
func (c *Controller) crowdedNow(now time.Time) map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	var current map[string]bool
	for name, at := range c.crowded.reportedAt {
		if now.Sub(at) >= crowdedTTL {
			delete(c.crowded.reportedAt, name)
			continue
		}
		if current == nil {
			current = map[string]bool{}
		}
		current[name] = true
	}
	return current
}

// noteCrowdedOrder records an order for a crowded adapter. A notice gets one further copy; one for
// which room is being made stays valid until the copy can be loaded.
func (c *Controller) noteCrowdedOrder(d placement.Decision, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if d.Order.Action == wire.OrderAction_ORDER_UNLOAD {
		c.crowded.reportedAt[d.Crowded] = now
		return
	}
	c.crowded.orderedAt[d.Crowded] = now
	delete(c.crowded.reportedAt, d.Crowded)
}
