package control

import (
	"time"

	"leverdrum/state"
	"leverdrum/wire"
)

// Rules for orders that may still arrive at a server that has started again (package rule 5):
//
//  1. An order that got no answer may be carried out for lateFor after it was sent, also by the next life of its
//     server, which counts its orders from 0 again. One that was answered, or never left, can not.
//  2. A life gets no orders while one to a life before it may arrive.
//  3. What an earlier leader sent is not known. Its open orders count as sent at the first look. Those that were open when
//     their server started again (Announcement.heir) were sent before that: their time counts from when this box, leader
//     or not, first saw the new life.

// lateFor is how long an order without an answer may still arrive: 12 s by the servers' own word.
const lateFor = 13 * time.Second

// arrival is what may still arrive at a server, whatever its life.
type arrival struct {
	life  string // that it was sent to last, "" where that is not known
	open  int    // attempts that are under way
	until time.Time
}

// arrivals are by server name; nil before the first look.
type arrivals map[string]*arrival

func (a arrivals) of(name string) *arrival {
	if a[name] == nil {
		a[name] = &arrival{}
	}
	return a[name]
}

// serverName is what all lives of a server have in common.
func serverName(view *state.State, life string) string {
	if a := view.Announcements.Get(life); a != nil && a.Name != "" {
		return a.Name
	}
	return life
}

// livesOf returns the ids of the lives of a server; an id stands for itself.
func livesOf(view *state.State, name string) []string {
	if ids := view.Announcements.Incarnations(name); len(ids) > 0 {
		return ids
	}
	return []string{name}
}

// firstLook is rule 3; the lock is held.
func (c *Controller) firstLook(view *state.State, now time.Time) {
	c.arrivals = arrivals{}
	for _, o := range view.Orders.All() {
		if c.inherited(o) {
			a := c.arrivals.of(serverName(view, o.Server))
			a.life, a.until = o.Server, now.Add(lateFor)
		}
	}
	for _, id := range view.Announcements.WithInheritedOrders() {
		seen, ok := c.lives[id]
		if !ok {
			seen = now
		}
		a := c.arrivals.of(serverName(view, id))
		a.life, a.until = "", seen.Add(lateFor)
	}
}

// watchLives notes when this box first saw each life of a server that began while an order was open (3). It is called whether the box leads or not.
func (c *Controller) watchLives(view *state.State, now time.Time) {
	for _, id := range view.Announcements.WithInheritedOrders() {
		if _, seen := c.lives[id]; !seen {
			c.lives[id] = now
		}
	}
	for id := range c.lives {
		if view.Announcements.Get(id) == nil {
			delete(c.lives, id)
		}
	}
}

// attempt records that an order is sent, before it is, and returns what records whether it may arrive late (1).
func (c *Controller) attempt(o *wire.Order) (end func(mayArrive bool)) {
	name := serverName(c.opts.Replica.View(), o.Server)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.arrivals == nil {
		c.arrivals = arrivals{}
	}
	a := c.arrivals.of(name)
	a.life = o.Server
	a.open++
	return func(mayArrive bool) {
		c.mu.Lock()
		defer c.mu.Unlock()
		a.open--
		if mayArrive {
			a.until = time.Now().Add(lateFor)
		}
	}
}

// holdNextLives is rule 2.
func (c *Controller) holdNextLives(view *state.State, now time.Time, held map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.looked {
		c.looked = true
		c.firstLook(view, now)
	}
	for name, a := range c.arrivals {
		for _, id := range livesOf(view, name) {
			if view.Announcements.Get(id) != nil && a.life != id && (a.open > 0 || now.Before(a.until)) {
				held[id] = true
			}
		}
		if a.open == 0 && !now.Before(a.until) {
			delete(c.arrivals, name)
		}
	}
}
