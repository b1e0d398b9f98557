package engine

import (
	"context"
	"net/http"
)

// CountedOrder is an order to a server that counts orders: it is taken only
// while the server's count is Count.
type CountedOrder struct {
	Count       uint64
	Holder      string // the box that gives it
	Fence       uint64
	Incarnation string
	Action      string
	Model       string
	Adapter     string // without its model; "" for the model itself
}

// Verdict is a server's answer to a counted order.
type Verdict string

// The verdicts.
const (
	// Accepted: the order is under way.
	Accepted Verdict = "taken"
	// Satisfied: things are already as the order wants them.
	Satisfied Verdict = "holds"
	// Conflict: another order is under way, or the count is another.
	Conflict Verdict = "conflict"
	// WrongIncarnation: another incarnation has the address.
	WrongIncarnation Verdict = "elsewhere"
	// Refused: the order or its fence is not accepted.
	Refused Verdict = "refused"
)

// Report is what a server that counts orders says of itself. It lags.
type Report struct {
	// Count is how many orders it has taken.
	Count uint64
	// Busy tells that an order is under way.
	Busy bool
	// ReadyItems are the models and adapters that are ready, by model and adapter
	// name (without its model; "" for the model itself).
	ReadyItems map[[2]string]bool
	Queued     int
	Running    int
}

// CountedOrderClient speaks to servers that count orders.
type CountedOrderClient interface {
	// Report reads a server's word on itself.
	Report(ctx context.Context, address, incarnation string) (*Report, error)
	// SendOrder sends an order once. An error means that it may have been taken, or may
	// be later.
	SendOrder(ctx context.Context, address string, o *CountedOrder) (Verdict, error)
}

// NewGuardedClient returns a client whose bytes leave only while allowed says so; it is
// asked last thing before each write. Connections are not kept.
func NewGuardedClient(allowed func() bool) *http.Client {
	return &http.Client{Transport: newGuardedTransport(allowed)}
}
