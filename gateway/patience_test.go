package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/dialect"
	"leverdrum/fleet"
	"leverdrum/reason"
	"leverdrum/state"
	"leverdrum/wire"
)

// waiting is a request that has waited for a time for a model that is nowhere; coming is
// in how long it is to be ready, from the request's arrival, 0: never.
func waiting(route *fleet.Route, deadline, waited, coming time.Duration) (*job, time.Time) {
	g := New(Options{DrainingDuration: time.Second})
	p := &pool{Pool: &fleet.Pool{Name: "p"}, coming: map[string]time.Time{}}
	g.dir.current.Store(&table{pools: map[string]*pool{"p": p}})
	now := time.Now()
	j := &job{g: g, route: route, poolName: "p", arrived: now.Add(-waited), prompt: dialect.Prompt{Model: "m", Adapter: "a1"}}
	j.deadline = j.arrived.Add(deadline)
	if coming > 0 {
		p.coming["m/a1"] = j.arrived.Add(coming)
	}
	return j, now
}

// Requests for models that were nowhere waited until their callers left (257 of one
// day): with what is left they may come back.
func TestWhatDoesNotComeIsGivenUpInTime(t *testing.T) {
	stream := &fleet.Route{Kind: fleet.Streaming, Patience: 3 * time.Second}
	safe := &fleet.Route{Kind: fleet.Safe}
	for _, row := range []struct {
		name             string
		route            *fleet.Route
		deadline, waited time.Duration
		coming           time.Duration
		want             bool
	}{
		{"just come", stream, 10 * time.Second, 0, 0, false},
		{"before the leader has decided", stream, 10 * time.Second, 990 * time.Millisecond, 0, false},
		{"the leader does not mean to load it", stream, 10 * time.Second, 1010 * time.Millisecond, 0, true},
		{"behind its share, coming in time", stream, 10 * time.Second, 2 * time.Second, 2900 * time.Millisecond, false},
		{"behind its share, coming too late", stream, 10 * time.Second, 2 * time.Second, 3100 * time.Millisecond, true},
		{"a short deadline", stream, time.Second, 460 * time.Millisecond, 0, true},
		{"no stream: its deadline counts", safe, 10 * time.Second, 4 * time.Second, 9900 * time.Millisecond, false},
		{"no stream, coming too late", safe, 10 * time.Second, 4 * time.Second, 10100 * time.Millisecond, true},
		{"no stream, not to be loaded", safe, 10 * time.Second, 1010 * time.Millisecond, 0, true},
	} {
		j, now := waiting(row.route, row.deadline, row.waited, row.coming)
		if _, got := j.hopeless(now); got != row.want {
			t.Errorf("%s: hopeless = %v", row.name, got)
		}
	}
}

// Requests for a model that room is being made for wait for it; between the unload and the
// load that uses its room no order names the model.
func TestWhatRoomIsMadeForIsComing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := newDirectory("h", 0, nil)
		view := state.New()
		view.Fleet = fleet.New()
		view.Fleet.Pools["p"] = &fleet.Pool{Name: "p", Kind: &fleet.Kind{}}
		view.Fleet.Models["m"] = &fleet.Model{Name: "m", Pool: "p", WarmTime: time.Second}
		coming := func() bool {
			d.update(view)
			_, ok := d.table().pools["p"].coming["m"]
			return ok
		}
		g.Expect(coming()).To(BeFalse())
		view.Orders.Set(1, &wire.Order{Id: 1, Server: "s", Action: wire.OrderAction_ORDER_UNLOAD, Item: &wire.Item{Model: "n"}, RoomFor: "m"})
		g.Expect(coming()).To(BeTrue())
		g.Expect(time.Until(d.table().pools["p"].coming["m"])).To(Equal(makingTime + time.Second))
		time.Sleep(2 * time.Second)
		g.Expect(coming()).To(BeTrue())
		g.Expect(time.Until(d.table().pools["p"].coming["m"])).To(Equal(makingTime-time.Second), "since it was seen first")
		view.Orders.Delete(1)
		time.Sleep(makingGap / 2)
		g.Expect(coming()).To(BeTrue(), "the room is there, and the load is about to be ordered")
		time.Sleep(makingGap)
		g.Expect(coming()).To(BeFalse())
	})
}

func TestTheWaitEndsWithItsShare(t *testing.T) {
	g := NewWithT(t)
	j, now := waiting(&fleet.Route{Kind: fleet.Safe}, time.Second, 400*time.Millisecond, 0)
	wait, hopeless := j.hopeless(now)
	g.Expect(hopeless).To(BeFalse())
	g.Expect(wait).To(BeNumerically("~", 50*time.Millisecond, time.Millisecond))
}

func TestWhenToComeBackForAModel(t *testing.T) {
	g := NewWithT(t)
	j, _ := waiting(&fleet.Route{Kind: fleet.Safe}, 10*time.Second, 0, 4*time.Second)
	g.Expect(j.comeBackFor(reason.NotResident, 100*time.Millisecond)).To(BeNumerically("~", 4*time.Second, 100*time.Millisecond))
	j, _ = waiting(&fleet.Route{Kind: fleet.Safe}, 10*time.Second, 0, 0)
	g.Expect(j.comeBackFor(reason.NotResident, 100*time.Millisecond)).To(Equal(comeBackLoad))
}

// Where the only servers with an adapter were leaving, requests waited for them until
// their callers left, and the leader was not told that the adapter is wanted (257 of
// one day).
func TestServersThatLeftAreNoReasonToWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		told := make(chan Notice, 1)
		gate := New(Options{DrainingDuration: time.Second, View: state.New, Notify: func(n Notice) { told <- n }})
		left := newServer(&wire.Announcement{Id: "i1", Slots: 4, Address: "127.0.0.1:1"})
		left.part(time.Now().Add(-2 * time.Second))
		p := &pool{Pool: &fleet.Pool{Name: "p", Kind: &fleet.Kind{}}, coming: map[string]time.Time{}, ready: map[string][]*server{"m/a1": {left}}}
		f := fleet.New()
		f.Models["m"] = &fleet.Model{Name: "m"}
		gate.dir.current.Store(&table{pools: map[string]*pool{"p": p}, fleet: f})
		j := &job{g: gate, route: &fleet.Route{Kind: fleet.Streaming, Patience: time.Second}, poolName: "p", arrived: time.Now(), prompt: dialect.Prompt{Model: "m", Adapter: "a1"}}
		j.deadline = j.arrived.Add(10 * time.Second)
		_, why := j.find(context.Background())
		g.Expect(why).To(Equal(reason.NotResident))
		g.Expect(time.Since(j.arrived)).To(BeNumerically("<", 9*time.Second), "given up by its patience, not by its deadline")
		g.Expect(told).To(Receive(Equal(Notice{AwaitedItem: "m/a1"})))
	})
}
