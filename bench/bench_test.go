// Package bench measures what a box costs, as ratios and counts, and fails when
// a figure leaves its bound.
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

// The bounds. Ratios are of two measurements in the same run.
const (
	// leastSmall and leastStream are requests a second through an entry box over
	// direct to the server.
	leastSmall  = 0.2
	leastStream = 0.45
	// mostAllocs is the allocations of one small request in the entry box,
	// those of net/http on both sides included.
	mostAllocs = 170
)

const (
	clients  = 32
	duration = 1500 * time.Millisecond
)

// bed is an entry box before one model server, without the agreement.
type bed struct {
	direct, through string
}

func serve(t testing.TB, h http.Handler) string {
	address, _ := serveUntil(t, h)
	return address
}

// serveUntil serves until stop is called or the test ends.
func serveUntil(t testing.TB, h http.Handler) (address string, stop func()) {
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

// newBed loads one model on one stand-in by hand.
func newBed(t testing.TB) *bed {
	e := standin.NewEngine(standin.EngineOptions{Accelerators: 1, Memory: 1 << 40, ChecksFences: true, Concurrency: 1024})
	address := serve(t, e)
	st := oneModel(t, address)
	e.Load(0, "m", "", "1", 1)
	return &bed{direct: address, through: serveEntry(t, st)}
}

// serveEntry serves an entry box before the backend servers of an agreed state.
func serveEntry(t testing.TB, st *state.State) string {
	d := route.NewDirectory("a")
	d.Update(st)
	return serve(t, entry.New(entry.Options{
		Directory: d, View: func() *state.State { return st }, Current: func() bool { return true }, Sender: proxy.NewSender(),
		Meters: meter.New(), Records: record.NewHistory(100), MaxBody: 1 << 20,
	}))
}

func oneModel(t testing.TB, address string) *state.State {
	st, err := standin.CommittedState(fmt.Sprintf("[fleet]\nnumber = 1\n[hall a]\n[class c]\ndeadline = 30s\n[kind k]\nmemory = 1GiB\nconcurrency = 1024\n[server s]\naddress = %s\nhall = a\nkind = k\n[model m]\nversion = 1\nmemory = 1B\nclass = c\n", address))
	if err != nil {
		t.Fatal(err)
	}
	standin.AddReadyResident(st, "s", 0, &wire.Item{Model: "m", Version: "1"}, 1)
	return st
}

// load runs clients against an address for a time and returns answers a second.
func load(t testing.TB, address, body string, lasts time.Duration) float64 {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: clients, DialContext: (&net.Dialer{}).DialContext}}
	defer client.CloseIdleConnections()
	var done atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(lasts)
	for range clients {
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
	return float64(done.Load()) / lasts.Seconds()
}

const (
	small  = `{"model":"m","messages":[{"role":"user","content":"hello"}]}`
	stream = `{"model":"m","stream":true,"max_tokens":200}`
)

// turns is in how many parts both ways are measured by turns, so that whatever else the
// machine does is beside both alike.
const turns = 10

func ratio(b *testing.B, body string, least float64) {
	bed := newBed(b)
	for b.Loop() {
		load(b, bed.through, body, duration) // warm
		direct, through := 0.0, 0.0
		for range turns {
			direct += load(b, bed.direct, body, duration/turns) / turns
			through += load(b, bed.through, body, duration/turns) / turns
		}
		b.ReportMetric(direct, "direct/s")
		b.ReportMetric(through, "through/s")
		b.ReportMetric(through/direct, "ratio")
		if through/direct < least {
			b.Errorf("%.2f of the direct rate, at least %.2f is wanted", through/direct, least)
		}
	}
}

func BenchmarkSmallAnswers(b *testing.B) { ratio(b, small, leastSmall) }

func BenchmarkStreams(b *testing.B) { ratio(b, stream, leastStream) }

// BenchmarkAllocations counts what one small request allocates in this process,
// and takes off what it allocates without the entry box.
func BenchmarkAllocations(b *testing.B) {
	bed := newBed(b)
	for b.Loop() {
		through := allocations(b, bed.through) - allocations(b, bed.direct)
		b.ReportMetric(through, "allocs/request")
		if through > mostAllocs {
			b.Errorf("%.0f allocations a request, at most %d are wanted", through, mostAllocs)
		}
	}
}

func allocations(t testing.TB, address string) float64 {
	const requests = 2000
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range requests {
		resp, err := http.Post("http://"+address+engine.ChatPath, "application/json", strings.NewReader(small))
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	runtime.ReadMemStats(&after)
	return float64(after.Mallocs-before.Mallocs) / requests
}
