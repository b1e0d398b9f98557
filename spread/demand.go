package spread

import (
	"maps"
	"slices"
	"time"

	"leverdrum/wire"
)

const (
	// demandInterval is the time between two demand reports to the parent.
	demandInterval = 500 * time.Millisecond
	// demandTTL is the age at which a child's report is discarded.
	demandTTL = 3 * time.Second
)

func (s *Distributor) recordDemand(child string, f *wire.Follow) {
	if len(f.Demand) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.demand[child] = childDemand{s.opts.Replica.Now(), f.Demand}
}

// Demand returns the demand at this box and at all boxes that request updates through it, by
// model.
func (s *Distributor) Demand() map[string]*wire.Demand {
	sum := map[string]*wire.Demand{}
	if s.opts.Demand != nil {
		addDemand(sum, s.opts.Demand())
	}
	now := s.opts.Replica.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for child, d := range s.demand {
		if now-d.at > demandTTL {
			delete(s.demand, child)
			continue
		}
		addDemand(sum, d.list)
	}
	return sum
}

func addDemand(sum map[string]*wire.Demand, list []*wire.Demand) {
	for _, d := range list {
		old := sum[d.Model]
		if old == nil {
			old = &wire.Demand{Model: d.Model}
			sum[d.Model] = old
		}
		old.MilliRequests += d.MilliRequests
		old.MilliPlaces += d.MilliPlaces
		old.MilliReading += d.MilliReading
	}
}

// demandIfDue returns the subtree's demand if it is time to report it.
func (s *Distributor) demandIfDue() []*wire.Demand {
	if !s.isDue(&s.demandSentAt, demandInterval) {
		return nil
	}
	sum := s.Demand()
	list := make([]*wire.Demand, 0, len(sum))
	for _, model := range slices.Sorted(maps.Keys(sum)) {
		list = append(list, sum[model])
	}
	return list
}
