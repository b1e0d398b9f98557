package state

import (
	"leverdrum/dialect"
	"leverdrum/level"
	"leverdrum/wire"
)

// evacuate marks a data hall as evacuated, or clears the mark. Both are idempotent.
func (s *State) evacuate(e *wire.EvacuateHall, unixMs int64) {
	if s.Level < level.Evacuations {
		return
	}
	switch {
	case e.Undo:
		delete(s.Evacuations, e.Hall)
	case s.Evacuations[e.Hall] == nil:
		s.Evacuations[e.Hall] = &wire.Evacuation{Hall: e.Hall, UnixMs: unixMs}
	}
}

// KnowsHall reports whether a data hall contains a box or a backend server, or is named by the fleet file.
func (s *State) KnowsHall(hall string) bool {
	for _, m := range s.Members {
		if m.Hall == hall {
			return true
		}
	}
	for _, a := range s.Announcements.All() {
		if a.Hall == hall {
			return true
		}
	}
	return s.Fleet != nil && s.Fleet.Halls[hall] != nil
}

// WarmUpLimit returns the limit of a backend server that is warming up, 0 for no limit. An unresponsive server gets the
// limit as well: it may be restarting, and the first request would reach it before its next heartbeat.
func (s *State) WarmUpLimit(server string) dialect.Limit {
	a := s.Announcements.Get(server)
	if a == nil || !a.Cold && !a.Silent {
		return 0
	}
	return s.WarmUpRate(server)
}

// WarmUpRate returns the limit that a backend server has whenever it is warming up, 0 for no limit.
func (s *State) WarmUpRate(server string) dialect.Limit {
	a := s.Announcements.Get(server)
	if a == nil || s.Fleet == nil || s.Fleet.Pools[a.Service] == nil {
		return 0
	}
	return dialect.NewLimit(s.Fleet.Pools[a.Service].WarmUpRate)
}
