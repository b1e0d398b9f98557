package bench

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"leverdrum/dialect"
	"leverdrum/gateway"
	"leverdrum/meter"
	"leverdrum/placement"
	"leverdrum/state"
	"leverdrum/wire"
)

// quarterFleet and doubleFleet have a quarter of the 3,900 servers of the users' whole fleet, and twice as many, with the
// same number of boxes. The tests compare the cost of a step at both sizes.
var quarterFleet, doubleFleet = fleetSize{300, 960}, fleetSize{300, 7800}

// bytesPerStep returns the average number of bytes that a step allocates.
func bytesPerStep(times int, step func(i int)) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range times {
		step(i)
	}
	runtime.ReadMemStats(&after)
	return float64(after.TotalAlloc-before.TotalAlloc) / float64(times)
}

// minCPUTime returns the minimum CPU time of a step over several runs.
func minCPUTime(t testing.TB, runs int, step func()) time.Duration {
	least := time.Duration(0)
	for range runs {
		began := cpuTime(t)
		step()
		if took := cpuTime(t) - began; least == 0 || took < least {
			least = took
		}
	}
	return least
}

// The cost of a heartbeat with updates must depend on the updates, not on the number of servers. It used to iterate over
// all servers three times and rebuild their sorted list.
func TestAnnouncementCostIndependentOfFleetSize(t *testing.T) {
	cost := func(n fleetSize) (bytes float64, took time.Duration) {
		st := state.New()
		applyAll(t, st, fleetEntries(t, n))
		update := func(i int) {
			a := largeAnnouncement(i * 7 % n.servers)
			a.Silent = i%2 == 0
			announce(t, st, a)
			st.Clone()
		}
		bytes = bytesPerStep(200, update)
		return bytes, minCPUTime(t, 8, func() {
			for i := range 200 {
				update(i)
			}
		})
	}
	smallBytes, smallTime := cost(quarterFleet)
	largeBytes, largeTime := cost(doubleFleet)
	t.Logf("%.0f and %.0f bytes per announcement, %v and %v for 200 announcements", smallBytes, largeBytes, smallTime, largeTime)
	g := NewWithT(t)
	g.Expect(largeBytes).To(BeNumerically("<", 1.5*smallBytes))
	g.Expect(largeBytes).To(BeNumerically("<", 50_000))
	g.Expect(largeTime).To(BeNumerically("<", 3*smallTime), "8 times as many servers")
}

func announce(t testing.TB, st *state.State, a *wire.Announcement) {
	applyAll(t, st, []*wire.Entry{entryOf(t, st, &wire.Command{Kind: &wire.Command_Announce{Announce: a}})})
}

// The cost of a box's start must be linear in the number of servers.
func TestStartCostPerServerIsBounded(t *testing.T) {
	cost := func(n fleetSize) float64 {
		entries := fleetEntries(t, n)
		took := minCPUTime(t, 3, func() { applyAll(t, state.New(), entries) })
		return float64(took) / float64(n.servers)
	}
	small, large := cost(quarterFleet), cost(doubleFleet)
	t.Logf("%.1f and %.1f us per server", small/1000, large/1000)
	NewWithT(t).Expect(large).To(BeNumerically("<", 3*small), "the cost of the 300 joins is divided by 8 times as many servers")
}

// The cost of a committed order on a box that sends requests must depend on the order alone. The box used to rebuild its
// routes from all servers and all residents.
func TestOrderCostIndependentOfFleetSize(t *testing.T) {
	cost := func(n fleetSize) float64 {
		st := state.New()
		applyAll(t, st, fleetEntries(t, n))
		view := st.Clone()
		g := gateway.New(gateway.Options{
			Dialect: dialect.Native, View: func() *state.State { return view }, Current: func() bool { return true }, Notify: func(gateway.Notice) {},
			Hall: "hall1", Meters: meter.New(), Log: zap.NewNop(),
		})
		g.Refresh()
		return bytesPerStep(200, func(i int) {
			applyAll(t, st, []*wire.Entry{adapterOrder(t, st, i)})
			view = st.Clone()
			g.Refresh()
		})
	}
	small, large := cost(quarterFleet), cost(doubleFleet)
	t.Logf("%.0f and %.0f bytes per order", small, large)
	g := NewWithT(t)
	g.Expect(large).To(BeNumerically("<", 1.5*small))
	g.Expect(large).To(BeNumerically("<", 50_000))
}

// The memory that a box uses per server must be bounded and must not grow with the number of servers.
func TestMemoryPerServerIsBounded(t *testing.T) {
	held := func(n fleetSize) float64 {
		entries := fleetEntries(t, n)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		st := state.New()
		applyAll(t, st, entries)
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(st)
		runtime.KeepAlive(entries)
		return float64(int64(after.HeapAlloc)-int64(before.HeapAlloc)) / float64(n.servers)
	}
	small, large := held(quarterFleet), held(doubleFleet)
	t.Logf("%.0f and %.0f bytes per server", small, large)
	NewWithT(t).Expect(large).To(BeNumerically("<", small))
}

// largeDemand returns the demand for the models of a large fleet.
func largeDemand() map[string]placement.Demand {
	demand := map[string]placement.Demand{}
	for i := range largeModels {
		demand[fmt.Sprint("model", i)] = placement.Demand{Requests: 800 / float64(i+1), BusySlots: 800 / float64(i+1), PrefillLoad: 20 / float64(i+1)}
	}
	return demand
}

// dropCopies replaces the copies of every tenth of the first 300 models by copies of other models and clears all caches,
// so that thirty models need copies while all memory is occupied.
func dropCopies(st *state.State) {
	for lost := range 30 {
		other := fmt.Sprint("model", 10*lost+6)
		for location, r := range st.Clone().Residents.ByItem(fmt.Sprint("model", 10*lost+5), "") {
			st.Residents.Delete(location)
			st.Residents.Put(&wire.Resident{Server: r.Server, Item: &wire.Item{Model: other, Version: "newest"}, Phase: wire.Phase_PHASE_READY, Memory: r.Memory})
		}
	}
	for id, s := range st.Clone().Servers.All() {
		c := proto.CloneOf(s)
		c.AtHand = nil
		st.Servers.Set(id, c)
	}
}

// decisionTime returns the minimum CPU time of a decision at a fleet size, after a change of the state.
func decisionTime(t testing.TB, n fleetSize, change func(*state.State)) time.Duration {
	st := state.New()
	applyAll(t, st, fleetEntries(t, n))
	change(st)
	demand := largeDemand()
	return minCPUTime(t, 5, func() {
		placement.Decide(placement.Input{State: st, LeaderFor: time.Hour, Demand: demand})
	})
}

// The cost of a decision must grow about linearly with the number of servers. After thirty models had lost their copies,
// a decision used to evaluate the surplus copies of all servers for each of these models.
func TestDecisionCostScalesWithServers(t *testing.T) {
	g := NewWithT(t)
	for _, row := range []struct {
		name   string
		change func(*state.State)
	}{{"little changed", func(*state.State) {}}, {"thirty models lost their copies", dropCopies}} {
		small, large := decisionTime(t, quarterFleet, row.change), decisionTime(t, doubleFleet, row.change)
		t.Logf("%s: %v and %v", row.name, small, large)
		g.Expect(float64(large)/float64(small)).To(BeNumerically("<", 12), "%s: 8 times as many servers, to the power of 1.2", row.name)
	}
}

// maxLossRatio bounds the time of a decision after many models lost their copies, relative to a decision after little has
// changed. It is the ratio of the bounds of both on the same machine, 130 ms and 18 ms.
const maxLossRatio = 130.0 / 18

func TestDecisionCostAfterLostCopies(t *testing.T) {
	small, needs := decisionTime(t, largeFleet, func(*state.State) {}), decisionTime(t, largeFleet, dropCopies)
	t.Logf("%v and %v", small, needs)
	NewWithT(t).Expect(float64(needs) / float64(small)).To(BeNumerically("<", maxLossRatio))
}
