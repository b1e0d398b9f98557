package state

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"leverdrum/wire"
)

// Rules for the list of boxes and the state derived from it:
//
//  1. Each listed run of a box has a roster index, a small number that identifies it in reports. An index is assigned,
//     with the index of the log entry, when a box joins that has none, or joins under another incarnation or process.
//     Indexes of removed boxes are reused, lowest first.
//  2. Only some boxes are claim replicas (they store the claims on keys): at most maxClaimReplicas, with the same number
//     in each data hall, or all boxes if there are no more than that. A replica stays one while it is listed and not
//     draining. Missing replicas are replaced in the order of names. So a start of 300 boxes changes the list of replicas
//     about 30 times instead of 300, and each list has 24 processes instead of 300. Without this bound, these lists
//     were the largest part of the 0.7 s of processor time that such a start took on each box.
//  3. A change of the list of claim replicas starts a new epoch (package claim).

// maxClaimReplicas bounds the claim replicas. Three boxes hold each of 64 slots, so 24 boxes hold 8 slots each. Four
// replicas in each of six halls survive the simultaneous failures that a fleet has to expect.
const maxClaimReplicas = 24

// maxEpochs bounds the remembered lists of claim replicas. A box that fell behind uses them to transfer claims step by
// step.
const maxEpochs = 48

// MemberID identifies one incarnation of a box.
func MemberID(m *wire.Member) string { return m.GetBox() + "/" + m.GetIncarnation() }

// ProcessID identifies one run of a box.
func ProcessID(m *wire.Member) string { return m.GetBox() + "/" + m.GetProcess() }

// VotersHaveDisks reports whether all voters are listed with a disk. Others lose the state when all boxes are killed.
func (s *State) VotersHaveDisks(voters []string) bool {
	for _, id := range voters {
		if m := s.Members[wire.BoxOf(id)]; m == nil || !m.Disk || MemberID(m) != id {
			return false
		}
	}
	return len(voters) > 0
}

func (s *State) join(m *wire.Member) {
	old := s.Members[m.Box]
	if proto.Equal(old, m) {
		return
	}
	s.ownMembers()
	s.Members[m.Box] = m
	if old == nil || MemberID(old) != MemberID(m) || ProcessID(old) != ProcessID(m) {
		s.releaseIndex(old)
		s.assignIndex(m)
	}
	s.updateEpoch()
}

func (s *State) leave(l *wire.Leave) {
	m := s.Members[l.Box]
	if m == nil || m.Incarnation != l.Incarnation {
		return
	}
	s.ownMembers()
	delete(s.Members, l.Box)
	s.releaseIndex(m)
	s.updateEpoch()
}

// assignIndex assigns a member the lowest free roster index, with the index of the log entry (1).
func (s *State) assignIndex(m *wire.Member) {
	entry := &wire.Place{Member: MemberID(m), Since: s.Index}
	roster := slices.Clone(s.Roster)
	if i := slices.IndexFunc(roster, func(p *wire.Place) bool { return p.Member == "" }); i >= 0 {
		roster[i] = entry
	} else {
		roster = append(roster, entry)
	}
	s.Roster = roster
}

func (s *State) releaseIndex(m *wire.Member) {
	if m == nil {
		return
	}
	id := MemberID(m)
	i := slices.IndexFunc(s.Roster, func(p *wire.Place) bool { return p.Member == id })
	if i < 0 {
		return
	}
	s.Roster = slices.Clone(s.Roster)
	s.Roster[i] = &wire.Place{Since: s.Index}
}

// assignMissingIndexes assigns roster indexes to listed boxes without one: the state of an earlier version has no roster.
func (s *State) assignMissingIndexes() {
	assigned := make(map[string]bool, len(s.Roster))
	for _, p := range s.Roster {
		assigned[p.Member] = true
	}
	for _, box := range slices.Sorted(maps.Keys(s.Members)) {
		if m := s.Members[box]; !assigned[MemberID(m)] {
			s.assignIndex(m)
		}
	}
}

// updateEpoch starts a new epoch if the list of claim replicas has changed (3).
func (s *State) updateEpoch() {
	var last *wire.Epoch
	if n := len(s.Epochs); n > 0 {
		last = s.Epochs[n-1]
	}
	replicas := s.claimReplicas(last)
	if last != nil && slices.EqualFunc(last.Processes, replicas, func(a, b *wire.Process) bool { return a.Id == b.Id && a.Hall == b.Hall }) {
		return
	}
	next := &wire.Epoch{Number: last.GetNumber() + 1, Processes: replicas}
	s.Epochs = append(slices.Clone(s.Epochs), next)
	s.Epochs = s.Epochs[max(0, len(s.Epochs)-maxEpochs):]
}

// claimReplicas selects the claim replicas: those of the last epoch that are still listed and not draining come first
// (2). The list is in the order of the boxes' names.
func (s *State) claimReplicas(last *wire.Epoch) []*wire.Process {
	halls := map[string]int{} // claim replicas by hall
	active := 0
	for _, m := range s.Members {
		if !m.Leaving {
			halls[m.Hall] = 0
			active++
		}
	}
	maxPerHall := maxClaimReplicas
	if active > maxClaimReplicas {
		maxPerHall = max(1, maxClaimReplicas/len(halls))
	}
	var chosen []string
	choose := func(box string) {
		m := s.Members[box]
		if m == nil || m.Leaving || halls[m.Hall] >= maxPerHall || slices.Contains(chosen, box) {
			return
		}
		halls[m.Hall]++
		chosen = append(chosen, box)
	}
	for _, p := range last.GetProcesses() {
		choose(wire.BoxOf(p.Id))
	}
	if active > len(chosen) {
		for _, box := range s.candidates(halls, maxPerHall) {
			choose(box)
		}
	}
	slices.Sort(chosen)
	list := make([]*wire.Process, 0, len(chosen))
	for _, box := range chosen {
		m := s.Members[box]
		list = append(list, &wire.Process{Id: ProcessID(m), Hall: m.Hall})
	}
	return list
}

// candidates returns, by name, the boxes in halls that have fewer than the maximum number of claim replicas.
func (s *State) candidates(halls map[string]int, maxPerHall int) []string {
	var list []string
	for box, m := range s.Members {
		if !m.Leaving && halls[m.Hall] < maxPerHall {
			list = append(list, box)
		}
	}
	slices.Sort(list)
	return list
}
