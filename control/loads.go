package control

import (
	"context"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"leverdrum/crasher"
	"leverdrum/event"
	"leverdrum/ledger"
	"leverdrum/state"
	"leverdrum/wire"
)

// Rules for loads under which servers end (package crasher):
//
//  1. A load that is open when its server ends is a sign against its item, like a request that was there; a strong one
//     where another life, or another server, has its address, a weak one where it only fell silent.
//  2. An item that is ready on some server, or that this leader saw loaded, is no crasher.
//  3. What is held is not ordered to servers of that version. Requests for it are refused as for any model
//     that is nowhere and does not come.

// openLoad is an open load as this leader saw it first.
type openLoad struct {
	order   *wire.Order
	version string
	since   time.Time
	told    bool // its server ended
}

// printOfLoad stands for a load of an item, on whatever server.
func printOfLoad(i *wire.Item) crasher.Fingerprint {
	return crasher.FingerprintOf(crasher.Content{Method: "load", Target: i.Model + "@" + i.Version, Model: i.Adapter})
}

// heldLoad is rule 3.
func heldLoad(view *state.State, o *wire.Order) bool {
	return o.Action == wire.OrderAction_ORDER_LOAD && view.Crashers.HasBlocked() &&
		view.Crashers.Blocks(printOfLoad(o.Item), view.Announcements.Get(o.Server).GetVersion())
}

// watchLoads has loads told whose servers ended (1), and suspects that were loaded after all (2).
func (c *Controller) watchLoads(ctx context.Context, view *state.State, now time.Time) {
	r := c.loadSigns(view, now)
	for key, s := range view.Crashers.Suspects {
		if !s.Served && c.wasLoaded(key.Fingerprint) {
			r.Served = append(r.Served, &wire.ServedSuspect{Print: s.Print, Version: s.Version})
		}
	}
	if len(r.Signs)+len(r.Served) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	_ = c.RecordCrashes(ctx, r) // a sign that is lost comes again with the next server that ends
}

// loadSigns returns the signs that have come since the last look.
func (c *Controller) loadSigns(view *state.State, now time.Time) *wire.CrashReport {
	for id, o := range view.Orders.All() {
		if _, known := c.loads[id]; !known && o.Action == wire.OrderAction_ORDER_LOAD {
			c.loads[id] = &openLoad{order: o, version: view.Announcements.Get(o.Server).GetVersion(), since: now}
		}
	}
	r := &wire.CrashReport{}
	for id, l := range c.loads {
		if ended, weak := endedUnder(view, l.order); ended && !l.told {
			l.told = true
			if !c.ready(view, l.order.Item) {
				r.Signs = append(r.Signs, l.sign(weak, now))
				event.CrashSeen.Log(c.opts.Log, zap.String("server", l.order.Server), zap.String("load", ledger.Describe(l.order.Item)),
					zap.Strings("prints", []string{printOfLoad(l.order.Item).String()}), zap.Bool("weak", weak))
			}
		}
		if view.Orders.Get(id) == nil {
			delete(c.loads, id)
		}
	}
	return r
}

func (l *openLoad) sign(weak bool, now time.Time) *wire.CrashSign {
	p := printOfLoad(l.order.Item)
	return &wire.CrashSign{Print: p[:], Server: l.order.Server, Version: l.version, Weak: weak, SentAgoMs: uint32(now.Sub(l.since).Milliseconds())}
}

// endedUnder reports whether an order's server has ended, and whether that is only its silence's word.
func endedUnder(view *state.State, o *wire.Order) (ended, weak bool) {
	if s := view.Servers.Get(o.Server); s != nil && view.Announcements.Get(o.Server) == nil {
		return s.Incarnation != o.ServerIncarnation, false // one that tells its state when asked
	}
	a := view.Announcements.Get(o.Server)
	if a == nil {
		return true, false
	}
	if !a.Silent || a.Leaving {
		return false, false
	}
	for _, id := range view.Announcements.ByAddress(a.Address) {
		if id != a.Id && !view.Announcements.Get(id).Silent {
			return true, false
		}
	}
	return true, true
}

// ready is rule 2.
func (c *Controller) ready(view *state.State, i *wire.Item) bool {
	if c.wasLoaded(printOfLoad(i)) {
		return true
	}
	for _, r := range view.Residents.ByItem(i.Model, i.Adapter) {
		if r.Phase == wire.Phase_PHASE_READY && proto.Equal(r.Item, i) {
			return true
		}
	}
	return false
}

// noteLoaded remembers an item that was loaded. Items are bounded by the fleet file.
func (c *Controller) noteLoaded(o *wire.Order) {
	if o.Action != wire.OrderAction_ORDER_LOAD {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loaded[printOfLoad(o.Item)] = true
}

func (c *Controller) wasLoaded(p crasher.Fingerprint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loaded[p]
}
