package engine

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"

	"leverdrum/internal/attest"
	"leverdrum/internal/responsehead"
)

// ErrNotAllowed: the box is no longer the leader. Nothing was written.
var ErrNotAllowed = errors.New("this box is no longer the leader and may not issue orders")

// ErrUnreachable: the connection to the server could not be established. Nothing was written.
var ErrUnreachable = errors.New("cannot connect to the server")

// guardedTransport sends bytes only while allowed returns true. It checks right before each write. Connections are not
// reused.
type guardedTransport struct{ *http.Transport }

func newGuardedTransport(allowed func() bool) *guardedTransport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
		}
		current, _ := ctx.Value(attemptKey{}).(*attempt)
		return responsehead.NewConn(&guardedConn{Conn: c, allowed: allowed, attempt: current}), nil
	}
	return &guardedTransport{&http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: attest.MaxHeadBytes}}
}

// attemptKey is the context key of a request's attempt.
type attemptKey struct{}

// attempt is one attempt to send a request.
type attempt struct {
	// sendable is checked before the first write. nil permits it.
	sendable func() bool
	// refused is set if the box was not allowed to write, inBackoff if the server requested a backoff before the first write.
	refused, inBackoff atomic.Bool
}

// RoundTrip returns ErrNotAllowed or ErrInBackoff if a write was refused. The transport then closes the connection, and
// its reader can fail before its writer has returned the reason.
func (t *guardedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	current := &attempt{}
	if c, ok := r.Context().Value(callKey{}).(*call); ok {
		current.sendable = c.sendable
	}
	resp, err := responsehead.RoundTrip(t.Transport, r.WithContext(context.WithValue(r.Context(), attemptKey{}, current)))
	switch {
	case err != nil && current.refused.Load():
		return nil, ErrNotAllowed
	case err != nil && current.inBackoff.Load():
		return nil, ErrInBackoff
	}
	return resp, err
}

// guardedConn refuses writes once its box is not the leader, and the first write to a server in backoff.
type guardedConn struct {
	net.Conn
	allowed func() bool
	attempt *attempt // nil: no attempt in the context
	started bool
}

// NetConn returns the connection that is guarded.
func (c *guardedConn) NetConn() net.Conn { return c.Conn }

// Write checks the permission right before it writes.
func (c *guardedConn) Write(b []byte) (int, error) {
	if !c.allowed() {
		if c.attempt != nil {
			c.attempt.refused.Store(true)
		}
		return 0, ErrNotAllowed
	}
	if s := c.attempt; s != nil && !c.started && s.sendable != nil && !s.sendable() {
		s.inBackoff.Store(true)
		return 0, ErrInBackoff
	}
	c.started = true
	return c.Conn.Write(b)
}
