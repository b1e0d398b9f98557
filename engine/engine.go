// Package engine implements the model servers' protocol over HTTP: orders, state and
// the chat/completions API. Support for another protocol needs changes to this
// package only.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/zeebo/errs"

	"leverdrum/dialect"
	"leverdrum/internal/membudget"
	"leverdrum/internal/responsehead"
)

// Error is the class of this package's errors.
var Error = errs.Class("engine")

// Paths and headers of the protocol.
const (
	StatePath       = "/state"
	OrderPath       = "/orders"
	ChatPath        = "/v1/chat/completions"
	HeaderAttemptID = "X-Attempt-Id" // sent with a request or a read of the state, and repeated in the response
	HeaderNotRun    = "X-Not-Run"    // "true" in a response: the request was not run
	// HeaderVersion, in a response, is the version of the model weights that produced it.
	HeaderVersion = "X-Model-Version"
	// HeaderLastEvent, in a request, asks a server that resumes streams to continue
	// after the event with this ID. IDs start at 1 and increase by one.
	HeaderLastEvent = "Last-Event-Id"
	StreamDone      = "data: [DONE]" // the last event of a complete stream
)

// Actions of an order.
const (
	Load   = "load"
	Unload = "unload"
)

// Order tells a server to load or unload an item. ID increases from order to order
// and serves as the fence: a server that checks fences rejects an order older than
// one it has seen, and repeats its first response to an order that it has already run.
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

// Outcome is the result of an order as reported by the server.
type Outcome struct {
	Done   bool   `json:"done"`
	Detail string `json:"detail,omitempty"`
}

// Resident is a model or adapter that a server has loaded or is loading.
type Resident struct {
	Accelerator uint32 `json:"accelerator"`
	Model       string `json:"model"`
	Adapter     string `json:"adapter,omitempty"`
	Version     string `json:"version"`
	Memory      uint64 `json:"memory"` // bytes
	Loading     bool   `json:"loading,omitempty"`
}

// State is the state that a server reports. It can be stale.
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
	// State reads the server's reported state.
	State(ctx context.Context) (*State, error)
	// Order sends an order once and waits for its completion. After an error it is
	// unknown whether the order ran or may still run.
	Order(ctx context.Context, o *Order) (Outcome, error)
}

// Client communicates with servers over HTTP.
type Client struct {
	reads  *http.Client
	orders *http.Client
	// Memory bounds the bytes of states and outcomes that are being read; nil means no limit.
	Memory *membudget.Budget
}

const (
	maxStateBytes = 4 << 20
	dialTimeout   = time.Second
)

// NewClient returns a client that writes orders only while allowed returns true. It checks right before each write to a
// connection. The client honors the servers' pushback, which may be nil.
func NewClient(allowed func() bool, pushback Pushback) *Client {
	reads := &http.Client{Transport: responsehead.NewTransport(&http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, MaxIdleConnsPerHost: 1})}
	return &Client{
		reads:  WithPushback(reads, pushback, &dialect.Native),
		orders: WithPushback(NewGuardedClient(allowed), pushback, &dialect.Native),
	}
}

// At returns the named server at an address.
func (c *Client) At(name, address string) Server { return &remoteServer{c, name, "http://" + address} }

type remoteServer struct {
	client *Client
	name   string
	base   string
}

// State reads GET /state.
func (r *remoteServer) State(ctx context.Context) (*State, error) {
	req, err := http.NewRequestWithContext(WithServer(ctx, r.name), http.MethodGet, r.base+StatePath, nil)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	req.Header.Set(HeaderAttemptID, strconv.FormatUint(rand.Uint64(), 36))
	s := &State{}
	if _, err := r.client.exchange(r.client.reads, req, s); err != nil {
		return nil, err
	}
	if s.Incarnation == "" {
		return nil, Error.New("the server's state has no incarnation")
	}
	return s, nil
}

// Order sends POST /orders on a separate connection that is not reused.
func (r *remoteServer) Order(ctx context.Context, o *Order) (Outcome, error) {
	body, err := json.Marshal(o)
	if err != nil {
		return Outcome{}, Error.Wrap(err)
	}
	// Wrapping the reader hides the body from the transport, which might otherwise send it again.
	req, err := http.NewRequestWithContext(WithServer(ctx, r.name), http.MethodPost, r.base+OrderPath, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return Outcome{}, Error.Wrap(err)
	}
	req.ContentLength = int64(len(body))
	var out Outcome
	status, err := r.client.exchange(r.client.orders, req, &out)
	if err != nil {
		return Outcome{}, err
	}
	if status != http.StatusOK && status != http.StatusConflict {
		return Outcome{}, Error.New("unexpected status %d in response to an order", status)
	}
	return out, nil
}

func (e *Client) exchange(c *http.Client, req *http.Request, into any) (int, error) {
	resp, err := c.Do(req)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	// A server may send a response twice, and connections for reads are kept: an old state must not pass for the current one.
	// Without its body being read, the connection is closed.
	defer resp.Body.Close()
	if id := resp.Header.Get(HeaderAttemptID); id != "" && id != req.Header.Get(HeaderAttemptID) {
		return 0, Error.New("the response belongs to another call")
	}
	memory := e.Memory.Hold("state")
	defer memory.Release()
	data, err := memory.ReadAll(resp.Body, resp.ContentLength, maxStateBytes)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return 0, Error.New("cannot decode the response with status %d: %v", resp.StatusCode, err)
	}
	return resp.StatusCode, nil
}
