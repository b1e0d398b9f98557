// Package ledger accounts for the memory of each accelerator and decides which orders fit.
//
// Rules:
//
//  1. Counted are items that are resident, loading, covered by an unanswered load order, or ordered to unload and not
//     yet confirmed as removed. Two versions of one model count both.
//  2. An order is checked when it is committed, in the order of the log, so that no two boxes can allocate the same
//     memory.
//  3. An item has at most one open order. A server that does not check fences has at most one open order per
//     accelerator.
//  4. The last ready copy of a wanted item is not ordered to unload, nor is a model on whose accelerator the last ready
//     copy of an adapter depends. A model that the server has cached, in its memory or on its disk, is exempt: the
//     server can load it again within a second, and on scarce hardware its memory serves other models until then.
//     On-demand adapters are exempt: they can be loaded again in negligible time.
//  5. An order names the incarnation of the server for which it was decided.
//  6. A server that does not check fences gets no order after a restart until no order from before the restart can
//     arrive any more.
//  7. An accelerator holds no more adapters than it has adapter slots. Adapters that are loading or unloading count.
//  8. A server in an evacuated data hall gets no load orders, and its copies do not count as ready elsewhere.
package ledger

import (
	"fmt"
	"maps"
	"slices"

	"github.com/zeebo/errs"

	"leverdrum/fleet"
	"leverdrum/internal/cow"
	"leverdrum/wire"
)

// Error is the class of this package's errors: the reasons why an order must not be issued.
var Error = errs.Class("ledger")

// Location identifies where an item is resident: a server, an accelerator and the item.
type Location struct {
	Server      string
	Accelerator uint32
	Model       string
	Adapter     string
	Version     string
}

// OrderLocation returns the location that an order concerns.
func OrderLocation(o *wire.Order) Location {
	return Location{o.Server, o.Accelerator, o.Item.GetModel(), o.Item.GetAdapter(), o.Item.GetVersion()}
}

// ResidentLocation returns the location of a resident item.
func ResidentLocation(r *wire.Resident) Location {
	return Location{r.Server, r.Accelerator, r.Item.GetModel(), r.Item.GetAdapter(), r.Item.GetVersion()}
}

// Inventory is the state against which an order is checked.
type Inventory struct {
	// Fleet is the active fleet file.
	Fleet *fleet.Fleet
	// PoolServers are the model servers that announced themselves for a pool of the fleet file, by name.
	PoolServers *cow.Map[string, *fleet.Server]
	Servers     *cow.Map[string, *wire.ServerState]
	Residents   *Residents
	Orders      *Orders
	// Evacuations are the data halls whose servers get no work, by name.
	Evacuations map[string]*wire.Evacuation
}

// NewInventory returns an empty inventory.
func NewInventory() Inventory {
	return Inventory{
		PoolServers: cow.New[string, *fleet.Server](), Servers: cow.New[string, *wire.ServerState](), Residents: NewResidents(), Orders: NewOrders(),
		Evacuations: map[string]*wire.Evacuation{},
	}
}

// Clone returns a copy that does not change with the original.
func (inv *Inventory) Clone() Inventory {
	c := *inv
	c.PoolServers, c.Servers = inv.PoolServers.Clone(), inv.Servers.Clone()
	c.Residents, c.Orders = inv.Residents.Clone(), inv.Orders.Clone()
	c.Evacuations = maps.Clone(inv.Evacuations)
	return c
}

// UsedBytes returns the bytes counted on an accelerator (1).
func (inv *Inventory) UsedBytes(server string, accelerator uint32) uint64 {
	sum := uint64(0)
	for p, r := range inv.Residents.ByServer(server) {
		if p.Accelerator == accelerator {
			sum += r.Memory
		}
	}
	return sum
}

// Check returns the reason why an order must not be issued, or nil (2).
func (inv *Inventory) Check(o *wire.Order) error {
	s := inv.Server(o.Server)
	if s == nil {
		return Error.New("server %s is not in the fleet", o.Server)
	}
	if seen := inv.Servers.Get(o.Server); seen.GetIncarnation() == "" || seen.Incarnation != o.ServerIncarnation { // (5)
		return Error.New("server %s is not known under incarnation %q", o.Server, o.ServerIncarnation)
	}
	if inv.Servers.Get(o.Server).Quarantined { // (6)
		return Error.New("server %s may still run an order from before its restart", o.Server)
	}
	if int(o.Accelerator) >= s.Kind.Accelerators {
		return Error.New("server %s has no accelerator %d", o.Server, o.Accelerator)
	}
	if err := inv.checkOpen(s, o); err != nil {
		return err
	}
	if o.Action == wire.OrderAction_ORDER_LOAD {
		return inv.checkLoad(s, o)
	}
	return inv.checkUnload(o)
}

// Server returns a model server that the fleet file names or that announced itself, or nil.
func (inv *Inventory) Server(name string) *fleet.Server {
	if inv.Fleet == nil {
		return nil
	}
	if s := inv.Fleet.Servers[name]; s != nil {
		return s
	}
	return inv.PoolServers.Get(name)
}

// AllServers returns the model servers in the order of names.
func (inv *Inventory) AllServers() []*fleet.Server {
	if inv.Fleet == nil {
		return nil
	}
	named := inv.Fleet.SortedServers()
	list := make([]*fleet.Server, 0, len(named)+inv.PoolServers.Len())
	for name, s := range inv.PoolServers.All() {
		for len(named) > 0 && named[0].Name <= name {
			list, named = append(list, named[0]), named[1:]
		}
		if len(list) == 0 || list[len(list)-1].Name != name { // the fleet file takes precedence over an announcement
			list = append(list, s)
		}
	}
	return append(list, named...)
}

// checkOpen rejects an order if another order is open for the item, or, where the server does not
// check fences, for the accelerator (3).
func (inv *Inventory) checkOpen(s *fleet.Server, o *wire.Order) error {
	loc := OrderLocation(o)
	for open := range inv.Orders.ByServer(o.Server) {
		if open.Accelerator != o.Accelerator {
			continue
		}
		if OrderLocation(open) == loc || !s.Kind.ChecksFences {
			return Error.New("order %d is open on accelerator %d of server %s", open.Id, open.Accelerator, open.Server)
		}
	}
	return nil
}

// Evacuated reports whether a data hall is evacuated.
func (inv *Inventory) Evacuated(hall string) bool { return inv.Evacuations[hall] != nil }

func (inv *Inventory) checkLoad(s *fleet.Server, o *wire.Order) error {
	if s.Draining || inv.Servers.Get(o.Server).Leaving {
		return Error.New("server %s is draining", o.Server)
	}
	if inv.Evacuated(s.Hall) { // (8)
		return Error.New("data hall %s of server %s is evacuated", s.Hall, o.Server)
	}
	if inv.Residents.Get(OrderLocation(o)) != nil {
		return Error.New("%s is already resident on the accelerator", Describe(o.Item))
	}
	if o.Memory == 0 {
		return Error.New("%s has no memory size", Describe(o.Item))
	}
	used := inv.UsedBytes(o.Server, o.Accelerator)
	if usable := s.Kind.UsableMemory(); used > usable || o.Memory > usable-used {
		return Error.New("accelerator %d of server %s uses %d of %d bytes, %s needs %d", o.Accelerator, o.Server, used, usable, Describe(o.Item), o.Memory)
	}
	if err := inv.checkSlots(s, o); err != nil {
		return err
	}
	return inv.checkBase(o)
}

// checkSlots rejects the load of an adapter if all adapter slots of the accelerator are taken (7).
func (inv *Inventory) checkSlots(s *fleet.Server, o *wire.Order) error {
	if o.Item.Adapter == "" || s.Kind.AdapterSlots == 0 {
		return nil
	}
	if used := inv.AdapterCount(o.Server, o.Accelerator); used >= s.Kind.AdapterSlots {
		return Error.New("accelerator %d of server %s uses %d of %d adapter slots", o.Accelerator, o.Server, used, s.Kind.AdapterSlots)
	}
	return nil
}

// AdapterCount returns the number of adapters on an accelerator, in any phase (7).
func (inv *Inventory) AdapterCount(server string, accelerator uint32) (n int) {
	for p := range inv.Residents.ByServer(server) {
		if p.Accelerator == accelerator && p.Adapter != "" {
			n++
		}
	}
	return n
}

// checkBase requires that the base model of an adapter is ready on the same accelerator.
func (inv *Inventory) checkBase(o *wire.Order) error {
	if o.Item.Adapter == "" {
		return nil
	}
	for p, r := range inv.Residents.ByServer(o.Server) {
		if p.Accelerator == o.Accelerator && p.Model == o.Item.Model && p.Adapter == "" && r.Phase == wire.Phase_PHASE_READY {
			return nil
		}
	}
	return Error.New("base model %s is not ready on the accelerator for %s", o.Item.Model, Describe(o.Item))
}

func (inv *Inventory) checkUnload(o *wire.Order) error {
	r := inv.Residents.Get(OrderLocation(o))
	if r == nil {
		return Error.New("%s is not resident on the accelerator", Describe(o.Item))
	}
	if r.Phase != wire.Phase_PHASE_READY {
		return Error.New("%s is not ready on the accelerator", Describe(o.Item))
	}
	if a := inv.Fleet.Adapters[o.Item.Adapter]; a != nil && a.OnDemand { // (4)
		return nil
	}
	if inv.Wanted(o.Item) && !inv.ReadyElsewhere(OrderLocation(o)) && !inv.IsCached(o.Server, o.Item.GetModel()) { // (4)
		return Error.New("%s has no other ready copy", Describe(o.Item))
	}
	if adapter := inv.OrphanedAdapter(OrderLocation(o)); adapter != "" { // (4)
		return Error.New("adapter %s on the same accelerator has no other ready copy", adapter)
	}
	return nil
}

// IsCached reports whether a server can load a model from its own memory or disk.
func (inv *Inventory) IsCached(server, model string) bool {
	return slices.Contains(inv.Servers.Get(server).GetAtHand(), model)
}

// OrphanedAdapter returns an adapter that would have no ready copy if the model at the location were unloaded, or "".
func (inv *Inventory) OrphanedAdapter(loc Location) string {
	m := inv.Fleet.Models[loc.Model]
	if loc.Adapter != "" || m == nil {
		return ""
	}
	for _, a := range m.Adapters {
		adapterLoc := Location{loc.Server, loc.Accelerator, loc.Model, a.Name, a.Version}
		if inv.Residents.Get(adapterLoc).GetPhase() == wire.Phase_PHASE_READY && !inv.ReadyElsewhere(adapterLoc) {
			return a.Name
		}
	}
	return ""
}

// Wanted reports whether the fleet file names the item's model or adapter, in any version.
func (inv *Inventory) Wanted(item *wire.Item) bool {
	if item.Adapter != "" {
		return inv.Fleet.Adapters[item.Adapter] != nil
	}
	return inv.Fleet.Models[item.Model] != nil
}

// ReadyElsewhere reports whether another copy of the item is ready on a server that accepts work. Only a copy of the
// version in the fleet file counts, also for a location that holds an old version.
func (inv *Inventory) ReadyElsewhere(loc Location) bool {
	for p, r := range inv.Residents.ByItem(loc.Model, loc.Adapter) {
		if p == loc || r.Phase != wire.Phase_PHASE_READY {
			continue
		}
		if p.Version != inv.wantedVersion(loc) {
			continue
		}
		if s := inv.Server(p.Server); s != nil && !s.Draining && !inv.Servers.Get(p.Server).GetLeaving() && !inv.Evacuated(s.Hall) {
			return true
		}
	}
	return false
}

// wantedVersion returns the version of the location's item in the fleet file.
func (inv *Inventory) wantedVersion(p Location) string {
	if p.Adapter != "" {
		if a := inv.Fleet.Adapters[p.Adapter]; a != nil {
			return a.Version
		}
		return ""
	}
	if m := inv.Fleet.Models[p.Model]; m != nil {
		return m.Version
	}
	return ""
}

// Describe returns the name of an item for messages.
func Describe(i *wire.Item) string {
	if i.GetAdapter() != "" {
		return fmt.Sprintf("adapter %s@%s", i.Adapter, i.Version)
	}
	return fmt.Sprintf("model %s@%s", i.GetModel(), i.GetVersion())
}
