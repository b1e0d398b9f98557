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

// shortFleet has six servers of three places and sixty models, of which the first eighteen stand. A server has at hand what
// stood there.
type shortFleet struct {
	st     *state.State
	demand map[string]placement.Demand
	loads  []string // in their order
}

const (
	shortServers, shortPlaces, shortModels = 6, 3, 60
	shortStore                             = 2 // loads from the weight store in a round, fewer than are wanted
)

func newShortFleet(t *testing.T) *shortFleet {
	text := fmt.Sprintf("[fleet]\nnumber = 1\nmove-weight = 3\nloads-at-once = %d\n[hall a]\n[class c]\ndeadline = 10s\n[kind k]\nmemory = %dGiB\nchecks-fences = true\nconcurrency = 10\n", shortStore, shortModels)
	for i := range shortServers {
		text += fmt.Sprintf("[server s%d]\naddress = 127.0.0.1:%d\nhall = a\nkind = k\n", i, i+1)
	}
	for i := range shortModels {
		text += fmt.Sprintf("[model m%02d]\nversion = 1\nclass = c\nmemory = 1GiB\n", i)
	}
	st, err := standin.Agreed(text)
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range st.Fleet.Servers { // the file's own check wants room for all
		s.Kind.Memory = shortPlaces << 30
	}
	f := &shortFleet{st: st, demand: map[string]placement.Demand{}}
	for i := range shortServers * shortPlaces {
		f.put(fmt.Sprint("s", i/shortPlaces), modelOf(i))
	}
	return f
}

func modelOf(i int) string { return fmt.Sprintf("m%02d", i) }

// put has a model stand on a server, which has it at hand from then on.
func (f *shortFleet) put(server, model string) {
	standin.Ready(f.st, server, 0, &wire.Item{Model: model, Version: "1"}, 1<<30)
	s := f.st.Servers.Get(server)
	f.st.Servers.Set(server, &wire.ServerState{Name: s.Name, Incarnation: s.Incarnation, AtHand: append(s.AtHand, model)})
}

// ask has models asked for at a rate in requests a second.
func (f *shortFleet) ask(rate float64, models ...string) {
	for _, m := range models {
		f.demand[m] = placement.Demand{Requests: rate, LongTermRequests: rate, BusySlots: rate / 2}
	}
}

// round decides once; all that it orders is done before the next.
func (f *shortFleet) round() {
	plan := placement.Decide(placement.Input{State: f.st, Demand: f.demand, LeaderFor: time.Hour})
	for _, d := range plan.Decisions {
		r := standin.Agree(f.st, &wire.Command{Kind: &wire.Command_Issue{Issue: &wire.IssueOrder{Order: d.Order}}})
		if r.Err != nil {
			continue
		}
		standin.Agree(f.st, &wire.Command{Kind: &wire.Command_Close{Close: &wire.CloseOrder{Id: r.Order.Id, Outcome: wire.OrderOutcome_OUTCOME_DONE}}})
		if d.Order.Action == wire.OrderAction_ORDER_LOAD {
			f.loads = append(f.loads, d.Order.Item.Model)
		}
	}
}

func (f *shortFleet) stands(model string) bool {
	for _, r := range f.st.Residents.ByItem(model, "") {
		return r.Phase == wire.Phase_PHASE_READY
	}
	return false
}

// Where places are fewer than models, what stands does not go for models that nobody asks for.
func TestWhatStandsDoesNotGoForWhatNobodyAsksFor(t *testing.T) {
	g := NewWithT(t)
	f := newShortFleet(t)
	for range 10 {
		f.round()
	}
	g.Expect(f.loads).To(BeEmpty())
	for i := range shortServers * shortPlaces {
		g.Expect(f.stands(modelOf(i))).To(BeTrue(), modelOf(i))
	}
}

// What is asked for comes, the more it is asked for the sooner, before anything that nobody asks for, and stays.
func TestWhatIsAskedForComesAndStays(t *testing.T) {
	g := NewWithT(t)
	f := newShortFleet(t)
	var wanted []string
	for i := range 8 {
		wanted = append(wanted, modelOf(40+i))
	}
	f.ask(1, wanted...)
	f.ask(6, modelOf(47))
	for range 4 * len(wanted) {
		f.round()
	}
	for _, m := range wanted {
		g.Expect(f.stands(m)).To(BeTrue(), m)
	}
	g.Expect(f.loads).To(ConsistOf(wanted), "each once, and nothing else")
	g.Expect(f.loads[0]).To(Equal(modelOf(47)))
}

// A model that a server has at hand comes back at once, also while the weight store has as many loads as it serves well.
func TestWhatIsAtHandDoesNotWaitForTheStore(t *testing.T) {
	g := NewWithT(t)
	f := newShortFleet(t)
	back := modelOf(0)
	f.st.Residents.Delete(ledger.Location{Server: "s0", Model: back, Version: "1"})
	for i := range shortStore { // open loads elsewhere
		server := fmt.Sprint("s", 4+i)
		f.st.Residents.Delete(ledger.Location{Server: server, Model: modelOf(shortPlaces * (4 + i)), Version: "1"})
		o := &wire.Order{Action: wire.OrderAction_ORDER_LOAD, Server: server, ServerIncarnation: "i", Item: &wire.Item{Model: modelOf(50 + i), Version: "1"}, Memory: 1 << 30}
		r := standin.Agree(f.st, &wire.Command{Kind: &wire.Command_Issue{Issue: &wire.IssueOrder{Order: o}}})
		g.Expect(r.Err).NotTo(HaveOccurred())
	}
	f.ask(5, back)
	f.round()
	g.Expect(f.loads).To(ContainElement(back))
}
