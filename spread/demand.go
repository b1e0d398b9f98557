package spread

import (
	"maps"
	"slices"
	"time"

	"leverdrum/wire"
)

const (
	// demandEvery is the time between two reports of demand to the parent.
	demandEvery = 500 * time.Millisecond
	// forgetDemand is the age at which a child's report counts no more.
	forgetDemand = 3 * time.Second
)

func (s *Distributor) noteDemand(child string, f *wire.Follow) {
	if len(f.Demand) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.demand[child] = demandOf{s.opts.Replica.Now(), f.Demand}
}

// Demand returns what this box and all that ask through it were asked for, by
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
		if now-d.at > forgetDemand {
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

// dueDemand returns the subtree's demand when it is time to report it.
func (s *Distributor) dueDemand() []*wire.Demand {
	if !s.due(&s.demandAt, demandEvery) {
		return nil
	}
	sum := s.Demand()
	list := make([]*wire.Demand, 0, len(sum))
	for _, model := range slices.Sorted(maps.Keys(sum)) {
		list = append(list, sum[model])
	}
	return list
}
