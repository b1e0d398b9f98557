package placement

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/fleet"
	"leverdrum/wire"
)

// Making room where fifty requests ran took four seconds, and its model was missed meanwhile: the
// eviction time of busy copies must count.
func TestBusyCopiesTakeTimeToEvict(t *testing.T) {
	g := NewWithT(t)
	p := &planner{fleet: fleet.New(), servingCache: map[string][]modelCopy{}, in: Input{Demand: map[string]Demand{"busy": {BusySlots: 2}, "quiet": {BusySlots: 0.1}}}}
	copyOn := func(model string) modelCopy {
		c := modelCopy{&accelerator{load: &load{slots: 1}}, &wire.Resident{Item: &wire.Item{Model: model}, Phase: wire.Phase_PHASE_READY}}
		p.fleet.Models[model] = &fleet.Model{Name: model}
		p.copies = map[string][]modelCopy{model: {c}}
		return c
	}
	g.Expect(p.evictionTime([]modelCopy{copyOn("busy")})).To(Equal(busyEvictionTime))
	g.Expect(p.evictionTime([]modelCopy{copyOn("quiet")})).To(BeZero())
	g.Expect(p.evictionTime(nil)).To(Equal(time.Duration(0)))
}
