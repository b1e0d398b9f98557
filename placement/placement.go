// Package placement decides which models and adapters stand where. It is a
// pure function of what is agreed and measured: the same input gives the same
// orders.
//
// Rules:
//
//  1. A model without a ready or coming copy comes first, then one below its
//     least number of copies, then one whose demand asks for more; within each
//     by priority, then by demand.
//  2. A copy goes to the accelerator with room that adds a new data hall, then
//     to the emptiest. Its room covers the model with all its adapters.
//  3. An adapter is loaded beside each ready copy of its model.
//  4. Make before break: an item is unloaded only when it is not wanted any
//     more, is of an old version and the new one is ready, or its model has a
//     copy too many. The ledger checks that again.
//  5. When nothing has room for a model without a copy, a copy too many of
//     another model makes room.
//  6. At most as many loads are open at once as the weight store serves well.
package placement

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"leverdrum/fleet"
	"leverdrum/ledger"
	"leverdrum/state"
	"leverdrum/wire"
)

// Input is what a decision is made from.
type Input struct {
	State *state.State
	// Demand is the requests a second of each model, its adapters included.
	Demand map[string]float64
	// Down names servers that do not answer; they get no orders and their
	// copies do not count.
	Down map[string]bool
}

// Decision is one order with its reason.
type Decision struct {
	Order  *wire.Order
	Reason string
}

// Shortage says that a model has no room.
type Shortage struct {
	Model string
	Why   string
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
	p.models()
	return p.plan
}

type accelerator struct {
	server *fleet.Server
	number uint32
	free   int64 // bytes, less what is promised to adapters of copies there
	busy   bool  // takes no further order now
	models map[string]bool
}

type copyOf struct {
	acc      *accelerator
	resident *wire.Resident
}

type planner struct {
	in     Input
	fleet  *fleet.Fleet
	accs   []*accelerator
	copies map[string][]copyOf // by model, any version and phase
	loads  int
	plan   Plan
}

func newPlanner(in Input) *planner {
	p := &planner{in: in, fleet: in.State.Fleet, copies: map[string][]copyOf{}}
	index := map[string][]*accelerator{}
	for _, s := range p.fleet.SortedServers() {
		for n := range s.Kind.Accelerators {
			a := &accelerator{server: s, number: uint32(n), free: int64(s.Kind.Usable()), models: map[string]bool{}}
			a.busy = p.unusable(s)
			index[s.Name] = append(index[s.Name], a)
			p.accs = append(p.accs, a)
		}
	}
	p.countOrders(index)
	p.countResidents(index)
	return p
}

func (p *planner) unusable(s *fleet.Server) bool {
	seen := p.in.State.Servers[s.Name]
	return s.Leaving || seen.GetIncarnation() == "" || seen.GetLeaving() || p.in.Down[s.Name]
}

func (p *planner) countOrders(index map[string][]*accelerator) {
	for _, o := range p.in.State.Orders {
		if o.Action == wire.OrderAction_ORDER_LOAD {
			p.loads++
		}
		if list := index[o.Server]; int(o.Accelerator) < len(list) && !list[o.Accelerator].server.Kind.ChecksFences {
			list[o.Accelerator].busy = true
		}
	}
}

// countResidents books what is resident, and the room of the adapters that each
// copy still lacks.
func (p *planner) countResidents(index map[string][]*accelerator) {
	places := slices.SortedFunc(maps.Keys(p.in.State.Residents), func(a, b ledger.Place) int {
		return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Accelerator, b.Accelerator), cmp.Compare(a.Model, b.Model),
			cmp.Compare(a.Adapter, b.Adapter), cmp.Compare(a.Version, b.Version))
	})
	for _, place := range places {
		list := index[place.Server]
		if int(place.Accelerator) >= len(list) {
			continue
		}
		acc, r := list[place.Accelerator], p.in.State.Residents[place]
		acc.free -= int64(r.Memory)
		if place.Adapter == "" {
			acc.models[place.Model] = true
			p.copies[place.Model] = append(p.copies[place.Model], copyOf{acc, r})
			p.reserveAdapters(acc, place)
		}
	}
}

func (p *planner) reserveAdapters(acc *accelerator, place ledger.Place) {
	m := p.fleet.Models[place.Model]
	if m == nil || m.Version != place.Version {
		return
	}
	for _, a := range m.Adapters {
		if p.in.State.Residents[adapterPlace(acc, a)] == nil {
			acc.free -= int64(a.Memory)
		}
	}
}

func adapterPlace(acc *accelerator, a *fleet.Adapter) ledger.Place {
	return ledger.Place{Server: acc.server.Name, Accelerator: acc.number, Model: a.Model, Adapter: a.Name, Version: a.Version}
}

func (p *planner) order(acc *accelerator, action wire.OrderAction, item *wire.Item, memory uint64, why string) {
	p.plan.Decisions = append(p.plan.Decisions, Decision{&wire.Order{
		Action: action, Server: acc.server.Name, ServerIncarnation: p.in.State.Servers[acc.server.Name].GetIncarnation(),
		Accelerator: acc.number, Item: item, Memory: memory, Reason: why,
	}, why})
	if !acc.server.Kind.ChecksFences {
		acc.busy = true
	}
}

// unloads is rule 4.
func (p *planner) unloads() {
	for _, place := range slices.SortedFunc(maps.Keys(p.in.State.Residents), func(a, b ledger.Place) int {
		return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Accelerator, b.Accelerator), cmp.Compare(b.Adapter, a.Adapter), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
	}) {
		r := p.in.State.Residents[place]
		acc := p.acc(place)
		if r.Phase != wire.Phase_PHASE_READY || acc == nil || acc.busy {
			continue
		}
		if why := p.unwanted(place); why != "" {
			p.order(acc, wire.OrderAction_ORDER_UNLOAD, r.Item, r.Memory, why)
		}
	}
}

func (p *planner) acc(place ledger.Place) *accelerator {
	i := slices.IndexFunc(p.accs, func(a *accelerator) bool { return a.server.Name == place.Server && a.number == place.Accelerator })
	if i < 0 {
		return nil
	}
	return p.accs[i]
}

func (p *planner) unwanted(place ledger.Place) string {
	if place.Adapter != "" {
		a := p.fleet.Adapters[place.Adapter]
		switch {
		case a == nil || a.Model != place.Model:
			return "not in the fleet file any more"
		case a.Version != place.Version && p.in.State.ReadyElsewhere(place):
			return "version " + a.Version + " is ready"
		}
		return ""
	}
	m := p.fleet.Models[place.Model]
	switch {
	case m == nil:
		return "not in the fleet file any more"
	case m.Version != place.Version && p.in.State.ReadyElsewhere(place):
		return "version " + m.Version + " is ready"
	}
	return ""
}

// adapters is rule 3.
func (p *planner) adapters() {
	for _, m := range p.fleet.SortedModels() {
		for _, c := range p.copies[m.Name] {
			if c.resident.Phase == wire.Phase_PHASE_READY && c.resident.Item.Version == m.Version {
				p.adaptersOf(m, c.acc)
			}
		}
	}
}

func (p *planner) adaptersOf(m *fleet.Model, acc *accelerator) {
	for _, a := range m.Adapters {
		if acc.busy || p.in.State.Residents[adapterPlace(acc, a)] != nil || !p.mayLoad() {
			continue
		}
		p.loads++
		p.order(acc, wire.OrderAction_ORDER_LOAD, &wire.Item{Model: m.Name, Adapter: a.Name, Version: a.Version}, a.Memory, "beside its model "+m.Name)
	}
}

// mayLoad is rule 6.
func (p *planner) mayLoad() bool { return p.loads < p.fleet.LoadsAtOnce }

// need is one model that wants another copy (1).
type need struct {
	model *fleet.Model
	rank  int
	why   string
}

const (
	rankNoCopy = iota
	rankBelowLeast
	rankDemand
)

func (p *planner) models() {
	needs := p.needs()
	for _, n := range needs {
		p.place(n)
	}
}

func (p *planner) needs() []need {
	var list []need
	for _, m := range p.fleet.SortedModels() {
		have := p.serving(m)
		switch {
		case have == 0:
			list = append(list, need{m, rankNoCopy, "no copy"})
		case have < m.Copies:
			list = append(list, need{m, rankBelowLeast, fmt.Sprintf("%d of %d copies", have, m.Copies)})
		}
	}
	slices.SortStableFunc(list, func(a, b need) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(b.model.Priority, a.model.Priority), cmp.Compare(p.in.Demand[b.model.Name], p.in.Demand[a.model.Name]))
	})
	return list
}

// serving counts the ready and coming copies of the wanted version on servers
// that work.
func (p *planner) serving(m *fleet.Model) int {
	count := 0
	for _, c := range p.copies[m.Name] {
		if c.resident.Item.Version == m.Version && c.resident.Phase != wire.Phase_PHASE_UNLOADING && !p.unusable(c.acc.server) {
			count++
		}
	}
	return count
}

// place is rule 2.
func (p *planner) place(n need) {
	if !p.mayLoad() {
		return
	}
	halls := map[string]bool{}
	for _, c := range p.copies[n.model.Name] {
		halls[c.acc.server.Hall] = true
	}
	var best *accelerator
	for _, a := range p.accs {
		if a.busy || a.models[n.model.Name] || !n.model.MayRunIn(a.server.Hall) || a.free < int64(n.model.Footprint()) {
			continue
		}
		if best == nil || better(a, best, halls) {
			best = a
		}
	}
	if best == nil {
		p.noRoom(n)
		return
	}
	p.loads++
	best.free -= int64(n.model.Footprint())
	best.models[n.model.Name] = true
	p.order(best, wire.OrderAction_ORDER_LOAD, &wire.Item{Model: n.model.Name, Version: n.model.Version}, n.model.Memory, n.why)
}

func better(a, b *accelerator, halls map[string]bool) bool {
	if newA, newB := !halls[a.server.Hall], !halls[b.server.Hall]; newA != newB {
		return newA
	}
	return a.free > b.free
}

func (p *planner) noRoom(n need) {
	if n.rank == rankNoCopy {
		p.plan.Shortages = append(p.plan.Shortages, Shortage{n.model.Name, fmt.Sprintf("no accelerator has %d bytes free now", n.model.Footprint())})
	}
}
