// Package placement decides which models and adapters are loaded where. It is a
// pure function of the committed state and the demand: the same input gives the
// same orders.
//
// Rules:
//
//  1. Memory is reserved or freed first for models without a ready or loading copy, then
//     for those below their minimum number of copies; within each for those with demand
//     first, then by priority, then by demand. The loads themselves are ordered by how many
//     requests per second each serves: a copy that demand asks for (7) may come before a
//     model that is rarely requested, and one without demand comes last, as long as the
//     weight store is the limit.
//  2. A copy goes to an accelerator with free memory for the model and all its
//     adapters: to a data hall without a copy, then to the server with the lowest
//     utilization, then to the one with the most free memory.
//  3. An adapter is loaded beside each ready copy of its model.
//  4. Make before break: an item is unloaded only when it is not wanted any
//     more, when it is of an old version and the new one is ready, or to make
//     room while another copy of it is ready. The ledger checks that again.
//  5. When no accelerator has free memory for a copy that is needed, the fewest copies
//     that can be evicted on one accelerator make room for it: those beyond their
//     model's minimum, and for a model without any copy all but the last.
//     Of several options the one that costs the fewest requests is taken.
//  6. At most as many loads from the weight store are open at once as it serves well. Loads of
//     models that a server has cached (12) do not wait for that.
//  7. Demand moves a copy only when its gain is worth more than the price of a move. The gain is
//     in requests answered in time over the time that demand is assumed to last, less the cost of
//     the evictions until the copy is loaded. A copy that is not needed any more stays until its
//     memory is needed: unloading it would gain nothing.
//  8. A model without any copy that fits into the total free memory, but on no single
//     accelerator, gets its memory by relocating the copies that block it: they are loaded
//     elsewhere first, choosing the fewest bytes that suffice, and then evicted by rule 5.
//  9. An on-demand adapter that requests wait for is loaded beside the copy of
//     its model with the fewest adapters; where all slots are taken, the adapter
//     with the least demand is evicted.
//  10. A model has at least so many copies that all its requested on-demand adapters
//     find a slot.
//  11. While room is being made for a model, none is made for it elsewhere; copies that
//     need none may be loaded.
//  12. A server that has a model cached (in its memory or on its disk) loads it far
//     faster than from the weight store, and is preferred.
//  13. No room is made yet for a model that the leader defers: while the leader does not know
//     the demand, every copy looks like a surplus copy; and a model without demand may wait
//     for its server to come back.
//  14. The last copy of a model without recent requests may be evicted where the server
//     keeps the model cached (ledger, rule 4), and no room is made for it until it is
//     requested.
//  15. Models that some server has cached are loaded and evicted by their value, first
//     copies too: the last copy of one that is requested now and then may be evicted, where the
//     server has it cached, for a copy that saves more requests, and is loaded again by the
//     same measure. The cost of its eviction is its average rate of requests, its current rate
//     where that is high, and some minimum even without recent requests. So the
//     models that are requested all the time have copies enough when servers are lost.
//  16. Room is not made by evicting a copy that many requests need while a
//     server that takes no order yet, such as one that another leader gave orders to,
//     can evict one that few need.
//  17. A resident copy is worth more than one without demand: the last copy of a model is evicted
//     only for a model that is requested. Where most models do not fit, no requested copy is
//     evicted for a model without demand, unless that is worth the price of a move: otherwise
//     all resident copies would be evicted, one after another.
//
// Rules 18 to 21 hold where the speeds of servers are known (Input.Slowness):
//
//  18. The slots and the prefill time that a share of demand takes on a server are multiplied by the
//     server's slowness. So a copy on a slow server counts for less, and one more copy on a fast
//     server has the gain (7) of the work that it takes from slow ones.
//  19. The demand of a model is assigned to its copies in proportion to the speed of their servers,
//     since boxes send requests to where they finish first. What other models leave of a server
//     counts for the choice of servers only (20): shares that depended on it would change with each
//     move of another model, and moves would not end.
//  20. Where a copy for demand, or a first copy or relocation of a requested model, goes to the
//     server with the lowest utilization or the least free memory, it goes first to the server that
//     serves it soonest: the time is proportional to slowness/(1-utilization).
//     For demand, the best of the servers slower than average is evaluated, too: copies that can be
//     evicted there may cost far less.
//  21. Of otherwise equal ways to make room, copies at the slower server are evicted.
//
// Further copies of on-demand adapters (Input.Crowded), and first ones where speeds are known:
//
//  22. A crowded adapter gets one more copy: beside a ready copy of its model, on the server that serves
//     it soonest (20) among those with a free slot, or else among those with an adapter that may be
//     evicted for it (23). There is at most one order for an adapter in a decision, and none while a copy
//     of it is loading or room is being made for it. Those with the most requests per copy come first. It
//     waits for a server that is busy with an order for an adapter, which takes some 50 ms.
//  23. An adapter is evicted for a crowded one only if it is not awaited or crowded itself, has not been
//     requested for some 2 s (a last copy: is requested less than once in some 7 s), and serves less than
//     half of the requests per copy that the crowded adapter then has. The last copy of an adapter is
//     therefore never evicted for one with less than twice its demand. Each such exchange increases the sum
//     of D/n over the n-th copies of adapters with the demand D, so that exchanges end and are never undone.
//  24. Where speeds are known, the first copy of an on-demand adapter (9) goes to the server that serves it
//     soonest among those with a free slot; the fewest adapters decide between nearly equal ones. Where
//     all slots are taken, an adapter that has not been requested for some 2 s is evicted, first one with a
//     further copy, and else the one with the fewest requests per copy.
//  25. Where speeds are known, the demand of an on-demand adapter counts on the servers that have it. Only
//     the rest of its model's demand is assigned to all copies (19).
//
// Streams that have begun at one software version of the servers (Input.AwaitedAtVersions):
//
//  26. A model that streams wait for at a software version gets a copy on a usable server of that version,
//     unless one is ready or loading there: where there is memory for it, or else where making room costs
//     the fewest requests, as for a first copy (5). It comes before other needs, and counts like any copy
//     afterwards. An on-demand adapter is loaded beside a ready copy at the version, where a slot is free
//     or an adapter can be evicted that no request waits for.
package placement

import (
	"slices"
	"time"

	"leverdrum/fleet"
	"leverdrum/ledger"
	"leverdrum/state"
	"leverdrum/wire"
)

// Demand is the demand for a model, including its adapters.
type Demand struct {
	// Requests is the rate in requests per second, including refused ones.
	Requests float64
	// BusySlots is the average number of its requests in service, if none is refused.
	BusySlots float64
	// LongTermRequests is the rate of requests over a longer time, for models that are requested
	// now and then; 0 if unknown.
	LongTermRequests float64
	// PrefillLoad is the number of servers that it keeps busy with prefill; 0 if unknown.
	PrefillLoad float64
}

// Input holds everything that a decision depends on.
type Input struct {
	State *state.State
	// Demand is the demand by model or on-demand adapter.
	Demand map[string]Demand
	// Down names unresponsive servers; they get no orders and their copies do not count.
	Down map[string]bool
	// NoOrders names servers that get no orders now, though their copies count.
	NoOrders map[string]bool
	// InBackoff names servers that refuse requests for so long that other copies of their models
	// are worth a move.
	InBackoff map[string]bool
	// LeaderFor is how long the box has been the leader. A new leader waits for demand reports
	// before it moves anything because of demand.
	LeaderFor time.Duration
	// Deferred names models that no room is made for yet (13).
	Deferred map[string]bool
	// Idle names models without recent requests (14).
	Idle map[string]bool
	// Awaited names models and on-demand adapters that requests wait for.
	Awaited map[string]bool
	// AwaitedAtVersions are what streams wait for at servers of a software version (26).
	AwaitedAtVersions []AwaitedItem
	// Crowded names on-demand adapters whose servers would all answer late while another ready copy of
	// their model would not (22); nil: none.
	Crowded map[string]bool
	// Slowness is the factor by which a server takes longer than the average one, by id. A server
	// that is missing, or whose value is not from 0.1 to 10, counts as 1. If the map is nil, speeds
	// are unknown, and the demand of a model is assigned to its copies in equal shares.
	Slowness map[string]float64
	// DemandSettleTime is how long a new leader waits for demand reports; 0 means
	// DefaultDemandSettleTime.
	DemandSettleTime time.Duration

	// noCache recomputes everything each time, for a test of the caches.
	noCache bool
}

// Decision is one order and its reason.
type Decision struct {
	Order  *wire.Order
	Reason string
	// Crowded is the crowded adapter that the order gives a further copy or makes room for; "" in
	// other orders.
	Crowded string
}

// Shortage names a model that does not fit, and why.
type Shortage struct {
	Model  string
	Reason string
}

// Plan holds the orders to issue next and the models that do not fit.
type Plan struct {
	Decisions []Decision
	Shortages []Shortage
}

// Decide returns the orders to issue now.
func Decide(in Input) Plan {
	if in.State.Fleet == nil {
		return Plan{}
	}
	p := newPlanner(in)
	p.planUnloads()
	p.planAdapters()
	p.planOnDemandAdapters()
	p.planAwaitedVersions()
	p.reserveForNeeds()
	p.loadReserved()
	p.planCrowdedAdapters() // last: the leader may drop these orders, and models must not wait for them
	return p.plan
}

type accelerator struct {
	server        *fleet.Server
	load          *load
	number        uint32
	free          int64 // bytes, less what is reserved for adapters of copies there
	adapters      int   // in any phase
	initialModels int   // models resident when the decision began
	unusable      bool  // its server is draining or unresponsive: copies there do not count
	busy          bool  // takes no further orders now
	adapterOrder  bool  // busy only with an order for an adapter, for a moment
	models        map[string]bool
	cached        []string // models that its server has cached
	evictions     [evictionModes]evictionList
	changedRound  int // planner.round of the last change there
}

type modelCopy struct {
	acc      *accelerator
	resident *wire.Resident
}

type planner struct {
	in     Input
	fleet  *fleet.Fleet
	models []*fleet.Model // sorted
	// locations and residents are the resident items, in the order of locations.
	locations    []ledger.Location
	residents    []*wire.Resident
	accs         []*accelerator
	byServer     map[string][]*accelerator
	copies       map[string][]modelCopy // by model, any version and phase
	servingCache map[string][]modelCopy // results of serving since a model's copies changed
	round        int                    // counts the changes in this decision, from 1
	// changedRound is the round of the last change of each model.
	changedRound map[string]int
	openLoads    int // open loads from the weight store
	// evictingServers are the servers on which moves of this decision evict copies.
	evictingServers map[*load]bool
	// requestedAdapters counts the requested on-demand adapters of each model; adapterSlots are the
	// adapter slots of each pool's servers.
	requestedAdapters, adapterSlots map[string]int
	// adapterCopies are the copies of on-demand adapters beside a serving copy of their model, and
	// demandedAdapters the adapters of each model with demand (25), and adapterCounts the number of its
	// on-demand adapters. They are empty unless speeds are known or an adapter is crowded.
	adapterCopies    map[string][]adapterCopy
	demandedAdapters map[string][]string
	adapterCounts    map[string]int
	// cachedModels are cached by some usable server (14).
	cachedModels map[string]bool
	// capacityShare is the share of all models that fit at once.
	capacityShare float64
	// makingRoomFor names the models that room is being made for (11).
	makingRoomFor map[string]bool
	// roomOrders counts the open orders that make room for an item on usable servers.
	roomOrders map[string]int
	// moves counts the moves made for demand in this decision; best is the next one, unless there
	// is none (noMoveLeft).
	moves      int
	best       *candidate
	noMoveLeft bool
	// candidates are the best further copies of models, nil where there is none (caching rules in
	// demand.go).
	candidates map[string]*candidate
	// reservations hold memory for models without enough copies (1).
	reservations []reservation
	plan         Plan
}

func newPlanner(in Input) *planner {
	p := &planner{in: in, fleet: in.State.Fleet, copies: map[string][]modelCopy{}, servingCache: map[string][]modelCopy{}, candidates: map[string]*candidate{}, changedRound: map[string]int{}, round: 1, evictingServers: map[*load]bool{}}
	p.byServer = map[string][]*accelerator{}
	p.models = p.fleet.SortedModels()
	for loc, r := range in.State.Residents.All() {
		p.locations, p.residents = append(p.locations, loc), append(p.residents, r)
	}
	for _, s := range in.State.AllServers() {
		serverLoad := &load{slots: float64(s.Kind.Concurrency), goodUse: p.fleet.TargetUtilization, limit: p.limitOf(s.Name), slowness: p.slownessOf(s.Name)}
		serverState := in.State.Servers.Get(s.Name)
		unusable := p.unusable(s, serverState)
		for n := range s.Kind.Accelerators {
			a := &accelerator{server: s, load: serverLoad, number: uint32(n), free: int64(s.Kind.UsableMemory()), models: map[string]bool{}, unusable: unusable}
			a.cached = serverState.GetAtHand()
			a.busy = unusable || in.NoOrders[s.Name] || serverState.GetQuarantined()
			p.byServer[s.Name] = append(p.byServer[s.Name], a)
			p.accs = append(p.accs, a)
		}
	}
	p.collectCachedModels()
	p.capacityShare = p.computeCapacityShare()
	p.countRequestedAdapters()
	p.countOrders()
	p.countResidents()
	p.collectAdapterCopies()
	p.assignDemand()
	return p
}

// computeCapacityShare returns the share of all models that fits into the usable servers.
func (p *planner) computeCapacityShare() float64 {
	capacity, footprints := 0.0, 0.0
	for _, a := range p.accs {
		if !a.unusable {
			capacity += float64(a.server.Kind.UsableMemory())
		}
	}
	for _, m := range p.models {
		footprints += float64(m.Footprint())
	}
	if footprints == 0 {
		return 1
	}
	return capacity / footprints
}

func (p *planner) unusable(s *fleet.Server, serverState *wire.ServerState) bool {
	return s.Draining || serverState.GetIncarnation() == "" || serverState.GetLeaving() || p.in.Down[s.Name] || p.in.State.Evacuated(s.Hall)
}

func (p *planner) countOrders() {
	p.makingRoomFor, p.roomOrders = map[string]bool{}, map[string]int{}
	for _, o := range p.in.State.Orders.All() {
		if o.RoomFor != "" {
			p.makingRoomFor[o.RoomFor] = true
		}
		list := p.byServer[o.Server]
		if int(o.Accelerator) >= len(list) {
			continue
		}
		acc := list[o.Accelerator]
		if o.RoomFor != "" && !acc.unusable {
			p.roomOrders[o.RoomFor]++
		}
		if o.Action == wire.OrderAction_ORDER_LOAD && !acc.unusable && !slices.Contains(acc.cached, o.Item.Model) { // an unavailable server loads nothing
			p.openLoads++
		}
		if !acc.server.Kind.ChecksFences {
			acc.adapterOrder = !acc.busy && o.Item.Adapter != ""
			acc.busy = true
		}
	}
}

// countResidents accounts for resident items, and reserves memory for the adapters that each copy
// still misses.
func (p *planner) countResidents() {
	for i, loc := range p.locations {
		list := p.byServer[loc.Server]
		if int(loc.Accelerator) >= len(list) {
			continue
		}
		acc, r := list[loc.Accelerator], p.residents[i]
		acc.free -= int64(r.Memory)
		if loc.Adapter != "" {
			acc.adapters++
		}
		if loc.Adapter == "" {
			if m := p.fleet.Models[loc.Model]; m != nil && m.Version == loc.Version {
				acc.models[loc.Model] = true
			}
			acc.initialModels++
			p.copies[loc.Model] = append(p.copies[loc.Model], modelCopy{acc, r})
			p.reserveAdapters(acc, loc)
		}
	}
}

func (p *planner) reserveAdapters(acc *accelerator, loc ledger.Location) {
	m := p.fleet.Models[loc.Model]
	if m == nil || m.Version != loc.Version {
		return
	}
	for _, a := range m.Adapters {
		if p.in.State.Residents.Get(adapterLocation(acc, a)) == nil {
			acc.free -= int64(a.Memory)
		}
	}
}

func adapterLocation(acc *accelerator, a *fleet.Adapter) ledger.Location {
	return ledger.Location{Server: acc.server.Name, Accelerator: acc.number, Model: a.Model, Adapter: a.Name, Version: a.Version}
}

func (p *planner) order(acc *accelerator, action wire.OrderAction, item *wire.Item, memory uint64, reason string) {
	p.orderFor(acc, action, item, memory, "", reason)
}

// orderFor orders an unload that makes room for a model.
func (p *planner) orderFor(acc *accelerator, action wire.OrderAction, item *wire.Item, memory uint64, roomFor, reason string) {
	p.best = nil // it was computed without this order
	p.plan.Decisions = append(p.plan.Decisions, Decision{Order: &wire.Order{
		Action: action, Server: acc.server.Name, ServerIncarnation: p.in.State.Servers.Get(acc.server.Name).GetIncarnation(),
		Accelerator: acc.number, Item: item, Memory: memory, Reason: reason, RoomFor: roomFor,
	}, Reason: reason})
	if !acc.server.Kind.ChecksFences {
		acc.adapterOrder = !acc.busy && item.Adapter != ""
		acc.busy = true
	}
}

// planUnloads orders the unload of items that are not wanted any more, and of old versions once the
// new one is ready (4). Adapters are unloaded before the models beside which they are loaded.
func (p *planner) planUnloads() {
	for _, adapters := range []bool{true, false} {
		for i, loc := range p.locations {
			if (loc.Adapter != "") == adapters {
				p.unloadIfUnwanted(loc, p.residents[i])
			}
		}
	}
}

func (p *planner) unloadIfUnwanted(loc ledger.Location, r *wire.Resident) {
	acc := p.acceleratorAt(loc)
	if r.Phase != wire.Phase_PHASE_READY || acc == nil || acc.busy {
		return
	}
	if reason := p.unloadReason(loc); reason != "" {
		p.order(acc, wire.OrderAction_ORDER_UNLOAD, r.Item, r.Memory, reason)
	}
}

func (p *planner) acceleratorAt(loc ledger.Location) *accelerator {
	list := p.byServer[loc.Server]
	if int(loc.Accelerator) >= len(list) {
		return nil
	}
	return list[loc.Accelerator]
}

// hasBase reports whether a copy of an adapter's model stays on its accelerator.
func (p *planner) hasBase(loc ledger.Location) bool {
	acc := p.acceleratorAt(loc)
	return slices.ContainsFunc(p.copies[loc.Model], func(c modelCopy) bool {
		return c.acc == acc && c.resident.Phase != wire.Phase_PHASE_UNLOADING
	})
}

func (p *planner) unloadReason(loc ledger.Location) string {
	if loc.Adapter != "" {
		a := p.fleet.Adapters[loc.Adapter]
		if a != nil && a.OnDemand {
			return "" // unloaded with its model, or evicted for another adapter (9)
		}
		switch {
		case a == nil || a.Model != loc.Model:
			return "not in the fleet file any more"
		case !p.hasBase(loc):
			return "its model is not loaded there any more"
		case a.Version != loc.Version && p.in.State.ReadyElsewhere(loc):
			return "version " + a.Version + " is ready"
		}
		return ""
	}
	m := p.fleet.Models[loc.Model]
	switch {
	case m == nil:
		return "not in the fleet file any more"
	case m.Version != loc.Version && p.in.State.ReadyElsewhere(loc) && p.in.State.OrphanedAdapter(loc) == "":
		return "version " + m.Version + " is ready"
	}
	return ""
}

// planAdapters loads the missing adapters beside each ready copy of their model's current version (3).
func (p *planner) planAdapters() {
	for _, m := range p.models {
		for _, c := range p.copies[m.Name] {
			if c.resident.Phase == wire.Phase_PHASE_READY && c.resident.Item.Version == m.Version {
				p.loadAdapters(m, c.acc)
			}
		}
	}
}

func (p *planner) loadAdapters(m *fleet.Model, acc *accelerator) {
	for _, a := range m.Adapters {
		if acc.busy || p.in.State.Residents.Get(adapterLocation(acc, a)) != nil || !p.mayLoad() {
			continue
		}
		p.openLoads++
		p.order(acc, wire.OrderAction_ORDER_LOAD, &wire.Item{Model: m.Name, Adapter: a.Name, Version: a.Version}, a.Memory, "beside its model "+m.Name)
	}
}

// mayLoad reports whether another load from the weight store may be opened (6).
func (p *planner) mayLoad() bool { return p.openLoads < p.fleet.MaxConcurrentLoads }
