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

// newWaitingJob returns a request that has waited for a model that is resident nowhere. readyIn is
// the time from the request's arrival until the model is ready, 0: never.
func newWaitingJob(route *fleet.Route, deadline, waited, readyIn time.Duration) (*job, time.Time) {
	g := New(Options{DrainingDuration: time.Second})
	p := &pool{Pool: &fleet.Pool{Name: "p"}, readyAt: map[string]time.Time{}}
	g.dir.current.Store(&table{pools: map[string]*pool{"p": p}})
	now := time.Now()
	j := &job{g: g, route: route, poolName: "p", arrived: now.Add(-waited), prompt: dialect.Prompt{Model: "m", Adapter: "a1"}}
	j.deadline = j.arrived.Add(deadline)
	if readyIn > 0 {
		p.readyAt["m/a1"] = j.arrived.Add(readyIn)
	}
	return j, now
}

// Guards against requests for models resident nowhere that wait until their callers leave (257 in
// one day): given up in time, their callers can retry.
func TestRequestsForUnavailableModelsAreGivenUpInTime(t *testing.T) {
	stream := &fleet.Route{Kind: fleet.Streaming, FirstEventTimeout: 3 * time.Second}
	safe := &fleet.Route{Kind: fleet.Safe}
	for _, row := range []struct {
		name             string
		route            *fleet.Route
		deadline, waited time.Duration
		readyIn          time.Duration
		want             bool
	}{
		{"just arrived", stream, 10 * time.Second, 0, 0, false},
		{"before the leader has decided", stream, 10 * time.Second, 990 * time.Millisecond, 0, false},
		{"the leader has not ordered a load", stream, 10 * time.Second, 1010 * time.Millisecond, 0, true},
		{"past its share, ready in time", stream, 10 * time.Second, 2 * time.Second, 2900 * time.Millisecond, false},
		{"past its share, ready too late", stream, 10 * time.Second, 2 * time.Second, 3100 * time.Millisecond, true},
		{"a short deadline", stream, time.Second, 460 * time.Millisecond, 0, true},
		{"plain request: its deadline counts", safe, 10 * time.Second, 4 * time.Second, 9900 * time.Millisecond, false},
		{"plain request, ready too late", safe, 10 * time.Second, 4 * time.Second, 10100 * time.Millisecond, true},
		{"plain request, not being loaded", safe, 10 * time.Second, 1010 * time.Millisecond, 0, true},
	} {
		j, now := newWaitingJob(row.route, row.deadline, row.waited, row.readyIn)
		if _, got := j.shouldGiveUp(now); got != row.want {
			t.Errorf("%s: shouldGiveUp = %v", row.name, got)
		}
	}
}

// Requests for a model for which memory is being freed wait for it. No order names the model
// between the unload and the load that uses the freed memory.
func TestModelsWithEvictionsUnderWayCountAsLoading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := newDirectory("h", 0, nil)
		view := state.New()
		view.Fleet = fleet.New()
		view.Fleet.Pools["p"] = &fleet.Pool{Name: "p", Kind: &fleet.Kind{}}
		view.Fleet.Models["m"] = &fleet.Model{Name: "m", Pool: "p", WarmTime: time.Second}
		isLoading := func() bool {
			d.update(view)
			_, ok := d.table().pools["p"].readyAt["m"]
			return ok
		}
		g.Expect(isLoading()).To(BeFalse())
		view.Orders.Set(1, &wire.Order{Id: 1, Server: "s", Action: wire.OrderAction_ORDER_UNLOAD, Item: &wire.Item{Model: "n"}, RoomFor: "m"})
		g.Expect(isLoading()).To(BeTrue())
		g.Expect(time.Until(d.table().pools["p"].readyAt["m"])).To(Equal(evictionTime + time.Second))
		time.Sleep(2 * time.Second)
		g.Expect(isLoading()).To(BeTrue())
		g.Expect(time.Until(d.table().pools["p"].readyAt["m"])).To(Equal(evictionTime-time.Second), "counted from when it was first seen")
		view.Orders.Delete(1)
		time.Sleep(evictionGap / 2)
		g.Expect(isLoading()).To(BeTrue(), "the memory is free, and the load is about to be ordered")
		time.Sleep(evictionGap)
		g.Expect(isLoading()).To(BeFalse())
	})
}

func TestWaitEndsWithItsShare(t *testing.T) {
	g := NewWithT(t)
	j, now := newWaitingJob(&fleet.Route{Kind: fleet.Safe}, time.Second, 400*time.Millisecond, 0)
	wait, giveUp := j.shouldGiveUp(now)
	g.Expect(giveUp).To(BeFalse())
	g.Expect(wait).To(BeNumerically("~", 50*time.Millisecond, time.Millisecond))
}

func TestRetryAfterForAModel(t *testing.T) {
	g := NewWithT(t)
	j, _ := newWaitingJob(&fleet.Route{Kind: fleet.Safe}, 10*time.Second, 0, 4*time.Second)
	g.Expect(j.retryAfterForModel(reason.NotResident, 100*time.Millisecond)).To(BeNumerically("~", 4*time.Second, 100*time.Millisecond))
	j, _ = newWaitingJob(&fleet.Route{Kind: fleet.Safe}, 10*time.Second, 0, 0)
	g.Expect(j.retryAfterForModel(reason.NotResident, 100*time.Millisecond)).To(Equal(modelRetryAfter))
}

// Guards against waiting for draining servers. Where the only servers with an adapter were
// draining, requests waited for them until their callers left, and the leader was not notified of
// the awaited adapter (257 in one day).
func TestDrainedServersAreNotWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		notices := make(chan Notice, 1)
		gate := New(Options{DrainingDuration: time.Second, View: state.New, Notify: func(n Notice) { notices <- n }})
		drained := newServer(&wire.Announcement{Id: "i1", Slots: 4, Address: "127.0.0.1:1"})
		drained.markDraining(time.Now().Add(-2 * time.Second))
		p := &pool{Pool: &fleet.Pool{Name: "p", Kind: &fleet.Kind{}}, readyAt: map[string]time.Time{}, ready: map[string][]*server{"m/a1": {drained}}}
		f := fleet.New()
		f.Models["m"] = &fleet.Model{Name: "m"}
		gate.dir.current.Store(&table{pools: map[string]*pool{"p": p}, fleet: f})
		j := &job{g: gate, route: &fleet.Route{Kind: fleet.Streaming, FirstEventTimeout: time.Second}, poolName: "p", arrived: time.Now(), prompt: dialect.Prompt{Model: "m", Adapter: "a1"}}
		j.deadline = j.arrived.Add(10 * time.Second)
		_, refusal := j.findServer(context.Background())
		g.Expect(refusal).To(Equal(reason.NotResident))
		g.Expect(time.Since(j.arrived)).To(BeNumerically("<", 9*time.Second), "given up after its patience, not at its deadline")
		g.Expect(notices).To(Receive(Equal(Notice{AwaitedItem: "m/a1"})))
	})
}

// Guards against a stream that is rejected after a second, though its caller has time left and a server of its version may get its
// model: no notice named the version to the leader (LOST).
func TestStreamsWaitForTheirModelAtTheirVersion(t *testing.T) {
	stream := &fleet.Route{Kind: fleet.Streaming, Resumable: true}
	for _, row := range []struct {
		name             string
		pinned           bool
		deadline, waited time.Duration
		want             *reason.Reason
	}{
		{"a new stream, past its share", false, 10 * time.Second, 2 * time.Second, reason.NotResident},
		{"a resumed one", true, 10 * time.Second, 2 * time.Second, nil},
		{"a resumed one, shortly before its deadline", true, 10 * time.Second, 9900 * time.Millisecond, reason.VersionNotResident},
	} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			j, _ := newWaitingJob(stream, row.deadline, row.waited, 0)
			j.pinned, j.pinnedVersion = row.pinned, "v1"
			var sent []Notice
			j.g.notices.notify = func(n Notice) { sent = append(sent, n) }
			g.Expect(j.waitForUpdate(t.Context(), make(chan struct{}), false)).To(Equal(row.want), row.name)
			if row.want == nil {
				g.Expect(sent).To(Equal([]Notice{{AwaitedItem: itemOf(j.prompt), AwaitedVersion: "v1"}}))
			}
		})
	}
}
