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

// Rules for loads during which servers terminate (package crasher):
//
//  1. A load that is open when its server terminates is evidence against its item, like a request
//     in progress there. The evidence is strong if another incarnation, or another server, has the
//     server's address, and weak if the server is only unresponsive.
//  2. An item that is ready on some server, or that was loaded under this leader, is not a
//     crasher.
//  3. A blocked item is not loaded on servers of that version. Requests for it are refused as for
//     any model that is not resident and not loading anywhere.

// openLoad is an open load as this leader first saw it.
type openLoad struct {
	order    *wire.Order
	version  string
	since    time.Time
	reported bool // its server terminated
}

// loadFingerprint returns the fingerprint of a load of an item, independent of the server.
func loadFingerprint(i *wire.Item) crasher.Fingerprint {
	return crasher.FingerprintOf(crasher.Content{Method: "load", Target: i.Model + "@" + i.Version, Model: i.Adapter})
}

// loadBlocked reports whether an order loads an item that is blocked on the server's version (3).
func loadBlocked(view *state.State, o *wire.Order) bool {
	return o.Action == wire.OrderAction_ORDER_LOAD && view.Crashers.HasBlocked() &&
		view.Crashers.Blocks(loadFingerprint(o.Item), view.Announcements.Get(o.Server).GetVersion())
}

// watchLoads reports loads whose servers terminated (1), and suspects that were loaded after all
// (2).
func (c *Controller) watchLoads(ctx context.Context, view *state.State, now time.Time) {
	r := c.loadCrashSigns(view, now)
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
	_ = c.RecordCrashes(ctx, r) // lost evidence comes again with the next server that terminates
}

// loadCrashSigns returns the crash evidence since the last call.
func (c *Controller) loadCrashSigns(view *state.State, now time.Time) *wire.CrashReport {
	for id, o := range view.Orders.All() {
		if _, known := c.openLoads[id]; !known && o.Action == wire.OrderAction_ORDER_LOAD {
			c.openLoads[id] = &openLoad{order: o, version: view.Announcements.Get(o.Server).GetVersion(), since: now}
		}
	}
	r := &wire.CrashReport{}
	for id, l := range c.openLoads {
		if ended, weak := serverEnded(view, l.order); ended && !l.reported {
			l.reported = true
			if !c.itemReady(view, l.order.Item) {
				r.Signs = append(r.Signs, l.crashSign(weak, now))
				event.CrashDetected.Log(c.opts.Log, zap.String("server", l.order.Server), zap.String("load", ledger.Describe(l.order.Item)),
					zap.Strings("prints", []string{loadFingerprint(l.order.Item).String()}), zap.Bool("weak", weak))
			}
		}
		if view.Orders.Get(id) == nil {
			delete(c.openLoads, id)
		}
	}
	return r
}

func (l *openLoad) crashSign(weak bool, now time.Time) *wire.CrashSign {
	p := loadFingerprint(l.order.Item)
	return &wire.CrashSign{Print: p[:], Server: l.order.Server, Version: l.version, Weak: weak, SentAgoMs: uint32(now.Sub(l.since).Milliseconds())}
}

// serverEnded reports whether an order's server has terminated, and whether the only evidence is
// that it is unresponsive.
func serverEnded(view *state.State, o *wire.Order) (ended, weak bool) {
	if s := view.Servers.Get(o.Server); s != nil && view.Announcements.Get(o.Server) == nil {
		return s.Incarnation != o.ServerIncarnation, false // a server whose state is polled
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

// itemReady reports whether an item is ready on some server or was loaded under this leader (2).
func (c *Controller) itemReady(view *state.State, i *wire.Item) bool {
	if c.wasLoaded(loadFingerprint(i)) {
		return true
	}
	for _, r := range view.Residents.ByItem(i.Model, i.Adapter) {
		if r.Phase == wire.Phase_PHASE_READY && proto.Equal(r.Item, i) {
			return true
		}
	}
	return false
}

// noteLoaded remembers an item that was loaded. The fleet file bounds the number of items.
func (c *Controller) noteLoaded(o *wire.Order) {
	if o.Action != wire.OrderAction_ORDER_LOAD {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loadedItems[loadFingerprint(o.Item)] = true
}

func (c *Controller) wasLoaded(p crasher.Fingerprint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loadedItems[p]
}
