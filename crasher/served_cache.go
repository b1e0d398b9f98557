package crasher

import (
	"container/list"
	"sync"

	"leverdrum/wire"
)

// maxServed is the number of answered requests that a box remembers. Each takes 16 bytes and some 150 bytes of
// overhead, 0.2 MB in total. At nine requests a second they cover the last two minutes.
const maxServed = 1024

// ServedCache remembers which requests a box recently saw answered in full (5), the newest first.
type ServedCache struct {
	mu           sync.Mutex
	order        *list.List // of Key
	entries      map[Key]*list.Element
	checkedIndex uint64 // LastChanged of the registry that was checked last
}

// NewServedCache returns an empty cache.
func NewServedCache() *ServedCache {
	return &ServedCache{order: list.New(), entries: map[Key]*list.Element{}}
}

// Record records that servers of a version answered a request in full.
func (s *ServedCache) Record(p Fingerprint, version string) {
	key := Key{p, version}
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.entries[key]; e != nil {
		s.order.MoveToFront(e)
		return
	}
	s.entries[key] = s.order.PushFront(key)
	if s.order.Len() > maxServed {
		last := s.order.Back()
		s.order.Remove(last)
		delete(s.entries, last.Value.(Key))
	}
}

// ClearReport returns a report of the suspects that were answered in full, nil if the registry is unchanged since
// the last call or has no such suspects.
func (s *ServedCache) ClearReport(registry *Registry) *wire.CrashReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	if registry.LastChanged() == s.checkedIndex {
		return nil
	}
	s.checkedIndex = registry.LastChanged()
	r := &wire.CrashReport{}
	for key := range registry.Suspects {
		if s.entries[key] != nil && registry.Suspected(key.Fingerprint, key.Version) {
			r.Served = append(r.Served, &wire.ServedSuspect{Print: key.Fingerprint[:], Version: key.Version})
		}
	}
	if len(r.Served) == 0 {
		return nil
	}
	return r
}
