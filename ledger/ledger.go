// Package ledger counts the memory of each accelerator and says which orders
// it leaves room for.
//
// Rules:
//
//  1. Counted is what is resident, being loaded, ordered and unanswered, or
//     ordered away and not confirmed gone. Two versions of one model count both.
//  2. An order is checked when it is agreed, in the order of the log, so that
//     no two boxes can spend the same room.
//  3. An item has one open order at a time. A server that does not check fences
//     has one open order an accelerator.
//  4. The last ready copy of an item that is wanted is not ordered away, nor is
//     a model from beside the last ready copy of an adapter. A model that the server
//     keeps at hand, in its memory or on its disk, is exempt: it can be had again
//     there within a second, and on scarce hardware its room serves others until then.
//  5. An order names the incarnation of the server that it was decided for.
//     On-demand adapters are exempt: they can be had again in no time.
//  6. A server that does not check fences gets no order after a restart until
//     none from before can arrive any more.
//  7. An accelerator holds no more adapters than it has slots, those that are
//     coming or going included.
//  8. A server in a data hall that is evacuated gets no load, and its copies do not count as ready elsewhere.
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

// Error is the class of this package's errors: an order that must not be issued.
var Error = errs.Class("ledger")

// Location is where an item stands.
type Location struct {
	Server      string
	Accelerator uint32
	Model       string
	Adapter     string
	Version     string
}

// OrderLocation returns the place that an order is about.
func OrderLocation(o *wire.Order) Location {
	return Location{o.Server, o.Accelerator, o.Item.GetModel(), o.Item.GetAdapter(), o.Item.GetVersion()}
}

// ResidentLocation returns the place of a resident item.
func ResidentLocation(r *wire.Resident) Location {
	return Location{r.Server, r.Accelerator, r.Item.GetModel(), r.Item.GetAdapter(), r.Item.GetVersion()}
}

// Inventory is what an order is checked against.
type Inventory struct {
	// Fleet is the file in force.
	Fleet *fleet.Fleet
	// PoolServers are the model servers that announced themselves for a pool of the file, by name.
	PoolServers *cow.Map[string, *fleet.Server]
	Servers     *cow.Map[string, *wire.ServerState]
	Residents   *Residents
	Orders      *Orders
	// Evacuations are the data halls whose servers get nothing, by name.
	Evacuations map[string]*wire.Evacuation
}

// NewInventory returns an empty one.
func NewInventory() Inventory {
	return Inventory{
		PoolServers: cow.New[string, *fleet.Server](), Servers: cow.New[string, *wire.ServerState](), Residents: NewResidents(), Orders: NewOrders(),
		Evacuations: map[string]*wire.Evacuation{},
	}
}

// Clone returns a copy that does not change with the original.
func (b *Inventory) Clone() Inventory {
	c := *b
	c.PoolServers, c.Servers = b.PoolServers.Clone(), b.Servers.Clone()
	c.Residents, c.Orders = b.Residents.Clone(), b.Orders.Clone()
	c.Evacuations = maps.Clone(b.Evacuations)
	return c
}

// UsedBytes returns the bytes counted on an accelerator (1).
func (b *Inventory) UsedBytes(server string, accelerator uint32) uint64 {
	sum := uint64(0)
	for p, r := range b.Residents.ByServer(server) {
		if p.Accelerator == accelerator {
			sum += r.Memory
		}
	}
	return sum
}

// Check says why an order must not be issued, nil when it may be (2).
func (b *Inventory) Check(o *wire.Order) error {
	s := b.Server(o.Server)
	if s == nil {
		return Error.New("server %s is not in the fleet", o.Server)
	}
	if seen := b.Servers.Get(o.Server); seen.GetIncarnation() == "" || seen.Incarnation != o.ServerIncarnation { // (5)
		return Error.New("server %s is not known under incarnation %q", o.Server, o.ServerIncarnation)
	}
	if b.Servers.Get(o.Server).Quarantined { // (6)
		return Error.New("server %s may still run an order from before its restart", o.Server)
	}
	if int(o.Accelerator) >= s.Kind.Accelerators {
		return Error.New("server %s has no accelerator %d", o.Server, o.Accelerator)
	}
	if err := b.checkOpen(s, o); err != nil {
		return err
	}
	if o.Action == wire.OrderAction_ORDER_LOAD {
		return b.checkLoad(s, o)
	}
	return b.checkUnload(o)
}

// Server returns a model server that the fleet file names or that announced itself, nil where there is none.
func (b *Inventory) Server(name string) *fleet.Server {
	if b.Fleet == nil {
		return nil
	}
	if s := b.Fleet.Servers[name]; s != nil {
		return s
	}
	return b.PoolServers.Get(name)
}

// AllServers returns the model servers by name.
func (b *Inventory) AllServers() []*fleet.Server {
	if b.Fleet == nil {
		return nil
	}
	named := b.Fleet.SortedServers()
	list := make([]*fleet.Server, 0, len(named)+b.PoolServers.Len())
	for name, s := range b.PoolServers.All() {
		for len(named) > 0 && named[0].Name <= name {
			list, named = append(list, named[0]), named[1:]
		}
		if len(list) == 0 || list[len(list)-1].Name != name { // the file's word goes before the server's own
			list = append(list, s)
		}
	}
	return append(list, named...)
}

// checkOpen is rule 3.
func (b *Inventory) checkOpen(s *fleet.Server, o *wire.Order) error {
	place := OrderLocation(o)
	for open := range b.Orders.ByServer(o.Server) {
		if open.Accelerator != o.Accelerator {
			continue
		}
		if OrderLocation(open) == place || !s.Kind.ChecksFences {
			return Error.New("order %d is open on accelerator %d of server %s", open.Id, open.Accelerator, open.Server)
		}
	}
	return nil
}

// Evacuated reports whether the servers of a data hall get nothing.
func (b *Inventory) Evacuated(hall string) bool { return b.Evacuations[hall] != nil }

func (b *Inventory) checkLoad(s *fleet.Server, o *wire.Order) error {
	if s.Leaving || b.Servers.Get(o.Server).Leaving {
		return Error.New("server %s is leaving", o.Server)
	}
	if b.Evacuated(s.Hall) { // (8)
		return Error.New("data hall %s of server %s is evacuated", s.Hall, o.Server)
	}
	if b.Residents.Get(OrderLocation(o)) != nil {
		return Error.New("%s is resident there already", Describe(o.Item))
	}
	if o.Memory == 0 {
		return Error.New("%s has no size", Describe(o.Item))
	}
	used := b.UsedBytes(o.Server, o.Accelerator)
	if usable := s.Kind.Usable(); used > usable || o.Memory > usable-used {
		return Error.New("accelerator %d of server %s has %d of %d bytes counted, %s takes %d", o.Accelerator, o.Server, used, usable, Describe(o.Item), o.Memory)
	}
	if err := b.checkSlots(s, o); err != nil {
		return err
	}
	return b.checkBase(o)
}

// checkSlots is rule 7.
func (b *Inventory) checkSlots(s *fleet.Server, o *wire.Order) error {
	if o.Item.Adapter == "" || s.Kind.AdapterSlots == 0 {
		return nil
	}
	if used := b.AdapterCount(o.Server, o.Accelerator); used >= s.Kind.AdapterSlots {
		return Error.New("accelerator %d of server %s has %d of %d adapter slots taken", o.Accelerator, o.Server, used, s.Kind.AdapterSlots)
	}
	return nil
}

// AdapterCount counts the adapters on an accelerator, in whatever phase (7).
func (b *Inventory) AdapterCount(server string, accelerator uint32) (n int) {
	for p := range b.Residents.ByServer(server) {
		if p.Accelerator == accelerator && p.Adapter != "" {
			n++
		}
	}
	return n
}

// checkBase wants an adapter's model ready on the same accelerator.
func (b *Inventory) checkBase(o *wire.Order) error {
	if o.Item.Adapter == "" {
		return nil
	}
	for p, r := range b.Residents.ByServer(o.Server) {
		if p.Accelerator == o.Accelerator && p.Model == o.Item.Model && p.Adapter == "" && r.Phase == wire.Phase_PHASE_READY {
			return nil
		}
	}
	return Error.New("model %s is not ready beside %s", o.Item.Model, Describe(o.Item))
}

func (b *Inventory) checkUnload(o *wire.Order) error {
	r := b.Residents.Get(OrderLocation(o))
	if r == nil {
		return Error.New("%s is not resident there", Describe(o.Item))
	}
	if r.Phase != wire.Phase_PHASE_READY {
		return Error.New("%s is not ready there", Describe(o.Item))
	}
	if a := b.Fleet.Adapters[o.Item.Adapter]; a != nil && a.OnDemand { // (4)
		return nil
	}
	if b.Wanted(o.Item) && !b.ReadyElsewhere(OrderLocation(o)) && !b.IsCached(o.Server, o.Item.GetModel()) { // (4)
		return Error.New("%s has no other ready copy", Describe(o.Item))
	}
	if adapter := b.OrphanedAdapter(OrderLocation(o)); adapter != "" { // (4)
		return Error.New("adapter %s beside it has no other ready copy", adapter)
	}
	return nil
}

// IsCached reports whether a server can load a model from its own memory or disk.
func (b *Inventory) IsCached(server, model string) bool {
	return slices.Contains(b.Servers.Get(server).GetAtHand(), model)
}

// OrphanedAdapter returns an adapter that no ready copy would serve any more if the
// model at the place were gone, "" when there is none.
func (b *Inventory) OrphanedAdapter(place Location) string {
	m := b.Fleet.Models[place.Model]
	if place.Adapter != "" || m == nil {
		return ""
	}
	for _, a := range m.Adapters {
		beside := Location{place.Server, place.Accelerator, place.Model, a.Name, a.Version}
		if b.Residents.Get(beside).GetPhase() == wire.Phase_PHASE_READY && !b.ReadyElsewhere(beside) {
			return a.Name
		}
	}
	return ""
}

// Wanted reports whether the fleet file names the item's model or adapter, in
// whatever version.
func (b *Inventory) Wanted(item *wire.Item) bool {
	if item.Adapter != "" {
		return b.Fleet.Adapters[item.Adapter] != nil
	}
	return b.Fleet.Models[item.Model] != nil
}

// ReadyElsewhere reports whether another copy of the item is ready on a server
// that takes work. A copy of an old version is replaced by one of the wanted
// version only.
func (b *Inventory) ReadyElsewhere(place Location) bool {
	for p, r := range b.Residents.ByItem(place.Model, place.Adapter) {
		if p == place || r.Phase != wire.Phase_PHASE_READY {
			continue
		}
		if p.Version != b.version(place) {
			continue
		}
		if s := b.Server(p.Server); s != nil && !s.Leaving && !b.Servers.Get(p.Server).GetLeaving() && !b.Evacuated(s.Hall) {
			return true
		}
	}
	return false
}

// version returns the version that the fleet file wants of a place's item.
func (b *Inventory) version(p Location) string {
	if p.Adapter != "" {
		if a := b.Fleet.Adapters[p.Adapter]; a != nil {
			return a.Version
		}
		return ""
	}
	if m := b.Fleet.Models[p.Model]; m != nil {
		return m.Version
	}
	return ""
}

// Describe names an item in a message.
func Describe(i *wire.Item) string {
	if i.GetAdapter() != "" {
		return fmt.Sprintf("adapter %s@%s", i.Adapter, i.Version)
	}
	return fmt.Sprintf("model %s@%s", i.GetModel(), i.GetVersion())
}
