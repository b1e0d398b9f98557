package state_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"leverdrum/level"
	"leverdrum/state"
	"leverdrum/wire"
)

func evacuate(hall string, undo bool) *wire.Command {
	return &wire.Command{Kind: &wire.Command_Evacuate{Evacuate: &wire.EvacuateHall{Hall: hall, Undo: undo}}, UnixMs: 7}
}

// A replicated evacuation must survive snapshots, have no effect below the level that introduces it, and end only when it
// is undone.
func TestEvacuationLastsUntilUndone(t *testing.T) {
	g := NewWithT(t)
	l := newTestLog(t)
	l.apply(evacuate("h", false))
	g.Expect(l.st.Evacuated("h")).To(BeFalse(), "builds below the level do not support it")
	l.apply(raise(level.Evacuations))
	l.apply(evacuate("h", false))
	l.apply(evacuate("h", false))
	g.Expect(l.st.Evacuated("h")).To(BeTrue())
	g.Expect(l.st.Evacuated("other")).To(BeFalse())

	again, err := state.Decode(l.st.Encode())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again.Evacuated("h")).To(BeTrue())
	g.Expect(proto.Equal(again.Encode(), l.st.Encode())).To(BeTrue())

	before := l.st.Clone()
	l.apply(evacuate("h", true))
	l.apply(evacuate("h", true))
	g.Expect(l.st.Evacuated("h")).To(BeFalse())
	g.Expect(before.Evacuated("h")).To(BeTrue(), "a clone does not change with the original")
}

func TestServersInEvacuatedHallAreExcluded(t *testing.T) {
	g := NewWithT(t)
	l := newTestLog(t)
	l.apply(raise(level.Evacuations))
	l.announce(server("i1", model()))
	other := server("i2", model())
	other.Hall, other.Address = "k", "10.0.0.2:1"
	l.announce(other)
	l.apply(evacuate("h", false))
	unload := func(id string) *wire.Order {
		return &wire.Order{Action: wire.OrderAction_ORDER_UNLOAD, Server: id, Item: model(), Memory: 60}
	}
	g.Expect(l.order(unload("i2")).Err).To(MatchError(ContainSubstring("no other ready copy")))
	load := &wire.Order{Action: wire.OrderAction_ORDER_LOAD, Server: "i1", Item: adapter("a1"), Memory: 1}
	g.Expect(l.order(load).Err).To(MatchError(ContainSubstring("evacuated")))
	g.Expect(l.st.KnowsHall("h")).To(BeTrue())
	g.Expect(l.st.KnowsHall("x")).To(BeFalse())
}

// A server that reports that it is warming up, or that is unresponsive, gets the warm-up rate of its service.
func TestWarmUpLimit(t *testing.T) {
	g := NewWithT(t)
	l := newTestLog(t)
	l.st.Fleet.Pools["p"].WarmUpRate = 6.9
	cold := server("i1", model())
	cold.Cold = true
	l.announce(cold)
	g.Expect(l.st.WarmUpLimit("i1")).To(BeZero(), "builds below the level do not support it")
	l.apply(raise(level.Evacuations))
	l.announce(cold)
	g.Expect(l.st.WarmUpLimit("i1").PerSecond()).To(BeNumerically("~", 6.9, 0.01))
	l.announce(server("i1", model()))
	g.Expect(l.st.WarmUpLimit("i1")).To(BeZero())
	silent := server("i1", model())
	silent.Silent = true
	l.announce(silent)
	g.Expect(l.st.WarmUpLimit("i1")).NotTo(BeZero(), "it may be restarting")
	g.Expect(l.st.WarmUpLimit("unknown")).To(BeZero())
}
