package engine

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
)

// ErrNotAllowed: the box does not lead any more; nothing was written.
var ErrNotAllowed = errors.New("this box may not give orders any more")

// guardedTransport sends requests whose bytes leave only while allowed says so; it is asked last thing before each write.
// Connections are not kept.
type guardedTransport struct{ *http.Transport }

func newGuardedTransport(allowed func() bool) *guardedTransport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		refused, _ := ctx.Value(refusedKey{}).(*atomic.Bool)
		return &guardedConn{c, allowed, refused}, nil
	}
	return &guardedTransport{&http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true}}
}

// refusedKey names, in a request's context, whether a write of it was refused.
type refusedKey struct{}

// RoundTrip says ErrNotAllowed where a write was refused. The transport closes the connection then, and its reader may
// fail before its writer has told why.
func (t *guardedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	refused := &atomic.Bool{}
	resp, err := t.Transport.RoundTrip(r.WithContext(context.WithValue(r.Context(), refusedKey{}, refused)))
	if err != nil && refused.Load() {
		return nil, ErrNotAllowed
	}
	return resp, err
}

// guardedConn refuses to write once its box does not lead.
type guardedConn struct {
	net.Conn
	allowed func() bool
	refused *atomic.Bool // nil: nobody asks
}

// Write asks for permission right before the bytes leave.
func (c *guardedConn) Write(b []byte) (int, error) {
	if c.allowed() {
		return c.Conn.Write(b)
	}
	if c.refused != nil {
		c.refused.Store(true)
	}
	return 0, ErrNotAllowed
}
