package crasher

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"leverdrum/wire"
)

const (
	// provisionalDuration is the duration of a provisional block (16). Servers that terminate because of a fault of
	// their own, one after another, do so within some seconds.
	provisionalDuration = 5 * time.Second
	// provisionalWindow is how recent the terminations of other servers are that make a block provisional.
	provisionalWindow = 5 * time.Second
	// confirmDuration is how long a first block lasts until it is definitive. Servers that terminate one after another for another
	// reason do so at shorter intervals.
	confirmDuration = time.Second
)

// IsProvisional reports whether a suspect is blocked provisionally (16). Such a block does not count in Holds until it has ended.
func IsProvisional(s *wire.Suspect) bool { return s.GetHeld() && s.Holds == 0 && !hasRuling(s) }

// IsDefinitive reports whether a suspect is blocked definitively at a time, in Unix milliseconds: not provisionally, and not for the
// first time just before, when servers that terminate without it may still make the block provisional (16). The time of a block is that
// of the leader's clock: if this box's is behind, the block counts as confirmed.
func IsDefinitive(s *wire.Suspect, unixMs int64) bool {
	if !s.GetHeld() || IsProvisional(s) {
		return false
	}
	age := unixMs - s.UnixMs
	return hasRuling(s) || s.Holds > 1 || age < 0 || age >= confirmDuration.Milliseconds()
}

// reviewBlocks makes recent first blocks provisional if other servers have terminated since (16).
func (reg *Registry) reviewBlocks(at CommitPosition) {
	if reg.blocked == 0 {
		return
	}
	for key, s := range reg.Suspects {
		recent := s.Held && s.Holds == 1 && at.UnixMs-s.UnixMs <= provisionalWindow.Milliseconds()
		if !recent || hasRuling(s) || reg.otherTerminations(s, at.UnixMs) <= toleratedOthers(s, at) {
			continue
		}
		next := proto.CloneOf(s)
		next.Holds, next.Index = 0, at.Index
		reg.put(key, next)
	}
}

// block blocks a suspect. Its first block is provisional if other servers terminated without it, of a prompt part more than half as
// many as with it (16).
func (reg *Registry) block(s *wire.Suspect, at CommitPosition) {
	s.Held = true
	if !at.ProvisionalBlocks || s.Holds > 0 || reg.otherTerminations(s, at.UnixMs) <= toleratedOthers(s, at) {
		s.Holds++
	}
}

// toleratedOthers returns how many other servers may terminate at the time at which a suspect is blocked definitively. A request is at
// one server at a time, so that a further try costs one; a part may be at many.
func toleratedOthers(s *wire.Suspect, at CommitPosition) int {
	if at.SharedExposure && !isPart(s) {
		return 0
	}
	return len(s.Servers) / 2
}

// otherTerminations returns how many servers terminated recently that do not count against a suspect, as far as the evidence
// against others shows.
func (reg *Registry) otherTerminations(s *wire.Suspect, unixMs int64) int {
	servers := map[string]bool{}
	for _, other := range reg.Suspects {
		n := len(other.Servers)
		if n == 0 || unixMs-other.UnixMs > provisionalWindow.Milliseconds() {
			continue
		}
		if last := other.Servers[n-1]; !slices.Contains(s.Servers, last) {
			servers[last] = true
		}
	}
	return len(servers)
}

// BlocksDefinitively reports whether a request or prompt part is blocked from servers of a software version, and not only provisionally.
func (w *Watcher) BlocksDefinitively(registry *Registry, p Fingerprint, version string) bool {
	if s := registry.Suspects[Key{p, version}]; s.GetHeld() {
		return IsDefinitive(s, time.Now().UnixMilli()) && !w.exempts(s)
	}
	return w.Blocks(registry, p, version) && w.own.blocksDefinitively(p, version)
}

// BlocksAnyDefinitively is BlocksDefinitively for the parts of a prompt.
func (w *Watcher) BlocksAnyDefinitively(registry *Registry, parts []Fingerprint) bool {
	return slices.ContainsFunc(parts, func(p Fingerprint) bool { return w.BlocksDefinitively(registry, p, "") })
}
