package ledger

import (
	"cmp"
	"iter"
	"strings"

	"leverdrum/internal/cow"
	"leverdrum/wire"
)

// Orders are the open orders, indexed by id and by server.
type Orders struct {
	byID     *cow.Map[uint64, *wire.Order]
	byServer *cow.Map[serverOrder, *wire.Order]
}

// serverOrder identifies an order of a server.
type serverOrder struct {
	server string
	id     uint64
}

// NewOrders returns an empty set of orders.
func NewOrders() *Orders {
	byServer := func(a, b serverOrder) int {
		return cmp.Or(strings.Compare(a.server, b.server), cmp.Compare(a.id, b.id))
	}
	return &Orders{cow.New[uint64, *wire.Order](), cow.NewFunc[serverOrder, *wire.Order](byServer)}
}

// Get returns an open order, or nil.
func (o *Orders) Get(id uint64) *wire.Order { return o.byID.Get(id) }

// Set opens an order.
func (o *Orders) Set(id uint64, order *wire.Order) {
	o.Delete(id)
	o.byID.Set(id, order)
	o.byServer.Set(serverOrder{order.Server, id}, order)
}

// Delete closes an order.
func (o *Orders) Delete(id uint64) {
	if old := o.byID.Get(id); old != nil {
		o.byID.Delete(id)
		o.byServer.Delete(serverOrder{old.Server, id})
	}
}

// Len returns the number of open orders.
func (o *Orders) Len() int { return o.byID.Len() }

// All iterates over the open orders in the order of ids.
func (o *Orders) All() iter.Seq2[uint64, *wire.Order] { return o.byID.All() }

// ByServer iterates over the open orders to a server.
func (o *Orders) ByServer(server string) iter.Seq[*wire.Order] {
	return func(yield func(*wire.Order) bool) {
		for key, order := range o.byServer.From(serverOrder{server: server}) {
			if key.server != server || !yield(order) {
				return
			}
		}
	}
}

// HasOpen reports whether an order to a server is open.
func (o *Orders) HasOpen(server string) bool {
	for range o.ByServer(server) {
		return true
	}
	return false
}

// Clear closes all orders to a server.
func (o *Orders) Clear(server string) {
	var ids []uint64
	for order := range o.ByServer(server) {
		ids = append(ids, order.Id)
	}
	for _, id := range ids {
		o.Delete(id)
	}
}

// Clone returns a copy that does not change with the original.
func (o *Orders) Clone() *Orders { return &Orders{o.byID.Clone(), o.byServer.Clone()} }
