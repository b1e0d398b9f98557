package control

import (
	"context"
	"time"

	"go.uber.org/zap"

	"leverdrum/engine"
	"leverdrum/event"
	"leverdrum/fleet"
	"leverdrum/internal/wait"
	"leverdrum/ledger"
	"leverdrum/meter"
	"leverdrum/wire"
)

func actionName(a wire.OrderAction) string {
	if a == wire.OrderAction_ORDER_LOAD {
		return engine.Load
	}
	return engine.Unload
}

// finish sends an order and closes it once its outcome is known. It stops if the box does not lead
// any more; the next leader continues (5).
func (c *Controller) finish(ctx context.Context, o *wire.Order, s *fleet.Server) {
	defer func() {
		c.mu.Lock()
		delete(c.ordersInProgress, o.Id)
		c.mu.Unlock()
	}()
	issuedHere := o.Term == c.opts.Replica.Status().Term
	if s.Kind.CountsOrders {
		c.finishCounted(ctx, o, s)
		return
	}
	if s.Kind.ChecksFences {
		c.finishFenced(ctx, o, s)
		return
	}
	c.finishUnfenced(ctx, o, s, issuedHere)
}

// finishFenced sends an order to a server that checks fences, and retries it under the same id until
// the server's answer closes it (3).
func (c *Controller) finishFenced(ctx context.Context, o *wire.Order, s *fleet.Server) {
	for c.canContinue(ctx, o) {
		out, err := c.send(ctx, o, s)
		if err == nil {
			c.close(ctx, o, out)
			return
		}
		wait.For(ctx, orderRetryDelay)
	}
}

// finishUnfenced sends an order once, and only if it was issued in this term, to a server that does
// not check fences. It closes the order if the answer is that a load is done, or else by the state
// that the server reports once the order cannot arrive any more (4).
func (c *Controller) finishUnfenced(ctx context.Context, o *wire.Order, s *fleet.Server, issuedHere bool) {
	if issuedHere {
		out, err := c.send(ctx, o, s)
		if err == nil && ClosesImmediately(o, out) {
			c.close(ctx, o, out)
			return
		}
		if err != nil {
			event.OrderUnanswered.Log(c.opts.Log, zap.Uint64("order", o.Id), zap.String("server", o.Server), event.ErrorField(err))
		}
	}
	lastArrival := time.Now().Add(s.Kind.MaxOrderDelay)
	for c.canContinue(ctx, o) {
		wait.For(ctx, stepInterval)
		r, ok := c.report(o.Server)
		if !ok || r.began.Before(lastArrival) {
			continue
		}
		if out, settled := OutcomeFromState(o, r.state); settled {
			c.close(ctx, o, out)
			return
		}
	}
}

// ClosesImmediately reports whether the answer of a server that does not check fences closes an
// order. Only a completed load does. After any other answer, a load that is still in flight could
// arrive and would not be counted (4).
func ClosesImmediately(o *wire.Order, out engine.Outcome) bool {
	return o.Action == wire.OrderAction_ORDER_LOAD && out.Done
}

// OutcomeFromState derives the outcome of an order from the server's state, which must have been
// read after the order could not arrive any more. The outcome is not settled while the server is
// still loading.
func OutcomeFromState(o *wire.Order, st *engine.State) (out engine.Outcome, settled bool) {
	if isLoading(st, o) {
		return engine.Outcome{}, false
	}
	done := isResident(st, o) == (o.Action == wire.OrderAction_ORDER_LOAD)
	return engine.Outcome{Done: done, Detail: "according to the server's state"}, true
}

// canContinue reports whether the box still leads and the order is still open.
func (c *Controller) canContinue(ctx context.Context, o *wire.Order) bool {
	_, hasLease := c.opts.Replica.Lease()
	return ctx.Err() == nil && hasLease && c.opts.Replica.View().Orders.Get(o.Id) != nil
}

func (c *Controller) send(ctx context.Context, o *wire.Order, s *fleet.Server) (engine.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	endAttempt := c.beginAttempt(o)
	out, err := c.opts.Engines(s.Name, s.Address).Order(ctx, &engine.Order{
		ID: o.Id, Incarnation: o.ServerIncarnation, Action: actionName(o.Action), Accelerator: o.Accelerator,
		Model: o.Item.Model, Adapter: o.Item.Adapter, Version: o.Item.Version, Memory: o.Memory,
	})
	endAttempt(mayArriveLate(err))
	c.opts.Meters.Count(meter.Orders, actionName(o.Action), outcomeName(out, err)).Inc()
	return out, err
}

func outcomeName(out engine.Outcome, err error) string {
	switch {
	case err != nil:
		return "unknown"
	case out.Done:
		return "done"
	}
	return "not-run"
}

func (c *Controller) close(ctx context.Context, o *wire.Order, out engine.Outcome) {
	outcome := wire.OrderOutcome_OUTCOME_NOT_RUN
	if out.Done {
		outcome = wire.OrderOutcome_OUTCOME_DONE
		c.noteLoaded(o)
	}
	cmd := &wire.Command{Kind: &wire.Command_Close{Close: &wire.CloseOrder{Id: o.Id, Outcome: outcome, Detail: out.Detail}}}
	for c.canContinue(ctx, o) {
		if _, err := c.propose(ctx, cmd); err == nil {
			return
		}
		wait.For(ctx, orderRetryDelay)
	}
}

func isResident(st *engine.State, o *wire.Order) bool {
	for _, r := range st.Residents {
		if !r.Loading && locationOf(o.Server, r) == ledger.OrderLocation(o) {
			return true
		}
	}
	return false
}

func isLoading(st *engine.State, o *wire.Order) bool {
	for _, r := range st.Residents {
		if r.Loading && locationOf(o.Server, r) == ledger.OrderLocation(o) {
			return true
		}
	}
	return false
}

func locationOf(server string, r engine.Resident) ledger.Location {
	return ledger.Location{Server: server, Accelerator: r.Accelerator, Model: r.Model, Adapter: r.Adapter, Version: r.Version}
}
