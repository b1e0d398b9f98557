package control

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"leverdrum/event"
	"leverdrum/fleet"
	"leverdrum/ledger"
	"leverdrum/placement"
	"leverdrum/record"
	"leverdrum/state"
	"leverdrum/wire"
)

func (c *Controller) down(view *state.State) map[string]bool {
	down := map[string]bool{}
	gone := c.opts.TerminatedServers()
	for _, s := range view.AllServers() {
		name := s.Name
		if s.Pool != "" {
			down[name] = c.unheard(view, name)
			continue
		}
		if c.rests(name) { // it is not read either
			continue
		}
		r, ok := c.report(name)
		if gone[name] || ok && time.Since(r.began) > downAfter || !ok && time.Since(c.ledSince) > downAfter {
			down[name] = true
		}
	}
	return down
}

// demand returns what each model was asked for lately; before anything was seen,
// what the fleet file expects.
func (c *Controller) demand(view *state.State) map[string]placement.Demand {
	demand := map[string]placement.Demand{}
	for model, d := range c.opts.Spread.Demand() {
		demand[model] = placement.Demand{Requests: float64(d.MilliRequests) / 1000, BusySlots: float64(d.MilliPlaces) / 1000, PrefillLoad: float64(d.MilliReading) / 1000}
	}
	c.steady.note(demand, time.Now())
	for name, m := range view.Fleet.Models {
		if _, seen := demand[name]; !seen && m.Expected > 0 && time.Since(c.ledSince) < expectedFor {
			demand[name] = placement.Demand{Requests: m.Expected}
		}
	}
	return demand
}

// decide issues what placement asks for, at the rate of the weight store.
func (c *Controller) decide(ctx context.Context, view *state.State) {
	in := placement.Input{
		State: view, Demand: c.demand(view), Down: c.down(view), NoOrders: c.held(view, time.Now()),
		InBackoff: c.restingServers(view, time.Now()), Awaited: c.wants(), LeaderFor: time.Since(c.ledSince), DemandSettleTime: c.opts.DemandSettleTime,
	}
	c.weighModels(&in, time.Now())
	plan := placement.Decide(in)
	c.noteShortages(plan.Shortages)
	c.issue(ctx, view, plan.Decisions)
}

// issue has orders agreed, all at once, but for loads that the weight store must wait with.
func (c *Controller) issue(ctx context.Context, view *state.State, decisions []placement.Decision) {
	var list []placement.Decision
	var commands []*wire.Command
	for _, d := range decisions {
		if heldLoad(view, d.Order) || fromStore(view, d.Order) && !c.allowLoad(view.Fleet) {
			continue
		}
		list = append(list, d)
		commands = append(commands, &wire.Command{Kind: &wire.Command_Issue{Issue: &wire.IssueOrder{Order: d.Order}}})
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	began := time.Now()
	outcomes := c.opts.Replica.ProposeAll(ctx, commands)
	c.waited += time.Since(began)
	for i, o := range outcomes {
		if o.Err != nil {
			o.Result.Err = o.Err
		}
		c.noteOrder(list[i], o.Result)
	}
}

func (c *Controller) noteOrder(d placement.Decision, result state.Result) {
	what := actionName(d.Order.Action) + " " + ledger.Describe(d.Order.Item) + " on " + d.Order.Server
	if result.Err != nil {
		what, d.Reason = "not issued: "+what, result.Err.Error()
	}
	c.opts.Records.Note(record.Model, nameOf(d.Order.Item), what, d.Reason)
	event.OrderIssued.Log(c.opts.Log, zap.String("order", what), zap.String("why", d.Reason), zap.Uint64("id", result.Order.GetId()))
}

func nameOf(i *wire.Item) string {
	if i.Adapter != "" {
		return i.Adapter
	}
	return i.Model
}

func (c *Controller) noteShortages(list []placement.Shortage) {
	next := map[string]string{}
	for _, s := range list {
		next[s.Model] = s.Reason
		if c.short[s.Model] == "" {
			c.opts.Records.Note(record.Model, s.Model, "not placed", s.Reason)
		}
	}
	c.short = next
}

// allowLoad keeps loads to the rate of the weight store.
func (c *Controller) allowLoad(f *fleet.Fleet) bool {
	limit := rate.Limit(f.LoadsPerSecond)
	if c.limiter == nil {
		c.limiter = rate.NewLimiter(limit, min(f.LoadsAtOnce, storeBurst))
	}
	if c.limiter.Limit() != limit {
		c.limiter.SetLimit(limit)
	}
	return c.limiter.Allow()
}
