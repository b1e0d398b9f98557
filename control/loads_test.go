package control

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"leverdrum/state"
	"leverdrum/wire"
)

// Which terminations of servers are evidence against the items being loaded there.
func TestCrashSignsOfLoads(t *testing.T) {
	item := &wire.Item{Model: "m", Version: "v"}
	for name, c := range map[string]struct {
		then        func(st *state.State)
		signs, weak int
	}{
		"it continues":  {func(*state.State) {}, 0, 0},
		"the load ends": {func(st *state.State) { st.Orders.Delete(7) }, 0, 0},
		"another server has its port": {func(st *state.State) {
			st.Announcements.Get("s").Silent = true
			st.Announcements.Set("t", &wire.Announcement{Id: "t", Address: "a:1"})
		}, 1, 0},
		"another incarnation": {func(st *state.State) { st.Announcements.Delete("s"); st.Servers.Delete("s"); st.Orders.Delete(7) }, 1, 0},
		"it is unresponsive":  {func(st *state.State) { st.Announcements.Get("s").Silent = true }, 1, 1},
		"it was draining": {func(st *state.State) {
			st.Announcements.Get("s").Silent, st.Announcements.Get("s").Leaving = true, true
		}, 0, 0},
		"ready elsewhere": {func(st *state.State) {
			st.Announcements.Get("s").Silent = true
			st.Residents.Put(&wire.Resident{Server: "u", Item: item, Phase: wire.Phase_PHASE_READY})
		}, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c0 := New(Options{Log: zap.NewNop()})
			st := state.New()
			st.Announcements.Set("s", &wire.Announcement{Id: "s", Address: "a:1", Version: "v1"})
			st.Servers.Set("s", &wire.ServerState{Name: "s", Incarnation: "s"})
			st.Orders.Set(7, &wire.Order{Id: 7, Action: wire.OrderAction_ORDER_LOAD, Server: "s", ServerIncarnation: "s", Item: item})
			g.Expect(c0.loadCrashSigns(st, time.Now()).Signs).To(BeEmpty())
			c.then(st)
			r := c0.loadCrashSigns(st, time.Now())
			g.Expect(r.Signs).To(HaveLen(c.signs))
			weak := 0
			for _, s := range r.Signs {
				g.Expect(s.Version).To(Equal("v1"))
				if s.Weak {
					weak++
				}
			}
			g.Expect(weak).To(Equal(c.weak))
			g.Expect(c0.loadCrashSigns(st, time.Now()).Signs).To(BeEmpty(), "reported once")
		})
	}
}
