package loadshare

import (
	"time"
)

// SpeedObserver receives the speeds of servers that a hub estimates. Its methods are called by one goroutine, without
// locks of the exchange held. SlowServers implements it.
type SpeedObserver interface {
	// Update gives the estimate of a server, which is based on a number of samples, every speedInterval.
	Update(server string, slowness float64, samples int)
	// Failing is called when a server is judged failing, and when it works again; share is its share of failures, and
	// boxes the number of boxes that saw failures.
	Failing(server string, failing bool, share float64, boxes int)
	// Forget is called after a server's incarnation ended.
	Forget(server string)
	// Reset is called when the box stops being a hub.
	Reset()
}

// speedEstimate is an estimate as a SpeedObserver is told.
type speedEstimate struct {
	server   string
	slowness float64
	samples  int
}

// observeSpeeds tells the observer what changed.
func (h *hub) observeSpeeds(now time.Duration) {
	estimates, ended, stopped := h.speedChanges(now)
	o := h.sharer.options.Speeds
	if o == nil {
		return
	}
	if stopped {
		o.Reset()
	}
	for _, server := range ended {
		o.Forget(server)
	}
	for _, e := range estimates {
		o.Update(e.server, e.slowness, e.samples)
	}
}

// speedChanges returns the estimates, every speedInterval, and the servers that have ended since they were returned.
// stopped reports that the box is no hub any more; its estimates are dropped then, because they would be out of date if
// it became one again.
func (h *hub) speedChanges(now time.Duration) (estimates []speedEstimate, ended []string, stopped bool) {
	servers := h.sharer.servers.Load()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.serving && len(h.links) == 0 && now-h.idleSince > idleTimeout {
		h.serving, h.learned = false, newLearned()
		clear(h.observed)
		return nil, nil, true
	}
	for hash, e := range h.observed {
		if !servers.has(hash) {
			ended = append(ended, e.server)
			delete(h.observed, hash)
		}
	}
	if !h.serving || now-h.observedAt < speedInterval {
		return nil, ended, false
	}
	h.observedAt = now
	for _, hash := range h.speeds.estimator.Servers() {
		name, known := servers.names[hash]
		if !known {
			continue
		}
		e := speedEstimate{name, h.speeds.estimator.Slowness(hash), h.speeds.estimator.Samples(hash)}
		// One without new samples is no second sign that a server is slow, but shows a recovery.
		if e.samples != h.observed[hash].samples || e.slowness < recoveredBelow {
			estimates = append(estimates, e)
		}
		h.observed[hash] = e
	}
	return estimates, ended, false
}

// countPrefixes tells how many prefixes are known, where the number changed.
func (h *hub) countPrefixes(now time.Duration) {
	if h.sharer.options.KnownPrefixes == nil {
		return
	}
	h.mu.Lock()
	count := len(h.prefixes.uses)
	changed := count != h.counted && (count == 0 || now-h.countedAt >= speedInterval)
	if changed {
		h.counted, h.countedAt = count, now
	}
	h.mu.Unlock()
	if changed {
		h.sharer.options.KnownPrefixes(count)
	}
}
