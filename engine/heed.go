package engine

import (
	"context"
	"errors"
	"net/http"
	"time"

	"leverdrum/dialect"
)

// ErrInBackoff: the server asked this box for a rest; nothing was sent.
var ErrInBackoff = errors.New("the server asked this box for a rest")

// Pushback is what servers say of themselves in their answers, by name or life.
type Pushback interface {
	// Observe records what an answer to a call says of its server.
	Observe(server, call string, said dialect.Report)
	// Sendable reports whether the server wants calls of this box now.
	Sendable(server string) bool
}

// callKey names, in a request's context, the call that it is.
type callKey struct{}

// call is one call of a server.
type call struct {
	server   string
	sendable func() bool
}

// WithServer says which server, or which life of it, a call with the context is for.
func WithServer(ctx context.Context, server string) context.Context {
	return context.WithValue(ctx, callKey{}, &call{server: server})
}

// heedingTransport sends no call to a server that rests, and has each answer observed.
type heedingTransport struct {
	next     http.RoundTripper
	pushback Pushback
	dialect  *dialect.Dialect
}

// WithPushback has a client keep to what servers say of themselves. Calls need a context of WithServer.
func WithPushback(c *http.Client, p Pushback, d *dialect.Dialect) *http.Client {
	if p == nil {
		return c
	}
	return &http.Client{Transport: &heedingTransport{c.Transport, p, d}}
}

// RoundTrip says ErrResting where nothing was sent for a rest.
func (t *heedingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
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
