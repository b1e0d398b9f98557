package bench

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"leverdrum/route"
	"leverdrum/standin"
	"leverdrum/state"
	"leverdrum/wire"
)

// fleetText returns the fleet file of a fleet of the given size in nine halls.
func fleetText(servers, accelerators, models int) string {
	var b strings.Builder
	b.WriteString("[fleet]\nnumber = 1\n[class c]\ndeadline = 10s\n[kind k]\nmemory = 80GiB\nkv-reserve = 16GiB\nchecks-fences = true\n")
	fmt.Fprintf(&b, "accelerators = %d\n", accelerators)
	for i := range 9 {
		fmt.Fprintf(&b, "[hall h%d]\nregion = r%d\n", i, i/3)
	}
	for i := range servers {
		fmt.Fprintf(&b, "[server s%d]\naddress = 10.0.%d.%d:80\nhall = h%d\nkind = k\n", i, i/250, i%250, i%9)
	}
	for i := range models {
		fmt.Fprintf(&b, "[model m%d]\nversion = 1\nmemory = %dGiB\nclass = c\nmax-copies = 24\n", i, 4+i%20)
	}
	return b.String()
}

// newPlacedState returns a state with copies of each model, distributed round-robin over the servers.
func newPlacedState(t testing.TB, servers, accelerators, models, copies int) *state.State {
	st, err := standin.CommittedState(fleetText(servers, accelerators, models))
	if err != nil {
		t.Fatal(err)
	}
	for m := range models {
		for c := range copies {
			n := m*copies + c
			standin.AddReadyResident(st, fmt.Sprintf("s%d", n%servers), uint32(n/servers%accelerators), &wire.Item{Model: fmt.Sprintf("m%d", m), Version: "1"}, uint64(4+m%20)<<30)
		}
	}
	return st
}

// BenchmarkRouteChoice measures the choice of a server among 1,200 servers and 800
// models, which must not allocate.
func BenchmarkRouteChoice(b *testing.B) {
	d := route.NewDirectory("h0")
	d.Update(newPlacedState(b, 1200, 8, 800, 12))
	t := d.Table()
	names := make([]string, 800)
	for i := range names {
		names[i] = fmt.Sprintf("m%d", i)
	}
	now := time.Now()
	i := 0
	choose := func() {
		i++
		if chosen, _ := d.Choose(t.Models[names[i%800]], now, route.Criteria{Session: uint64(i)}); chosen == nil {
			b.Fatal("no server was chosen")
		}
	}
	if n := testing.AllocsPerRun(1000, choose); n > 0 {
		b.Fatalf("a choice makes %.1f allocations, want 0", n)
	}
	b.ReportAllocs()
	for b.Loop() {
		choose()
	}
}
