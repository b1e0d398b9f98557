package control

import (
	"time"

	"leverdrum/state"
	"leverdrum/wire"
)

// Rules for the first orders of a new leader (5):
//
//  1. No two boxes give orders to one server within the pause. An order is agreed
//     before it is sent, and closed after it was sent last. So what a new leader
//     holds as agreed names all that earlier ones gave, and the entry that was about
//     a server last came behind the last order's arrival there.
//  2. Each box notes, by its own steady clock, when it first saw that entry: never
//     before it was made. What it sees on its first look, or catches up with, counts
//     as made then.
//  3. A server may be given orders once that is the pause ago. Where an order of an
//     earlier leader is still open, the pause counts from the leadership's begin.
//  4. A server that has started again gets none while an order to a life before may still arrive (arrivals.go).
//  5. A server that asked this box for a rest gets none while it lasts.

// ordered is when a box first saw the entry that was about a server last.
type ordered struct {
	entry uint64
	seen  time.Time
}

// watchOrders is rule 2. It is called whether the box leads or not.
func (c *Controller) watchOrders(view *state.State, now time.Time) {
	c.watchLives(view, now)
	first := c.ordered == nil
	if first {
		c.ordered = map[string]ordered{}
	}
	for name, s := range view.Servers.All() {
		known, ok := c.ordered[name]
		switch {
		case first:
			c.ordered[name] = ordered{s.Ordered, now}
		case !ok && s.Ordered == 0:
			c.ordered[name] = ordered{}
		case !ok, known.entry != s.Ordered:
			c.ordered[name] = ordered{s.Ordered, now}
		}
	}
	for name := range c.ordered {
		if view.Servers.Get(name) == nil {
			delete(c.ordered, name)
		}
	}
}

// held returns the servers that must not be given orders yet (3, 4, 5).
func (c *Controller) held(view *state.State, now time.Time) map[string]bool {
	held := map[string]bool{}
	c.holdNextLives(view, now, held)
	for name := range view.Servers.All() {
		if c.rests(name) {
			held[name] = true
		}
	}
	if now.Sub(c.ledSince) >= c.opts.OrderPause {
		return held
	}
	for name, o := range c.ordered {
		held[name] = held[name] || now.Sub(o.seen) < c.opts.OrderPause
	}
	for _, o := range view.Orders.All() {
		if c.inherited(o) {
			held[o.Server] = true
		}
	}
	return held
}

func (c *Controller) rests(server string) bool {
	return c.opts.InBackoff != nil && c.opts.InBackoff(server)
}

// inherited reports whether an order was given by an earlier leader.
func (c *Controller) inherited(o *wire.Order) bool { return o.Term != c.term }
