// Package placement decides which models and adapters stand where. It is a
// pure function of what is agreed and measured: the same input gives the same
// orders.
//
// Rules:
//
//  1. Room is kept or made first for models without a ready or coming copy, then
//     for those below their least number of copies; within each for those that are
//     asked for first, then by priority, then by demand. The loads themselves go by
//     how many requests a second each serves: a copy that demand asks for (7) may
//     come before a model that is rarely asked for, and one that nobody asks for
//     comes last, as long as the weight store is the limit.
//  2. A copy goes to an accelerator with room for the model and all its
//     adapters: to a data hall without a copy, then to the server with the least
//     work, then to the one with the most room.
//  3. An adapter is loaded beside each ready copy of its model.
//  4. Make before break: an item is unloaded only when it is not wanted any
//     more, when it is of an old version and the new one is ready, or to make
//     room while another copy of it is ready. The ledger checks that again.
//  5. When nothing has room for a copy that is needed, the fewest copies that
//     can be spared on one accelerator make room for it: those beyond their
//     model's least number, and for a model without any copy all but the last.
//     Of several ways the one that costs the fewest requests is taken.
//  6. At most as many loads from the weight store are open at once as it serves well. What a server has at hand (12) does
//     not wait for that.
//  7. Demand moves a copy only when what it gains, in requests answered in time
//     over the time that demand is taken to last, less what the copies that make
//     room are missed until it is there, is worth more than the price of a move. A copy that is not needed any more stays until its room is:
//     taking it away would gain nothing.
//  8. A model without any copy, for which there is room in sum but on no one
//     accelerator, gets it by shifting copies that stand in the way: they are
//     loaded elsewhere first, the fewest bytes that do, and go by rule 5 then.
//  9. An on-demand adapter that requests wait for is loaded beside the copy of
//     its model with the fewest adapters; where all slots are taken, the adapter
//     that is asked for least goes.
//  10. A model has at least so many copies that all its on-demand adapters that
//     are asked for find a slot.
//  11. While room is being made for a model, none is made for it elsewhere; copies that
//     need none may come.
//  12. A server that has a model at hand (in its memory or on its disk) loads it far
//     faster than from the weight store, and is taken first.
//  13. No room is made for a model yet that the leader is patient with: while demand
//     is not known to it, every copy looks spare; and one that nobody asks for may
//     wait for its server to come back.
//  14. The last copy of a model that nobody has asked for lately may go where the server
//     keeps the model at hand (ledger, rule 4), and no room is made for it until it is
//     asked for.
//  15. Models that some server has at hand come and go by what they are worth, first
//     copies too: the last copy of one that is asked for now and then may go, where the
//     server has it at hand, for a copy that spares more requests, and comes back by the
//     same measure. It is missed by the requests that it is asked for on average, by those
//     of now where they are many, and by some even if nobody asked for it lately. So the
//     models that are asked for all the time have copies enough when servers are lost.
//  16. Room that is needed is not made by taking a copy that many requests need while a
//     server that takes no order yet, such as one that another leader gave orders to,
//     can spare one that few need.
//  17. A copy that stands is worth more than one that nobody asks for: the last copy of a model goes only for a model that
//     is asked for. Where most models have no room, no copy that is asked for goes for a model that nobody asks for, unless
//     that is worth the price of a move: all that stand would otherwise go, one after another.
package placement

import (
	"slices"
	"time"

	"leverdrum/fleet"
	"leverdrum/ledger"
	"leverdrum/state"
	"leverdrum/wire"
)

// Demand is what a model, its adapters included, is asked for.
type Demand struct {
	// Requests is in requests a second, those refused included.
	Requests float64
	// BusySlots is how many requests of it are in service on average, if none is
	// refused.
	BusySlots float64
	// LongTermRequests is the rate of requests over a longer time, for models that are asked for
	// now and then; 0 where that is not known.
	LongTermRequests float64
	// PrefillLoad is how many servers it keeps busy by the reading of its prompts; 0 where
	// that is not known.
	PrefillLoad float64
}

// Input is what a decision is made from.
type Input struct {
	State *state.State
	// Demand of each model.
	Demand map[string]Demand
	// Down names servers that do not answer; they get no orders and their
	// copies do not count.
	Down map[string]bool
	// NoOrders names servers that get no orders now, though their copies count.
	NoOrders map[string]bool
	// InBackoff names servers that want no requests for so long that other copies of their models are worth a move.
	InBackoff map[string]bool
	// LeaderFor is how long the box has led. A new leader first lets demand be
	// reported to it before it moves anything for demand's sake.
	LeaderFor time.Duration
	// Deferred names models that no room is made for yet (13).
	Deferred map[string]bool
	// Idle names models that nobody has asked for lately (14).
	Idle map[string]bool
	// Awaited are models and on-demand adapters that requests wait for.
	Awaited map[string]bool
	// DemandSettleTime is how long a new leader waits for demand to be reported; 0:
	// DemandSettles.
	DemandSettleTime time.Duration

	// afresh has everything found anew each time, for a test of what is kept.
	afresh bool
}

// Decision is one order with its reason.
type Decision struct {
	Order  *wire.Order
	Reason string
}

// Shortage says that a model has no room.
type Shortage struct {
	Model  string
	Reason string
}

// Plan is what is to be done next.
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
	p.unloads()
	p.adapters()
	p.adaptersOnDemand()
	p.fillNeeds()
	p.loadNeeds()
	return p.plan
}

type accelerator struct {
	server   *fleet.Server
	load     *load
	number   uint32
	free     int64 // bytes, less what is promised to adapters of copies there
	adapters int   // in whatever phase
	stood    int   // models that stood there when the decision began
	unusable bool  // its server leaves or does not answer: copies there do not count
	busy     bool  // takes no further order now
	models   map[string]bool
	hand     []string // models that its server has at hand
	spares   [sparings]spares
	changed  int // planner.round in which something moved there last
}

type copyOf struct {
	acc      *accelerator
	resident *wire.Resident
}

type planner struct {
	in     Input
	fleet  *fleet.Fleet
	models []*fleet.Model // sorted
	// places and residents are what is resident, in the order of places.
	places    []ledger.Location
	residents []*wire.Resident
	accs      []*accelerator
	index     map[string][]*accelerator
	copies    map[string][]copyOf // by model, any version and phase
	served    map[string][]copyOf // what serving has found since a model's copies changed
	round     int                 // counts what moves in this decision, from 1
	// changed is the round in which something of a model moved last.
	changed map[string]int
	loads   int // from the weight store that are open
	// clearing are servers on which copies make room in this round.
	clearing map[*load]bool
	// asked counts the on-demand adapters of each model that are asked for; slots
	// are the adapter slots of each pool's servers.
	asked, slots map[string]int
	// keptModels are at hand on some server that works (14).
	keptModels map[string]bool
	// roomShare is the part of all models that there is room for at once.
	roomShare float64
	// roomFor names the models that room is being made for (11).
	roomFor map[string]bool
	// moves counts what demand moved in this round; best is the next one, unless
	// there is none (noMove).
	moves  int
	best   *candidate
	noMove bool
	// found are the best further copies of models, nil where there is none (rules in demand.go).
	found map[string]*candidate
	// reserved are places that are kept for models without enough copies (1).
	reserved []reservation
	plan     Plan
}

func newPlanner(in Input) *planner {
	p := &planner{in: in, fleet: in.State.Fleet, copies: map[string][]copyOf{}, served: map[string][]copyOf{}, found: map[string]*candidate{}, changed: map[string]int{}, round: 1, clearing: map[*load]bool{}}
	p.index = map[string][]*accelerator{}
	p.models = p.fleet.SortedModels()
	for place, r := range in.State.Residents.All() {
		p.places, p.residents = append(p.places, place), append(p.residents, r)
	}
	for _, s := range in.State.AllServers() {
		l := &load{size: float64(s.Kind.Concurrency), good: p.fleet.GoodUse, limit: p.limitOf(s.Name)}
		seen := in.State.Servers.Get(s.Name)
		unusable := p.unusable(s, seen)
		for n := range s.Kind.Accelerators {
			a := &accelerator{server: s, load: l, number: uint32(n), free: int64(s.Kind.Usable()), models: map[string]bool{}, unusable: unusable}
			a.hand = seen.GetAtHand()
			a.busy = unusable || in.NoOrders[s.Name] || seen.GetQuarantined()
			p.index[s.Name] = append(p.index[s.Name], a)
			p.accs = append(p.accs, a)
		}
	}
	p.noteKept()
	p.roomShare = p.shareWithRoom()
	p.countAsked()
	p.countOrders()
	p.countResidents()
	p.spreadWork()
	return p
}

// shareWithRoom returns the part of all models that the servers that work have room for.
func (p *planner) shareWithRoom() float64 {
	room, all := 0.0, 0.0
	for _, a := range p.accs {
		if !a.unusable {
			room += float64(a.server.Kind.Usable())
		}
	}
	for _, m := range p.models {
		all += float64(m.Footprint())
	}
	if all == 0 {
		return 1
	}
	return room / all
}

func (p *planner) unusable(s *fleet.Server, seen *wire.ServerState) bool {
	return s.Leaving || seen.GetIncarnation() == "" || seen.GetLeaving() || p.in.Down[s.Name] || p.in.State.Evacuated(s.Hall)
}

func (p *planner) countOrders() {
	p.roomFor = map[string]bool{}
	for _, o := range p.in.State.Orders.All() {
		if o.RoomFor != "" {
			p.roomFor[o.RoomFor] = true
		}
		list := p.index[o.Server]
		if int(o.Accelerator) >= len(list) {
			continue
		}
		acc := list[o.Accelerator]
		if o.Action == wire.OrderAction_ORDER_LOAD && !acc.unusable && !slices.Contains(acc.hand, o.Item.Model) { // a server that is down loads nothing
			p.loads++
		}
		if !acc.server.Kind.ChecksFences {
			acc.busy = true
		}
	}
}

// countResidents books what is resident, and the room of the adapters that each
// copy still lacks.
func (p *planner) countResidents() {
	for i, place := range p.places {
		list := p.index[place.Server]
		if int(place.Accelerator) >= len(list) {
			continue
		}
		acc, r := list[place.Accelerator], p.residents[i]
		acc.free -= int64(r.Memory)
		if place.Adapter != "" {
			acc.adapters++
		}
		if place.Adapter == "" {
			if m := p.fleet.Models[place.Model]; m != nil && m.Version == place.Version {
				acc.models[place.Model] = true
			}
			acc.stood++
			p.copies[place.Model] = append(p.copies[place.Model], copyOf{acc, r})
			p.reserveAdapters(acc, place)
		}
	}
}

func (p *planner) reserveAdapters(acc *accelerator, place ledger.Location) {
	m := p.fleet.Models[place.Model]
	if m == nil || m.Version != place.Version {
		return
	}
	for _, a := range m.Adapters {
		if p.in.State.Residents.Get(adapterPlace(acc, a)) == nil {
			acc.free -= int64(a.Memory)
		}
	}
}

func adapterPlace(acc *accelerator, a *fleet.Adapter) ledger.Location {
	return ledger.Location{Server: acc.server.Name, Accelerator: acc.number, Model: a.Model, Adapter: a.Name, Version: a.Version}
}

func (p *planner) order(acc *accelerator, action wire.OrderAction, item *wire.Item, memory uint64, why string) {
	p.orderFor(acc, action, item, memory, "", why)
}

// orderFor is an order that makes room for a model.
func (p *planner) orderFor(acc *accelerator, action wire.OrderAction, item *wire.Item, memory uint64, roomFor, why string) {
	p.best = nil // it reckoned without this
	p.plan.Decisions = append(p.plan.Decisions, Decision{&wire.Order{
		Action: action, Server: acc.server.Name, ServerIncarnation: p.in.State.Servers.Get(acc.server.Name).GetIncarnation(),
		Accelerator: acc.number, Item: item, Memory: memory, Reason: why, RoomFor: roomFor,
	}, why})
	if !acc.server.Kind.ChecksFences {
		acc.busy = true
	}
}

// unloads is rule 4. Adapters go before the models that they stand beside.
func (p *planner) unloads() {
	for _, adapters := range []bool{true, false} {
		for i, place := range p.places {
			if (place.Adapter != "") == adapters {
				p.unloadUnwanted(place, p.residents[i])
			}
		}
	}
}

func (p *planner) unloadUnwanted(place ledger.Location, r *wire.Resident) {
	acc := p.acc(place)
	if r.Phase != wire.Phase_PHASE_READY || acc == nil || acc.busy {
		return
	}
	if why := p.unwanted(place); why != "" {
		p.order(acc, wire.OrderAction_ORDER_UNLOAD, r.Item, r.Memory, why)
	}
}

func (p *planner) acc(place ledger.Location) *accelerator {
	list := p.index[place.Server]
	if int(place.Accelerator) >= len(list) {
		return nil
	}
	return list[place.Accelerator]
}

// hasBase reports whether a copy of an adapter's model stays on its accelerator.
func (p *planner) hasBase(place ledger.Location) bool {
	acc := p.acc(place)
	return slices.ContainsFunc(p.copies[place.Model], func(c copyOf) bool {
		return c.acc == acc && c.resident.Phase != wire.Phase_PHASE_UNLOADING
	})
}

func (p *planner) unwanted(place ledger.Location) string {
	if place.Adapter != "" {
		a := p.fleet.Adapters[place.Adapter]
		if a != nil && a.OnDemand {
			return "" // goes with its model, or by rule 9
		}
		switch {
		case a == nil || a.Model != place.Model:
			return "not in the fleet file any more"
		case !p.hasBase(place):
			return "its model is not there any more"
		case a.Version != place.Version && p.in.State.ReadyElsewhere(place):
			return "version " + a.Version + " is ready"
		}
		return ""
	}
	m := p.fleet.Models[place.Model]
	switch {
	case m == nil:
		return "not in the fleet file any more"
	case m.Version != place.Version && p.in.State.ReadyElsewhere(place) && p.in.State.OrphanedAdapter(place) == "":
		return "version " + m.Version + " is ready"
	}
	return ""
}

// adapters is rule 3.
func (p *planner) adapters() {
	for _, m := range p.models {
		for _, c := range p.copies[m.Name] {
			if c.resident.Phase == wire.Phase_PHASE_READY && c.resident.Item.Version == m.Version {
				p.adaptersOf(m, c.acc)
			}
		}
	}
}

func (p *planner) adaptersOf(m *fleet.Model, acc *accelerator) {
	for _, a := range m.Adapters {
		if acc.busy || p.in.State.Residents.Get(adapterPlace(acc, a)) != nil || !p.mayLoad() {
			continue
		}
		p.loads++
		p.order(acc, wire.OrderAction_ORDER_LOAD, &wire.Item{Model: m.Name, Adapter: a.Name, Version: a.Version}, a.Memory, "beside its model "+m.Name)
	}
}

// mayLoad is rule 6.
func (p *planner) mayLoad() bool { return p.loads < p.fleet.LoadsAtOnce }
