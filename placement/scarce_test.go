package placement_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/ledger"
	"leverdrum/placement"
	"leverdrum/standin"
	"leverdrum/state"
	"leverdrum/wire"
)

// scarceFleet has six servers with memory for three models each and sixty models, of which the
// first eighteen are resident. A server has cached what was resident there.
type scarceFleet struct {
	st     *state.State
	demand map[string]placement.Demand
	loads  []string // in order
}

const (
	scarceServers, copiesPerServer, scarceModels = 6, 3, 60
	scarceLoadsAtOnce                            = 2 // loads from the weight store per step, fewer than wanted
)

func newScarceFleet(t *testing.T) *scarceFleet {
	text := fmt.Sprintf("[fleet]\nnumber = 1\nmove-weight = 3\nloads-at-once = %d\n[hall a]\n[class c]\ndeadline = 10s\n[kind k]\nmemory = %dGiB\nchecks-fences = true\nconcurrency = 10\n", scarceLoadsAtOnce, scarceModels)
	for i := range scarceServers {
		text += fmt.Sprintf("[server s%d]\naddress = 127.0.0.1:%d\nhall = a\nkind = k\n", i, i+1)
	}
	for i := range scarceModels {
		text += fmt.Sprintf("[model m%02d]\nversion = 1\nclass = c\nmemory = 1GiB\n", i)
	}
	st, err := standin.CommittedState(text)
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range st.Fleet.Servers { // the check of the fleet file requires room for all models
		s.Kind.Memory = copiesPerServer << 30
	}
	f := &scarceFleet{st: st, demand: map[string]placement.Demand{}}
	for i := range scarceServers * copiesPerServer {
		f.place(fmt.Sprint("s", i/copiesPerServer), modelOf(i))
	}
	return f
}

func modelOf(i int) string { return fmt.Sprintf("m%02d", i) }

// place makes a model resident on a server, which has it cached from then on.
func (f *scarceFleet) place(server, model string) {
	standin.AddReadyResident(f.st, server, 0, &wire.Item{Model: model, Version: "1"}, 1<<30)
	s := f.st.Servers.Get(server)
	f.st.Servers.Set(server, &wire.ServerState{Name: s.Name, Incarnation: s.Incarnation, AtHand: append(s.AtHand, model)})
}

// setDemand sets the demand of models to a rate in requests per second.
func (f *scarceFleet) setDemand(rate float64, models ...string) {
	for _, m := range models {
		f.demand[m] = placement.Demand{Requests: rate, LongTermRequests: rate, BusySlots: rate / 2}
	}
}

// step decides once; all its orders are done before the next step.
func (f *scarceFleet) step() {
	plan := placement.Decide(placement.Input{State: f.st, Demand: f.demand, LeaderFor: time.Hour})
	for _, d := range plan.Decisions {
		r := standin.ApplyCommand(f.st, &wire.Command{Kind: &wire.Command_Issue{Issue: &wire.IssueOrder{Order: d.Order}}})
		if r.Err != nil {
			continue
		}
		standin.ApplyCommand(f.st, &wire.Command{Kind: &wire.Command_Close{Close: &wire.CloseOrder{Id: r.Order.Id, Outcome: wire.OrderOutcome_OUTCOME_DONE}}})
		if d.Order.Action == wire.OrderAction_ORDER_LOAD {
			f.loads = append(f.loads, d.Order.Item.Model)
		}
	}
}

func (f *scarceFleet) isReady(model string) bool {
	for _, r := range f.st.Residents.ByItem(model, "") {
		return r.Phase == wire.Phase_PHASE_READY
	}
	return false
}

// Where memory is scarce, resident copies must not be evicted for models without demand.
func TestResidentCopiesStayWithoutDemand(t *testing.T) {
	g := NewWithT(t)
	f := newScarceFleet(t)
	for range 10 {
		f.step()
	}
	g.Expect(f.loads).To(BeEmpty())
	for i := range scarceServers * copiesPerServer {
		g.Expect(f.isReady(modelOf(i))).To(BeTrue(), modelOf(i))
	}
}

// Models with demand must be loaded, those with the highest first, before anything without demand,
// and must stay.
func TestRequestedModelsAreLoadedAndStay(t *testing.T) {
	g := NewWithT(t)
	f := newScarceFleet(t)
	var requested []string
	for i := range 8 {
		requested = append(requested, modelOf(40+i))
	}
	f.setDemand(1, requested...)
	f.setDemand(6, modelOf(47))
	for range 4 * len(requested) {
		f.step()
	}
	for _, m := range requested {
		g.Expect(f.isReady(m)).To(BeTrue(), m)
	}
	g.Expect(f.loads).To(ConsistOf(requested), "each once, and nothing else")
	g.Expect(f.loads[0]).To(Equal(modelOf(47)))
}

// A model that a server has cached must be loaded at once, even while the weight store has as many
// loads as it serves well.
func TestCachedModelsDoNotWaitForWeightStore(t *testing.T) {
	g := NewWithT(t)
	f := newScarceFleet(t)
	evicted := modelOf(0)
	f.st.Residents.Delete(ledger.Location{Server: "s0", Model: evicted, Version: "1"})
	for i := range scarceLoadsAtOnce { // open loads elsewhere
		server := fmt.Sprint("s", 4+i)
		f.st.Residents.Delete(ledger.Location{Server: server, Model: modelOf(copiesPerServer * (4 + i)), Version: "1"})
		o := &wire.Order{Action: wire.OrderAction_ORDER_LOAD, Server: server, ServerIncarnation: "i", Item: &wire.Item{Model: modelOf(50 + i), Version: "1"}, Memory: 1 << 30}
		r := standin.ApplyCommand(f.st, &wire.Command{Kind: &wire.Command_Issue{Issue: &wire.IssueOrder{Order: o}}})
		g.Expect(r.Err).NotTo(HaveOccurred())
	}
	f.setDemand(5, evicted)
	f.step()
	g.Expect(f.loads).To(ContainElement(evicted))
}
