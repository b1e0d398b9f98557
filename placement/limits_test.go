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

// limitOn has a server's limit agreed, in requests a second.
func limitOn(st *state.State, server string, perSecond float64) {
	standin.Agree(st, &wire.Command{Kind: &wire.Command_Limit{Limit: &wire.ServerLimit{Server: server, Milli: uint32(1000 * perSecond)}}})
}

const limitedFleet = two + `
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

var _ = Describe("servers that name a limit", func() {
	demand := map[string]placement.Demand{"m": {Requests: 8, BusySlots: 2}}

	It("are a reason for another copy elsewhere where they alone hold the model", func() {
		st := agreed(limitedFleet)
		settle(st, demand)
		Expect(copies(st, "m", "1")).To(HaveLen(1), "one copy is enough")
		holder := copies(st, "m", "1")[0]
		limitOn(st, holder, 1)
		settle(st, demand)
		Expect(copies(st, "m", "1")).To(HaveLen(2), "and no more once the other has room")
	})

	It("get no copy while another server has room", func() {
		st := agreed(limitedFleet)
		limitOn(st, "s1", 1)
		limitOn(st, "s2", 1)
		settle(st, demand)
		Expect(copies(st, "m", "1")).To(ContainElement("s3"))
	})

	It("move nothing where nobody asks for more than they take", func() {
		st := agreed(limitedFleet)
		settle(st, demand)
		limitOn(st, copies(st, "m", "1")[0], 100)
		plan := placement.Decide(placement.Input{State: st, Demand: demand, LeaderFor: time.Hour})
		Expect(plan.Decisions).To(BeEmpty())
	})
})
