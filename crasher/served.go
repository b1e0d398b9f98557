package crasher

import (
	"container/list"
	"sync"

	"leverdrum/wire"
)

// servedMost is how many answered requests a box remembers: 16 bytes each and some 150 of upkeep, 0.2 MB.
// At nine requests a second these are the last two minutes.
const servedMost = 1024

// ServedCache remembers which requests a box saw answered in full lately (5), the newest first.
type ServedCache struct {
	mu      sync.Mutex
	order   *list.List // of Key
	where   map[Key]*list.Element
	checked uint64 // change of the agreed table that was looked at last
}

// NewServedCache returns an empty memory.
func NewServedCache() *ServedCache {
	return &ServedCache{order: list.New(), where: map[Key]*list.Element{}}
}

// Record takes in that servers of a version answered a request in full.
func (s *ServedCache) Record(p Fingerprint, version string) {
	key := Key{p, version}
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.where[key]; e != nil {
		s.order.MoveToFront(e)
		return
	}
	s.where[key] = s.order.PushFront(key)
	if s.order.Len() > servedMost {
		last := s.order.Back()
		s.order.Remove(last)
		delete(s.where, last.Value.(Key))
	}
}

// ClearReport returns what is to be told of suspects that were answered in full, nil where there is nothing new.
func (s *ServedCache) ClearReport(b *Registry) *wire.CrashReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b.LastChanged() == s.checked {
		return nil
	}
	s.checked = b.LastChanged()
	r := &wire.CrashReport{}
	for key := range b.Suspects {
		if s.where[key] != nil && b.Suspected(key.Fingerprint, key.Version) {
			r.Served = append(r.Served, &wire.ServedSuspect{Print: key.Fingerprint[:], Version: key.Version})
		}
	}
	if len(r.Served) == 0 {
		return nil
	}
	return r
}
