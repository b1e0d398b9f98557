// Package bench benchmarks the overhead of a box, as ratios and counts, and fails
// if a result exceeds its bound.
package bench

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"leverdrum/engine"
	"leverdrum/entry"
	"leverdrum/meter"
	"leverdrum/proxy"
	"leverdrum/record"
	"leverdrum/route"
	"leverdrum/standin"
	"leverdrum/state"
	"leverdrum/wire"
)

// Bounds of the benchmarks. Each ratio compares two measurements of the same run.
const (
	// minSmallRatio and minStreamRatio bound the request rate through an entry box, relative
	// to the rate of direct requests to the server.
	minSmallRatio  = 0.2
	minStreamRatio = 0.45
	// maxAllocs bounds the allocations of one small request in the entry box,
	// including those of net/http on both sides.
	maxAllocs = 170
)

const (
	clientCount     = 32
	measureDuration = 1500 * time.Millisecond
)

// testbed is an entry box in front of one model server, without consensus.
type testbed struct {
	direct, through string
}

func serve(t testing.TB, h http.Handler) string {
	address, _ := serveStoppable(t, h)
	return address
}

// serveStoppable starts a server that runs until stop is called or the test ends.
func serveStoppable(t testing.TB, h http.Handler) (address string, stop func()) {
	s := httptest.NewServer(h)
	var once sync.Once
	stop = func() {
		once.Do(func() {
			s.CloseClientConnections()
			s.Close()
		})
	}
	t.Cleanup(stop)
	return s.Listener.Addr().String(), stop
}

// newTestbed starts a simulated model server with one loaded model, and an entry box in front of it.
func newTestbed(t testing.TB) *testbed {
	e := standin.NewEngine(standin.EngineOptions{Accelerators: 1, Memory: 1 << 40, ChecksFences: true, Concurrency: 1024})
	address := serve(t, e)
	st := newSingleModelState(t, address)
	e.Load(0, "m", "", "1", 1)
	return &testbed{direct: address, through: serveEntry(t, st)}
}

// serveEntry starts an entry box in front of the backend servers of a replicated state.
func serveEntry(t testing.TB, st *state.State) string {
	d := route.NewDirectory("a")
	d.Update(st)
	return serve(t, entry.New(entry.Options{
		Directory: d, View: func() *state.State { return st }, Current: func() bool { return true }, Sender: proxy.NewSender(),
		Meters: meter.New(), Records: record.NewHistory(100), MaxBody: 1 << 20,
	}))
}

func newSingleModelState(t testing.TB, address string) *state.State {
	st, err := standin.CommittedState(fmt.Sprintf("[fleet]\nnumber = 1\n[hall a]\n[class c]\ndeadline = 30s\n[kind k]\nmemory = 1GiB\nconcurrency = 1024\n[server s]\naddress = %s\nhall = a\nkind = k\n[model m]\nversion = 1\nmemory = 1B\nclass = c\n", address))
	if err != nil {
		t.Fatal(err)
	}
	standin.AddReadyResident(st, "s", 0, &wire.Item{Model: "m", Version: "1"}, 1)
	return st
}

// measureRate runs clients against an address for a duration and returns the responses per second.
func measureRate(t testing.TB, address, body string, duration time.Duration) float64 {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: clientCount, DialContext: (&net.Dialer{}).DialContext}}
	defer client.CloseIdleConnections()
	var done atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(duration)
	for range clientCount {
		wg.Go(func() {
			for time.Now().Before(end) {
				resp, err := client.Post("http://"+address+engine.ChatPath, "application/json", strings.NewReader(body))
				if err != nil {
					t.Error(err)
					return
				}
				_, err = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				if err != nil || resp.StatusCode != http.StatusOK {
					t.Error(resp.StatusCode, err)
					return
				}
				done.Add(1)
			}
		})
	}
	wg.Wait()
	return float64(done.Load()) / duration.Seconds()
}

const (
	smallRequest  = `{"model":"m","messages":[{"role":"user","content":"hello"}]}`
	streamRequest = `{"model":"m","stream":true,"max_tokens":200}`
)

// interleavings is the number of alternating periods in which direct and proxied requests are measured, so that other
// load on the machine affects both alike.
const interleavings = 10

func benchmarkRatio(b *testing.B, body string, minRatio float64) {
	bed := newTestbed(b)
	for b.Loop() {
		measureRate(b, bed.through, body, measureDuration) // warm-up
		direct, through := 0.0, 0.0
		for range interleavings {
			direct += measureRate(b, bed.direct, body, measureDuration/interleavings) / interleavings
			through += measureRate(b, bed.through, body, measureDuration/interleavings) / interleavings
		}
		b.ReportMetric(direct, "direct/s")
		b.ReportMetric(through, "through/s")
		b.ReportMetric(through/direct, "ratio")
		if through/direct < minRatio {
			b.Errorf("rate is %.2f of the direct rate, want at least %.2f", through/direct, minRatio)
		}
	}
}

func BenchmarkSmallAnswers(b *testing.B) { benchmarkRatio(b, smallRequest, minSmallRatio) }

func BenchmarkStreams(b *testing.B) { benchmarkRatio(b, streamRequest, minStreamRatio) }

// BenchmarkAllocations counts the allocations of one small request in this process,
// minus those of a request without the entry box.
func BenchmarkAllocations(b *testing.B) {
	bed := newTestbed(b)
	for b.Loop() {
		through := allocsPerRequest(b, bed.through) - allocsPerRequest(b, bed.direct)
		b.ReportMetric(through, "allocs/request")
		if through > maxAllocs {
			b.Errorf("%.0f allocations per request, want at most %d", through, maxAllocs)
		}
	}
}

func allocsPerRequest(t testing.TB, address string) float64 {
	const requests = 2000
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range requests {
		resp, err := http.Post("http://"+address+engine.ChatPath, "application/json", strings.NewReader(smallRequest))
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	runtime.ReadMemStats(&after)
	return float64(after.Mallocs-before.Mallocs) / requests
}
