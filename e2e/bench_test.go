package e2e

import (
	"context"
	"fmt"
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
	c.up()
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

// BenchmarkCalls measures, on 3 boxes with a disk and 3 without, one call at a
// time: direct to the service, through a box, and through a box under a key.
func BenchmarkCalls(b *testing.B) {
	c := newCluster(b, 3, 3)
	c.withAll()
	c.up()
	ctx := context.Background()
	const calls = 400
	run := 0
	call := func(box *boxProc, path string, keyed bool) func(int) {
		run++
		return func(i int) {
			header := map[string]string{}
			if keyed {
				header["Idempotency-Key"] = fmt.Sprint("bench-", run, "-", i)
			}
			if a := box.post(ctx, path, "x", header); a.status != http.StatusOK {
				b.Fatal(a)
			}
		}
	}
	direct := &boxProc{entry: c.address["shop0"]}
	through := c.boxes[4]
	for b.Loop() {
		for _, row := range []struct {
			name string
			f    func(int)
		}{
			{"direct", call(direct, "/stock", false)},
			{"repeatable", call(through, "/services/shop/stock", false)},
			{"once", call(through, "/services/shop/orders", false)},
			{"keyed", call(through, "/services/shop/orders", true)},
		} {
			measure(50, row.f)
			median, worst := measure(calls, row.f)
			b.ReportMetric(ms(median), row.name+"-ms")
			b.ReportMetric(ms(worst), row.name+"-worst-ms")
		}
	}
}

// BenchmarkFailover measures the time from the death of the leader until a read
// through the other boxes names another.
func BenchmarkFailover(b *testing.B) {
	c := newCluster(b, 3, 2)
	c.fleet = smallFleet
	c.up()
	const kills = 7
	for b.Loop() {
		var took []time.Duration
		for range kills {
			leader := c.leader()
			one, _ := measure(1, func(int) {
				leader.kill()
				eventually(b, "another box leads", 10*time.Second, func() bool {
					l := c.leader()
					return l != nil && l != leader
				})
			})
			took = append(took, one)
			leader.start()
			c.awaitRepair()
		}
		slices.Sort(took)
		b.ReportMetric(ms(took[kills/2]), "failover-ms")
		b.ReportMetric(ms(took[kills-1]), "failover-worst-ms")
	}
}

// cost is what a box has spent so far.
type cost struct{ bytes, messages, cpu, memory float64 }

func (c *cluster) costs() map[string]cost {
	m := map[string]cost{}
	for _, b := range c.boxes {
		m[b.name] = cost{
			b.metric(`leverdrum_peer_bytes_total{direction="in"}`) + b.metric(`leverdrum_peer_bytes_total{direction="out"}`),
			b.metric(`leverdrum_peer_messages_total{direction="in"}`) + b.metric(`leverdrum_peer_messages_total{direction="out"}`),
			b.metric("process_cpu_seconds_total"), b.metric("process_resident_memory_bytes"),
		}
	}
	return m
}

// byRole sorts the boxes into the leader, the other voters, and the rest.
func (c *cluster) byRole(leader *boxProc) map[string][]string {
	m := map[string][]string{}
	for _, b := range c.boxes {
		switch {
		case b == leader:
			m["leader"] = append(m["leader"], b.name)
		case b.disk:
			m["voter"] = append(m["voter"], b.name)
		default:
			m["entry"] = append(m["entry"], b.name)
		}
	}
	return m
}

// BenchmarkRestart measures the time from the start of all boxes until a file is
// in force on all of them again, after 1,000 changes and a kill of all.
func BenchmarkRestart(b *testing.B) {
	c := newCluster(b, 3, 2)
	c.fleet = smallFleet
	c.up()
	const files = 1000
	for n := 2; n <= files; n++ {
		if status, answer := c.boxes[n%5].apply(context.Background(), c.file(n, "many"), "bench"); status != http.StatusOK {
			b.Fatal(status, answer)
		}
	}
	for b.Loop() {
		median, worst := measure(5, func(int) {
			for _, box := range c.boxes {
				box.kill()
			}
			for _, box := range c.boxes {
				box.start()
			}
			c.inForceEverywhere(files, 20*time.Second)
		})
		b.ReportMetric(ms(median), "restart-ms")
		b.ReportMetric(ms(worst), "restart-worst-ms")
	}
}
