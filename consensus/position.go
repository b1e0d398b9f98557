package consensus

import "slices"

// LogPosition is what a voter reports of itself while the members have no leader.
type LogPosition struct {
	// Voters are the voters that it knows; nil while they change, or if it does not vote.
	Voters []string
	Term   uint64
	// LastIndex and LastTerm are those of the last entry of its durable log.
	LastIndex, LastTerm uint64
}

// LogPosition returns the node's last log position. The caller must first make the
// node's pending output durable.
func (n *Node) LogPosition() LogPosition {
	w := LogPosition{Term: n.term, LastIndex: n.log.lastIndex(), LastTerm: n.log.lastTerm()}
	if voters, settled := n.NeededVoters(); settled && slices.Contains(voters, n.opts.ID) {
		w.Voters = voters
	}
	return w
}

// HaveMajority reports whether positions are those of a majority of the voters, which all
// know the same voters. There must be at most one position of each voter.
func HaveMajority(positions []LogPosition) bool {
	for _, w := range positions {
		if w.Voters == nil || !slices.Equal(w.Voters, positions[0].Voters) {
			return false
		}
	}
	return len(positions) > 0 && len(positions) > len(positions[0].Voters)/2
}

// CommittedIndex returns the newest index that positions prove to be committed in a
// term (2.3), or false if they prove nothing.
func CommittedIndex(positions []LogPosition, term uint64) (index uint64, ok bool) {
	if !HaveMajority(positions) {
		return 0, false
	}
	var ends []uint64
	for _, w := range positions {
		if w.Term == term && w.LastTerm == term {
			ends = append(ends, w.LastIndex)
		}
	}
	quorum := len(positions[0].Voters)/2 + 1
	if len(ends) < quorum {
		return 0, false
	}
	slices.Sort(ends)
	return ends[len(ends)-quorum], true
}
