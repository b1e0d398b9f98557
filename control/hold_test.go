package control

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/fleet"
	"leverdrum/placement"
	"leverdrum/state"
	"leverdrum/wire"
)

// committedServers returns a state with servers, by the last log entry about each.
func committedServers(ordered map[string]uint64) *state.State {
	st := state.New()
	for name, entry := range ordered {
		st.Servers.Set(name, &wire.ServerState{Name: name, Ordered: entry})
	}
	return st
}

func TestServersRecentlyOrderedByAnotherLeaderAreHeld(t *testing.T) {
	g := NewWithT(t)
	start := time.Now()
	c := New(Options{OrderPause: 3 * time.Second})
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

	c.watchOrders(committedServers(map[string]uint64{"old": 5, "never": 0, "open": 3}), at(0))
	c.watchOrders(committedServers(map[string]uint64{"old": 5, "never": 0, "open": 3, "new": 0, "lately": 9}), at(10))
	c.leadingSince, c.term = at(11), 2

	st := committedServers(map[string]uint64{"old": 5, "never": 0, "new": 0, "lately": 9, "open": 3})
	st.Orders.Set(3, &wire.Order{Id: 3, Term: 1, Server: "open"})
	c.watchOrders(st, at(11))
	held := c.heldServers(st, at(11))
	g.Expect(held["old"]).To(BeFalse(), "its last order was 11 s ago")
	g.Expect(held["new"]).To(BeFalse(), "it never had an order")
	g.Expect(held["lately"]).To(BeTrue(), "another leader's order may be a second old")
	g.Expect(held["open"]).To(BeTrue(), "an earlier leader may have sent the order")
	g.Expect(c.heldServers(st, at(13.5))["lately"]).To(BeFalse())
	g.Expect(c.heldServers(st, at(13.5))["open"]).To(BeTrue(), "counted from the start of the leadership")
	g.Expect(c.heldServers(st, at(14))).To(BeEmpty())
}

// An order to the previous incarnation may be executed seconds later, and the new incarnation
// counts its orders from 0 again.
func TestNextIncarnationIsHeldWhileOrderToPreviousMayArrive(t *testing.T) {
	g := NewWithT(t)
	c := New(Options{OrderPause: 3 * time.Second})
	now := time.Now()
	c.leadingSince = now.Add(-time.Hour)
	st := state.New()
	st.Announcements.Set("i~2", &wire.Announcement{Id: "i~2", Heir: true})
	st.Announcements.Set("j~2", &wire.Announcement{Id: "j~2"})
	g.Expect(c.heldServers(st, now)["i~2"]).To(BeTrue())
	g.Expect(c.heldServers(st, now)["j~2"]).To(BeFalse())
	g.Expect(c.heldServers(st, now.Add(12*time.Second))["i~2"]).To(BeTrue())
	g.Expect(c.heldServers(st, now.Add(13*time.Second))["i~2"]).To(BeFalse())
}

func TestRestartedBoxHoldsAllServers(t *testing.T) {
	g := NewWithT(t)
	c := New(Options{OrderPause: 3 * time.Second})
	now := time.Now()
	st := committedServers(map[string]uint64{"a": 5, "b": 0})
	c.watchOrders(st, now)
	c.leadingSince = now
	g.Expect(c.heldServers(st, now)).To(Equal(map[string]bool{"a": true, "b": true}), "orders issued while it was down are unknown")
}

func TestReportOfOneBoxDoesNotMarkServerUnresponsive(t *testing.T) {
	g := NewWithT(t)
	c := New(Options{})
	now := time.Now()
	g.Expect(c.noteSuspicion("s", "b1", 2, true, now)).To(BeFalse())
	g.Expect(c.noteSuspicion("s", "b1", 2, true, now)).To(BeFalse(), "the same box again")
	g.Expect(c.noteSuspicion("s", "b2", 2, true, now.Add(2*suspicionReportTTL))).To(BeFalse(), "the first report has expired")
	g.Expect(c.noteSuspicion("s", "b3", 2, false, now.Add(2*suspicionReportTTL))).To(BeFalse(), "its announcement is not overdue yet")
	g.Expect(c.noteSuspicion("s", "b3", 2, true, now.Add(2*suspicionReportTTL))).To(BeTrue())
	g.Expect(c.noteSuspicion("s", "b4", 2, true, now.Add(2*suspicionReportTTL))).To(BeFalse(), "it is already being marked unresponsive")
	g.Expect(c.noteSuspicion("alone", "b1", 1, true, now)).To(BeTrue(), "there is no other box")
}

func TestAnnouncementClearsSuspicion(t *testing.T) {
	g := NewWithT(t)
	c := New(Options{})
	c.noteSuspicion("s", "b1", 2, true, time.Now())
	a := &wire.Announcement{Id: "s", Sequence: 1}
	c.noteAnnouncement(a, a, state.New())
	g.Expect(c.noteSuspicion("s", "b2", 2, true, time.Now())).To(BeFalse(), "b1's report was from before the announcement")
}

func TestModelsWithoutCopyWaitBeforeEviction(t *testing.T) {
	g := NewWithT(t)
	st := state.New()
	st.Fleet = fleet.New()
	for _, m := range []string{"asked", "unasked", "there"} {
		st.Fleet.Models[m] = &fleet.Model{Name: m}
	}
	st.Residents.Put(&wire.Resident{Server: "s", Item: &wire.Item{Model: "there"}, Phase: wire.Phase_PHASE_READY})
	c := New(Options{})
	start := time.Now()
	in := func(after time.Duration) *placement.Input {
		in := &placement.Input{State: st, LeaderFor: after, DemandSettleTime: time.Second, Demand: map[string]placement.Demand{"asked": {Requests: 1}}}
		c.classifyModels(in, start.Add(after))
		return in
	}
	first := in(0)
	g.Expect(first.Deferred).To(Equal(map[string]bool{"asked": true, "unasked": true}), "demand is not known yet")
	second := in(2 * time.Second)
	g.Expect(second.Deferred["asked"]).To(BeFalse())
	g.Expect(second.Deferred["unasked"]).To(BeTrue(), "its server may come back")
	g.Expect(second.Idle["there"]).To(BeFalse())
	late := in(idleAfter + time.Second)
	g.Expect(late.Deferred["unasked"]).To(BeFalse())
	g.Expect(late.Idle).To(And(HaveKeyWithValue("there", true), HaveKeyWithValue("asked", false)))
}

// An answered order cannot arrive later, so the next incarnation gets orders at once. An unanswered
// order can.
func TestOnlyUnansweredOrderHoldsNextIncarnation(t *testing.T) {
	g := NewWithT(t)
	c := newLeader(t)
	st := state.New()
	st.Announcements.Set("i~2", &wire.Announcement{Id: "i~2", Name: "i", Heir: true})
	c.inFlightInitialized = true // it has led since the previous incarnation
	to := &wire.Order{Server: "i"}

	endAnswered := c.beginAttempt(to)
	g.Expect(c.heldServers(st, time.Now())["i~2"]).To(BeTrue(), "it is in flight")
	endAnswered(false)
	g.Expect(c.heldServers(st, time.Now())["i~2"]).To(BeFalse())

	endUnanswered := c.beginAttempt(to)
	endUnanswered(true)
	g.Expect(c.heldServers(st, time.Now())["i~2"]).To(BeTrue())
	g.Expect(c.heldServers(st, time.Now().Add(lateArrivalWindow-time.Second))["i~2"]).To(BeTrue())
	g.Expect(c.heldServers(st, time.Now().Add(lateArrivalWindow))["i~2"]).To(BeFalse())
}

// A new leader that saw an incarnation start counts from then, not from its first check.
func TestNewLeaderCountsFromFirstSeenIncarnation(t *testing.T) {
	g := NewWithT(t)
	c := New(Options{OrderPause: 3 * time.Second})
	now := time.Now()
	st := state.New()
	st.Announcements.Set("i~2", &wire.Announcement{Id: "i~2", Name: "i", Heir: true})
	c.watchOrders(st, now)
	c.leadingSince = now.Add(10 * time.Second)
	g.Expect(c.heldServers(st, now.Add(lateArrivalWindow-time.Second))["i~2"]).To(BeTrue())
	g.Expect(c.heldServers(st, now.Add(lateArrivalWindow))["i~2"]).To(BeFalse())
}
