package engine

import (
	"context"
	"net/http"
)

// CountedOrder is an order to a server that counts orders. The server accepts it
// only while its count equals Count.
type CountedOrder struct {
	Count       uint64
	Holder      string // the box that issues the order
	Fence       uint64
	Incarnation string
	Action      string
	Model       string
	Adapter     string // without the model name; "" for the model itself
}

// Verdict is a server's response to a counted order.
type Verdict string

// Verdicts on a counted order.
const (
	// Accepted: the order was accepted and is in progress.
	Accepted Verdict = "taken"
	// Satisfied: the requested state already holds.
	Satisfied Verdict = "holds"
	// Conflict: another order is in progress, or the count differs.
	Conflict Verdict = "conflict"
	// WrongIncarnation: another incarnation uses the address.
	WrongIncarnation Verdict = "elsewhere"
	// Refused: the server rejects the order or its fence.
	Refused Verdict = "refused"
)

// Report is the state that a server that counts orders reports. It can be stale.
type Report struct {
	// Count is the number of orders accepted so far.
	Count uint64
	// Busy is set while an order is in progress.
	Busy bool
	// ReadyItems holds the models and adapters that are ready, by model and adapter name
	// (the latter without the model name; "" for the model itself).
	ReadyItems map[[2]string]bool
	Queued     int
	Running    int
}

// CountedOrderClient communicates with servers that count orders.
type CountedOrderClient interface {
	// Report reads a server's reported state.
	Report(ctx context.Context, address, incarnation string) (*Report, error)
	// SendOrder sends an order once. After an error the order may have been accepted, or may
	// still be.
	SendOrder(ctx context.Context, address string, o *CountedOrder) (Verdict, error)
}

// NewHTTPClient returns a client that follows no redirects: the response of another server says nothing about the one that was
// called.
func NewHTTPClient(t http.RoundTripper) *http.Client {
	return &http.Client{Transport: t, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
}

// NewGuardedClient returns a client that sends bytes only while allowed returns true. It
// checks right before each write. Connections are not reused.
func NewGuardedClient(allowed func() bool) *http.Client {
	return NewHTTPClient(newGuardedTransport(allowed))
}
