package placement

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/fleet"
	"leverdrum/wire"
)

// Room made where fifty requests ran was there four seconds later, and its model was
// missed meanwhile.
func TestCopiesThatRequestsRunOnTakeTimeToGo(t *testing.T) {
	g := NewWithT(t)
	p := &planner{fleet: fleet.New(), served: map[string][]copyOf{}, in: Input{Demand: map[string]Demand{"busy": {BusySlots: 2}, "quiet": {BusySlots: 0.1}}}}
	copyOn := func(model string) copyOf {
		c := copyOf{&accelerator{load: &load{size: 1}}, &wire.Resident{Item: &wire.Item{Model: model}, Phase: wire.Phase_PHASE_READY}}
		p.fleet.Models[model] = &fleet.Model{Name: model}
		p.copies = map[string][]copyOf{model: {c}}
		return c
	}
	g.Expect(p.clearTime([]copyOf{copyOn("busy")})).To(Equal(clearBusy))
	g.Expect(p.clearTime([]copyOf{copyOn("quiet")})).To(BeZero())
	g.Expect(p.clearTime(nil)).To(Equal(time.Duration(0)))
}
