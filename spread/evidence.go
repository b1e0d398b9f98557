package spread

import (
	"go.uber.org/zap"

	"leverdrum/event"
)

// evidence is the reason why a box considers its state current (rule 5 of the package).
type evidence int32

// The kinds of evidence.
const (
	evidenceNone     evidence = iota
	evidenceLeader            // recent update from a leader
	evidenceMajority          // most boxes are witnesses that answer, and none is ahead
	evidenceVoters            // most voters answer, and none has a newer file
)

var evidenceNames = [...]string{"none", "leader", "majority", "voters"}

// String returns the name used in logs.
func (e evidence) String() string { return evidenceNames[e] }

func (s *Distributor) evidence() evidence {
	age, fresh := s.StateAge()
	switch {
	case fresh && age <= s.opts.ConfigLease:
		return evidenceLeader
	case s.majorityConfirms():
		return evidenceMajority
	case s.votersConfirm():
		return evidenceVoters
	}
	return evidenceNone
}

func (s *Distributor) logEvidenceChange(before, now evidence) {
	view := s.opts.Replica.View()
	event.CurrentBy.Log(s.opts.Log, zap.Stringer("by", now), zap.Stringer("before", before),
		zap.Uint64("index", view.Index), zap.Uint64("number", view.Version.GetNumber()),
		zap.Uint64("file", view.Version.GetIndex()), zap.Uint64("known", s.newestKnownFile()))
}

// newestKnownFile returns the index of the newest fleet file, accepted or not, in this box's
// log or in an answer to a probe.
func (s *Distributor) newestKnownFile() uint64 {
	newest := s.opts.Replica.Status().NewestFile
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.probes {
		newest = max(newest, p.position.newestFile)
	}
	return newest
}
