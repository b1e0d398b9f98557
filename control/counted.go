package control

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"leverdrum/engine"
	"leverdrum/event"
	"leverdrum/fleet"
	"leverdrum/internal/wait"
	"leverdrum/ledger"
	"leverdrum/meter"
	"leverdrum/state"
	"leverdrum/wire"
)

const (
	// countedTimeout bounds one attempt of a counted order, and one report.
	countedTimeout = time.Second
	// adapterSettleTime is how long an adapter takes to become resident after its order was
	// accepted. Requests that come too early are rejected and retried.
	adapterSettleTime = 15 * time.Millisecond
	// reportInterval is the time between two reports while an order is in progress.
	reportInterval = 150 * time.Millisecond
	// maxMismatches is how many consecutive reports must name residents that are not committed
	// before they are adopted.
	maxMismatches = 3
	// countedRetryDelay is the wait before a counted order is retried.
	countedRetryDelay = 100 * time.Millisecond
)

// countedDelivery is the delivery of one order to a server that counts orders (6).
type countedDelivery struct {
	c     *Controller
	order *wire.Order
	addr  string
	// count is the server's count before this order; countKnown is whether it was read, and
	// unconfirmed whether an earlier attempt got no answer.
	count       uint64
	countKnown  bool
	unconfirmed bool
	// inherited is whether another leader sent the order; mismatches is the number of consecutive
	// reports that named residents that are not committed.
	inherited  bool
	mismatches int
	// countAdvanced is whether the server's count has certainly increased by one.
	countAdvanced bool
}

// finishCounted sends an order to a server that counts orders, and retries it under the same count
// until an answer or the server's report closes it (6).
func (c *Controller) finishCounted(ctx context.Context, o *wire.Order, s *fleet.Server) {
	inherited := o.Term != c.opts.Replica.Status().Term
	x := &countedDelivery{c: c, order: o, addr: s.Address, unconfirmed: inherited, inherited: inherited}
	if !x.unconfirmed {
		x.count, x.countKnown = c.orderCount(o.Server)
	}
	began := time.Now()
	for c.canContinue(ctx, o) {
		if out, done := x.step(ctx); done {
			c.noteOrderClosed(x)
			c.close(ctx, o, out)
			event.OrderClosed.Log(c.opts.Log, zap.Uint64("id", o.Id), zap.Bool("done", out.Done), zap.String("detail", out.Detail), zap.Duration("took", time.Since(began)))
			return
		}
	}
}

// orderCount returns how many orders a server has accepted, if known.
func (c *Controller) orderCount(server string) (uint64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, ok := c.orderCounts[server]
	return n, ok
}

// noteOrderClosed records a server's count after an order, and when the order was closed.
func (c *Controller) noteOrderClosed(x *countedDelivery) {
	c.mu.Lock()
	defer c.mu.Unlock()
	server := x.order.Server
	delete(c.orderCounts, server)
	if x.countAdvanced {
		c.orderCounts[server] = x.count + 1
	}
	if h := c.contacts[server]; h != nil {
		h.lastOrderClosed = time.Now()
	}
}

// step performs one exchange with the server.
func (x *countedDelivery) step(ctx context.Context) (engine.Outcome, bool) {
	if !x.countKnown {
		r, err := x.report(ctx)
		if err != nil {
			wait.For(ctx, countedRetryDelay)
			return engine.Outcome{}, false
		}
		switch {
		case r.Busy:
			wait.For(ctx, reportInterval)
			return engine.Outcome{}, false
		case x.unconfirmed && x.matchesOrder(r):
			return engine.Outcome{Done: true, Detail: "according to the server's report"}, true
		case x.inherited && x.c.leadingFor() < x.c.opts.OrderPause:
			// The order may still arrive. Reading a report is not an order: whatever the server
			// executes meanwhile is known at once, and a copy that was loaded is not left unused
			// during the pause.
			wait.For(ctx, reportInterval)
			return engine.Outcome{}, false
		case x.inherited:
			// An order that another box sent is not retried under that box's fence. The count
			// detects a late copy of it: the next order conflicts, see hasUnexpectedResidents.
			return engine.Outcome{Detail: "issued by another leader; not executed according to the server's report"}, true
		case x.hasUnexpectedResidents(r):
			// Reports lag, so only a persistent mismatch is adopted.
			if x.mismatches++; x.mismatches < maxMismatches {
				wait.For(ctx, reportInterval)
				return engine.Outcome{}, false
			}
			x.c.adoptReport(ctx, x.order, r)
			return engine.Outcome{Detail: "the server has residents that are not committed"}, true
		}
		x.count, x.countKnown = r.Count, true
	}
	endAttempt := x.c.beginAttempt(x.order)
	verdict, err := x.deliver(ctx)
	endAttempt(mayArriveLate(err))
	if errors.Is(err, engine.ErrInBackoff) && !x.unconfirmed {
		return engine.Outcome{Detail: "the server is in backoff; the order was not sent"}, true
	}
	if errors.Is(err, engine.ErrInBackoff) {
		wait.For(ctx, countedRetryDelay)
		return engine.Outcome{}, false
	}
	if err != nil {
		event.OrderUnanswered.Log(x.c.opts.Log, zap.Uint64("order", x.order.Id), zap.String("server", x.order.Server), event.ErrorField(err))
		x.unconfirmed = true
		wait.For(ctx, countedRetryDelay)
		return engine.Outcome{}, false
	}
	switch verdict {
	case engine.Accepted:
		x.countAdvanced = true
		return x.await(ctx)
	case engine.Satisfied:
		x.countAdvanced = x.order.Item.Adapter != "" && x.order.Action == wire.OrderAction_ORDER_UNLOAD
		return engine.Outcome{Done: true}, true
	case engine.Conflict:
		x.countKnown = false
		wait.For(ctx, countedRetryDelay)
		return engine.Outcome{}, false
	}
	return engine.Outcome{Detail: string(verdict)}, true
}

// mayArriveLate reports whether an order may still be executed later, given the error of its
// attempt.
func mayArriveLate(err error) bool {
	return err != nil && !errors.Is(err, engine.ErrInBackoff) && !errors.Is(err, engine.ErrUnreachable)
}

func (x *countedDelivery) report(ctx context.Context) (*engine.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, countedTimeout)
	defer cancel()
	return x.c.opts.Counting.Report(ctx, x.addr, x.order.ServerIncarnation)
}

func (x *countedDelivery) deliver(ctx context.Context) (engine.Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, countedTimeout)
	defer cancel()
	o := x.order
	_, adapter := fleet.SplitAdapter(o.Item.Adapter)
	v, err := x.c.opts.Counting.SendOrder(ctx, x.addr, &engine.CountedOrder{
		Count: x.count, Holder: x.c.opts.Holder, Fence: o.Id, Incarnation: o.ServerIncarnation,
		Action: actionName(o.Action), Model: o.Item.Model, Adapter: adapter,
	})
	outcome := string(v)
	if err != nil {
		outcome = "unknown"
	}
	x.c.opts.Meters.Count(meter.Orders, actionName(o.Action), outcome).Inc()
	return v, err
}

// await returns once an accepted order is done.
func (x *countedDelivery) await(ctx context.Context) (engine.Outcome, bool) {
	load := x.order.Action == wire.OrderAction_ORDER_LOAD
	if x.order.Item.Adapter != "" && load {
		wait.For(ctx, adapterSettleTime)
		return engine.Outcome{Done: true}, true
	}
	wait.For(ctx, x.minDuration(load))
	for x.c.canContinue(ctx, x.order) {
		r, err := x.report(ctx)
		if err == nil && r.Count > x.count && !r.Busy {
			return engine.Outcome{Done: x.matchesOrder(r), Detail: "according to the server's report"}, true
		}
		wait.For(ctx, reportInterval)
	}
	return engine.Outcome{}, false
}

// matchesOrder reports whether the server's residents are in the state that the order asks for.
func (x *countedDelivery) matchesOrder(r *engine.Report) bool {
	_, adapter := fleet.SplitAdapter(x.order.Item.Adapter)
	loaded := r.ReadyItems[[2]string{x.order.Item.Model, adapter}]
	return loaded == (x.order.Action == wire.OrderAction_ORDER_LOAD)
}

// hasUnexpectedResidents reports whether the server has models or adapters that are not committed.
// Then an earlier order was executed late, and this one may not fit into memory any more.
func (x *countedDelivery) hasUnexpectedResidents(r *engine.Report) bool {
	view := x.c.opts.Replica.View()
	for resident := range r.ReadyItems {
		location := ledger.Location{Server: x.order.Server, Model: resident[0], Version: x.order.Item.Version}
		if resident[1] != "" {
			location.Adapter = fleet.AdapterName(resident[0], resident[1])
		}
		if view.Residents.Get(location) == nil {
			return true
		}
	}
	return false
}

// adoptReport commits the residents in the server's report in place of the recorded ones.
func (c *Controller) adoptReport(ctx context.Context, o *wire.Order, r *engine.Report) {
	a := c.opts.Replica.View().Announcements.Get(o.Server)
	if a == nil {
		return
	}
	next := proto.CloneOf(a)
	next.TakeResidents = true
	for resident := range r.ReadyItems {
		item := &wire.Item{Model: resident[0], Version: o.Item.Version}
		if resident[1] != "" {
			item.Adapter = fleet.AdapterName(resident[0], resident[1])
		}
		next.Residents = append(next.Residents, item)
	}
	// The order is closed first: residents are adopted only while none is open.
	c.close(ctx, o, engine.Outcome{Detail: "the server has residents that are not committed"})
	if _, err := c.propose(ctx, &wire.Command{Kind: &wire.Command_Announce{Announce: next}}); err == nil {
		event.ServerAnnounced.Log(c.opts.Log, zap.String("server", a.Id), zap.String("why", "residents reported by the server"))
	}
}

// minDuration returns the minimum time that the order takes, according to the fleet file.
func (x *countedDelivery) minDuration(load bool) time.Duration {
	view := x.c.opts.Replica.View()
	m := view.Fleet.Models[x.order.Item.Model]
	if m == nil || !load || x.order.Item.Adapter != "" {
		return reportInterval
	}
	if fromStore(view, x.order) {
		return m.LoadTime
	}
	return m.WarmTime
}

// fromStore reports whether an order is a load that reads from the weight store.
func fromStore(view *state.State, o *wire.Order) bool {
	if o.Action != wire.OrderAction_ORDER_LOAD {
		return false
	}
	if a := view.Announcements.Get(o.Server); a != nil {
		if o.Item.Adapter != "" {
			return false
		}
		for _, name := range a.AtHand {
			if name == o.Item.Model {
				return false
			}
		}
	}
	return true
}
