package control

import (
	"time"

	"leverdrum/state"
	"leverdrum/wire"
)

// Rules for the first orders of a new leader (5):
//
//  1. No two boxes send orders to one server within the pause. An order is committed before it is
//     sent, and closed after its last attempt. So the committed orders of a new leader include all
//     that earlier leaders issued, and the last log entry about a server comes after the last
//     order arrived there.
//  2. Each box records, by its own monotonic clock, when it first saw that entry, which is never
//     before the entry was made. Entries that it sees on its first check, or while catching up,
//     count as made at that time.
//  3. A server may be given orders once that time is the pause ago. If an order of an earlier
//     leader is still open, the pause counts from the start of the leadership.
//  4. A server that has restarted gets no orders while an order to a previous incarnation may
//     still arrive (inflight.go).
//  5. A server that asked this box for a backoff gets no orders during it.

// lastOrder is when a box first saw the last entry about a server.
type lastOrder struct {
	entry uint64
	seen  time.Time
}

// watchOrders records when this box first saw the last log entry about each server's orders (2). It
// is called whether or not the box leads.
func (c *Controller) watchOrders(view *state.State, now time.Time) {
	c.watchIncarnations(view, now)
	first := c.lastOrders == nil
	if first {
		c.lastOrders = map[string]lastOrder{}
	}
	for name, s := range view.Servers.All() {
		known, ok := c.lastOrders[name]
		switch {
		case first:
			c.lastOrders[name] = lastOrder{s.Ordered, now}
		case !ok && s.Ordered == 0:
			c.lastOrders[name] = lastOrder{}
		case !ok, known.entry != s.Ordered:
			c.lastOrders[name] = lastOrder{s.Ordered, now}
		}
	}
	for name := range c.lastOrders {
		if view.Servers.Get(name) == nil {
			delete(c.lastOrders, name)
		}
	}
}

// heldServers returns the servers that must not be given orders yet (3, 4, 5).
func (c *Controller) heldServers(view *state.State, now time.Time) map[string]bool {
	held := map[string]bool{}
	c.holdNextIncarnations(view, now, held)
	for name := range view.Servers.All() {
		if c.inBackoff(name) {
			held[name] = true
		}
	}
	if now.Sub(c.leadingSince) >= c.opts.OrderPause {
		return held
	}
	for name, o := range c.lastOrders {
		held[name] = held[name] || now.Sub(o.seen) < c.opts.OrderPause
	}
	for _, o := range view.Orders.All() {
		if c.inherited(o) {
			held[o.Server] = true
		}
	}
	return held
}

func (c *Controller) inBackoff(server string) bool {
	return c.opts.InBackoff != nil && c.opts.InBackoff(server)
}

// inherited reports whether an order was issued by an earlier leader.
func (c *Controller) inherited(o *wire.Order) bool { return o.Term != c.term }
