package intake

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxReadTime   = 400 * time.Millisecond
	maxStartDelay = 250 * time.Millisecond
	startInterval = 200 * time.Millisecond
	idleGrace     = 250 * time.Millisecond
	// linkProbeInterval and startProbeInterval are the times between two connections that are accepted nevertheless (2, 3).
	linkProbeInterval  = 250 * time.Millisecond
	startProbeInterval = 50 * time.Millisecond
	// linkShare is the share of the link that the first requests of connections get, in the estimate of (2).
	linkShare = 0.7
	// initialSize is the assumed size in bytes of a request before any was read; sizeWeight is the weight of the newest
	// size in the average.
	initialSize = 8 << 10
	sizeWeight  = 0.1
)

// Verdict is the decision on a new connection.
type Verdict int

// Values of Verdict.
const (
	Accepted Verdict = iota
	// RefusedForLink means that the box's link is busy (2), RefusedForProcessor that its processor is (3).
	RefusedForLink
	RefusedForProcessor
)

// String returns the verdict as used in metrics and logs.
func (v Verdict) String() string { return [...]string{"accepted", "link", "processor"}[v] }

// gate decides on new connections. It is safe for concurrent use.
type gate struct {
	bytesPerSecond float64 // of the link; 0: unknown

	mu      sync.Mutex
	reading map[*ticket]bool // connections being read (1)
	pending float64          // bytes outstanding on these
	size    float64          // average size of a request in bytes
	// lateSince is when connections began to wait for too long until they were first read from (3); zero: they do not.
	lateSince    time.Time
	lastAccepted time.Time
}

func newGate(linkMbps float64) *gate {
	const bitsPerByte, mega = 8, 1e6
	return &gate{bytesPerSecond: linkMbps * mega / bitsPerByte * linkShare, size: initialSize, reading: map[*ticket]bool{}}
}

// ticket accounts for one connection while it is being read. Its fields are guarded by the mutex of the gate.
type ticket struct {
	gate       *gate
	settled    atomic.Bool // same as done, for callers without the mutex
	acceptedAt time.Time
	heardAt    time.Time // when it sent something last, or was accepted
	started    bool      // it was read from
	done       bool
	expected   float64 // outstanding bytes
	received   float64
}

// admit decides on a new connection and returns its ticket, nil if it is refused.
func (g *gate) admit(now time.Time) (*ticket, Verdict) {
	g.mu.Lock()
	defer g.mu.Unlock()
	v := g.verdict(now)
	if v != Accepted && g.dropStalled(now) {
		v = g.verdict(now)
	}
	if v != Accepted {
		return nil, v
	}
	t := &ticket{gate: g, acceptedAt: now, heardAt: now, expected: g.size}
	g.reading[t] = true
	g.pending += t.expected
	g.lastAccepted = now
	return t, Accepted
}

func (g *gate) verdict(now time.Time) Verdict {
	switch sinceLast := now.Sub(g.lastAccepted); {
	case len(g.reading) == 0: // (4)
		return Accepted
	case g.bytesPerSecond > 0 && (g.pending+g.size)/g.bytesPerSecond > maxReadTime.Seconds() && sinceLast < linkProbeInterval:
		return RefusedForLink
	case !g.lateSince.IsZero() && now.Sub(g.lateSince) >= startInterval && sinceLast < startProbeInterval:
		return RefusedForProcessor
	}
	return Accepted
}

// dropStalled stops counting connections that have sent nothing for idleGrace (1), and reports whether there were any.
func (g *gate) dropStalled(now time.Time) (dropped bool) {
	for t := range g.reading {
		if now.Sub(t.heardAt) >= idleGrace {
			g.finish(t)
			dropped = true
		}
	}
	return dropped
}

// finish stops counting a connection.
func (g *gate) finish(t *ticket) {
	if t.done {
		return
	}
	t.done = true
	t.settled.Store(true)
	delete(g.reading, t)
	g.pending -= t.expected
}

// start records that the connection is about to be read from for the first time (3).
func (t *ticket) start(now time.Time) {
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	if t.started {
		return
	}
	t.started = true
	switch late := now.Sub(t.acceptedAt) > maxStartDelay; {
	case !late:
		t.gate.lateSince = time.Time{}
	case t.gate.lateSince.IsZero():
		t.gate.lateSince = now
	}
}

// receive records bytes read from the connection.
func (t *ticket) receive(n int, now time.Time) {
	if t.settled.Load() {
		return
	}
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	if t.done {
		return
	}
	t.heardAt = now
	t.received += float64(n)
	got := min(float64(n), t.expected)
	t.expected -= got
	t.gate.pending -= got
}

// expect sets the number of bytes of the request that are still outstanding.
func (t *ticket) expect(bytes int64) {
	if t.settled.Load() {
		return
	}
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	if t.done {
		return
	}
	t.gate.pending += float64(bytes) - t.expected
	t.expected = float64(bytes)
}

// finish records that the first request was read in full, or that the connection was closed before.
func (t *ticket) finish() {
	if t.settled.Load() {
		return
	}
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	if !t.done && t.received > 0 {
		t.gate.size += sizeWeight * (t.received - t.gate.size)
	}
	t.gate.finish(t)
}
