package engine

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
)

// ErrNotAllowed: the box does not lead any more; nothing was written.
var ErrNotAllowed = errors.New("this box may not give orders any more")

// ErrUnreachable: no connection to the server came about; nothing was written.
var ErrUnreachable = errors.New("the server takes no connection")

// guardedTransport sends requests whose bytes leave only while allowed says so; it is asked last thing before each write.
// Connections are not kept.
type guardedTransport struct{ *http.Transport }

func newGuardedTransport(allowed func() bool) *guardedTransport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
		}
		sent, _ := ctx.Value(sendingKey{}).(*sending)
		return &guardedConn{Conn: c, allowed: allowed, sending: sent}, nil
	}
	return &guardedTransport{&http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true}}
}

// sendingKey names, in a request's context, its sending.
type sendingKey struct{}

// sending is one sending of a request.
type sending struct {
	// sendable is asked before the first bytes leave; nil: they may.
	sendable func() bool
	// refused tells that the box was not allowed a write, resting that the server asked for a rest before the first one.
	refused, resting atomic.Bool
}

// RoundTrip says ErrNotAllowed or ErrResting where a write was refused. The transport closes the connection then, and its
// reader may fail before its writer has told why.
func (t *guardedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	s := &sending{}
	if c, ok := r.Context().Value(callKey{}).(*call); ok {
		s.sendable = c.sendable
	}
	resp, err := t.Transport.RoundTrip(r.WithContext(context.WithValue(r.Context(), sendingKey{}, s)))
	switch {
	case err != nil && s.refused.Load():
		return nil, ErrNotAllowed
	case err != nil && s.resting.Load():
		return nil, ErrInBackoff
	}
	return resp, err
}

// guardedConn refuses to write once its box does not lead, and to begin with a server that rests.
type guardedConn struct {
	net.Conn
	allowed func() bool
	sending *sending // nil: nobody asks
	began   bool
}

// Write asks for permission right before the bytes leave.
func (c *guardedConn) Write(b []byte) (int, error) {
	if !c.allowed() {
		if c.sending != nil {
			c.sending.refused.Store(true)
		}
		return 0, ErrNotAllowed
	}
	if s := c.sending; s != nil && !c.began && s.sendable != nil && !s.sendable() {
		s.resting.Store(true)
		return 0, ErrInBackoff
	}
	c.began = true
	return c.Conn.Write(b)
}
