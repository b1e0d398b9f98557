package state_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"leverdrum/fleet"
	"leverdrum/ledger"
	"leverdrum/level"
	"leverdrum/state"
	"leverdrum/wire"
)

// poolFormat is a codec whose fleet has one pool with a model and three adapters.
const poolFormat = "test-pool"

func init() {
	decode := func(_ level.Level, _ []byte) (*fleet.Fleet, error) {
		f := fleet.New()
		f.Number = 1
		f.Pools["p"] = &fleet.Pool{Name: "p", Kind: &fleet.Kind{Name: "p", Accelerators: 1, Memory: 100, Concurrency: 4, CountsOrders: true, AdapterSlots: 2}}
		f.Models["m"] = &fleet.Model{Name: "m", Version: "v", Memory: 60, MinCopies: 1, MaxCopies: 9, Pool: "p"}
		for _, name := range []string{"m/a1", "m/a2", "m/a3"} {
			f.Adapters[name] = &fleet.Adapter{Name: name, Model: "m", Version: "v", Memory: 1, OnDemand: true}
		}
		return f, nil
	}
	fleet.Register(poolFormat, fleet.Codec{Decode: decode})
}

type testLog struct {
	t  *testing.T
	st *state.State
}

func newTestLog(t *testing.T) *testLog {
	l := &testLog{t, state.New()}
	l.apply(&wire.Command{Kind: &wire.Command_Apply{Apply: &wire.ApplyFleet{Number: 1, Format: poolFormat, Text: "x", Digest: fleet.Digest([]byte("x"))}}})
	return l
}

func (l *testLog) apply(c *wire.Command) state.Result {
	data, err := proto.Marshal(c)
	if err != nil {
		l.t.Fatal(err)
	}
	return l.st.Apply(&wire.Entry{Index: l.st.Index + 1, Term: 1, Kind: wire.EntryKind_ENTRY_COMMAND, Data: data})
}

func (l *testLog) announce(a *wire.Announcement) {
	l.apply(&wire.Command{Kind: &wire.Command_Announce{Announce: a}})
}

func (l *testLog) order(o *wire.Order) state.Result {
	o.ServerIncarnation = o.Server
	return l.apply(&wire.Command{Kind: &wire.Command_Issue{Issue: &wire.IssueOrder{Order: o}}})
}

func (l *testLog) closeDone(id uint64) {
	l.apply(&wire.Command{Kind: &wire.Command_Close{Close: &wire.CloseOrder{Id: id, Outcome: wire.OrderOutcome_OUTCOME_DONE}}})
}

func model() *wire.Item { return &wire.Item{Model: "m", Version: "v"} }

func adapter(name string) *wire.Item {
	return &wire.Item{Model: "m", Adapter: "m/" + name, Version: "v"}
}

func server(id string, items ...*wire.Item) *wire.Announcement {
	return &wire.Announcement{Id: id, Service: "p", Address: "10.0.0.1:1", Hall: "h", Slots: 4, Engine: true, Residents: items}
}

func TestAnnouncedServerJoinsPool(t *testing.T) {
	g := NewWithT(t)
	l := newTestLog(t)
	l.announce(server("i1", model()))
	g.Expect(l.st.Server("i1")).NotTo(BeNil())
	g.Expect(l.st.Server("i1").Kind.CountsOrders).To(BeTrue())
	g.Expect(l.st.UsedBytes("i1", 0)).To(BeEquivalentTo(60))

	again, err := state.Decode(l.st.Encode())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again.Server("i1")).NotTo(BeNil(), "snapshots include announced servers")
	g.Expect(proto.Equal(again.Encode(), l.st.Encode())).To(BeTrue())

	l.apply(&wire.Command{Kind: &wire.Command_Withdraw{Withdraw: &wire.Withdraw{Id: "i1", Forget: true}}})
	g.Expect(l.st.Server("i1")).To(BeNil())
	g.Expect(l.st.Residents.Len()).To(BeZero())
}

func TestServerAnnouncedBeforeItsPool(t *testing.T) {
	g := NewWithT(t)
	l := &testLog{t, state.New()}
	l.announce(server("i1", model()))
	l.apply(&wire.Command{Kind: &wire.Command_Apply{Apply: &wire.ApplyFleet{Number: 1, Format: poolFormat, Text: "x", Digest: fleet.Digest([]byte("x"))}}})
	g.Expect(l.st.Server("i1")).NotTo(BeNil())
	g.Expect(l.st.UsedBytes("i1", 0)).To(BeEquivalentTo(60), "the size is counted once the model is known")
}

func TestDrainingIsPermanent(t *testing.T) {
	g := NewWithT(t)
	l := newTestLog(t)
	draining := server("i1", model())
	draining.Leaving = true
	l.announce(server("i1", model()))
	l.announce(draining)
	l.announce(server("i1", model()))
	g.Expect(l.st.Announcements.Get("i1").Leaving).To(BeTrue())
	g.Expect(l.st.Servers.Get("i1").Leaving).To(BeTrue())
	g.Expect(l.order(&wire.Order{Action: wire.OrderAction_ORDER_LOAD, Server: "i1", Item: adapter("a1"), Memory: 1}).Err).To(HaveOccurred())
	l.apply(&wire.Command{Kind: &wire.Command_Withdraw{Withdraw: &wire.Withdraw{Id: "unknown"}}})
	l.announce(server("i2"))
	l.apply(&wire.Command{Kind: &wire.Command_Withdraw{Withdraw: &wire.Withdraw{Id: "i2"}}})
	l.announce(server("i2"))
	g.Expect(l.st.Announcements.Get("i2").Leaving).To(BeTrue(), "a withdrawn server stays draining")
}

func TestNewIDMarksOldIDAtItsAddressSilent(t *testing.T) {
	g := NewWithT(t)
	l := newTestLog(t)
	l.announce(server("i1", model()))
	l.announce(server("i2"))
	g.Expect(l.st.Announcements.Get("i1").Silent).To(BeTrue())
	g.Expect(l.st.Announcements.Get("i2").Silent).To(BeFalse())
	l.announce(server("i1", model()))
	g.Expect(l.st.Announcements.Get("i1").Silent).To(BeFalse(), "a later announcement clears the mark, since messages may arrive late")
	g.Expect(l.st.Announcements.Get("i2").Silent).To(BeFalse())
}

func TestOpenOrderKeepsResidents(t *testing.T) {
	g := NewWithT(t)
	l := newTestLog(t)
	l.announce(server("i1"))
	r := l.order(&wire.Order{Action: wire.OrderAction_ORDER_LOAD, Server: "i1", Item: model(), Memory: 60})
	g.Expect(r.Err).NotTo(HaveOccurred())
	reported := server("i1")
	reported.TakeResidents = true
	l.announce(reported)
	g.Expect(l.st.UsedBytes("i1", 0)).To(BeEquivalentTo(60), "the memory of an open order stays counted")
	l.closeDone(r.Order.Id)
	l.announce(reported)
	g.Expect(l.st.UsedBytes("i1", 0)).To(BeZero(), "residents follow the announcement once no order is open")
}

// Guards against an announcement that was sent for another reason, and is older than the last order, replacing the
// replicated residents: the next adapter then overfilled the server.
func TestAnnouncementWithoutTakeResidentsKeepsResidents(t *testing.T) {
	g := NewWithT(t)
	l := newTestLog(t)
	l.announce(server("i1", model(), adapter("a1")))
	r := l.order(&wire.Order{Action: wire.OrderAction_ORDER_LOAD, Server: "i1", Item: adapter("a2"), Memory: 1})
	g.Expect(r.Err).NotTo(HaveOccurred())
	l.closeDone(r.Order.Id)
	late := server("i1", model(), adapter("a1"))
	late.AtHand = []string{"m"}
	l.announce(late)
	g.Expect(l.st.AdapterCount("i1", 0)).To(Equal(2))
	r = l.order(&wire.Order{Action: wire.OrderAction_ORDER_LOAD, Server: "i1", Item: adapter("a3"), Memory: 1})
	g.Expect(r.Err).To(MatchError(ContainSubstring("2 of 2 adapter slots")))
}

func TestAdapterSlots(t *testing.T) {
	g := NewWithT(t)
	l := newTestLog(t)
	l.announce(server("i1", model()))
	for _, name := range []string{"a1", "a2"} {
		r := l.order(&wire.Order{Action: wire.OrderAction_ORDER_LOAD, Server: "i1", Item: adapter(name), Memory: 1})
		g.Expect(r.Err).NotTo(HaveOccurred(), name)
		l.closeDone(r.Order.Id)
	}
	r := l.order(&wire.Order{Action: wire.OrderAction_ORDER_LOAD, Server: "i1", Item: adapter("a3"), Memory: 1})
	g.Expect(r.Err).To(MatchError(ContainSubstring("2 of 2 adapter slots")))
	r = l.order(&wire.Order{Action: wire.OrderAction_ORDER_UNLOAD, Server: "i1", Item: adapter("a1")})
	g.Expect(r.Err).NotTo(HaveOccurred(), "the last copy of an on-demand adapter may be unloaded")
	l.closeDone(r.Order.Id)

	l.announce(&wire.Announcement{Id: "i2", Service: "p", Address: "10.0.0.2:1", Engine: true, Residents: []*wire.Item{model()}})
	r = l.order(&wire.Order{Action: wire.OrderAction_ORDER_UNLOAD, Server: "i1", Item: model()})
	g.Expect(r.Err).NotTo(HaveOccurred())
	l.closeDone(r.Order.Id)
	for p := range l.st.Residents.All() {
		g.Expect(p).To(Equal(ledger.Location{Server: "i2", Model: "m", Version: "v"}), "adapters are unloaded with their model")
	}
}

func TestLastOrderIndexIsKept(t *testing.T) {
	g := NewWithT(t)
	l := newTestLog(t)
	l.announce(server("i1", model()))
	g.Expect(l.st.Servers.Get("i1").Ordered).To(BeZero())
	r := l.order(&wire.Order{Action: wire.OrderAction_ORDER_LOAD, Server: "i1", Item: adapter("a1"), Memory: 1})
	g.Expect(l.st.Servers.Get("i1").Ordered).To(Equal(r.Order.Id))
	l.closeDone(r.Order.Id)
	closed := l.st.Index
	l.announce(server("i1", model()))
	g.Expect(l.st.Servers.Get("i1").Ordered).To(Equal(closed), "the next announcement keeps it")
	g.Expect(l.st.Clone().Encode().Servers[0].Ordered).To(Equal(closed), "snapshots include it")
}

func TestLastCopyIsUnloadedOnlyIfCached(t *testing.T) {
	g := NewWithT(t)
	l := newTestLog(t)
	l.announce(server("i1", model()))
	unload := func() error {
		return l.order(&wire.Order{Action: wire.OrderAction_ORDER_UNLOAD, Server: "i1", Item: model()}).Err
	}
	g.Expect(unload()).To(MatchError(ContainSubstring("no other ready copy")))
	cached := server("i1", model())
	cached.AtHand = []string{"m"}
	l.announce(cached)
	g.Expect(unload()).NotTo(HaveOccurred())
}
