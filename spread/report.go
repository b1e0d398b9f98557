package spread

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"leverdrum/state"
	"leverdrum/wire"
)

// ageStep is what ages are rounded up to in a report, so that few sets say what
// many boxes hold. Each step up the tree adds at most so much.
const ageStep = 250 * time.Millisecond

// report is what boxes have in force, as it goes up the tree: sets of an epoch's
// processes, and single rows for boxes that the epoch does not list. Sets name
// each box, so that one that changed its parent is not counted twice; a report of
// 400 boxes takes some hundred bytes.
type report struct {
	epoch uint64
	sets  []*wire.HoldingSet
	rows  []*wire.Holding
}

// kindOfHolding is what the boxes of one set have in common.
type kindOfHolding struct {
	index uint64
	age   uint32 // ms
}

// pack makes a report under the newest epoch.
func pack(holdings []*wire.Holding, view *state.State) report {
	r := report{}
	place := map[string]int{}
	if n := len(view.Epochs); n > 0 {
		r.epoch = view.Epochs[n-1].Number
		place = placesIn(view.Epochs[n-1], view)
	}
	sets := map[kindOfHolding][]byte{}
	for _, h := range holdings {
		i, listed := place[h.Member]
		if !listed {
			r.rows = append(r.rows, h)
			continue
		}
		k := kindOfHolding{h.Index, roundAge(h.AgeMs)}
		sets[k] = setBit(sets[k], i)
	}
	kinds := slices.SortedFunc(maps.Keys(sets), func(a, b kindOfHolding) int {
		return cmp.Or(cmp.Compare(a.index, b.index), cmp.Compare(a.age, b.age))
	})
	for _, k := range kinds {
		r.sets = append(r.sets, &wire.HoldingSet{Index: k.index, AgeMs: k.age, Processes: sets[k]})
	}
	return r
}

// unpack returns the rows of a report. Sets under an epoch that this box does not
// know yet, or no longer, tell it nothing; the next report comes within a second.
func unpack(r report, view *state.State) []*wire.Holding {
	rows := r.rows
	i := slices.IndexFunc(view.Epochs, func(e *wire.Epoch) bool { return e.Number == r.epoch })
	if i < 0 {
		return rows
	}
	for member, at := range placesIn(view.Epochs[i], view) {
		for _, s := range r.sets {
			if hasBit(s.Processes, at) {
				rows = append(rows, &wire.Holding{Member: member, Index: s.Index, AgeMs: s.AgeMs})
			}
		}
	}
	return rows
}

// placesIn returns the places of members in an epoch's list. A box that has
// started again since is another process and has none.
func placesIn(e *wire.Epoch, view *state.State) map[string]int {
	byProcess := make(map[string]string, len(view.Members))
	for _, m := range view.Members {
		byProcess[state.ProcessID(m)] = state.MemberID(m)
	}
	places := make(map[string]int, len(e.Processes))
	for i, p := range e.Processes {
		if member, listed := byProcess[p.Id]; listed {
			places[member] = i
		}
	}
	return places
}

func roundAge(ms uint32) uint32 {
	step := uint32(ageStep.Milliseconds())
	return (ms + step - 1) / step * step
}

func setBit(set []byte, i int) []byte {
	for len(set) <= i/8 {
		set = append(set, 0)
	}
	set[i/8] |= 1 << (i % 8)
	return set
}

func hasBit(set []byte, i int) bool { return i/8 < len(set) && set[i/8]&(1<<(i%8)) != 0 }
