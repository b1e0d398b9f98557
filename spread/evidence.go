package spread

import (
	"go.uber.org/zap"

	"leverdrum/event"
)

// evidence is what shows a box that its state is current (rule 5 of the package).
type evidence int32

// The kinds of evidence.
const (
	byNone     evidence = iota
	byLeader            // recent news from a leader
	byMajority          // most boxes are witnesses that answer, and none is ahead
	byVoters            // most voters answer and none knows a newer file
)

var evidenceNames = [...]string{"none", "leader", "majority", "voters"}

// String returns the name as it stands in logs.
func (e evidence) String() string { return evidenceNames[e] }

func (s *Distributor) evidence() evidence {
	age, fresh := s.StateAge()
	switch {
	case fresh && age <= s.opts.ConfigLease:
		return byLeader
	case s.majorityAgrees():
		return byMajority
	case s.votersAgree():
		return byVoters
	}
	return byNone
}

func (s *Distributor) logEvidence(before, now evidence) {
	view := s.opts.Replica.View()
	event.CurrentBy.Log(s.opts.Log, zap.Stringer("by", now), zap.Stringer("before", before),
		zap.Uint64("index", view.Index), zap.Uint64("number", view.Version.GetNumber()),
		zap.Uint64("file", view.Version.GetIndex()), zap.Uint64("known", s.newestKnown()))
}

// newestKnown returns the index of the newest fleet file that the own log or an answer to a
// probe has shown, accepted or not.
func (s *Distributor) newestKnown() uint64 {
	newest := s.opts.Replica.Status().NewestFile
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.probes {
		newest = max(newest, p.word.file)
	}
	return newest
}
