// Package membership selects the voters. Plan is a pure function of what the leader observes,
// so that tests can cover every case.
//
// Rules:
//
//  1. The number of voters stays the one that the cluster was formed with.
//  2. A voter is lost if it was unresponsive for RepairAfter, if its box came back as another
//     incarnation, or if it reports that it is draining.
//  3. A replacement is a listed box with a recent report that is not draining and not a voter.
//     Boxes with a disk come first, then those in a hall without a voter, then by name. Where
//     voters need disks, other boxes are never chosen.
//  4. A replacement becomes a voter only when it has everything that is committed: it is a
//     learner first.
//  5. A lost voter and its replacement are exchanged in a single joint configuration change, so
//     that at no time more boxes are needed than before.
//  6. When no voter is lost, a voter without a disk is replaced by a box with one.
//  7. Without a replacement nothing changes: fewer voters would not be safer.
package membership

import (
	"cmp"
	"slices"
	"time"

	"leverdrum/state"
	"leverdrum/wire"
)

// maxReportAge is the maximum age of a replacement's last report, and of its last contact
// as a learner (3, 4).
const maxReportAge = 4 * time.Second

// Input is the state that the leader observes.
type Input struct {
	Self         string // member ID of the leader
	Voters       []string
	WantedVoters int
	RepairAfter  time.Duration
	Members      map[string]*wire.Member // by box
	// ContactAge is the time since a voter or learner last responded, by member ID.
	ContactAge map[string]time.Duration
	// CaughtUp reports whether a voter or learner has everything that is committed, by member
	// ID.
	CaughtUp map[string]bool
	// ReportAge is the time since a box last reported through the tree, by member ID.
	ReportAge map[string]time.Duration
	// VotersNeedDisks excludes boxes without a disk as replacements (3).
	VotersNeedDisks bool
}

// Action is the next step. Either Learner or Voters is set, or neither.
type Action struct {
	// Learner is the member to add as a learner.
	Learner string
	// Voters is the new set of voters.
	Voters []string
	// Reason is logged with the change.
	Reason string
}

// Plan returns the next action, or the zero Action if nothing has to change.
func Plan(in Input) Action {
	if lost := in.lostVoter(); lost != "" {
		return in.replace(lost, in.replacement(in.VotersNeedDisks), "voter lost")
	}
	if len(in.Voters) < in.WantedVoters { // (1)
		return in.replace("", in.replacement(in.VotersNeedDisks), "voter missing")
	}
	if diskless := in.disklessVoter(); diskless != "" { // (6)
		return in.replace(diskless, in.replacement(true), "box with a disk is back")
	}
	return Action{}
}

// lostVoter returns a lost voter, or "" if there is none (2). Of several, it returns the
// one that has been unresponsive longest. The leader itself is never lost.
func (in Input) lostVoter() string {
	longest, longestAge := "", time.Duration(-1)
	for _, id := range in.Voters {
		if id == in.Self || !in.isLost(id) {
			continue
		}
		if in.ContactAge[id] > longestAge {
			longest, longestAge = id, in.ContactAge[id]
		}
	}
	return longest
}

func (in Input) isLost(id string) bool {
	m := in.Members[wire.BoxOf(id)]
	if m != nil && state.MemberID(m) != id {
		return true
	}
	return in.ContactAge[id] > in.RepairAfter || m.GetLeaving()
}

// disklessVoter returns a voter without a disk, or "" if there is none (6).
func (in Input) disklessVoter() string {
	for _, id := range in.Voters {
		if m := in.Members[wire.BoxOf(id)]; m != nil && !m.Disk {
			return id
		}
	}
	return ""
}

// replacement returns the preferred replacement for a voter, or "" if there is none (3).
func (in Input) replacement(needDisk bool) string {
	covered := map[string]bool{}
	for _, id := range in.Voters {
		if m := in.Members[wire.BoxOf(id)]; m != nil && !in.isLost(id) {
			covered[m.Hall] = true
		}
	}
	var candidates []*wire.Member
	for _, m := range in.Members {
		id := state.MemberID(m)
		age, reported := in.ReportAge[id]
		if slices.Contains(in.Voters, id) || m.Leaving || !reported || age > maxReportAge || needDisk && !m.Disk {
			continue
		}
		candidates = append(candidates, m)
	}
	if len(candidates) == 0 {
		return ""
	}
	best := slices.MinFunc(candidates, func(a, b *wire.Member) int {
		return cmp.Or(compareTrueFirst(a.Disk, b.Disk), compareTrueFirst(!covered[a.Hall], !covered[b.Hall]), cmp.Compare(a.Box, b.Box))
	})
	return state.MemberID(best)
}

// compareTrueFirst orders true before false.
func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// replace adds the replacement as a learner (4). Once it has caught up, replace exchanges
// the two in the set of voters (5).
func (in Input) replace(removed, added, reason string) Action {
	if added == "" { // (7)
		return Action{}
	}
	contactAge, learning := in.ContactAge[added]
	if !learning {
		return Action{Learner: added, Reason: reason}
	}
	if !in.CaughtUp[added] || contactAge > maxReportAge {
		return Action{}
	}
	voters := slices.DeleteFunc(slices.Clone(in.Voters), func(id string) bool { return id == removed })
	return Action{Voters: append(voters, added), Reason: reason}
}
