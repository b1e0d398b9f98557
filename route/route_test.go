package route_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/route"
	"leverdrum/standin"
	"leverdrum/state"
	"leverdrum/wire"
)

// newDirectory returns a directory of three servers that all serve one model.
// One of the servers is in another hall.
func newDirectory(t *testing.T) (*route.Directory, *state.State, *route.Target) {
	text := "[fleet]\nnumber = 1\n[hall a]\n[hall b]\n[class c]\ndeadline = 1s\n[kind k]\nmemory = 1GiB\nconcurrency = 10\n"
	for i, hall := range []string{"a", "a", "b"} {
		text += fmt.Sprintf("[server s%d]\naddress = 127.0.0.1:%d\nhall = %s\nkind = k\n", i, i+1, hall)
	}
	st, err := standin.CommittedState(text + "[model m]\nversion = 1\nmemory = 1B\nclass = c\n")
	if err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		standin.AddReadyResident(st, fmt.Sprint("s", i), 0, &wire.Item{Model: "m", Version: "1"}, 1)
	}
	d := route.NewDirectory("a")
	d.Update(st)
	return d, st, d.Table().Models["m"]
}

// countChoices returns how often each server is chosen in 300 choices without
// requests in flight.
func countChoices(d *route.Directory, target *route.Target) map[string]int {
	count := map[string]int{}
	for range 300 {
		if b, _ := d.Choose(target, time.Now(), route.Criteria{}); b != nil {
			count[b.Name]++
		}
	}
	return count
}

func TestPrefersOwnHall(t *testing.T) {
	d, _, target := newDirectory(t)
	count := countChoices(d, target)
	g := NewWithT(t)
	g.Expect(count["s2"]).To(BeZero(), "%v", count)
	g.Expect(count["s0"]).To(BeNumerically(">", 50))
	for range 5 {
		d.Backends()["s0"].Begin()
		d.Backends()["s1"].Begin()
	}
	g.Expect(countChoices(d, target)["s2"]).To(BeNumerically(">", 100), "load overrides the preference (5)")
}

func TestDrainingFromEachSource(t *testing.T) {
	for name, leave := range map[string]func(d *route.Directory, st *state.State){
		"by the server":           func(d *route.Directory, _ *state.State) { d.Backends()["s0"].SetDraining(true) },
		"by the platform":         func(d *route.Directory, _ *state.State) { d.SetTerminatedServers(map[string]bool{"s0": true}) },
		"by the fleet file":       func(_ *route.Directory, st *state.State) { st.Fleet.Servers["s0"].Draining = true },
		"by the replicated state": func(_ *route.Directory, st *state.State) { st.Servers.Get("s0").Leaving = true },
	} {
		t.Run(name, func(t *testing.T) {
			d, st, _ := newDirectory(t)
			leave(d, st)
			d.Update(st)
			NewWithT(t).Expect(countChoices(d, d.Table().Models["m"])["s0"]).To(BeZero())
		})
	}
}

func TestEjectionExpiresAndIsIgnoredWhenAllEjected(t *testing.T) {
	g := NewWithT(t)
	d, _, target := newDirectory(t)
	now := time.Now()
	bad := d.Backends()["s0"]
	g.Expect(bad.RecordFailure(now)).To(BeFalse())
	g.Expect(bad.RecordFailure(now)).To(BeFalse())
	g.Expect(bad.RecordFailure(now)).To(BeTrue(), "the third consecutive failure ejects the backend")
	g.Expect(countChoices(d, target)["s0"]).To(BeZero())
	b, _ := d.Choose(target, now.Add(time.Second), route.Criteria{Tried: []*route.Backend{d.Backends()["s1"], d.Backends()["s2"]}})
	g.Expect(b).To(Equal(bad), "the ejection has ended")
	for _, name := range []string{"s1", "s2"} {
		for range 3 {
			d.Backends()[name].RecordFailure(now)
		}
	}
	g.Expect(countChoices(d, target)).NotTo(BeEmpty(), "ejections are ignored if all backends are ejected (2)")
}

func TestEjectsBackendFailingHalfOfRequests(t *testing.T) {
	g := NewWithT(t)
	d, _, target := newDirectory(t)
	now := time.Now()
	bad := d.Backends()["s0"]
	answers := 0
	for ; countChoices(d, target)["s0"] > 0 && answers < 100; answers += 2 { // never two consecutive failures
		bad.RecordSuccess()
		bad.RecordFailure(now)
	}
	g.Expect(answers).To(BeNumerically("<", 30))
	g.Expect(bad.Limit()).To(BeEquivalentTo(1), "after the ejection the limit is one request (2)")
	g.Expect(bad.RecordFailure(now.Add(time.Second))).To(BeTrue(), "one failure ejects it again")
	for range 100 {
		bad.RecordSuccess()
	}
	g.Expect(bad.RecordFailure(now.Add(time.Minute))).To(BeFalse(), "earlier ejections are forgotten")
	for range 3 { // two of three are ejected
		d.Backends()["s1"].RecordFailure(now)
		bad.RecordFailure(now)
	}
	g.Expect(countChoices(d, target)).To(HaveKey("s0"), "ejections are ignored if most backends are ejected")
}

func TestLimitAdapts(t *testing.T) {
	g := NewWithT(t)
	d, _, _ := newDirectory(t)
	b := d.Backends()["s0"]
	now := time.Now()
	b.RecordLate(now)
	b.RecordLate(now)
	g.Expect(b.Limit()).To(BeNumerically("~", 20.0/3, 0.01), "the limit decreases at most once a second (6)")
	for range 7 {
		b.Begin()
	}
	g.Expect(b.HasCapacity()).To(BeFalse())
	for range 100 {
		b.RecordInTime()
	}
	g.Expect(b.Limit()).To(BeNumerically(">", 7))
	g.Expect(b.HasCapacity()).To(BeTrue())
}

func TestAdapterRequiresModelOnSameAccelerator(t *testing.T) {
	g := NewWithT(t)
	text := "[fleet]\nnumber = 1\n[hall a]\n[class c]\ndeadline = 1s\n[kind k]\nmemory = 1GiB\n[server s0]\naddress = 127.0.0.1:1\nhall = a\nkind = k\n" +
		"[model m]\nversion = 1\nmemory = 1B\nclass = c\n[adapter x]\nmodel = m\nversion = 1\nmemory = 1B\n"
	st, err := standin.CommittedState(text)
	g.Expect(err).NotTo(HaveOccurred())
	standin.AddReadyResident(st, "s0", 0, &wire.Item{Model: "m", Adapter: "x", Version: "1"}, 1)
	d := route.NewDirectory("a")
	d.Update(st)
	g.Expect(d.Table().Models["x"].Backends).To(BeEmpty())
	standin.AddReadyResident(st, "s0", 0, &wire.Item{Model: "m", Version: "1"}, 1)
	d.Update(st)
	g.Expect(d.Table().Models["x"].Backends).To(HaveLen(1))
}

// TestSessionAffinity checks rule 7: two boxes choose the same backend for a
// session, load overrides the affinity, and only the sessions of a removed
// backend move.
func TestSessionAffinity(t *testing.T) {
	g := NewWithT(t)
	const sessions = 300
	d, st, target := newDirectory(t)
	other := route.NewDirectory("b")
	other.Update(st)
	home := func(d *route.Directory, session int) string {
		b, _ := d.Choose(d.Table().Models["m"], time.Now(), route.Criteria{Session: uint64(session)})
		return b.Name
	}
	count, before := map[string]int{}, make([]string, sessions+1)
	for s := 1; s <= sessions; s++ {
		before[s] = home(d, s)
		count[before[s]]++
		g.Expect(home(other, s)).To(Equal(before[s]))
	}
	for _, name := range []string{"s0", "s1", "s2"} {
		g.Expect(count[name]).To(BeNumerically(">", sessions/5), "%v", count)
	}
	d.Backends()["s1"].SetDraining(true)
	for s := 1; s <= sessions; s++ {
		if before[s] == "s1" {
			g.Expect(home(d, s)).NotTo(Equal("s1"))
		} else {
			g.Expect(home(d, s)).To(Equal(before[s]))
		}
	}
	d.Backends()["s1"].SetDraining(false)
	for range 7 { // of 10 slots; the slack is half the concurrency
		d.Backends()["s0"].Begin()
	}
	for s := 1; s <= sessions; s++ {
		g.Expect(home(d, s)).NotTo(Equal("s0"), "load overrides the affinity")
	}
	b, _ := d.Choose(target, time.Now(), route.Criteria{Session: 1, Tried: []*route.Backend{d.Backends()[before[1]]}})
	g.Expect(b.Name).NotTo(Equal(before[1]), "a retry goes to another backend")
}
