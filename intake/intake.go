package intake

import (
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Listener is a net.Listener that refuses connections which the box could not read in time.
type Listener struct {
	net.Listener
	gate   *gate
	report func(Verdict)

	mu     sync.Mutex
	unused map[*conn]struct{} // nothing was received on them
}

// NewListener wraps a listener. linkMbps is the bandwidth of the box's link in Mbit/s, 0 if it is unknown. report is called with each
// decision and must not block.
func NewListener(l net.Listener, linkMbps float64, report func(Verdict)) *Listener {
	return &Listener{Listener: l, gate: newGate(linkMbps), report: report, unused: map[*conn]struct{}{}}
}

// CloseUnused closes the connections on which nothing was received. A stopping box calls it once it accepts no further ones:
// http.Server.Shutdown waits for such a connection for 5 s.
func (l *Listener) CloseUnused() {
	l.mu.Lock()
	list := slices.Collect(maps.Keys(l.unused))
	l.mu.Unlock()
	for _, c := range list {
		c.Close()
	}
}

func (l *Listener) addUnused(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unused[c] = struct{}{}
}

func (l *Listener) removeUnused(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.unused, c)
}

// Accept returns the next connection that is not refused.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		t, verdict := l.gate.admit(time.Now())
		l.report(verdict)
		if verdict == Accepted {
			accepted := &conn{Conn: c, listener: l, ticket: t}
			l.addUnused(accepted)
			return accepted, nil
		}
		reset(c)
	}
}

// reset closes a connection so that its caller learns of it at once (5).
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // fails only on a closed connection
	}
	c.Close()
}

// conn is an accepted connection.
type conn struct {
	net.Conn
	listener *Listener
	ticket   *ticket
	readOnce sync.Once
	usedOnce sync.Once
}

// Read reads from the connection and records what was received.
func (c *conn) Read(b []byte) (int, error) {
	c.readOnce.Do(func() { c.ticket.start(time.Now()) })
	n, err := c.Conn.Read(b)
	if n > 0 || err != nil {
		c.usedOnce.Do(func() { c.listener.removeUnused(c) })
	}
	if n > 0 && !c.ticket.settled.Load() {
		c.ticket.receive(n, time.Now())
	}
	if err != nil {
		c.ticket.finish()
	}
	return n, err
}

// Close closes the connection.
func (c *conn) Close() error {
	c.ticket.finish()
	c.usedOnce.Do(func() { c.listener.removeUnused(c) })
	return c.Conn.Close()
}

// NetConn returns the wrapped connection.
func (c *conn) NetConn() net.Conn { return c.Conn }

type connKey struct{}

// ConnContext is the ConnContext of a server that serves a Listener.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if c, ok := c.(*conn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// Handler returns a handler that records when requests have been read. It wraps the handler of a server that serves a
// Listener.
func Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			h.ServeHTTP(w, r)
			return
		}
		defer c.ticket.finish()
		if r.ContentLength >= 0 {
			c.ticket.expect(r.ContentLength)
		}
		if r.ContentLength != 0 {
			r.Body = &body{r.Body, c.ticket}
		} else {
			c.ticket.finish()
		}
		h.ServeHTTP(w, r)
	})
}

// body is the body of a request, which records that it was read to its end.
type body struct {
	io.ReadCloser
	ticket *ticket
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.ticket.finish()
	}
	return n, err
}
