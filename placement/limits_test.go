package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"leverdrum/placement"
	"leverdrum/standin"
	"leverdrum/state"
	"leverdrum/wire"
)

// setLimit applies a limit of a server, in requests per second.
func setLimit(st *state.State, server string, perSecond float64) {
	standin.ApplyCommand(st, &wire.Command{Kind: &wire.Command_Limit{Limit: &wire.ServerLimit{Server: server, Milli: uint32(1000 * perSecond)}}})
}

const limitedFleet = threeServers + `
[model m]
memory = 5GiB
class = c
version = 1
max-copies = 3
[model n]
memory = 5GiB
class = c
version = 1
max-copies = 3
`

var _ = Describe("servers that report a limit", func() {
	demand := map[string]placement.Demand{"m": {Requests: 8, BusySlots: 2}}

	It("cause another copy elsewhere where no other server has the model", func() {
		st := newState(limitedFleet)
		converge(st, demand)
		Expect(readyOn(st, "m", "1")).To(HaveLen(1), "one copy is enough")
		holder := readyOn(st, "m", "1")[0]
		setLimit(st, holder, 1)
		converge(st, demand)
		Expect(readyOn(st, "m", "1")).To(HaveLen(2), "and no more once the other has headroom")
	})

	It("get no copy while another server has headroom", func() {
		st := newState(limitedFleet)
		setLimit(st, "s1", 1)
		setLimit(st, "s2", 1)
		converge(st, demand)
		Expect(readyOn(st, "m", "1")).To(ContainElement("s3"))
	})

	It("cause no move while demand is within their limit", func() {
		st := newState(limitedFleet)
		converge(st, demand)
		setLimit(st, readyOn(st, "m", "1")[0], 100)
		plan := placement.Decide(placement.Input{State: st, Demand: demand, LeaderFor: time.Hour})
		Expect(plan.Decisions).To(BeEmpty())
	})
})
