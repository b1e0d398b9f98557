package bench

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"leverdrum/placement"
	"leverdrum/standin"
	"leverdrum/state"
)

// Bounds of one decision at the long-term fleet size. The time is CPU time, including the
// garbage collector: the wall-clock time reached 1.25 s beside two CI runs and a fault search.
const (
	maxDecideTime  = time.Second
	maxDecideBytes = 64 << 20
)

// BenchmarkDecide measures one decision for four fleet sizes: with nothing placed, and with
// everything placed while the demand of one model is 20 times that of the others.
func BenchmarkDecide(b *testing.B) {
	for _, size := range []struct{ servers, accelerators, models int }{{20, 1, 40}, {150, 8, 100}, {600, 8, 400}, {1200, 8, 800}} {
		name := fmt.Sprintf("%dx%d", size.servers, size.models)
		b.Run(name+"/first", func(b *testing.B) {
			st := newEmptyState(b, size.servers, size.accelerators, size.models)
			measureDecide(b, placement.Input{State: st, LeaderFor: time.Hour})
		})
		b.Run(name+"/next", func(b *testing.B) {
			st := newPlacedState(b, size.servers, size.accelerators, size.models, 6)
			measureDecide(b, placement.Input{State: st, LeaderFor: time.Hour, Demand: skewedDemand(size.models)})
		})
	}
}

func newEmptyState(t testing.TB, servers, accelerators, models int) *state.State {
	st, err := standin.CommittedState(fleetText(servers, accelerators, models))
	if err != nil {
		t.Fatal(err)
	}
	st.Fleet.MaxConcurrentLoads = 1 << 20
	return st
}

// skewedDemand returns an even demand, except for one model with 20 times the requests and busy slots.
func skewedDemand(models int) map[string]placement.Demand {
	d := map[string]placement.Demand{}
	for i := range models {
		d[fmt.Sprintf("m%d", i)] = placement.Demand{Requests: 5, BusySlots: 10}
	}
	d["m0"] = placement.Demand{Requests: 100, BusySlots: 200}
	return d
}

func measureDecide(b *testing.B, in placement.Input) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	placement.Decide(in)
	runtime.ReadMemStats(&after)
	if used := after.TotalAlloc - before.TotalAlloc; used > maxDecideBytes {
		b.Errorf("a decision allocates %d bytes, want at most %d", used, maxDecideBytes)
	}
	b.ReportAllocs()
	began := cpuTime(b)
	for b.Loop() {
		placement.Decide(in)
	}
	if each := (cpuTime(b) - began) / time.Duration(b.N); each > maxDecideTime {
		b.Errorf("a decision takes %v of CPU time, want at most %v", each, maxDecideTime)
	}
}

// cpuTime returns the CPU time that this process has used.
func cpuTime(t testing.TB) time.Duration {
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		t.Fatal(err)
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}
