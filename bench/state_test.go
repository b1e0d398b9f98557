package bench

import (
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"

	"leverdrum/claim"
	"leverdrum/route"
	"leverdrum/state"
)

// BenchmarkState measures, for four fleet sizes with six copies per model, the size of
// the replicated state in memory and as a snapshot, and the cost of each change on a
// box: a copy for readers and a new routing table.
func BenchmarkState(b *testing.B) {
	for _, size := range []struct{ servers, accelerators, models int }{{150, 8, 100}, {300, 8, 200}, {600, 8, 400}, {1200, 8, 800}} {
		b.Run(fmt.Sprintf("%dx%d", size.servers, size.models), func(b *testing.B) {
			before := liveHeapBytes()
			st := newPlacedState(b, size.servers, size.accelerators, size.models, 6)
			stateBytes := liveHeapBytes() - before
			data, err := proto.Marshal(st.Encode())
			if err != nil {
				b.Fatal(err)
			}
			d := route.NewDirectory("h0")
			var keep *state.State
			for b.Loop() {
				keep = st.Clone()
				d.Update(keep)
			}
			b.ReportMetric(float64(stateBytes)/(1<<20), "state-MB")
			b.ReportMetric(float64(len(data))/(1<<10), "snapshot-KB")
			runtime.KeepAlive(st)
		})
	}
}

func liveHeapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkEpoch measures the cost of a change of the list of boxes for the claim
// table of a box.
func BenchmarkEpoch(b *testing.B) {
	for _, boxes := range []int{11, 50, 100, 200, 400} {
		b.Run(fmt.Sprint(boxes), func(b *testing.B) {
			list := make([]claim.Process, boxes)
			for i := range list {
				list[i] = claim.Process{ID: fmt.Sprint("box", i, "/process"), Hall: fmt.Sprint("h", i%9)}
			}
			for b.Loop() {
				t := claim.NewTable("box1/process")
				t.AdvanceEpoch(0, []claim.Epoch{{Number: 1, Processes: list}, {Number: 2, Processes: list[1:]}})
			}
		})
	}
}
