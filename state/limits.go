package state

import (
	"leverdrum/dialect"
	"leverdrum/wire"
)

// KnowsServer reports whether a backend server, including one of a plain service, announced itself or is in the fleet
// file.
func (s *State) KnowsServer(server string) bool {
	if s.Announcements.Get(server) != nil {
		return true
	}
	return s.Fleet != nil && (s.Fleet.Servers[server] != nil || s.Fleet.Instances[server] != nil)
}

// setLimit records the limit that a server reported. It lasts until the server is removed (removeServer).
func (s *State) setLimit(l *wire.ServerLimit, unixMs int64) {
	s.ownLimits()
	if l.Milli == 0 || !s.KnowsServer(l.Server) {
		delete(s.Limits, l.Server)
		return
	}
	s.Limits[l.Server] = &wire.ServerLimit{Server: l.Server, Milli: l.Milli, UnixMs: unixMs}
}

// LimitOf returns the replicated limit of a server, 0 for none.
func (s *State) LimitOf(server string) dialect.Limit {
	return dialect.Limit(s.Limits[server].GetMilli())
}
