// Package membership decides who votes. It is a pure function of what the
// leader sees, so that every case can be put to it in a test.
//
// Rules:
//
//  1. There are to be as many voters as the cluster was formed with.
//  2. A voter is lost when it was silent for RepairAfter, when its box came
//     back under another incarnation, or when it says that it leaves.
//  3. A stand-in is a listed box that is heard, does not leave and has no vote.
//     Boxes with a disk come first, then those of a hall without a voter, then
//     by name. Where voters must have disks, others never stand in.
//  4. A stand-in counts only when it holds all that was agreed: it learns first.
//  5. A lost voter and its stand-in change places in one joint change, so that
//     no moment needs more boxes than before.
//  6. When no voter is lost, a voter without a disk gives way to a box with one.
//  7. Without a stand-in nothing changes: fewer voters would not be safer.
package membership

import (
	"cmp"
	"slices"
	"time"

	"leverdrum/state"
	"leverdrum/wire"
)

// heardWithin is how fresh the report of a stand-in must be (3).
const heardWithin = 4 * time.Second

// Input is what the leader sees.
type Input struct {
	Self         string // member
	Voters       []string
	WantedVoters int
	RepairAfter  time.Duration
	Members      map[string]*wire.Member // by box
	// ContactAge says how long ago a voter or learner answered.
	ContactAge map[string]time.Duration
	// CaughtUp says whether it holds everything that is agreed.
	CaughtUp map[string]bool
	// ReportAge says how long ago any box reported through the tree.
	ReportAge map[string]time.Duration
	// VotersNeedDisks keeps boxes without a disk from standing in (3).
	VotersNeedDisks bool
}

// Action is what is to be done next. At most one field is set.
type Action struct {
	// Learner names a member to send the log to.
	Learner string
	// Voters is the new list of voters.
	Voters []string
	// Reason is for the log.
	Reason string
}

// Plan returns the next action; the zero Action when there is nothing to do.
func Plan(in Input) Action {
	if lost := in.lost(); lost != "" {
		return in.replace(lost, in.standIn(in.VotersNeedDisks), "voter lost")
	}
	if len(in.Voters) < in.WantedVoters { // (1)
		return in.replace("", in.standIn(in.VotersNeedDisks), "voter missing")
	}
	if weak := in.diskless(); weak != "" { // (6)
		return in.replace(weak, in.standIn(true), "box with a disk is back")
	}
	return Action{}
}

// lost is rule 2; the longest silent voter is the first.
func (in Input) lost() string {
	worst, worstSilent := "", time.Duration(-1)
	for _, id := range in.Voters {
		if id == in.Self || !in.isLost(id) {
			continue
		}
		if in.ContactAge[id] > worstSilent {
			worst, worstSilent = id, in.ContactAge[id]
		}
	}
	return worst
}

func (in Input) isLost(id string) bool {
	m := in.Members[wire.BoxOf(id)]
	if m != nil && state.MemberID(m) != id {
		return true
	}
	return in.ContactAge[id] > in.RepairAfter || m.GetLeaving()
}

func (in Input) diskless() string {
	for _, id := range in.Voters {
		if m := in.Members[wire.BoxOf(id)]; m != nil && !m.Disk {
			return id
		}
	}
	return ""
}

// standIn is rule 3.
func (in Input) standIn(needDisk bool) string {
	covered := map[string]bool{}
	for _, id := range in.Voters {
		if m := in.Members[wire.BoxOf(id)]; m != nil && !in.isLost(id) {
			covered[m.Hall] = true
		}
	}
	var list []*wire.Member
	for _, m := range in.Members {
		id := state.MemberID(m)
		age, heard := in.ReportAge[id]
		if slices.Contains(in.Voters, id) || m.Leaving || !heard || age > heardWithin || needDisk && !m.Disk {
			continue
		}
		list = append(list, m)
	}
	if len(list) == 0 {
		return ""
	}
	best := slices.MinFunc(list, func(a, b *wire.Member) int {
		return cmp.Or(boolFirst(a.Disk, b.Disk), boolFirst(!covered[a.Hall], !covered[b.Hall]), cmp.Compare(a.Box, b.Box))
	})
	return state.MemberID(best)
}

func boolFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// replace lets the stand-in learn (4) or makes the change (5).
func (in Input) replace(old, standIn, why string) Action {
	if standIn == "" { // (7)
		return Action{}
	}
	silent, learning := in.ContactAge[standIn]
	if !learning {
		return Action{Learner: standIn, Reason: why}
	}
	if !in.CaughtUp[standIn] || silent > heardWithin {
		return Action{}
	}
	voters := slices.DeleteFunc(slices.Clone(in.Voters), func(id string) bool { return id == old })
	return Action{Voters: append(voters, standIn), Reason: why}
}
