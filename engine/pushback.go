package engine

import (
	"context"
	"errors"
	"net/http"
	"time"

	"leverdrum/dialect"
)

// ErrInBackoff: the server asked this box to back off. Nothing was sent.
var ErrInBackoff = errors.New("the server asked this box to back off")

// Pushback tracks what servers report in their responses, by server name or incarnation.
type Pushback interface {
	// Observe records what the response to a call reports about its server.
	Observe(server, call string, report dialect.Report)
	// Sendable reports whether the server currently accepts calls of this box.
	Sendable(server string) bool
}

// callKey is the context key of a request's call.
type callKey struct{}

// call is one call to a server.
type call struct {
	server   string
	sendable func() bool
}

// WithServer returns a context whose calls go to the given server or incarnation of it.
func WithServer(ctx context.Context, server string) context.Context {
	return context.WithValue(ctx, callKey{}, &call{server: server})
}

// pushbackTransport sends no calls to servers in backoff and observes each response.
type pushbackTransport struct {
	next     http.RoundTripper
	pushback Pushback
	dialect  *dialect.Dialect
}

// WithPushback has a client keep to what servers say of themselves. Calls need a context of WithServer.
func WithPushback(c *http.Client, p Pushback, d *dialect.Dialect) *http.Client {
	if p == nil {
		return c
	}
	return NewHTTPClient(&pushbackTransport{c.Transport, p, d})
}

// RoundTrip returns ErrInBackoff if it sent nothing because the server is in backoff.
func (t *pushbackTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	c, ok := r.Context().Value(callKey{}).(*call)
	if !ok {
		return t.next.RoundTrip(r)
	}
	c.sendable = func() bool { return t.pushback.Sendable(c.server) }
	if !c.sendable() {
		return nil, ErrInBackoff
	}
	resp, err := t.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if !t.dialect.FromOtherServer(resp.Header, r.Header.Get(t.dialect.Instance)) {
		t.pushback.Observe(c.server, r.Method+" "+r.URL.Path, t.dialect.ReadReport(resp.StatusCode, resp.Header, time.Now()))
	}
	return resp, nil
}
