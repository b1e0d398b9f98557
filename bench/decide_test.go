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

// Bounds of one decision at the long-run size. Time is the processor's, the collector's
// included: by the wall clock it took 1.25 s once, beside two CI runs and a hunt.
const (
	mostDecide      = time.Second
	mostDecideBytes = 64 << 20
)

// BenchmarkDecide measures one decision for four sizes: from nothing, and with
// everything placed and the demand of one model grown tenfold.
func BenchmarkDecide(b *testing.B) {
	for _, size := range []struct{ servers, accelerators, models int }{{20, 1, 40}, {150, 8, 100}, {600, 8, 400}, {1200, 8, 800}} {
		name := fmt.Sprintf("%dx%d", size.servers, size.models)
		b.Run(name+"/first", func(b *testing.B) {
			st := empty(b, size.servers, size.accelerators, size.models)
			decide(b, placement.Input{State: st, LeaderFor: time.Hour})
		})
		b.Run(name+"/next", func(b *testing.B) {
			st := placed(b, size.servers, size.accelerators, size.models, 6)
			decide(b, placement.Input{State: st, LeaderFor: time.Hour, Demand: tenfold(size.models)})
		})
	}
}

func empty(t testing.TB, servers, accelerators, models int) *state.State {
	st, err := standin.CommittedState(fleetText(servers, accelerators, models))
	if err != nil {
		t.Fatal(err)
	}
	st.Fleet.MaxConcurrentLoads = 1 << 20
	return st
}

// tenfold is an even demand but for one model.
func tenfold(models int) map[string]placement.Demand {
	d := map[string]placement.Demand{}
	for i := range models {
		d[fmt.Sprintf("m%d", i)] = placement.Demand{Requests: 5, BusySlots: 10}
	}
	d["m0"] = placement.Demand{Requests: 100, BusySlots: 200}
	return d
}

func decide(b *testing.B, in placement.Input) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	placement.Decide(in)
	runtime.ReadMemStats(&after)
	if used := after.TotalAlloc - before.TotalAlloc; used > mostDecideBytes {
		b.Errorf("a decision allocates %d bytes, at most %d are wanted", used, mostDecideBytes)
	}
	b.ReportAllocs()
	began := processorTime(b)
	for b.Loop() {
		placement.Decide(in)
	}
	if each := (processorTime(b) - began) / time.Duration(b.N); each > mostDecide {
		b.Errorf("a decision takes %v, at most %v is wanted", each, mostDecide)
	}
}

// processorTime is what this process has used.
func processorTime(t testing.TB) time.Duration {
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		t.Fatal(err)
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}
