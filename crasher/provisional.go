package crasher

import (
	"slices"
	"time"

	"leverdrum/wire"
)

const (
	// provisionalDuration is the duration of a provisional block (16). Servers that terminate because of a fault of
	// their own, one after another, do so within some seconds.
	provisionalDuration = 5 * time.Second
	// provisionalWindow is how recent the terminations of other servers are that make a block provisional.
	provisionalWindow = 5 * time.Second
)

// IsProvisional reports whether a suspect is blocked provisionally (16). Such a block does not count in Holds until it has ended.
func IsProvisional(s *wire.Suspect) bool { return s.GetHeld() && s.Holds == 0 && !hasRuling(s) }

// block blocks a suspect. Its first block is provisional if servers terminated without it, more than half as many as with it (16).
func (reg *Registry) block(s *wire.Suspect, at CommitPosition) {
	s.Held = true
	if !at.ProvisionalBlocks || s.Holds > 0 || 2*reg.otherTerminations(s, at.UnixMs) <= len(s.Servers) {
		s.Holds++
	}
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
		return !IsProvisional(s) && !w.exempts(s)
	}
	return w.Blocks(registry, p, version) && w.own.blocksDefinitively(p, version)
}

// BlocksAnyDefinitively is BlocksDefinitively for the parts of a prompt.
func (w *Watcher) BlocksAnyDefinitively(registry *Registry, parts []Fingerprint) bool {
	return slices.ContainsFunc(parts, func(p Fingerprint) bool { return w.BlocksDefinitively(registry, p, "") })
}
