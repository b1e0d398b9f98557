// Package liveness finds out whether a backend server went on after it closed a connection. A close says that a connection
// ended, not that a response did: the kernel closes the connections of a process that ends in the ordinary way.
//
// Rules:
//
//  1. Only what the server did after the close is evidence, so that each probe begins after the ends that wait for it. Bytes
//     that were sent before the close, or that were read after it, show nothing.
//  2. An answer of the same instance on a connection that was opened after the close shows that the server went on.
//  3. So does a connection from before the close that is still open when the probe ends: its process holds it. A server that is
//     full, frozen or at its limit of connections answers no request in time. A connection that was opened after the close shows
//     less, since another process may have the address: it counts only where the server has no health checks.
//  4. A server that refuses connections, or whose address another instance has, has ended, or takes no more requests: it closes
//     its connections next. Any other failure shows nothing: servers reset connections beyond their limit, and networks lose
//     them.
//  5. All ends that wait for a server share one probe, and a server is probed once at a time. An end that comes during a probe
//     waits for the next one, unless the probe finds that the server has ended.
//  6. A probe ends after ProbeTimeout, so that an end waits for at most twice that time.
package liveness

import (
	"context"
	"sync"
	"time"
)

// ProbeTimeout bounds one probe (6).
const ProbeTimeout = 200 * time.Millisecond

// Evidence is what a probe found.
type Evidence int

// Values of Evidence.
const (
	// None means that nothing shows whether the server went on.
	None Evidence = iota
	// Answered means that the server has answered a request (2).
	Answered
	// Open means that the server holds a connection open (3).
	Open
	// Relayed means that another box, which reaches the server, has such evidence.
	Relayed
	// Ended means that the server has ended (4).
	Ended
)

// String returns the evidence as used in metrics and logs.
func (e Evidence) String() string {
	return [...]string{"none", "answered", "open", "relayed", "ended"}[e]
}

// GoesOn reports whether the evidence shows that the server went on.
func (e Evidence) GoesOn() bool { return e == Answered || e == Open || e == Relayed }

// Probe probes a server until its context ends.
type Probe func(context.Context) Evidence

// Checker probes one server for all who wait for evidence about it (5). It is safe for concurrent use.
type Checker struct {
	probe Probe

	mu      sync.Mutex
	probing bool
	next    *round // those that the next probe answers; nil: none
}

// round is one probe for those who wait for it.
type round struct {
	done     chan struct{}
	evidence Evidence // once done is closed
}

func (r *round) end(e Evidence) {
	r.evidence = e
	close(r.done)
}

// NewChecker returns a Checker that probes with the given function.
func NewChecker(probe Probe) *Checker { return &Checker{probe: probe} }

// Await returns what is known of the server after now. It returns None once the context ends.
func (c *Checker) Await(ctx context.Context) Evidence {
	r := c.join()
	select {
	case <-r.done:
		return r.evidence
	case <-ctx.Done():
		return None
	}
}

// join returns the next probe, which begins after now, and begins it if none is under way.
func (c *Checker) join() *round {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next == nil {
		c.next = &round{done: make(chan struct{})}
	}
	r := c.next
	if !c.probing {
		c.probing = true
		go c.probeAll()
	}
	return r
}

// probeAll probes until no caller of Await is left.
func (c *Checker) probeAll() {
	for r := c.take(); r != nil; r = c.take() {
		evidence := c.probeOnce()
		r.end(evidence)
		if evidence == Ended {
			c.endNext()
		}
	}
}

func (c *Checker) probeOnce() Evidence {
	ctx, cancel := context.WithTimeout(context.Background(), ProbeTimeout)
	defer cancel()
	return c.probe(ctx)
}

// take removes and returns the next round; nil if there is none.
func (c *Checker) take() *round {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.next
	c.next = nil
	c.probing = r != nil
	return r
}

// endNext answers those who wait for the next probe of a server that has ended (5).
func (c *Checker) endNext() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next != nil {
		c.next.end(Ended)
		c.next = nil
	}
}
