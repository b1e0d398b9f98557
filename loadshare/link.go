package loadshare

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"leverdrum/wire"
)

const (
	// dialInterval is the minimum time between two attempts of a hub to reach another.
	dialInterval = 500 * time.Millisecond
	// openerDelay is how long the hub of the higher member ID waits for the other one to open the stream.
	openerDelay = time.Second
	// idleTimeout is how long a hub without boxes keeps its streams to other hubs.
	idleTimeout = 2 * time.Second
	// openTimeout bounds the opening of a stream.
	openTimeout = time.Second
)

// run serves a link until its stream ends or the context does.
func (h *hub) run(ctx context.Context, l *link) {
	var wg sync.WaitGroup
	wg.Go(func() {
		h.write(ctx, l)
		_ = l.stream.Close() // ends the reads below; the stream is not used any more
	})
	for {
		u := &wire.LoadUpdate{}
		if l.stream.Receive(u) != nil {
			break
		}
		h.receive(l, u)
	}
	h.close(l)
	wg.Wait()
}

// write sends the frames that are due. While a slow peer blocks it, rows accumulate and only their newest values are
// sent then.
func (h *hub) write(ctx context.Context, l *link) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.ended:
			return
		case <-l.signal:
		}
		u := h.nextFrame(l)
		if u == nil {
			continue
		}
		l.budget.spend(proto.Size(u) + frameOverhead)
		if l.stream.Send(u) != nil {
			return
		}
	}
}

// pump publishes changes until the context ends: the first one at once, further ones at most every publishInterval. It
// has nothing to do while the box is no hub.
func (h *hub) pump(ctx context.Context, spawn func(func())) {
	alive := time.NewTimer(aliveInterval)
	defer alive.Stop()
	for {
		var due <-chan time.Time
		if h.inUse() {
			alive.Reset(aliveInterval)
			due = alive.C
		}
		select {
		case <-ctx.Done():
			return
		case <-h.wake:
		case <-due:
		}
		now := h.sharer.options.Now()
		pause := h.tick(now)
		h.observeSpeeds(now)
		h.observeFailing()
		h.countPrefixes(now)
		for _, member := range h.wanted(now) {
			spawn(func() { h.dial(ctx, member) })
		}
		if !sleep(ctx, pause) {
			return
		}
	}
}

// hasBoxes reports whether boxes have a stream to this hub. Locked by mu.
func (h *hub) hasBoxes() bool {
	for _, l := range h.links {
		if !l.hub {
			return true
		}
	}
	return false
}

func (h *hub) inUse() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.links) > 0 || h.serving
}

// wanted returns the hubs to open a stream to, and marks them as being dialed. A box to which no box has a stream is no
// hub and closes its streams to others.
func (h *hub) wanted(now time.Duration) (out []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	boxes := h.hasBoxes()
	if boxes {
		h.idleSince, h.serving = now, true
	}
	if now-h.idleSince > idleTimeout {
		for _, l := range h.links {
			h.drop(l)
		}
	}
	if !boxes {
		return nil
	}
	hubs := h.sharer.otherHubs(now)
	gone := func(member string, _ time.Duration) bool { return !slices.Contains(hubs, member) }
	maps.DeleteFunc(h.missing, gone)
	maps.DeleteFunc(h.dialledAt, gone)
	for _, member := range hubs {
		if h.mayDial(member, now) {
			h.dialing[member], h.dialledAt[member] = true, now
			out = append(out, member)
		}
	}
	return out
}

// mayDial reports whether to open a stream to a hub now: at once if this box has the lower member ID, else only if the
// other one has not opened one for openerDelay.
func (h *hub) mayDial(member string, now time.Duration) bool {
	if h.links[linkKey(member, true)] != nil {
		delete(h.missing, member)
		return false
	}
	since, missing := h.missing[member]
	if !missing {
		since = now
		h.missing[member] = now
	}
	last, dialled := h.dialledAt[member]
	if h.dialing[member] || dialled && now-last < dialInterval {
		return false
	}
	return h.sharer.options.Self < member || now-since >= openerDelay
}

// dial opens a stream to another hub and serves it until it ends.
func (h *hub) dial(ctx context.Context, member string) {
	s := h.sharer
	stream, err := s.open(ctx, member, wire.LoadStream_HUB)
	h.mu.Lock()
	delete(h.dialing, member)
	h.mu.Unlock()
	if err != nil {
		s.fail(member)
		return
	}
	l := h.open(member, true, s.options.Self, stream)
	if l == nil {
		_ = stream.Close() // the other hub's stream stays
		return
	}
	h.run(ctx, l)
}

// Serve serves a stream that another member opened until it ends, and closes it. It is closed at once if this box does
// not share load.
func (s *Sharer) Serve(ctx context.Context, member string, kind wire.LoadStream_Kind, stream Stream) {
	if s == nil || !s.Sharing() {
		_ = stream.Close() // the other box sees that the stream ended, and logs it
		return
	}
	l := s.hub.open(member, kind == wire.LoadStream_HUB, member, stream)
	if l == nil {
		_ = stream.Close() // the stream that this box opened stays
		return
	}
	s.hub.run(ctx, l)
}

// sleep returns false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
