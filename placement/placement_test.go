package placement_test

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"leverdrum/placement"
	"leverdrum/standin"
	"leverdrum/state"
	"leverdrum/wire"
)

func TestPlacement(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "placement")
}

// execute issues all orders of a plan and closes them as done. It returns how many were issued and
// how many the ledger refused.
func execute(st *state.State, plan placement.Plan, check ...func()) (issued, refused int) {
	for _, d := range plan.Decisions {
		r := standin.ApplyCommand(st, &wire.Command{Kind: &wire.Command_Issue{Issue: &wire.IssueOrder{Order: d.Order}}})
		if r.Err != nil {
			refused++
			continue
		}
		issued++
		standin.ApplyCommand(st, &wire.Command{Kind: &wire.Command_Close{Close: &wire.CloseOrder{Id: r.Order.Id, Outcome: wire.OrderOutcome_OUTCOME_DONE}}})
		for _, f := range check {
			f()
		}
	}
	return issued, refused
}

// converge decides and executes until nothing is left to do.
func converge(st *state.State, demand map[string]placement.Demand) (orders int, plan placement.Plan) {
	for range 400 {
		plan = placement.Decide(placement.Input{State: st, Demand: demand, LeaderFor: time.Hour})
		issued, refused := execute(st, plan)
		ExpectWithOffset(1, refused).To(BeZero(), "the plan must respect the ledger")
		orders += issued
		if issued == 0 {
			return orders, plan
		}
	}
	Fail("the decisions do not converge")
	return 0, plan
}

func newState(text string) *state.State {
	GinkgoHelper()
	st, err := standin.CommittedState(text)
	Expect(err).NotTo(HaveOccurred())
	return st
}

// readyOn returns the servers on which a model, or an adapter, is ready.
func readyOn(st *state.State, name, version string) (servers []string) {
	for p, r := range st.Residents.All() {
		matches := p.Adapter == name || p.Adapter == "" && p.Model == name
		if matches && p.Version == version && r.Phase == wire.Phase_PHASE_READY {
			servers = append(servers, p.Server)
		}
	}
	return servers
}

const threeServers = `
[fleet]
number = 1
loads-at-once = 8
move-weight = 10
[hall a]
[hall b]
[class c]
deadline = 10s
[kind k]
memory = 10GiB
checks-fences = true
concurrency = 10
[server s1]
address = 127.0.0.1:1
hall = a
kind = k
[server s2]
address = 127.0.0.1:2
hall = a
kind = k
[server s3]
address = 127.0.0.1:3
hall = b
kind = k
`

var _ = Describe("placement", func() {
	DescribeTable("makes all models and adapters of the examples resident, with their copies",
		func(file string) {
			text, err := os.ReadFile(filepath.Join("..", "examples", file))
			Expect(err).NotTo(HaveOccurred())
			st := newState(string(text))
			_, plan := converge(st, nil)
			Expect(plan.Shortages).To(BeEmpty())
			for name, m := range st.Fleet.Models {
				Expect(len(readyOn(st, name, m.Version))).To(BeNumerically(">=", m.MinCopies), name)
			}
			for name, a := range st.Fleet.Adapters {
				Expect(readyOn(st, name, a.Version)).NotTo(BeEmpty(), name)
			}
		},
		Entry(nil, "buecherbruecke.ini"), Entry(nil, "tabua.ini"),
	)

	It("gives the same orders for the same input", func() {
		text, err := os.ReadFile(filepath.Join("..", "examples", "tabua.ini"))
		Expect(err).NotTo(HaveOccurred())
		st := newState(string(text))
		demand := map[string]placement.Demand{}
		for i, m := range st.Fleet.SortedModels() {
			demand[m.Name] = placement.Demand{Requests: 1.1 * float64(i), BusySlots: 0.37 * float64(i)}
		}
		st.Fleet.MoveWeight = 0
		converge(st, nil)
		first := placement.Decide(placement.Input{State: st, Demand: demand, LeaderFor: time.Hour})
		Expect(first.Decisions).NotTo(BeEmpty())
		for range 20 {
			again := placement.Decide(placement.Input{State: st, Demand: demand, LeaderFor: time.Hour})
			Expect(again).To(Equal(first))
		}
	})

	It("spreads copies over data halls", func() {
		st := newState(threeServers + "[model m]\nversion = 1\nmemory = 4GiB\nclass = c\ncopies = 2\n")
		converge(st, nil)
		Expect(readyOn(st, "m", "1")).To(ContainElement("s3"))
		Expect(readyOn(st, "m", "1")).To(HaveLen(2))
	})

	It("reloads what a lost server held, models without a copy first", func() {
		st := newState(threeServers + "[model m]\nversion = 1\nmemory = 4GiB\nclass = c\ncopies = 2\n[model n]\nversion = 1\nmemory = 4GiB\nclass = c\n")
		converge(st, nil)
		lost := readyOn(st, "n", "1")[0]
		plan := placement.Decide(placement.Input{State: st, Down: map[string]bool{lost: true}})
		Expect(plan.Decisions).NotTo(BeEmpty())
		Expect(plan.Decisions[0].Order.Item.Model).To(Equal("n"))
		Expect(plan.Decisions[0].Reason).To(Equal("no copy"))
	})

	It("changes a version while the model and its adapter always have a copy", func() {
		st := newState(threeServers + "[model m]\nversion = 1\nmemory = 4GiB\nclass = c\n[adapter x]\nmodel = m\nversion = 1\nmemory = 1GiB\n")
		converge(st, nil)
		next := "# next\n" + threeServers + "[model m]\nversion = 2\nmemory = 4GiB\nclass = c\n[adapter x]\nmodel = m\nversion = 1\nmemory = 1GiB\n"
		Expect(standin.ApplyFleetFile(st, next, 2).Apply).To(Equal(state.Accepted))
		for range 20 {
			execute(st, placement.Decide(placement.Input{State: st}), func() {
				Expect(len(readyOn(st, "m", "1")) + len(readyOn(st, "m", "2"))).To(BeNumerically(">", 0))
				Expect(readyOn(st, "x", "1")).NotTo(BeEmpty())
			})
		}
		Expect(readyOn(st, "m", "1")).To(BeEmpty())
		Expect(readyOn(st, "m", "2")).To(HaveLen(1))
		Expect(readyOn(st, "x", "1")).To(HaveLen(1))
	})

	It("adds a copy only when demand is worth the move", func() {
		text := threeServers + "[model m]\nversion = 1\nmemory = 4GiB\nclass = c\n"
		heavy := map[string]placement.Demand{"m": {Requests: 20, BusySlots: 16}}
		st := newState(text)
		converge(st, heavy)
		Expect(len(readyOn(st, "m", "1"))).To(BeNumerically(">=", 2))
		expensive := newState("# expensive\n" + text)
		expensive.Fleet.MoveWeight = 1e9
		converge(expensive, heavy)
		Expect(readyOn(expensive, "m", "1")).To(HaveLen(1))
	})

	It("leaves copies where they are when demand falls", func() {
		st := newState(threeServers + "[model m]\nversion = 1\nmemory = 4GiB\nclass = c\n")
		converge(st, map[string]placement.Demand{"m": {Requests: 20, BusySlots: 16}})
		orders, _ := converge(st, map[string]placement.Demand{"m": {Requests: 1, BusySlots: 1}})
		Expect(orders).To(BeZero())
	})

	It("evicts a surplus copy to make room for a model without one", func() {
		st := newState(threeServers + "[model m]\nversion = 1\nmemory = 7GiB\nclass = c\n[model n]\nversion = 1\nmemory = 7GiB\nclass = c\n")
		standin.AddReadyResident(st, "s1", 0, &wire.Item{Model: "m", Version: "1"}, 7<<30)
		standin.AddReadyResident(st, "s2", 0, &wire.Item{Model: "m", Version: "1"}, 7<<30)
		standin.AddReadyResident(st, "s3", 0, &wire.Item{Model: "m", Version: "1"}, 7<<30)
		converge(st, nil)
		Expect(readyOn(st, "n", "1")).To(HaveLen(1))
		Expect(readyOn(st, "m", "1")).To(HaveLen(2))
	})

	DescribeTable("relocates copies that block a model that fits only into the total free memory (8)",
		func(models, ready map[string]string, want string, orders int) {
			text := threeServers
			for _, name := range slices.Sorted(maps.Keys(models)) {
				text += "[model " + name + "]\nversion = 1\nclass = c\nmemory = " + models[name] + "\n"
			}
			st := newState(text)
			for name, server := range ready {
				standin.AddReadyResident(st, server, 0, &wire.Item{Model: name, Version: "1"}, st.Fleet.Models[name].Memory)
			}
			for range 30 { // after each order every model but the new one keeps a copy
				execute(st, placement.Decide(placement.Input{State: st}), func() {
					for name := range ready {
						Expect(readyOn(st, name, "1")).NotTo(BeEmpty(), name)
					}
				})
			}
			Expect(readyOn(st, want, "1")).To(HaveLen(1))
			Expect(int(st.Index)-7).To(Equal(2*orders), "orders, each issued and closed")
			_, plan := converge(st, nil)
			Expect(plan.Shortages).To(BeEmpty())
		},
		Entry("by one relocation", map[string]string{"a": "6GiB", "b": "4GiB", "c": "4GiB", "new": "7GiB"},
			map[string]string{"a": "s1", "b": "s2", "c": "s3"}, "new", 3),
		Entry("by two relocations", map[string]string{"a": "7GiB", "b": "3GiB", "c": "3GiB", "d": "7GiB", "new": "10GiB"},
			map[string]string{"a": "s1", "b": "s2", "c": "s2", "d": "s3"}, "new", 5),
	)

	It("waits for a relocation that is under way", func() {
		text := threeServers + "[server s4]\naddress = 127.0.0.1:4\nhall = b\nkind = k\n"
		ready := map[string]int{"a": 6, "b": 4, "c": 4, "d": 6}
		for name, size := range ready {
			text += fmt.Sprintf("[model %s]\nversion = 1\nclass = c\nmemory = %dGiB\n", name, size)
		}
		st := newState(text + "[model new]\nversion = 1\nclass = c\nmemory = 7GiB\n")
		for name, server := range map[string]string{"a": "s1", "b": "s2", "c": "s3", "d": "s4"} {
			standin.AddReadyResident(st, server, 0, &wire.Item{Model: name, Version: "1"}, uint64(ready[name])<<30)
		}
		first := placement.Decide(placement.Input{State: st}).Decisions
		Expect(first).To(HaveLen(1))
		Expect(standin.ApplyCommand(st, &wire.Command{Kind: &wire.Command_Issue{Issue: &wire.IssueOrder{Order: first[0].Order}}}).Err).NotTo(HaveOccurred())
		Expect(placement.Decide(placement.Input{State: st}).Decisions).To(BeEmpty())
	})

	It("reports a shortage when relocation does not help", func() {
		st := newState(threeServers + "[model a]\nversion = 1\nmemory = 6GiB\nclass = c\n[model b]\nversion = 1\nmemory = 6GiB\nclass = c\n[model c]\nversion = 1\nmemory = 6GiB\nclass = c\n")
		st.Fleet.Models["a"].Memory = 10 << 30 // as if a server had been lost
		standin.AddReadyResident(st, "s1", 0, &wire.Item{Model: "b", Version: "1"}, 6<<30)
		standin.AddReadyResident(st, "s2", 0, &wire.Item{Model: "c", Version: "1"}, 6<<30)
		plan := placement.Decide(placement.Input{State: st, Down: map[string]bool{"s3": true}})
		Expect(plan.Decisions).To(BeEmpty())
		Expect(plan.Shortages).To(HaveLen(1))
	})

	It("opens no more loads at once than the weight store serves", func() {
		text := threeServers
		for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"} {
			text += "[model " + name + "]\nversion = 1\nmemory = 1GiB\nclass = c\n"
		}
		Expect(placement.Decide(placement.Input{State: newState(text)}).Decisions).To(HaveLen(8))
	})

	It("gives no orders to a server that is draining, down or not known yet", func() {
		st := newState(threeServers + "[model m]\nversion = 1\nmemory = 4GiB\nclass = c\ncopies = 3\nmax-copies = 3\n")
		st.Servers.Get("s1").Leaving = true
		st.Servers.Delete("s2")
		plan := placement.Decide(placement.Input{State: st, Down: map[string]bool{"s3": true}})
		Expect(plan.Decisions).To(BeEmpty())
		Expect(plan.Shortages).To(HaveLen(1))
	})

	It("gives no orders to servers with recent orders of another leader, and counts their copies", func() {
		st := newState(threeServers + "[model m]\nversion = 1\nmemory = 4GiB\nclass = c\n")
		noOrders := map[string]bool{"s1": true, "s2": true, "s3": true}
		Expect(placement.Decide(placement.Input{State: st, NoOrders: noOrders}).Decisions).To(BeEmpty())
		standin.AddReadyResident(st, "s1", 0, &wire.Item{Model: "m", Version: "1"}, 4<<30)
		Expect(placement.Decide(placement.Input{State: st, NoOrders: map[string]bool{"s1": true}}).Decisions).To(BeEmpty())
	})

	// Guards against a new leader that evicts copies with demand for models without any because it
	// has no demand reports yet.
	It("makes no room for models that the leader defers (13)", func() {
		st := newState(threeServers + "[model m]\nversion = 1\nmemory = 7GiB\nclass = c\n[model n]\nversion = 1\nmemory = 7GiB\nclass = c\n")
		for _, server := range []string{"s1", "s2", "s3"} {
			standin.AddReadyResident(st, server, 0, &wire.Item{Model: "m", Version: "1"}, 7<<30)
		}
		Expect(placement.Decide(placement.Input{State: st, Deferred: map[string]bool{"n": true}}).Decisions).To(BeEmpty())
		Expect(placement.Decide(placement.Input{State: st}).Decisions).NotTo(BeEmpty())
	})

	It("evicts the last copy of an idle model where it stays cached, for a requested one (14)", func() {
		st := newState(threeServers + "[model m]\nversion = 1\nmemory = 7GiB\nclass = c\n[model n]\nversion = 1\nmemory = 7GiB\nclass = c\n")
		standin.AddReadyResident(st, "s1", 0, &wire.Item{Model: "m", Version: "1"}, 7<<30)
		in := placement.Input{
			State: st, Demand: map[string]placement.Demand{"n": {Requests: 5, BusySlots: 1}}, Down: map[string]bool{"s2": true, "s3": true},
			Idle: map[string]bool{"m": true}, LeaderFor: time.Hour,
		}
		Expect(placement.Decide(in).Decisions).To(BeEmpty(), "it would have to come from the weight store again")
		st.Servers.Get("s1").AtHand = []string{"m"}
		Expect(placement.Decide(in).Decisions[0].Order.Item.Model).To(Equal("m"))
		in.Idle = nil
		Expect(placement.Decide(in).Decisions[0].Order.Item.Model).To(Equal("m"), "a model without any requests so far does not stay either (15)")
		in.Demand["m"] = placement.Demand{Requests: 0.2, LongTermRequests: 2}
		Expect(placement.Decide(in).Decisions).To(BeEmpty(), "m is requested all the time")
	})

	Describe("where models are cached (15)", func() {
		var st *state.State
		var in placement.Input
		BeforeEach(func() {
			st = newState(threeServers + "[model hot]\nversion = 1\nmemory = 7GiB\nclass = c\n[model rare]\nversion = 1\nmemory = 7GiB\nclass = c\n")
			st.Fleet.DemandHorizon, st.Fleet.MoveWeight = 15*time.Second, 3
			standin.AddReadyResident(st, "s1", 0, &wire.Item{Model: "hot", Version: "1"}, 7<<30)
			st.Servers.Get("s2").AtHand = []string{"rare", "hot"}
			in = placement.Input{State: st, Down: map[string]bool{"s3": true}, LeaderFor: time.Hour}
		})
		hot := placement.Demand{Requests: 40, LongTermRequests: 40, PrefillLoad: 0.9}

		It("evicts the last copy of a rare model for one that is requested all the time", func() {
			standin.AddReadyResident(st, "s2", 0, &wire.Item{Model: "rare", Version: "1"}, 7<<30)
			in.Demand = map[string]placement.Demand{"hot": hot, "rare": {Requests: 1, LongTermRequests: 0.4}}
			Expect(placement.Decide(in).Decisions).To(ConsistOf(HaveField("Order.RoomFor", "hot")))
			in.Demand["rare"] = placement.Demand{Requests: 4, LongTermRequests: 4}
			Expect(placement.Decide(in).Decisions).To(BeEmpty(), "it is requested too often to be evicted")
			in.Demand = map[string]placement.Demand{"hot": {Requests: 5, LongTermRequests: 5, PrefillLoad: 0.26}}
			Expect(placement.Decide(in).Decisions).To(BeEmpty(), "a small gain is not worth it, though the other has had no requests yet")
		})

		It("leaves freed memory to the model that it was freed for", func() {
			in.Demand = map[string]placement.Demand{"hot": hot, "rare": {Requests: 1, LongTermRequests: 0.4}}
			Expect(placement.Decide(in).Decisions[0].Order.Item.Model).To(Equal("hot"))
		})

		It("loads a requested model again", func() {
			standin.AddReadyResident(st, "s2", 0, &wire.Item{Model: "hot", Version: "1"}, 7<<30)
			in.Demand = map[string]placement.Demand{"hot": {Requests: 1, LongTermRequests: 1, PrefillLoad: 0.1}, "rare": {Requests: 1, LongTermRequests: 0.4}}
			Expect(placement.Decide(in).Decisions).To(ConsistOf(HaveField("Order.RoomFor", "rare")))
			// Its demand rose from nothing to most of all requests within seconds; judged by its
			// average rate, it would have stayed without a copy all the time.
			in.Demand = map[string]placement.Demand{"hot": hot, "rare": {Requests: 100, LongTermRequests: 20, PrefillLoad: 0.3, BusySlots: 12}}
			Expect(placement.Decide(in).Decisions).To(ConsistOf(HaveField("Order.RoomFor", "rare")))
		})

		It("makes room for a model on one server at a time (11)", func() {
			st = newState(threeServers + "[model hot]\nversion = 1\nmemory = 7GiB\nclass = c\n[model a]\nversion = 1\nmemory = 7GiB\nclass = c\n[model b]\nversion = 1\nmemory = 7GiB\nclass = c\n")
			for server, model := range map[string]string{"s2": "a", "s3": "b"} {
				standin.AddReadyResident(st, server, 0, &wire.Item{Model: model, Version: "1"}, 7<<30)
				st.Servers.Get(server).AtHand = []string{"a", "b", "hot"}
			}
			in.State, in.Down = st, map[string]bool{"s1": true}
			in.Demand = map[string]placement.Demand{"hot": {Requests: 50, LongTermRequests: 50, PrefillLoad: 0.5}}
			Expect(placement.Decide(in).Decisions).To(HaveLen(1))
		})
	})

	It("evicts no busy copy for a model that is cached and requested now and then (15)", func() {
		st := newState(threeServers + "[model hot]\nversion = 1\nmemory = 7GiB\nclass = c\n[model rare]\nversion = 1\nmemory = 7GiB\nclass = c\n")
		standin.AddReadyResident(st, "s1", 0, &wire.Item{Model: "hot", Version: "1"}, 7<<30)
		standin.AddReadyResident(st, "s2", 0, &wire.Item{Model: "hot", Version: "1"}, 7<<30)
		in := placement.Input{
			State: st, Down: map[string]bool{"s3": true}, LeaderFor: time.Hour,
			Demand: map[string]placement.Demand{"hot": {Requests: 40, PrefillLoad: 0.8}, "rare": {Requests: 1, LongTermRequests: 0.3}},
		}
		Expect(placement.Decide(in).Decisions).NotTo(BeEmpty(), "no server has it cached: it must stay reachable")
		st.Servers.Get("s2").AtHand = []string{"rare"}
		Expect(placement.Decide(in).Decisions).To(BeEmpty())
		in.Demand["hot"] = placement.Demand{Requests: 1, PrefillLoad: 0.02}
		Expect(placement.Decide(in).Decisions[0].Order.RoomFor).To(Equal("rare"), "it is loaded where that costs little")
	})

	const twoMoreServers = "[server s4]\naddress = 127.0.0.1:4\nhall = b\nkind = k\n[server s5]\naddress = 127.0.0.1:5\nhall = b\nkind = k\n"

	It("loads into free memory while room is being made for the model (11)", func() {
		st := newState(threeServers + "[model hot]\nversion = 1\nmemory = 7GiB\nclass = c\n[model idle]\nversion = 1\nmemory = 7GiB\nclass = c\n")
		standin.AddReadyResident(st, "s1", 0, &wire.Item{Model: "hot", Version: "1"}, 7<<30)
		standin.AddReadyResident(st, "s2", 0, &wire.Item{Model: "idle", Version: "1"}, 7<<30)
		st.Orders.Set(9, &wire.Order{Id: 9, Action: wire.OrderAction_ORDER_UNLOAD, Server: "s2", Item: &wire.Item{Model: "idle", Version: "1"}, RoomFor: "hot"})
		plan := placement.Decide(placement.Input{State: st, Demand: map[string]placement.Demand{"hot": {Requests: 40, PrefillLoad: 0.9}}, LeaderFor: time.Hour})
		Expect(plan.Decisions).To(ConsistOf(HaveField("Order.Server", "s3")))
		standin.AddReadyResident(st, "s3", 0, &wire.Item{Model: "idle", Version: "1"}, 7<<30)
		again := placement.Decide(placement.Input{State: st, Demand: map[string]placement.Demand{"hot": {Requests: 40, PrefillLoad: 0.9}}, LeaderFor: time.Hour})
		Expect(again.Decisions).To(BeEmpty(), "no more room is made")
		Expect(plan.Decisions[0].Order.Item.Model).To(Equal("hot"))
	})

	It("waits for a server that takes no order yet rather than evict a copy that many need (16)", func() {
		st := newState(threeServers + twoMoreServers + "[model hot]\nversion = 1\nmemory = 7GiB\nclass = c\n[model idle]\nversion = 1\nmemory = 7GiB\nclass = c\n[model new]\nversion = 1\nmemory = 7GiB\nclass = c\n")
		standin.AddReadyResident(st, "s1", 0, &wire.Item{Model: "hot", Version: "1"}, 7<<30)
		standin.AddReadyResident(st, "s2", 0, &wire.Item{Model: "hot", Version: "1"}, 7<<30)
		standin.AddReadyResident(st, "s3", 0, &wire.Item{Model: "idle", Version: "1"}, 7<<30)
		standin.AddReadyResident(st, "s4", 0, &wire.Item{Model: "idle", Version: "1"}, 7<<30)
		in := placement.Input{
			State: st, NoOrders: map[string]bool{"s3": true, "s4": true, "s5": true}, Down: map[string]bool{"s5": true}, LeaderFor: time.Hour,
			Demand: map[string]placement.Demand{"hot": {Requests: 40, PrefillLoad: 0.9}, "new": {Requests: 0.2}},
		}
		Expect(placement.Decide(in).Decisions).To(BeEmpty())
		in.NoOrders = nil
		Expect(placement.Decide(in).Decisions[0].Order.Item.Model).To(Equal("idle"))
		in.NoOrders, in.Down = map[string]bool{"s1": true, "s5": true}, map[string]bool{"s3": true, "s4": true, "s5": true}
		Expect(placement.Decide(in).Decisions[0].Order.Server).To(Equal("s2"), "there is no other way")
	})

	It("counts no loads on servers that are down (6)", func() {
		st := newState(threeServers + twoMoreServers + "[model hot]\nversion = 1\nmemory = 7GiB\nclass = c\n")
		st.Fleet.MaxConcurrentLoads = 1
		st.Orders.Set(9, &wire.Order{Id: 9, Action: wire.OrderAction_ORDER_LOAD, Server: "s5", Item: &wire.Item{Model: "hot", Version: "1"}})
		in := placement.Input{State: st, LeaderFor: time.Hour, Demand: map[string]placement.Demand{"hot": {Requests: 1}}}
		Expect(placement.Decide(in).Decisions).To(BeEmpty())
		in.Down = map[string]bool{"s5": true}
		Expect(placement.Decide(in).Decisions).NotTo(BeEmpty())
	})

	It("evicts the copy whose eviction is fastest (5)", func() {
		st := newState(threeServers + twoMoreServers + "[model hot]\nversion = 1\nmemory = 7GiB\nclass = c\n[model a]\nversion = 1\nmemory = 7GiB\nclass = c\n[model b]\nversion = 1\nmemory = 7GiB\nclass = c\n")
		standin.AddReadyResident(st, "s1", 0, &wire.Item{Model: "hot", Version: "1"}, 7<<30)
		standin.AddReadyResident(st, "s2", 0, &wire.Item{Model: "a", Version: "1"}, 7<<30)
		standin.AddReadyResident(st, "s3", 0, &wire.Item{Model: "a", Version: "1"}, 7<<30)
		standin.AddReadyResident(st, "s4", 0, &wire.Item{Model: "b", Version: "1"}, 7<<30)
		in := placement.Input{State: st, LeaderFor: time.Hour, Demand: map[string]placement.Demand{"hot": {Requests: 40, PrefillLoad: 0.9}, "a": {Requests: 0.5, BusySlots: 2}}}
		st.Fleet.DemandHorizon, st.Fleet.MoveWeight = 15*time.Second, 1
		standin.AddReadyResident(st, "s5", 0, &wire.Item{Model: "b", Version: "1"}, 7<<30)
		Expect(placement.Decide(in).Decisions[0].Order.Item.Model).To(Equal("b"))
	})

	// With 102 requests per second on one copy, the weight store's capacity went to models that
	// were requested once in several seconds.
	It("loads what serves the most requests first (1)", func() {
		st := newState(threeServers + "[model hot]\nversion = 1\nmemory = 4GiB\nclass = c\n[model rare]\nversion = 1\nmemory = 4GiB\nclass = c\n")
		standin.AddReadyResident(st, "s1", 0, &wire.Item{Model: "hot", Version: "1"}, 4<<30)
		demand := map[string]placement.Demand{"hot": {Requests: 100, BusySlots: 30}, "rare": {Requests: 0.3, BusySlots: 0.1}}
		plan := placement.Decide(placement.Input{State: st, Demand: demand, LeaderFor: time.Hour})
		Expect(plan.Decisions[0].Order.Item.Model).To(Equal("hot"))
		Expect(plan.Decisions).To(ContainElement(HaveField("Reason", "no copy")))
	})

	It("values a move by how long demand lasts", func() {
		text := threeServers + "[model m]\nversion = 1\nmemory = 4GiB\nclass = c\n"
		heavy := map[string]placement.Demand{"m": {Requests: 20, BusySlots: 16}}
		brief := newState(text)
		brief.Fleet.DemandHorizon, brief.Fleet.MoveWeight = time.Second, 0.1
		brief.Fleet.Models["m"].LoadTime = 2 * time.Second
		converge(brief, heavy)
		Expect(readyOn(brief, "m", "1")).To(HaveLen(1), "it would be loaded too late")
	})
})
