package loadshare

import (
	"time"

	"leverdrum/wire"
)

const (
	// MaxPrefixesInUse bounds the prefixes of one attempt that RecordPrefixes keeps. The shortest ones are kept: a longer one
	// is of use only where all that it begins with are known.
	MaxPrefixesInUse = 32
	// maxUsesInFrame bounds the uses in a frame of a box, and maxHubUsesInFrame in one of a hub.
	maxUsesInFrame    = 32
	maxHubUsesInFrame = 128
	// maxUsesPerSecond bounds the uses that a hub sends to another; 1,000 boxes have 1,200 a second in each of three halls.
	maxUsesPerSecond = 1500
)

// RecordPrefixes records that a server has cached the prefixes with these keys, the shortest first, at the first event of
// an attempt. tokens is what it had to prefill, and capacity what its cache holds in tokens; 0: unknown. Attempts without
// keys count as well: what they prefill displaces cached prefixes.
func (s *Sharer) RecordPrefixes(server string, keys []uint64, tokens, capacity int) {
	if s == nil || !s.Sharing() {
		return
	}
	hash, known := s.servers.Load().resolve(server)
	if !known {
		s.options.Ignored(IgnoredServer)
		return
	}
	if tokens < 0 || tokens > maxUseTokens || capacity < 0 || capacity > maxCapacity {
		s.options.Ignored(IgnoredRange)
		return
	}
	keys = keys[:min(len(keys), MaxPrefixesInUse)]
	use := &wire.CachedPrefixes{Server: hash, Tokens: uint32(tokens), Capacity: uint32(capacity), Prefixes: make([]uint32, len(keys))}
	for i, key := range keys {
		use.Prefixes[i] = uint32(key)
	}
	if enqueue(s, &s.uses, use) {
		notify(s.ownChanged)
	}
}

// HasPrefix reports whether a server is known to have a prefix cached.
func (s *Sharer) HasPrefix(server string, key uint64) bool {
	if s == nil {
		return false
	}
	hash, known := s.servers.Load().resolve(server)
	if !known {
		return false
	}
	now := s.options.Now()
	s.viewMu.RLock()
	defer s.viewMu.RUnlock()
	return s.view.prefixes.has(now, hash, uint32(key))
}

// receivePrefixes applies the prefixes of a hub's frame.
func (s *Sharer) receivePrefixes(v *view, u *wire.LoadUpdate, now time.Duration) {
	servers := s.servers.Load()
	for _, x := range limited(s, u.Cached, prefixBurst) {
		ttl := time.Duration(x.TtlMs) * time.Millisecond
		switch {
		case ttl < minPrefixTTL || ttl > maxPrefixTTL || len(x.Prefixes) > MaxPrefixesInUse:
			s.options.Ignored(IgnoredRange)
		case !servers.has(x.Server):
			s.options.Ignored(IgnoredServer)
		default:
			for _, prefix := range x.Prefixes {
				v.prefixes.set(now, x.Server, prefix, ttl)
			}
		}
	}
}

// receiveUses applies the uses of a frame to a hub.
func (h *hub) receiveUses(l *link, u *wire.LoadUpdate, servers *catalog, now time.Duration) {
	limit := maxUsesInFrame
	if l.hub {
		limit = maxHubUsesInFrame
	}
	for _, x := range limited(h.sharer, u.Cached, limit) {
		switch {
		case x.TtlMs != 0 || x.Tokens > maxUseTokens || x.Capacity > maxCapacity || len(x.Prefixes) > MaxPrefixesInUse:
			h.sharer.options.Ignored(IgnoredRange)
		case !servers.has(x.Server):
			h.sharer.options.Ignored(IgnoredServer)
		default:
			h.prefixes.record(now, x)
			if !l.hub && !h.uses.add(now, x) {
				h.sharer.options.Ignored(IgnoredSamples)
			}
		}
	}
}
