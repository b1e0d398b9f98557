package spread

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"leverdrum/state"
	"leverdrum/wire"
)

// ageStep is the unit to which ages are rounded up in a report, so that few sets describe
// many boxes. Each level of the tree adds one step at most.
const ageStep = 250 * time.Millisecond

// report lists the applied indexes of boxes for the parent: sets of indexes in the sender's
// roster, and single rows for boxes that are not in it. Sets identify each box, so that a box
// that changed its parent is not counted twice. A report of 400 boxes takes some hundred
// bytes.
type report struct {
	sets []*wire.HoldingSet
	rows []*wire.Holding
}

// holdingKey is what the boxes of one set have in common.
type holdingKey struct {
	index uint64
	age   uint32 // ms
}

// packHoldings builds a report with the roster of a view, which must be at the index that the
// sender gives as applied.
func packHoldings(holdings []*wire.Holding, view *state.State) report {
	r := report{}
	indexes := make(map[string]int, len(view.Roster))
	for i, p := range view.Roster {
		indexes[p.Member] = i
	}
	sets := map[holdingKey][]byte{}
	for _, h := range holdings {
		i, listed := indexes[h.Member]
		if !listed {
			r.rows = append(r.rows, h)
			continue
		}
		k := holdingKey{h.Index, roundAge(h.AgeMs)}
		sets[k] = setBit(sets[k], i)
	}
	keys := slices.SortedFunc(maps.Keys(sets), func(a, b holdingKey) int {
		return cmp.Or(cmp.Compare(a.index, b.index), cmp.Compare(a.age, b.age))
	})
	for _, k := range keys {
		r.sets = append(r.sets, &wire.HoldingSet{Index: k.index, AgeMs: k.age, Places: sets[k]})
	}
	return r
}

// unpackHoldings returns the rows of a report that was built at an index. A roster index that
// was reassigned since then denotes another box. If the sender is ahead, this box does not
// know which roster indexes it has reassigned, so its sets are ignored; the next report comes
// within a second.
func unpackHoldings(r report, index uint64, view *state.State) []*wire.Holding {
	rows := r.rows
	if index > view.Index {
		return rows
	}
	for _, s := range r.sets {
		for i, p := range view.Roster {
			if p.Member != "" && p.Since <= index && hasBit(s.Places, i) {
				rows = append(rows, &wire.Holding{Member: p.Member, Index: s.Index, AgeMs: s.AgeMs})
			}
		}
	}
	return rows
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
