package crasher

import (
	"container/list"
	"sync"

	"leverdrum/wire"
)

// maxServed is the number of answered requests that a box remembers, and maxServedParts that of prompt parts. Each takes
// 16 bytes and some 150 bytes of overhead, 0.5 MB in total. At nine requests a second they cover the last two minutes.
const (
	maxServed      = 1024
	maxServedParts = 2048
)

// ServedCache remembers which requests, or prompt parts, a box recently saw answered in full (5, 10), the newest first.
type ServedCache struct {
	limit int

	mu           sync.Mutex
	order        *list.List // of Key
	entries      map[Key]*list.Element
	checkedIndex uint64 // LastChanged of the registry that was checked last
}

// NewServedCache returns an empty cache that holds up to limit entries.
func NewServedCache(limit int) *ServedCache {
	return &ServedCache{limit: limit, order: list.New(), entries: map[Key]*list.Element{}}
}

// Record records that servers of a version answered a request in full. Prompt parts have version "".
func (s *ServedCache) Record(p Fingerprint, version string) {
	key := Key{p, version}
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.entries[key]; e != nil {
		s.order.MoveToFront(e)
		return
	}
	s.entries[key] = s.order.PushFront(key)
	if s.order.Len() > s.limit {
		last := s.order.Back()
		s.order.Remove(last)
		delete(s.entries, last.Value.(Key))
	}
}

// contains reports whether the cache has an entry with version "".
func (s *ServedCache) contains(p Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[Key{Fingerprint: p}] != nil
}

// ClearReport returns a report of the suspects that were answered in full, nil if the registry is unchanged since
// the last call or has no such suspects.
func (s *ServedCache) ClearReport(registry *Registry) *wire.CrashReport {
	if !s.checkChanged(registry) {
		return nil
	}
	list := s.among(registry)
	if len(list) == 0 {
		return nil
	}
	return &wire.CrashReport{Served: list}
}

// checkChanged reports whether the registry has changed since the last call.
func (s *ServedCache) checkChanged(registry *Registry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := registry.LastChanged() != s.checkedIndex
	s.checkedIndex = registry.LastChanged()
	return changed
}

// among lists the suspects of a registry that were answered in full before their evidence was known. Suspects that are known to
// have been answered are not listed.
func (s *ServedCache) among(registry *Registry) (list []*wire.ServedSuspect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, suspect := range registry.Suspects {
		if s.entries[key] != nil && !suspect.Served && !hasRuling(suspect) {
			list = append(list, &wire.ServedSuspect{Print: key.Fingerprint[:], Version: key.Version, Before: isPart(suspect)})
		}
	}
	return list
}
