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

// failingAfter is how long a server is judged failing before placement counts it as down. A shorter failure ends before
// its models could be loaded elsewhere.
const failingAfter = time.Second

func (c *Controller) downServers(view *state.State) map[string]bool {
	down := map[string]bool{}
	terminated := c.opts.TerminatedServers()
	var failing map[string]time.Duration
	if c.opts.Failing != nil {
		failing = c.opts.Failing()
	}
	for _, s := range view.AllServers() {
		name := s.Name
		if failing[name] > failingAfter {
			down[name] = true
			continue
		}
		if s.Pool != "" {
			down[name] = c.unavailable(view, name)
			continue
		}
		if c.inBackoff(name) { // its state is not read either
			continue
		}
		r, ok := c.report(name)
		if terminated[name] || ok && time.Since(r.began) > downAfter || !ok && time.Since(c.leadingSince) > downAfter {
			down[name] = true
		}
	}
	return down
}

// demand returns the recent demand for each model. Until demand is observed, it returns what the
// fleet file expects.
func (c *Controller) demand(view *state.State) map[string]placement.Demand {
	demand := map[string]placement.Demand{}
	for model, d := range c.opts.Spread.Demand() {
		demand[model] = placement.Demand{Requests: float64(d.MilliRequests) / 1000, BusySlots: float64(d.MilliPlaces) / 1000, PrefillLoad: float64(d.MilliReading) / 1000}
	}
	c.longTermRates.update(demand, time.Now())
	for name, m := range view.Fleet.Models {
		if _, seen := demand[name]; !seen && m.ExpectedRate > 0 && time.Since(c.leadingSince) < expectedDemandTTL {
			demand[name] = placement.Demand{Requests: m.ExpectedRate}
		}
	}
	return demand
}

// slowness returns the slowness of servers by id, or nil if it is unknown.
func (c *Controller) slowness() map[string]float64 {
	if c.opts.Slowness == nil {
		return nil
	}
	return c.opts.Slowness()
}

// placementInput returns what a placement decision depends on.
func (c *Controller) placementInput(view *state.State, now time.Time) placement.Input {
	awaited, atVersions := c.wants()
	in := placement.Input{
		State: view, Demand: c.demand(view), Down: c.downServers(view), NoOrders: c.heldServers(view, now),
		InBackoff: c.serversInBackoff(view, now), Awaited: awaited, AwaitedAtVersions: atVersions, LeaderFor: time.Since(c.leadingSince), DemandSettleTime: c.opts.DemandSettleTime,
		Slowness: c.slowness(), Crowded: c.crowdedNow(now),
	}
	c.classifyModels(&in, now)
	return in
}

// decide issues the orders that placement decides on, within the rate of the weight store.
func (c *Controller) decide(ctx context.Context, view *state.State) {
	plan := placement.Decide(c.placementInput(view, time.Now()))
	c.noteShortages(plan.Shortages)
	c.issue(ctx, view, plan.Decisions)
}

// issue commits orders in one batch, except loads that must wait for the weight store and
// orders for crowded adapters beyond their rate.
func (c *Controller) issue(ctx context.Context, view *state.State, decisions []placement.Decision) {
	var list []placement.Decision
	var commands []*wire.Command
	for _, d := range decisions {
		if loadBlocked(view, d.Order) || fromStore(view, d.Order) && !c.allowLoad(view.Fleet) {
			continue
		}
		if d.Crowded != "" && !c.crowded.limiter.Allow() {
			continue
		}
		list = append(list, d)
		commands = append(commands, &wire.Command{Kind: &wire.Command_Issue{Issue: &wire.IssueOrder{Order: d.Order}}})
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	began := time.Now()
	outcomes := c.opts.Replica.ProposeAll(ctx, commands)
	c.proposeWait += time.Since(began)
	for i, o := range outcomes {
		if o.Err != nil {
			o.Result.Err = o.Err
		}
		c.noteOrder(list[i], o.Result)
	}
}

func (c *Controller) noteOrder(d placement.Decision, result state.Result) {
	what := actionName(d.Order.Action) + " " + ledger.Describe(d.Order.Item) + " on " + d.Order.Server
	if result.Err == nil && d.Crowded != "" {
		c.noteCrowdedOrder(d, time.Now())
	}
	if result.Err != nil {
		what, d.Reason = "not issued: "+what, result.Err.Error()
	}
	c.opts.Records.Add(record.Model, nameOf(d.Order.Item), what, d.Reason)
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
		if c.shortages[s.Model] == "" {
			c.opts.Records.Add(record.Model, s.Model, "not placed", s.Reason)
		}
	}
	c.shortages = next
}

// allowLoad limits loads to the rate of the weight store.
func (c *Controller) allowLoad(f *fleet.Fleet) bool {
	limit := rate.Limit(f.LoadsPerSecond)
	if c.limiter == nil {
		c.limiter = rate.NewLimiter(limit, min(f.MaxConcurrentLoads, storeBurst))
	}
	if c.limiter.Limit() != limit {
		c.limiter.SetLimit(limit)
	}
	return c.limiter.Allow()
}
