package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/fleet"
	"leverdrum/state"
	"leverdrum/wire"
)

// poolView returns a state with servers of one service, each with the model m ready.
func poolView(ids ...string) *state.State {
	view := state.New()
	view.Fleet, view.Version = fleet.New(), &wire.FleetVersion{Number: 1, Index: 1}
	view.Fleet.Pools["p"] = &fleet.Pool{Name: "p", Kind: &fleet.Kind{}, MaxConnections: 100}
	view.Fleet.Models["m"] = &fleet.Model{Name: "m", Pool: "p"}
	for _, id := range ids {
		view.Announcements.Set(id, &wire.Announcement{Id: id, Service: "p", Address: "127.0.0.1:1", Slots: 4})
		view.Residents.Put(&wire.Resident{Server: id, Item: &wire.Item{Model: "m"}, Phase: wire.Phase_PHASE_READY})
	}
	return view
}

// Guards against counting the draining time from when a box first needs a server: it counts from
// when the server began to drain.
func TestDrainingTimeStartsAtTheAnnouncement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := newDirectory("h", time.Second, nil)
		view := poolView("i1")
		view.Announcements.Set("i1", &wire.Announcement{Id: "i1", Service: "p", Address: "127.0.0.1:1", Leaving: true})
		d.update(view)
		time.Sleep(2 * time.Second)
		d.update(view.Clone())
		list := d.table().pools["p"].readyServers("m")
		g.Expect(list).To(HaveLen(1))
		since, draining := list[0].drainingFor(time.Now())
		g.Expect(draining).To(BeTrue())
		g.Expect(since).To(Equal(2 * time.Second))
	})
}

// Guards against a box that learns late that a server leaves and uses it as long as one that learned at once (DRAIN, review/6).
func TestDrainingTimeIncludesWhatABoxIsLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := newDirectory("h", time.Second, nil)
		confirmed := time.Now()
		d.confirmedAge = func(index uint64) (time.Duration, bool) { return time.Since(confirmed), index == 7 }
		before := poolView("i1")
		before.Index = 7
		d.update(before)
		time.Sleep(800 * time.Millisecond)
		view := poolView("i1")
		view.Index = 9
		view.Announcements.Set("i1", &wire.Announcement{Id: "i1", Service: "p", Address: "127.0.0.1:1", Leaving: true})
		d.update(view)
		since, draining := d.table().pools["p"].readyServers("m")[0].drainingFor(time.Now())
		g.Expect(draining).To(BeTrue())
		g.Expect(since).To(Equal(800 * time.Millisecond))
	})
}

// Only servers that a request needed are tracked, their state follows the newest view, and unused
// ones are removed.
func TestOnlyRequestedServersAreTracked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := newDirectory("h", time.Second, nil)
		view := poolView("i1", "i2", "i3")
		view.Residents.Put(&wire.Resident{Server: "i2", Item: &wire.Item{Model: "n"}, Phase: wire.Phase_PHASE_READY})
		d.update(view)
		g.Expect(d.servers).To(BeEmpty())
		table := d.table()
		g.Expect(table.pools["p"].readyServers("n")).To(HaveLen(1))
		g.Expect(d.servers).To(HaveLen(1))
		next := view.Clone()
		next.Announcements.Set("i2", &wire.Announcement{Id: "i2", Service: "p", Address: "127.0.0.1:1", Silent: true})
		next.Announcements.Delete("i3")
		d.update(next)
		g.Expect(d.servers["i2"].unresponsive.Load()).To(BeTrue())
		g.Expect(table.pools["p"].servers()).To(HaveLen(2), "an older table lists no removed server")
		time.Sleep(2 * unusedTTL)
		d.update(next.Clone())
		g.Expect(d.servers).To(BeEmpty())
	})
}

// All boxes together must open no more connections than a server allows, whatever their number.
func TestConnectionLimitAcrossBoxes(t *testing.T) {
	g := NewWithT(t)
	for _, boxes := range []int{1, 10, 85, 300, 997, 2000} {
		for _, maxConnections := range []int{390, 820, 2100} {
			if boxes <= maxConnections {
				g.Expect(connectionLimit(maxConnections, boxes)*boxes).To(BeNumerically("<=", maxConnections), "%d of %d boxes", maxConnections, boxes)
			}
			g.Expect(connectionLimit(maxConnections, boxes)).To(BeNumerically(">=", 1))
		}
	}
	g.Expect(connectionLimit(2100, 300)).To(Equal(6))
}
