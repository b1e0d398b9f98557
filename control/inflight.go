package control

import (
	"time"

	"leverdrum/state"
	"leverdrum/wire"
)

// Rules for orders that may still arrive at a server that has restarted (package rule 5):
//
//  1. An order without an answer may be executed for lateArrivalWindow after it was sent, also by
//     the next incarnation of its server, which counts its orders from 0 again. An order that was
//     answered, or that was never sent, cannot.
//  2. An incarnation gets no orders while an order to a previous one may arrive.
//  3. What an earlier leader sent is not known. Its open orders count as sent at the first check.
//     Those that were open when their server restarted (Announcement.heir) were sent before the
//     restart: their time counts from when this box, leader or not, first saw the new incarnation.

// lateArrivalWindow is how long an order without an answer may still arrive; the servers specify 12
// s.
const lateArrivalWindow = 13 * time.Second

// inFlightEntry describes what may still arrive at a server, for all its incarnations.
type inFlightEntry struct {
	incarnation string // that the last order was sent to, "" if unknown
	attempts    int    // attempts in progress
	until       time.Time
}

// inFlightOrders is keyed by server name; nil before the first check.
type inFlightOrders map[string]*inFlightEntry

func (a inFlightOrders) entry(name string) *inFlightEntry {
	if a[name] == nil {
		a[name] = &inFlightEntry{}
	}
	return a[name]
}

// serverName returns the name that all incarnations of a server share.
func serverName(view *state.State, id string) string {
	if a := view.Announcements.Get(id); a != nil && a.Name != "" {
		return a.Name
	}
	return id
}

// incarnationsOf returns the ids of the incarnations of a server. An id without a name stands for
// itself.
func incarnationsOf(view *state.State, name string) []string {
	if ids := view.Announcements.Incarnations(name); len(ids) > 0 {
		return ids
	}
	return []string{name}
}

// initInFlight records the orders of earlier leaders that may still arrive: their open orders, and
// those that were open when their server restarted (3). c.mu must be held.
func (c *Controller) initInFlight(view *state.State, now time.Time) {
	c.inFlight = inFlightOrders{}
	for _, o := range view.Orders.All() {
		if c.inherited(o) {
			a := c.inFlight.entry(serverName(view, o.Server))
			a.incarnation, a.until = o.Server, now.Add(lateArrivalWindow)
		}
	}
	for _, id := range view.Announcements.WithInheritedOrders() {
		seen, ok := c.incarnationSeenAt[id]
		if !ok {
			seen = now
		}
		a := c.inFlight.entry(serverName(view, id))
		a.incarnation, a.until = "", seen.Add(lateArrivalWindow)
	}
}

// watchIncarnations records when this box first saw each incarnation that started while an order
// was open (3). It is called whether or not the box leads.
func (c *Controller) watchIncarnations(view *state.State, now time.Time) {
	for _, id := range view.Announcements.WithInheritedOrders() {
		if _, seen := c.incarnationSeenAt[id]; !seen {
			c.incarnationSeenAt[id] = now
		}
	}
	for id := range c.incarnationSeenAt {
		if view.Announcements.Get(id) == nil {
			delete(c.incarnationSeenAt, id)
		}
	}
}

// beginAttempt records that an order is about to be sent. The returned function ends the attempt
// and records whether the order may still arrive (1).
func (c *Controller) beginAttempt(o *wire.Order) (end func(mayArrive bool)) {
	name := serverName(c.opts.Replica.View(), o.Server)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight == nil {
		c.inFlight = inFlightOrders{}
	}
	a := c.inFlight.entry(name)
	a.incarnation = o.Server
	a.attempts++
	return func(mayArrive bool) {
		c.mu.Lock()
		defer c.mu.Unlock()
		a.attempts--
		if mayArrive {
			a.until = time.Now().Add(lateArrivalWindow)
		}
	}
}

// holdNextIncarnations adds to held the incarnations to which an order for a previous one may still
// arrive (2).
func (c *Controller) holdNextIncarnations(view *state.State, now time.Time, held map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.inFlightInitialized {
		c.inFlightInitialized = true
		c.initInFlight(view, now)
	}
	for name, a := range c.inFlight {
		for _, id := range incarnationsOf(view, name) {
			if view.Announcements.Get(id) != nil && a.incarnation != id && (a.attempts > 0 || now.Before(a.until)) {
				held[id] = true
			}
		}
		if a.attempts == 0 && !now.Before(a.until) {
			delete(c.inFlight, name)
		}
	}
}
