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

// agreedServers is a state with servers, by the entry that was about each last.
func agreedServers(ordered map[string]uint64) *state.State {
	st := state.New()
	for name, entry := range ordered {
		st.Servers.Set(name, &wire.ServerState{Name: name, Ordered: entry})
	}
	return st
}

func TestOnlyServersThatAnotherOrderedLatelyAreHeldBack(t *testing.T) {
	g := NewWithT(t)
	start := time.Now()
	c := New(Options{OrderPause: 3 * time.Second})
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

	c.watchOrders(agreedServers(map[string]uint64{"old": 5, "never": 0, "open": 3}), at(0))
	c.watchOrders(agreedServers(map[string]uint64{"old": 5, "never": 0, "open": 3, "new": 0, "lately": 9}), at(10))
	c.ledSince, c.term = at(11), 2

	st := agreedServers(map[string]uint64{"old": 5, "never": 0, "new": 0, "lately": 9, "open": 3})
	st.Orders.Set(3, &wire.Order{Id: 3, Term: 1, Server: "open"})
	c.watchOrders(st, at(11))
	held := c.held(st, at(11))
	g.Expect(held["old"]).To(BeFalse(), "its last order is 11 s ago")
	g.Expect(held["new"]).To(BeFalse(), "it never had one")
	g.Expect(held["lately"]).To(BeTrue(), "another leader's order may be a second old")
	g.Expect(held["open"]).To(BeTrue(), "the order of an earlier leader may still have been sent")
	g.Expect(c.held(st, at(13.5))["lately"]).To(BeFalse())
	g.Expect(c.held(st, at(13.5))["open"]).To(BeTrue(), "counted from the leadership's begin")
	g.Expect(c.held(st, at(14))).To(BeEmpty())
}

// An order to the life before may be carried out seconds later, and the new life counts its orders from 0 again.
func TestAnHeirGetsNoOrderWhileOneOfItsLifeBeforeMayArrive(t *testing.T) {
	g := NewWithT(t)
	c := New(Options{OrderPause: 3 * time.Second})
	now := time.Now()
	c.ledSince = now.Add(-time.Hour)
	st := state.New()
	st.Announcements.Set("i~2", &wire.Announcement{Id: "i~2", Heir: true})
	st.Announcements.Set("j~2", &wire.Announcement{Id: "j~2"})
	g.Expect(c.held(st, now)["i~2"]).To(BeTrue())
	g.Expect(c.held(st, now)["j~2"]).To(BeFalse())
	g.Expect(c.held(st, now.Add(12*time.Second))["i~2"]).To(BeTrue())
	g.Expect(c.held(st, now.Add(13*time.Second))["i~2"]).To(BeFalse())
}

func TestABoxThatJustStartedHoldsAllServersBack(t *testing.T) {
	g := NewWithT(t)
	c := New(Options{OrderPause: 3 * time.Second})
	now := time.Now()
	st := agreedServers(map[string]uint64{"a": 5, "b": 0})
	c.watchOrders(st, now)
	c.ledSince = now
	g.Expect(c.held(st, now)).To(Equal(map[string]bool{"a": true, "b": true}), "what was ordered while it was down is not known")
}

func TestOneBoxAloneDoesNotMakeAServerSilent(t *testing.T) {
	g := NewWithT(t)
	c := New(Options{})
	now := time.Now()
	g.Expect(c.doubted("s", "b1", 2, true, now)).To(BeFalse())
	g.Expect(c.doubted("s", "b1", 2, true, now)).To(BeFalse(), "the same box again")
	g.Expect(c.doubted("s", "b2", 2, true, now.Add(2*refusingFor))).To(BeFalse(), "the first word is too old")
	g.Expect(c.doubted("s", "b3", 2, false, now.Add(2*refusingFor))).To(BeFalse(), "a word of its own is not overdue yet")
	g.Expect(c.doubted("s", "b3", 2, true, now.Add(2*refusingFor))).To(BeTrue())
	g.Expect(c.doubted("s", "b4", 2, true, now.Add(2*refusingFor))).To(BeFalse(), "it is being counted as silent")
	g.Expect(c.doubted("alone", "b1", 1, true, now)).To(BeTrue(), "there is no other box")
}

func TestAWordOfItsOwnClearsAServer(t *testing.T) {
	g := NewWithT(t)
	c := New(Options{})
	c.doubted("s", "b1", 2, true, time.Now())
	a := &wire.Announcement{Id: "s", Sequence: 1}
	c.note(a, a, state.New())
	g.Expect(c.doubted("s", "b2", 2, true, time.Now())).To(BeFalse(), "b1's word was from before")
}

func TestPatienceWithModelsWithoutACopy(t *testing.T) {
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
		c.weighModels(in, start.Add(after))
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

// An order that its server answered cannot arrive later: the next life is ordered to at once. One without an answer can.
func TestOnlyAnOrderWithoutAnAnswerHoldsTheNextLifeBack(t *testing.T) {
	g := NewWithT(t)
	c := newLeader(t)
	st := state.New()
	st.Announcements.Set("i~2", &wire.Announcement{Id: "i~2", Name: "i", Heir: true})
	c.looked = true // it leads since the life before
	to := &wire.Order{Server: "i"}

	answered := c.attempt(to)
	g.Expect(c.held(st, time.Now())["i~2"]).To(BeTrue(), "it is on its way")
	answered(false)
	g.Expect(c.held(st, time.Now())["i~2"]).To(BeFalse())

	unanswered := c.attempt(to)
	unanswered(true)
	g.Expect(c.held(st, time.Now())["i~2"]).To(BeTrue())
	g.Expect(c.held(st, time.Now().Add(lateFor-time.Second))["i~2"]).To(BeTrue())
	g.Expect(c.held(st, time.Now().Add(lateFor))["i~2"]).To(BeFalse())
}

// A new leader that has seen a life begin counts from then, not from its first look.
func TestANewLeaderCountsFromWhenItSawTheLifeBegin(t *testing.T) {
	g := NewWithT(t)
	c := New(Options{OrderPause: 3 * time.Second})
	now := time.Now()
	st := state.New()
	st.Announcements.Set("i~2", &wire.Announcement{Id: "i~2", Name: "i", Heir: true})
	c.watchOrders(st, now)
	c.ledSince = now.Add(10 * time.Second)
	g.Expect(c.held(st, now.Add(lateFor-time.Second))["i~2"]).To(BeTrue())
	g.Expect(c.held(st, now.Add(lateFor))["i~2"]).To(BeFalse())
}
