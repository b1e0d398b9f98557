package loadshare

import (
	"time"

	"leverdrum/wire"
)

// RecordOutcome records that an attempt at a server failed, or succeeded at its first event. What the caller, its
// deadline or this box ended is not an outcome, nor is a refusal that the server stated.
func (s *Sharer) RecordOutcome(server string, failed bool) {
	if s == nil || !s.Sharing() {
		return
	}
	hash, known := s.servers.Load().resolve(server)
	if !known {
		s.options.Ignored(IgnoredServer)
		return
	}
	n := attemptCounts{succeeded: 1}
	if failed {
		n = attemptCounts{failed: 1}
	}
	s.ownMu.Lock()
	s.outcomes.add(hash, n)
	s.ownMu.Unlock()
	if failed { // successes wait for a frame that is due
		notify(s.ownChanged)
	}
}

// failingServer is a server that fails some of its requests.
type failingServer struct {
	share float64
	since time.Duration // when this box received that it is judged failing, if it is
}

// FailingShare returns the share of failures among the recent attempts of all boxes at a server; 0 if it is not known, or
// if nothing was received from the hub for maxAge. It is FailingFrom or more if the server is judged failing.
func (s *Sharer) FailingShare(server string) float64 {
	if s == nil {
		return 0
	}
	failing := *s.failing.Load()
	if len(failing) == 0 {
		return 0
	}
	f, known := failing[server]
	if !known || !s.fresh() {
		return 0
	}
	return f.share
}

// Failing returns the servers that are judged failing, and for how long.
func (s *Sharer) Failing() map[string]time.Duration {
	if s == nil || !s.fresh() {
		return nil
	}
	now := s.options.Now()
	var out map[string]time.Duration
	for server, f := range *s.failing.Load() {
		if f.share < FailingFrom {
			continue
		}
		if out == nil {
			out = map[string]time.Duration{}
		}
		out[server] = now - f.since
	}
	return out
}

func (s *Sharer) fresh() bool {
	now := s.options.Now()
	s.viewMu.RLock()
	defer s.viewMu.RUnlock()
	return s.view.fresh(now)
}

// publishFailing makes the failing servers of the view known to FailingShare, which is called for each server of each
// request and must not need a lock where no server fails. Locked by viewMu.
func (s *Sharer) publishFailing() {
	servers := s.servers.Load()
	failing := map[string]failingServer{}
	for hash, held := range s.view.speeds {
		if name, known := servers.names[hash]; known && held.failingShare > 0 {
			failing[name] = failingServer{held.failingShare, held.failingSince}
		}
	}
	s.failing.Store(&failing)
}

// receiveOutcomes applies the outcomes of a frame to a hub, and keeps those of its boxes for the other hubs.
func (h *hub) receiveOutcomes(l *link, u *wire.LoadUpdate, servers *catalog, now time.Duration) {
	if len(u.Outcomes) > maxOutcomesInFrame {
		h.sharer.options.Ignored(IgnoredRowCount)
		u.Outcomes = u.Outcomes[:maxOutcomesInFrame]
	}
	for _, x := range u.Outcomes {
		switch {
		case x.Succeeded > maxOutcomes || x.Failed > maxOutcomes || x.Boxes > maxOutcomes || x.Succeeded+x.Failed == 0 || !l.hub && x.Boxes > 1:
			h.sharer.options.Ignored(IgnoredRange)
			continue
		case !servers.has(x.Server):
			h.sharer.options.Ignored(IgnoredServer)
			continue
		}
		h.speeds.outcomes.add(now, l.key, l.hub, x)
		if l.hub {
			continue
		}
		for _, other := range h.links {
			if other.hub {
				other.outcomes.add(x.Server, attemptCounts{x.Succeeded, x.Failed})
			}
		}
	}
}

// dueOutcomes returns the outcomes at this hub's boxes that are due to another hub.
func (h *hub) dueOutcomes(l *link, now time.Duration) []*wire.ServerOutcomes {
	list := l.outcomes.take()
	for _, o := range list {
		if o.Failed > 0 {
			o.Boxes = uint32(max(1, h.speeds.outcomes.hallBoxes(now, o.Server)))
		}
	}
	return list
}

// observeFailing tells the observer which servers are judged failing, or work again.
func (h *hub) observeFailing() {
	servers := h.sharer.servers.Load()
	h.mu.Lock()
	changes := h.speeds.outcomes.changes
	h.speeds.outcomes.changes = nil
	h.mu.Unlock()
	o := h.sharer.options.Speeds
	if o == nil {
		return
	}
	for _, c := range changes {
		if name, known := servers.names[c.server]; known {
			o.Failing(name, c.failing, c.share, c.boxes)
		}
	}
}
