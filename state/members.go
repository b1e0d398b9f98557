package state

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"leverdrum/wire"
)

// Rules for the list of boxes and what is derived from it:
//
//  1. Each listed run of a box has a place, a small number that stands for it in reports.
//     A place is given anew, with the index of the entry, when a box joins that has none or
//     under another incarnation or process; places of boxes that left are given again, the
//     lowest first.
//  2. Only some boxes guard keys, the same number in each data hall, guardsMost at most; all
//     of them where there are no more. Who does goes on as long as it is listed and does not
//     leave; who is missing is made good by name. So a start of 300 boxes changes the list of
//     guards some 30 times instead of 300, and each list is of 24 processes instead of 300:
//     of the 0.7 s of processor time that such a start took a box, these lists were the most.
//  3. A change of the list of guards is an epoch (package claim).

// guardsMost bounds the boxes that guard keys. Three hold each of 64 slots; 24 boxes hold 8
// slots each, and four in each of six halls outlive what a fleet loses at once.
const guardsMost = 24

// epochsLength is how many lists of guards are remembered, so that a box that was behind
// can still take over claims step by step.
const epochsLength = 48

// MemberID names one incarnation of a box.
func MemberID(m *wire.Member) string { return m.GetBox() + "/" + m.GetIncarnation() }

// ProcessID names one run of a box.
func ProcessID(m *wire.Member) string { return m.GetBox() + "/" + m.GetProcess() }

func (s *State) join(m *wire.Member) {
	old := s.Members[m.Box]
	if proto.Equal(old, m) {
		return
	}
	s.ownMembers()
	s.Members[m.Box] = m
	if old == nil || MemberID(old) != MemberID(m) || ProcessID(old) != ProcessID(m) {
		s.clearPlace(old)
		s.givePlace(m)
	}
	s.enterEpoch()
}

func (s *State) leave(l *wire.Leave) {
	m := s.Members[l.Box]
	if m == nil || m.Incarnation != l.Incarnation {
		return
	}
	s.ownMembers()
	delete(s.Members, l.Box)
	s.clearPlace(m)
	s.enterEpoch()
}

// givePlace is rule 1.
func (s *State) givePlace(m *wire.Member) {
	place := &wire.Place{Member: MemberID(m), Since: s.Index}
	roster := slices.Clone(s.Roster)
	if i := slices.IndexFunc(roster, func(p *wire.Place) bool { return p.Member == "" }); i >= 0 {
		roster[i] = place
	} else {
		roster = append(roster, place)
	}
	s.Roster = roster
}

func (s *State) clearPlace(m *wire.Member) {
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

// placeAll gives places to listed boxes that have none: a state of an earlier version has
// no roster.
func (s *State) placeAll() {
	placed := make(map[string]bool, len(s.Roster))
	for _, p := range s.Roster {
		placed[p.Member] = true
	}
	for _, box := range slices.Sorted(maps.Keys(s.Members)) {
		if m := s.Members[box]; !placed[MemberID(m)] {
			s.givePlace(m)
		}
	}
}

// enterEpoch is rule 3.
func (s *State) enterEpoch() {
	var last *wire.Epoch
	if n := len(s.Epochs); n > 0 {
		last = s.Epochs[n-1]
	}
	guards := s.guards(last)
	if last != nil && slices.EqualFunc(last.Processes, guards, func(a, b *wire.Process) bool { return a.Id == b.Id && a.Hall == b.Hall }) {
		return
	}
	next := &wire.Epoch{Number: last.GetNumber() + 1, Processes: guards}
	s.Epochs = append(slices.Clone(s.Epochs), next)
	s.Epochs = s.Epochs[max(0, len(s.Epochs)-epochsLength):]
}

// guards is rule 2, in the order of the boxes' names.
func (s *State) guards(last *wire.Epoch) []*wire.Process {
	halls := map[string]int{} // guards by hall
	staying := 0
	for _, m := range s.Members {
		if !m.Leaving {
			halls[m.Hall] = 0
			staying++
		}
	}
	most := guardsMost
	if staying > guardsMost {
		most = max(1, guardsMost/len(halls))
	}
	var chosen []string
	choose := func(box string) {
		m := s.Members[box]
		if m == nil || m.Leaving || halls[m.Hall] >= most || slices.Contains(chosen, box) {
			return
		}
		halls[m.Hall]++
		chosen = append(chosen, box)
	}
	for _, p := range last.GetProcesses() {
		choose(wire.BoxOf(p.Id))
	}
	if staying > len(chosen) {
		for _, box := range s.vacant(halls, most) {
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

// vacant lists the boxes of halls that have fewer guards than they may, by name.
func (s *State) vacant(halls map[string]int, most int) []string {
	var list []string
	for box, m := range s.Members {
		if !m.Leaving && halls[m.Hall] < most {
			list = append(list, box)
		}
	}
	slices.Sort(list)
	return list
}
