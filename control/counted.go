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
	// countedTimeout bounds one sending of a counted order, and one report.
	countedTimeout = time.Second
	// adapterSettles is how long an adapter takes to come after its order was
	// taken; requests that are too early are turned away and sent again.
	adapterSettles = 15 * time.Millisecond
	// reportPause is the time between two reports while an order is under way.
	reportPause = 150 * time.Millisecond
	// surprisesMost is how many reports in a row must name things that are not agreed
	// before they are believed.
	surprisesMost = 3
	// countedResend is the wait before a counted order is sent again.
	countedResend = 100 * time.Millisecond
)

// counted is one order to a server that counts orders (6).
type counted struct {
	c     *Controller
	order *wire.Order
	addr  string
	// count is the server's count before this order; known tells whether it was
	// read, and unsure that an earlier sending got no answer.
	count  uint64
	known  bool
	unsure bool
	// inherited tells that another leader sent it; surprises is how often in a row
	// the server's report named things that are not agreed.
	inherited bool
	surprises int
	// moved tells that the server's count is surely one more than before.
	moved bool
}

// finishCounted is rule 6.
func (c *Controller) finishCounted(ctx context.Context, o *wire.Order, s *fleet.Server) {
	inherited := o.Term != c.opts.Replica.Status().Term
	x := &counted{c: c, order: o, addr: s.Address, unsure: inherited, inherited: inherited}
	if !x.unsure {
		x.count, x.known = c.countOf(o.Server)
	}
	began := time.Now()
	for c.mayGoOn(ctx, o) {
		if out, done := x.step(ctx); done {
			c.noteOrdered(x)
			c.close(ctx, o, out)
			event.OrderClosed.Log(c.opts.Log, zap.Uint64("id", o.Id), zap.Bool("done", out.Done), zap.String("detail", out.Detail), zap.Duration("took", time.Since(began)))
			return
		}
	}
}

// countOf returns how many orders a server has taken, if that is known.
func (c *Controller) countOf(server string) (uint64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, ok := c.counts[server]
	return n, ok
}

// noteOrdered remembers a server's count behind an order, and when it was closed.
func (c *Controller) noteOrdered(x *counted) {
	c.mu.Lock()
	defer c.mu.Unlock()
	server := x.order.Server
	delete(c.counts, server)
	if x.moved {
		c.counts[server] = x.count + 1
	}
	if h := c.heard[server]; h != nil {
		h.ordered = time.Now()
	}
}

// step does one exchange with the server.
func (x *counted) step(ctx context.Context) (engine.Outcome, bool) {
	if !x.known {
		r, err := x.report(ctx)
		if err != nil {
			wait.For(ctx, countedResend)
			return engine.Outcome{}, false
		}
		switch {
		case r.Busy:
			wait.For(ctx, reportPause)
			return engine.Outcome{}, false
		case x.unsure && x.agrees(r):
			return engine.Outcome{Done: true, Detail: "by the server's report"}, true
		case x.inherited && x.c.ledFor() < x.c.opts.OrderPause:
			// It may still arrive. Reading is no order: what was carried out meanwhile is
			// known at once, and a copy that came is not left unused for the pause.
			wait.For(ctx, reportPause)
			return engine.Outcome{}, false
		case x.inherited:
			// What another box sent is not sent again under its fence. A copy that is
			// late is met by the count: the next order conflicts, see surprised.
			return engine.Outcome{Detail: "of another leader, not carried out by the server's report"}, true
		case x.surprised(r):
			// Reports lag: only what stays is believed.
			if x.surprises++; x.surprises < surprisesMost {
				wait.For(ctx, reportPause)
				return engine.Outcome{}, false
			}
			x.c.believe(ctx, x.order, r)
			return engine.Outcome{Detail: "the server holds other things than agreed"}, true
		}
		x.count, x.known = r.Count, true
	}
	answered := x.c.attempt(x.order)
	verdict, err := x.give(ctx)
	answered(mayArriveLate(err))
	if errors.Is(err, engine.ErrResting) && !x.unsure {
		return engine.Outcome{Detail: "the server rests; nothing was sent"}, true
	}
	if errors.Is(err, engine.ErrResting) {
		wait.For(ctx, countedResend)
		return engine.Outcome{}, false
	}
	if err != nil {
		event.OrderUnanswered.Log(x.c.opts.Log, zap.Uint64("order", x.order.Id), zap.String("server", x.order.Server), event.Cause(err))
		x.unsure = true
		wait.For(ctx, countedResend)
		return engine.Outcome{}, false
	}
	switch verdict {
	case engine.Taken:
		x.moved = true
		return x.await(ctx)
	case engine.Holds:
		x.moved = x.order.Item.Adapter != "" && x.order.Action == wire.OrderAction_ORDER_UNLOAD
		return engine.Outcome{Done: true}, true
	case engine.Conflict:
		x.known = false
		wait.For(ctx, countedResend)
		return engine.Outcome{}, false
	}
	return engine.Outcome{Detail: string(verdict)}, true
}

// mayArriveLate reports whether an order may be carried out later for all that its attempt shows.
func mayArriveLate(err error) bool {
	return err != nil && !errors.Is(err, engine.ErrResting) && !errors.Is(err, engine.ErrUnreached)
}

func (x *counted) report(ctx context.Context) (*engine.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, countedTimeout)
	defer cancel()
	return x.c.opts.Counting.Report(ctx, x.addr, x.order.ServerIncarnation)
}

func (x *counted) give(ctx context.Context) (engine.Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, countedTimeout)
	defer cancel()
	o := x.order
	_, adapter := fleet.SplitAdapter(o.Item.Adapter)
	v, err := x.c.opts.Counting.Give(ctx, x.addr, &engine.CountedOrder{
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

// await returns once an order that was taken is done.
func (x *counted) await(ctx context.Context) (engine.Outcome, bool) {
	load := x.order.Action == wire.OrderAction_ORDER_LOAD
	if x.order.Item.Adapter != "" && load {
		wait.For(ctx, adapterSettles)
		return engine.Outcome{Done: true}, true
	}
	wait.For(ctx, x.expected(load))
	for x.c.mayGoOn(ctx, x.order) {
		r, err := x.report(ctx)
		if err == nil && r.Count > x.count && !r.Busy {
			return engine.Outcome{Done: x.agrees(r), Detail: "by the server's report"}, true
		}
		wait.For(ctx, reportPause)
	}
	return engine.Outcome{}, false
}

// agrees reports whether things are as the order wants them.
func (x *counted) agrees(r *engine.Report) bool {
	_, adapter := fleet.SplitAdapter(x.order.Item.Adapter)
	held := r.Holding[[2]string{x.order.Item.Model, adapter}]
	return held == (x.order.Action == wire.OrderAction_ORDER_LOAD)
}

// surprised reports whether the server holds models or adapters that are not
// agreed: then an order of an earlier time was carried out late, and this one may
// not fit any more.
func (x *counted) surprised(r *engine.Report) bool {
	view := x.c.opts.Replica.View()
	for held := range r.Holding {
		place := ledger.Location{Server: x.order.Server, Model: held[0], Version: x.order.Item.Version}
		if held[1] != "" {
			place.Adapter = fleet.AdapterName(held[0], held[1])
		}
		if view.Residents.Get(place) == nil {
			return true
		}
	}
	return false
}

// believe has the server's report agreed in place of what was.
func (c *Controller) believe(ctx context.Context, o *wire.Order, r *engine.Report) {
	a := c.opts.Replica.View().Announcements.Get(o.Server)
	if a == nil {
		return
	}
	next := proto.CloneOf(a)
	next.TakeResidents = true
	for held := range r.Holding {
		item := &wire.Item{Model: held[0], Version: o.Item.Version}
		if held[1] != "" {
			item.Adapter = fleet.AdapterName(held[0], held[1])
		}
		next.Residents = append(next.Residents, item)
	}
	// The order itself is closed first: residents are taken over only while none is
	// open.
	c.close(ctx, o, engine.Outcome{Detail: "the server holds other things than agreed"})
	if _, err := c.propose(ctx, &wire.Command{Kind: &wire.Command_Announce{Announce: next}}); err == nil {
		event.ServerAnnounced.Log(c.opts.Log, zap.String("server", a.Id), zap.String("why", "its report"))
	}
}

// expected is how long the order takes at least, by the fleet's figures.
func (x *counted) expected(load bool) time.Duration {
	view := x.c.opts.Replica.View()
	m := view.Fleet.Models[x.order.Item.Model]
	if m == nil || !load || x.order.Item.Adapter != "" {
		return reportPause
	}
	if fromStore(view, x.order) {
		return m.LoadTime
	}
	return m.WarmTime
}

// fromStore reports whether an order is a load that the weight store must serve.
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
