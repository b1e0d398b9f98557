package e2e

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"
)

// measure runs f n times and returns the median and the longest duration.
func measure(n int, f func(i int)) (median, worst time.Duration) {
	var durations []time.Duration
	for i := range n {
		began := time.Now()
		f(i)
		durations = append(durations, time.Since(began))
	}
	slices.Sort(durations)
	return durations[n/2], durations[n-1]
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// BenchmarkApplyOn11 measures, on 3 boxes with a disk and 8 without, the time
// from sending a file until it is accepted, the time until it is active on all
// boxes, and the time of a status read.
func BenchmarkApplyOn11(b *testing.B) {
	c := newCluster(b, 3, 8)
	c.fleetText = smallFleet
	c.startReady()
	const files = 40
	ctx := context.Background()
	for b.Loop() {
		number := 1
		accepted, acceptedWorst := measure(files, func(int) {
			number++
			if status, answer := c.boxes[number%len(c.boxes)].apply(ctx, c.fleetFile(number, "bench"), "bench"); status != http.StatusOK {
				b.Fatal(status, answer)
			}
		})
		everywhere, everywhereWorst := measure(files, func(int) {
			number++
			c.boxes[number%len(c.boxes)].apply(ctx, c.fleetFile(number, "bench"), "bench")
			c.awaitActiveByMetrics(b, uint64(number))
		})
		read, readWorst := measure(files, func(i int) { c.boxes[i%len(c.boxes)].status(ctx) })
		b.ReportMetric(milliseconds(accepted), "accepted-ms")
		b.ReportMetric(milliseconds(acceptedWorst), "accepted-worst-ms")
		b.ReportMetric(milliseconds(everywhere), "everywhere-ms")
		b.ReportMetric(milliseconds(everywhereWorst), "everywhere-worst-ms")
		b.ReportMetric(milliseconds(read), "read-ms")
		b.ReportMetric(milliseconds(readWorst), "read-worst-ms")
	}
}

// awaitActiveByMetrics polls the metrics of each box until the file is active on all.
func (c *cluster) awaitActiveByMetrics(t testing.TB, number uint64) {
	eventually(t, "a file is active on all boxes", 10*time.Second, func() bool {
		for _, box := range c.boxes {
			if box.metric("leverdrum_fleet_number") < float64(number) {
				return false
			}
		}
		return true
	})
}

// BenchmarkCalls measures, on 3 boxes with a disk and 3 without, one call at a
// time: directly to the service, through a box, and through a box with an
// idempotency key.
func BenchmarkCalls(b *testing.B) {
	c := newCluster(b, 3, 3)
	c.addServiceAndModel()
	c.startReady()
	ctx := context.Background()
	const calls = 400
	run := 0
	call := func(box *boxProcess, path string, keyed bool) func(int) {
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
	direct := &boxProcess{entry: c.addresses["shop0"]}
	proxyBox := c.boxes[4]
	for b.Loop() {
		for _, row := range []struct {
			name string
			f    func(int)
		}{
			{"direct", call(direct, "/stock", false)},
			{"repeatable", call(proxyBox, "/services/shop/stock", false)},
			{"once", call(proxyBox, "/services/shop/orders", false)},
			{"keyed", call(proxyBox, "/services/shop/orders", true)},
		} {
			measure(50, row.f)
			median, worst := measure(calls, row.f)
			b.ReportMetric(milliseconds(median), row.name+"-ms")
			b.ReportMetric(milliseconds(worst), row.name+"-worst-ms")
		}
	}
}

// BenchmarkFailover measures the time from killing the leader until a status
// read through the other boxes names a new one.
func BenchmarkFailover(b *testing.B) {
	c := newCluster(b, 3, 2)
	c.fleetText = smallFleet
	c.startReady()
	const kills = 7
	for b.Loop() {
		var durations []time.Duration
		for range kills {
			leader := c.leader()
			duration, _ := measure(1, func(int) {
				leader.kill()
				eventually(b, "another box is the leader", 10*time.Second, func() bool {
					l := c.leader()
					return l != nil && l != leader
				})
			})
			durations = append(durations, duration)
			leader.start()
			c.awaitVoters()
		}
		slices.Sort(durations)
		b.ReportMetric(milliseconds(durations[kills/2]), "failover-ms")
		b.ReportMetric(milliseconds(durations[kills-1]), "failover-worst-ms")
	}
}

// usage holds the cumulative peer traffic and CPU time of a box, and its current
// resident memory.
type usage struct{ bytes, messages, cpu, memory float64 }

// usages reads the usage of each box from its metrics, by box name.
func (c *cluster) usages() map[string]usage {
	usages := map[string]usage{}
	for _, b := range c.boxes {
		usages[b.name] = usage{
			b.metric(`leverdrum_peer_bytes_total{direction="in"}`) + b.metric(`leverdrum_peer_bytes_total{direction="out"}`),
			b.metric(`leverdrum_peer_messages_total{direction="in"}`) + b.metric(`leverdrum_peer_messages_total{direction="out"}`),
			b.metric("process_cpu_seconds_total"), b.metric("process_resident_memory_bytes"),
		}
	}
	return usages
}

// byRole groups the names of the boxes into the leader, the other voters, and the rest.
func (c *cluster) byRole(leader *boxProcess) map[string][]string {
	roles := map[string][]string{}
	for _, b := range c.boxes {
		switch {
		case b == leader:
			roles["leader"] = append(roles["leader"], b.name)
		case b.disk:
			roles["voter"] = append(roles["voter"], b.name)
		default:
			roles["entry"] = append(roles["entry"], b.name)
		}
	}
	return roles
}

// BenchmarkRestart measures the time from starting all boxes until the newest file
// is active on all of them again, after 1,000 changes and a kill of all boxes.
func BenchmarkRestart(b *testing.B) {
	c := newCluster(b, 3, 2)
	c.fleetText = smallFleet
	c.startReady()
	const files = 1000
	for n := 2; n <= files; n++ {
		if status, answer := c.boxes[n%5].apply(context.Background(), c.fleetFile(n, "many"), "bench"); status != http.StatusOK {
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
			c.awaitActive(files, 20*time.Second)
		})
		b.ReportMetric(milliseconds(median), "restart-ms")
		b.ReportMetric(milliseconds(worst), "restart-worst-ms")
	}
}
