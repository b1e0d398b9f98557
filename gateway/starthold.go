package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"leverdrum/fleet"
	"leverdrum/meter"
	"leverdrum/overload"
)

const (
	// startPeriod is how long after its start a box holds requests.
	startPeriod = 5 * time.Second
	// maxStartHold bounds the time for which a request is held. After a power loss of all boxes, most
	// boxes know that they are current 0.1 s after they have the fleet file.
	maxStartHold = 250 * time.Millisecond
	// currentInterval is the time between two checks whether the box is current.
	currentInterval = 5 * time.Millisecond
)

// startHold holds requests that arrive at a box that has just restarted, until it knows that its
// configuration is current.
type startHold struct {
	began    time.Time
	current  func() bool
	maxBytes int64 // of request bodies; 0: no limit
	meters   *meter.Meters

	mu       sync.Mutex
	count    int
	bytes    int64
	released chan struct{} // closed once the box is current; nil while no request is held
}

// holdAtStart holds a request that would be refused because the box is not known to be current. It
// reports whether the request is to be decided on again.
func (g *Gateway) holdAtStart(r *http.Request, t *table) bool {
	h := g.startHold
	if time.Since(h.began) >= startPeriod {
		return false
	}
	route := t.routes.Find(r.Host, requestPath(r))
	if route == nil || !g.sharesLoad(route) {
		return false
	}
	d := maxStartHold
	if route.LatencyTarget > 0 {
		d = min(d, route.LatencyTarget/2)
	}
	return h.wait(r.Context(), g.stopping, d, heldBytes(r))
}

// sharesLoad reports whether all pools of the route share their load.
func (g *Gateway) sharesLoad(route *fleet.Route) bool {
	if g.opts.SharesLoad == nil || len(route.Split) == 0 {
		return false
	}
	for _, share := range route.Split {
		if !g.opts.SharesLoad(share.Pool) {
			return false
		}
	}
	return true
}

// heldBytes returns what a held request counts towards the limit of bodies. Its body is read only after
// the hold, and of a body of unknown length the first step counts.
func heldBytes(r *http.Request) int64 {
	if r.ContentLength < 0 {
		return initialBodyStep
	}
	return r.ContentLength
}

// wait reports whether the box became current, or began to stop, within d. It returns false at once
// where too many requests are held.
func (h *startHold) wait(ctx context.Context, stopping <-chan struct{}, d time.Duration, bytes int64) bool {
	released := h.enter(bytes)
	if released == nil {
		h.meters.Count(meter.StartHolds, "full").Inc()
		return false
	}
	defer h.leave(bytes)
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-released:
		h.meters.Count(meter.StartHolds, "released").Inc()
		return true
	case <-stopping:
		return true
	case <-timer.C:
		h.meters.Count(meter.StartHolds, "expired").Inc()
	case <-ctx.Done():
	}
	return false
}

// enter counts a request as held and returns the channel that releases it, or nil where too many are
// held.
func (h *startHold) enter(bytes int64) <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.count >= overload.MaxWaiting || h.maxBytes > 0 && bytes > h.maxBytes-h.bytes { // the sum may overflow: callers state the length
		return nil
	}
	h.count++
	h.bytes += bytes
	if h.released == nil {
		h.released = make(chan struct{})
		go h.releaseWhenCurrent(h.released)
	}
	return h.released
}

func (h *startHold) leave(bytes int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.count--
	h.bytes -= bytes
}

// releaseWhenCurrent releases all held requests together. It checks for all of them, since a check reads
// the state of all boxes, and ends when none is held any more.
func (h *startHold) releaseWhenCurrent(released chan struct{}) {
	ticker := time.NewTicker(currentInterval)
	defer ticker.Stop()
	for range ticker.C {
		current := h.current()
		h.mu.Lock()
		if current {
			close(released)
		}
		if current || h.count == 0 {
			h.released = nil
			h.mu.Unlock()
			return
		}
		h.mu.Unlock()
	}
}
