package e2e

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"
)

// measure runs f n times and returns the median and the worst time.
func measure(n int, f func(i int)) (median, worst time.Duration) {
	var took []time.Duration
	for i := range n {
		began := time.Now()
		f(i)
		took = append(took, time.Since(began))
	}
	slices.Sort(took)
	return took[n/2], took[n-1]
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// BenchmarkApplyOn11 measures, on 3 boxes with a disk and 8 without, the time
// from sending a file to its acceptance, to its being in force on all boxes,
// and of a read back.
func BenchmarkApplyOn11(b *testing.B) {
	c := newCluster(b, 3, 8)
	c.fleet = smallFleet
	c.start()
	c.applyNow(1)
	c.inForceEverywhere(1, 20*time.Second)
	const files = 40
	ctx := context.Background()
	for b.Loop() {
		number := 1
		accepted, acceptedWorst := measure(files, func(int) {
			number++
			if status, answer := c.boxes[number%len(c.boxes)].apply(ctx, c.file(number, "bench"), "bench"); status != http.StatusOK {
				b.Fatal(status, answer)
			}
		})
		everywhere, everywhereWorst := measure(files, func(int) {
			number++
			c.boxes[number%len(c.boxes)].apply(ctx, c.file(number, "bench"), "bench")
			c.inForceOnAll(b, uint64(number))
		})
		read, readWorst := measure(files, func(i int) { c.boxes[i%len(c.boxes)].status(ctx) })
		b.ReportMetric(ms(accepted), "accepted-ms")
		b.ReportMetric(ms(acceptedWorst), "accepted-worst-ms")
		b.ReportMetric(ms(everywhere), "everywhere-ms")
		b.ReportMetric(ms(everywhereWorst), "everywhere-worst-ms")
		b.ReportMetric(ms(read), "read-ms")
		b.ReportMetric(ms(readWorst), "read-worst-ms")
	}
}

// inForceOnAll asks each box itself, by its own metrics, until all have a file.
func (c *cluster) inForceOnAll(t testing.TB, number uint64) {
	eventually(t, "a file is in force on all boxes", 10*time.Second, func() bool {
		for _, box := range c.boxes {
			if box.metric("leverdrum_fleet_number") < float64(number) {
				return false
			}
		}
		return true
	})
}
