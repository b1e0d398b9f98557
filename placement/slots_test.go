package placement_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/fleet"
	"leverdrum/placement"
	"leverdrum/standin"
	"leverdrum/state"
	"leverdrum/wire"
)

// crowded is three servers of two slots, each with a copy of model hot, of which six
// adapters are asked for, and a copy of a model that has no other.
func crowded(t *testing.T) (*state.State, map[string]placement.Demand) {
	text := two
	for _, name := range []string{"hot", "x1", "x2", "x3", "rare"} {
		text += fmt.Sprintf("[model %s]\nversion = 1\nmemory = 4GiB\nclass = c\n", name)
	}
	st, err := standin.Agreed(text)
	if err != nil {
		t.Fatal(err)
	}
	st.Fleet.DemandLasts = 15 * time.Second
	for _, m := range st.Fleet.Models {
		m.LoadTime = 4 * time.Second
	}
	demand := map[string]placement.Demand{"hot": {Requests: 12, Places: 2}, "rare": {Requests: 0.2, Places: 0.02}}
	for i := range 6 {
		name := fmt.Sprintf("hot/a%d", i)
		st.Fleet.Adapters[name] = &fleet.Adapter{Name: name, Model: "hot", Version: "1", OnDemand: true}
		demand[name] = placement.Demand{Requests: 2, Places: 0.3}
	}
	for i, server := range []string{"s1", "s2", "s3"} {
		s := st.Fleet.Servers[server]
		s.Kind.AdapterSlots = 2
		st.Fleet.Pools[s.Pool] = &fleet.Pool{Name: s.Pool, Kind: s.Kind}
		standin.Ready(st, server, 0, &wire.Item{Model: "hot", Version: "1"}, 4<<30)
		standin.Ready(st, server, 0, &wire.Item{Model: fmt.Sprintf("x%d", i+1), Version: "1"}, 4<<30)
	}
	return st, demand
}

// A copy whose slots hold adapters that are asked for made room for a model that is
// hardly asked for: 38 adapters of a model with 30 requests a second shared the eight slots
// of its last copy for half a minute, and 257 requests waited six seconds in vain
// (buecherbruecke-ops mix --seed 190689376284).
func TestSlotsOfAdaptersThatAreAskedForAreNotGivenAway(t *testing.T) {
	g := NewWithT(t)
	st, demand := crowded(t)
	in := placement.Input{State: st, Demand: demand, Since: time.Hour}
	plan := placement.Decide(in)
	g.Expect(plan.Decisions).To(BeEmpty())
	g.Expect(plan.Shortages).To(ContainElement(HaveField("Model", "rare")), "and it is said what is short")

	for i := range 6 {
		delete(demand, fmt.Sprintf("hot/a%d", i))
	}
	g.Expect(placement.Decide(in).Decisions[0].Order.Item.Model).To(Equal("hot"), "without its adapters' demand a copy may go")
}
