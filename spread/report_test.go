package spread

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"leverdrum/internal/fixed"
	"leverdrum/state"
	"leverdrum/wire"
)

func TestMain(m *testing.M) {
	fixed.Rapid(200)
	m.Run()
}

func member(box, process int) *wire.Member {
	return &wire.Member{Box: fmt.Sprintf("box%03d", box), Incarnation: fmt.Sprint("i", process), Process: fmt.Sprint("p", process), Hall: "a"}
}

// viewOf returns a state at an index that lists members, of which the first ones (listed) are in
// the roster.
func viewOf(index uint64, members []*wire.Member, listed int) *state.State {
	st := state.New()
	st.Index = index
	for i, m := range members {
		st.Members[m.Box] = m
		if i < listed {
			st.Roster = append(st.Roster, &wire.Place{Member: state.MemberID(m), Since: 1})
		}
	}
	return st
}

// TestReportKeepsHoldings checks that a report names the same boxes with the same indexes and with
// ages at most one step older, but no box that has restarted since or whose roster index now
// belongs to another box.
func TestReportKeepsHoldings(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(rt, "boxes")
		listed := rapid.IntRange(0, n).Draw(rt, "listed")
		var members []*wire.Member
		var holdings []*wire.Holding
		want := map[string]*wire.Holding{}
		receiver := viewOf(8, nil, 0)
		for i := range n {
			members = append(members, member(i, 1))
			entry := &wire.Place{Member: state.MemberID(members[i]), Since: 1}
			kept := true
			switch rapid.IntRange(0, 3).Draw(rt, "since") {
			case 1:
				entry.Since, kept = 8, false // another process of it
			case 2:
				entry, kept = &wire.Place{Member: state.MemberID(member(100+i, 1)), Since: 8}, false
			case 3:
				entry, kept = &wire.Place{Since: 8}, false
			}
			receiver.Roster = append(receiver.Roster, entry)
			if !rapid.Bool().Draw(rt, "reported") {
				continue
			}
			h := &wire.Holding{Member: state.MemberID(members[i]), Index: rapid.Uint64Range(1, 3).Draw(rt, "index"), AgeMs: rapid.Uint32Range(0, 2000).Draw(rt, "age")}
			holdings = append(holdings, h)
			if kept || i >= listed {
				want[h.Member] = h
			}
		}
		got := unpackHoldings(packHoldings(holdings, viewOf(7, members, listed)), 7, receiver)
		if len(got) != len(want) {
			rt.Fatalf("got %d rows, want %d", len(got), len(want))
		}
		for _, h := range got {
			w := want[h.Member]
			if w == nil || h.Index != w.Index || h.AgeMs < w.AgeMs || h.AgeMs >= w.AgeMs+uint32(ageStep.Milliseconds()) {
				rt.Fatalf("holding %v was reported as %v", w, h)
			}
		}
	})
}

func TestReportFromAheadBoxIsIgnored(t *testing.T) {
	m := []*wire.Member{member(0, 1)}
	r := packHoldings([]*wire.Holding{{Member: state.MemberID(m[0]), Index: 5}}, viewOf(8, m, 1))
	NewWithT(t).Expect(unpackHoldings(r, 8, viewOf(7, m, 1))).To(BeEmpty(), "its roster indexes may belong to other boxes")
}

// TestTree checks a tree of 400 boxes in nine halls, three of them with a disk: no box has more
// children than the fan-out, the leader has few, and all paths are short. It guards against boxes
// without a vote that take the voters for boxes of their hall, by which a third of all boxes asked
// the leader.
func TestTree(t *testing.T) {
	g := NewWithT(t)
	st := state.New()
	for i := range 400 {
		m := &wire.Member{Box: fmt.Sprintf("box%03d", i), Hall: fmt.Sprint("hall", i%9), Disk: i < 3}
		st.Members[m.Box] = m
	}
	children := map[string]int{}
	for _, m := range st.Members {
		children[treeParent(st, m)]++
		steps := 0
		for at := m; !at.Disk; steps++ {
			at = st.Members[treeParent(st, at)]
			g.Expect(steps).To(BeNumerically("<", 5), m.Box)
			g.Expect(at.Hall == m.Hall || at.Disk).To(BeTrue(), "%s has a diskless parent in another hall", m.Box)
		}
	}
	g.Expect(children[""]).To(Equal(3), "only boxes with a disk ask the leader")
	disks := children["box000"] + children["box001"] + children["box002"]
	g.Expect(disks).To(Equal(9), "one box per hall")
	for box, n := range children {
		g.Expect(n).To(BeNumerically("<=", fanOut), box)
	}
}

// TestReportOf400BoxesIsSmall bounds what a leader receives in a second.
func TestReportOf400BoxesIsSmall(t *testing.T) {
	var members []*wire.Member
	var holdings []*wire.Holding
	for i := range 400 {
		members = append(members, member(i, 1))
		holdings = append(holdings, &wire.Holding{Member: state.MemberID(members[i]), Index: 1_000_000 + uint64(i%2), AgeMs: uint32(i%7) * 200})
	}
	size := func(r report) int {
		return proto.Size(&wire.Follow{Index: 7, Sets: r.sets, Subtree: r.rows})
	}
	g := NewWithT(t)
	g.Expect(size(packHoldings(holdings, viewOf(7, members, 400)))).To(BeNumerically("<", 1000))
	g.Expect(size(report{rows: holdings})).To(BeNumerically(">", 7000), "one row per box")
}
