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

// HaveMajority reports whether a majority of the voters of one list report that list. Others may
// report another one: a voter that was removed while it was down keeps the list of that time. Once a
// change of the list begins to take effect, its joint configuration is in the logs of a majority of the
// previous voters (2.6), and these no longer report the previous list. So at most the newest committed
// list is reported by a majority of its voters, and one of them holds each committed entry. There must
// be at most one position of each voter.
func HaveMajority(positions []LogPosition) bool { return agreeing(positions) != nil }

// agreeing returns the positions of a majority of voters that report the same list, or nil.
func agreeing(positions []LogPosition) []LogPosition {
	for i, p := range positions {
		if p.Voters == nil || slices.ContainsFunc(positions[:i], func(q LogPosition) bool { return slices.Equal(q.Voters, p.Voters) }) {
			continue
		}
		var same []LogPosition
		for _, q := range positions[i:] {
			if slices.Equal(q.Voters, p.Voters) {
				same = append(same, q)
			}
		}
		if len(same) > len(p.Voters)/2 {
			return same
		}
	}
	return nil
}

// CommittedIndex returns the newest index that positions prove to be committed in a
// term (2.3), or false if they prove nothing.
func CommittedIndex(positions []LogPosition, term uint64) (index uint64, ok bool) {
	voters := agreeing(positions)
	if voters == nil {
		return 0, false
	}
	var ends []uint64
	for _, w := range voters {
		if w.Term == term && w.LastTerm == term {
			ends = append(ends, w.LastIndex)
		}
	}
	quorum := len(voters[0].Voters)/2 + 1
	if len(ends) < quorum {
		return 0, false
	}
	slices.Sort(ends)
	return ends[len(ends)-quorum], true
}
