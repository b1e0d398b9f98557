package loadshare

import (
	"math"
	"sync"

	"go.uber.org/zap"

	"leverdrum/event"
	"leverdrum/meter"
)

// Rules by which a server counts as slow:
//
//  1. It is slow after slowUpdates updates in a row with a slowness above slowAbove.
//  2. It has recovered at the first update with a slowness below recoveredBelow. Between the two
//     values nothing changes.
const (
	slowAbove      = 1.5
	slowUpdates    = 2
	recoveredBelow = 1.25
	// maxSlowServers bounds the servers that are remembered and have a gauge, some 200 bytes each. It
	// is above the 1,200 servers of the largest deployment that the design states.
	maxSlowServers = 2048
)

// slowState is what decides whether one server counts as slow.
type slowState struct {
	above   int // updates in a row above slowAbove, at most slowUpdates
	slow    bool
	updated uint64 // count of all updates at this server's latest
}

// update applies an estimate and reports whether the server became slow or recovered.
func (s *slowState) update(slowness float64) (changed bool) {
	if slowness > slowAbove {
		s.above = min(s.above+1, slowUpdates)
	} else {
		s.above = 0
	}
	switch {
	case !s.slow && s.above == slowUpdates: // (1)
		s.slow = true
	case s.slow && slowness < recoveredBelow: // (2)
		s.slow = false
	default:
		return false
	}
	return true
}

// SlowServers logs once when a server becomes slow or is judged failing, and when it recovers, and shows the slowness of
// servers as a metric. A hub has one. It is safe for concurrent use; the methods of a nil *SlowServers
// do nothing.
type SlowServers struct {
	meters *meter.Meters
	log    *zap.Logger

	mu      sync.Mutex
	servers map[string]*slowState
	updates uint64
}

// NewSlowServers returns a SlowServers that knows no server.
func NewSlowServers(meters *meter.Meters, log *zap.Logger) *SlowServers {
	return &SlowServers{meters: meters, log: log, servers: map[string]*slowState{}}
}

// Update applies a new estimate of how many times longer than the average server a server takes, from
// a number of samples. It is meant for each estimate, also where it did not change: a server is slow
// only after several updates in a row (1).
func (s *SlowServers) Update(server string, slowness float64, samples int) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.servers[server]
	if state == nil {
		s.evict()
		state = &slowState{}
		s.servers[server] = state
	}
	s.updates++
	state.updated = s.updates
	s.meters.SetServerSlowness(server, slowness)
	if !state.update(slowness) {
		return
	}
	change := event.ServerRecovered
	if state.slow {
		change = event.ServerSlow
	}
	change.Log(s.log, zap.String("server", server), zap.Float64("slowness", slowness), zap.Int("samples", samples))
}

// Failing logs that a server was judged failing by the outcomes of attempts, or that it works again.
func (s *SlowServers) Failing(server string, failing bool, share float64, boxes int) {
	if s == nil {
		return
	}
	change := event.ServerWorking
	if failing {
		change = event.ServerFailing
	}
	change.Log(s.log, zap.String("server", server), zap.Float64("share", math.Round(share*perMille)/perMille), zap.Int("boxes", boxes))
}

// evict forgets the server whose latest update is the oldest, if no more fit.
func (s *SlowServers) evict() {
	if len(s.servers) < maxSlowServers {
		return
	}
	oldest := ""
	for server, state := range s.servers {
		if oldest == "" || state.updated < s.servers[oldest].updated {
			oldest = server
		}
	}
	s.forget(oldest)
}

// Forget removes a server whose incarnation has ended.
func (s *SlowServers) Forget(server string) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(server)
}

// Reset removes all servers, when the box is no longer a hub.
func (s *SlowServers) Reset() {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for server := range s.servers {
		s.forget(server)
	}
}

func (s *SlowServers) forget(server string) {
	delete(s.servers, server)
	s.meters.RemoveServerSlowness(server)
}
