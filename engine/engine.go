// Package engine speaks the model servers' protocol: orders, state, and the
// chat/completions interface, all over HTTP. A protocol met later changes this
// package alone.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"leverdrum/dialect"
)

// Error is the class of this package's errors.
var Error = errs.Class("engine")

// Paths and headers of the protocol.
const (
	StatePath       = "/state"
	OrderPath       = "/orders"
	ChatPath        = "/v1/chat/completions"
	HeaderAttemptID = "X-Attempt-Id" // sent with a request, repeated in its answer
	HeaderNotRun    = "X-Not-Run"    // "true" in an answer: the request was not run
	// HeaderVersion, in an answer, is the version of the weights that give it.
	HeaderVersion = "X-Model-Version"
	// HeaderLastEvent, in a request, asks a server that resumes streams to go on
	// behind the event of this id. Ids rise by one from 1.
	HeaderLastEvent = "Last-Event-Id"
	StreamDone      = "data: [DONE]" // the last event of a whole stream
)

// Actions of an order.
const (
	Load   = "load"
	Unload = "unload"
)

// Order tells a server to change what is resident. ID rises from order to order
// and is the fence: a server that checks fences refuses an order behind a newer
// one, and answers one that it has run already with the first answer.
type Order struct {
	ID          uint64 `json:"id"`
	Incarnation string `json:"incarnation"`
	Action      string `json:"action"`
	Accelerator uint32 `json:"accelerator"`
	Model       string `json:"model"`
	Adapter     string `json:"adapter,omitempty"`
	Version     string `json:"version"`
	Memory      uint64 `json:"memory"` // bytes
}

// Outcome is a server's word on an order.
type Outcome struct {
	Done   bool   `json:"done"`
	Detail string `json:"detail,omitempty"`
}

// Resident is an item that a server holds.
type Resident struct {
	Accelerator uint32 `json:"accelerator"`
	Model       string `json:"model"`
	Adapter     string `json:"adapter,omitempty"`
	Version     string `json:"version"`
	Memory      uint64 `json:"memory"` // bytes
	Loading     bool   `json:"loading,omitempty"`
}

// State is what a server says of itself. It may lag.
type State struct {
	Incarnation string     `json:"incarnation"`
	Draining    bool       `json:"leaving"`
	Fence       uint64     `json:"fence"`
	Running     int        `json:"running"`
	Waiting     int        `json:"waiting"`
	Residents   []Resident `json:"residents"`
}

// Server is one model server.
type Server interface {
	// State reads the server's word on itself.
	State(ctx context.Context) (*State, error)
	// Order sends an order once and waits for its end. An error means that it is
	// not known whether the order ran or still may.
	Order(ctx context.Context, o *Order) (Outcome, error)
}

// Client reaches servers over HTTP.
type Client struct {
	reads  *http.Client
	orders *http.Client
}

const (
	maxStateBytes = 4 << 20
	dialTimeout   = time.Second
)

// NewClient returns a client whose orders are written only while allowed says
// so; it is asked last thing before each write to a connection. It keeps to what servers say of themselves; said may be nil.
func NewClient(allowed func() bool, said Pushback) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{
		reads:  WithPushback(&http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1}}, said, &dialect.Native),
		orders: WithPushback(NewGuardedClient(allowed), said, &dialect.Native),
	}
}

// At returns the server of a name at an address.
func (c *Client) At(name, address string) Server { return &remote{c, name, "http://" + address} }

type remote struct {
	client *Client
	name   string
	base   string
}

// State reads GET /state.
func (r *remote) State(ctx context.Context) (*State, error) {
	req, err := http.NewRequestWithContext(WithServer(ctx, r.name), http.MethodGet, r.base+StatePath, nil)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	s := &State{}
	if _, err := exchange(r.client.reads, req, s); err != nil {
		return nil, err
	}
	if s.Incarnation == "" {
		return nil, Error.New("the server's state names no incarnation")
	}
	return s, nil
}

// Order posts to /orders on a connection of its own, which is never used again.
func (r *remote) Order(ctx context.Context, o *Order) (Outcome, error) {
	body, err := json.Marshal(o)
	if err != nil {
		return Outcome{}, Error.Wrap(err)
	}
	// The body is hidden from the transport, which else might send it again.
	req, err := http.NewRequestWithContext(WithServer(ctx, r.name), http.MethodPost, r.base+OrderPath, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return Outcome{}, Error.Wrap(err)
	}
	req.ContentLength = int64(len(body))
	var out Outcome
	status, err := exchange(r.client.orders, req, &out)
	if err != nil {
		return Outcome{}, err
	}
	if status != http.StatusOK && status != http.StatusConflict {
		return Outcome{}, Error.New("the server answered an order with status %d", status)
	}
	return out, nil
}

func exchange(c *http.Client, req *http.Request, into any) (int, error) {
	resp, err := c.Do(req)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxStateBytes))
	if err != nil {
		return 0, Error.Wrap(err)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return 0, Error.New("status %d with an answer that cannot be read: %v", resp.StatusCode, err)
	}
	return resp.StatusCode, nil
}
