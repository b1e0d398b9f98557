package consensus

import "slices"

// LogPosition is what a voter says of itself while the members look for a leader.
type LogPosition struct {
	// Voters are those that it knows; nil while they change, or where it does not vote.
	Voters []string
	Term   uint64
	// LastIndex and LastTerm are where its durable log ends.
	LastIndex, LastTerm uint64
}

// LogPosition returns what this node may say. All that it tells must be durable.
func (n *Node) LogPosition() LogPosition {
	w := LogPosition{Term: n.term, LastIndex: n.log.lastIndex(), LastTerm: n.log.lastTerm()}
	if voters, settled := n.NeededVoters(); settled && slices.Contains(voters, n.opts.ID) {
		w.Voters = voters
	}
	return w
}

// HaveMajority reports whether words are those of a majority of the voters, who all know the
// same ones. There must be one word of each voter at most.
func HaveMajority(words []LogPosition) bool {
	for _, w := range words {
		if w.Voters == nil || !slices.Equal(w.Voters, words[0].Voters) {
			return false
		}
	}
	return len(words) > 0 && len(words) > len(words[0].Voters)/2
}

// CommittedIndex returns the newest index that words show to be agreed in a term (2.3); false
// when they show nothing.
func CommittedIndex(words []LogPosition, term uint64) (index uint64, ok bool) {
	if !HaveMajority(words) {
		return 0, false
	}
	var ends []uint64
	for _, w := range words {
		if w.Term == term && w.LastTerm == term {
			ends = append(ends, w.LastIndex)
		}
	}
	most := len(words[0].Voters)/2 + 1
	if len(ends) < most {
		return 0, false
	}
	slices.Sort(ends)
	return ends[len(ends)-most], true
}
