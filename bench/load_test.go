package bench

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"leverdrum/engine"
	"leverdrum/proxy"
	"leverdrum/standin"
	"leverdrum/wire"
)

// Four model servers with four places each answer in 40 ms: 400 requests a
// second. One of them is slow, and one dies halfway.
const (
	loadServers  = 4
	loadPlaces   = 4
	loadTokens   = 8
	loadToken    = 5 * time.Millisecond
	loadCapacity = loadServers * loadPlaces * 1000 / (loadTokens * 5)
	loadFor      = 3 * time.Second
)

// loadBed is the servers, and an entry box before them.
type loadBed struct {
	engines   [loadServers]*standin.Engine
	addresses [loadServers]string
	stop      [loadServers]func()
	box       string
}

func newLoadBed(t testing.TB) *loadBed {
	b := &loadBed{}
	text := "[fleet]\nnumber = 1\n[hall a]\n[class urgent]\ndeadline = 400ms\npriority = 9\n[class bulk]\ndeadline = 1s\n" +
		fmt.Sprintf("[kind k]\nmemory = 1GiB\nconcurrency = %d\n", loadPlaces)
	for i := range loadServers {
		b.engines[i] = standin.NewEngine(standin.EngineOptions{Accelerators: 1, Memory: 1 << 30, ChecksFences: true, Concurrency: loadPlaces, TokenTime: loadToken})
		b.engines[i].Load(0, "urgent", "", "1", 1)
		b.engines[i].Load(0, "bulk", "", "1", 1)
		b.addresses[i], b.stop[i] = serveUntil(t, b.engines[i])
		text += fmt.Sprintf("[server s%d]\naddress = %s\nhall = a\nkind = k\n", i, b.addresses[i])
	}
	text += "[model urgent]\nversion = 1\nmemory = 1B\nclass = urgent\n[model bulk]\nversion = 1\nmemory = 1B\nclass = bulk\n"
	st, err := standin.CommittedState(text)
	if err != nil {
		t.Fatal(err)
	}
	for i := range loadServers {
		for _, m := range []string{"urgent", "bulk"} {
			standin.AddReadyResident(st, fmt.Sprint("s", i), 0, &wire.Item{Model: m, Version: "1"}, 1)
		}
	}
	b.box = serveEntry(t, st)
	return b
}

// baseline forwards to a server chosen without any knowledge of its load, and
// waits as long as the deadline.
func (b *loadBed) baseline(choose func() int) http.Handler {
	sender := proxy.NewSender()
	var n atomic.Int64
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		a := &proxy.Attempt{ID: fmt.Sprint(n.Add(1)), Method: r.Method, Address: b.addresses[choose()], Path: r.URL.Path, Header: r.Header, Body: body}
		answer, failure := sender.Send(r.Context(), a)
		if failure != nil || answer.BodyReader != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		w.WriteHeader(answer.Status)
		_, _ = w.Write(answer.Body)
	})
}

// attained is what share of the requests of each class was answered in time.
type attained struct{ urgent, bulk float64 }

// offer sends requests at a rate, one in four urgent, and counts those that are
// answered whole within their deadline.
func offer(address string, perSecond float64, seed uint64, half func()) attained {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
	defer client.CloseIdleConnections()
	rng := rand.New(rand.NewPCG(seed, 3))
	var sent, inTime [2]atomic.Int64
	var wg sync.WaitGroup
	began := time.Now()
	next, halved := began, false
	for time.Since(began) < loadFor {
		next = next.Add(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
		time.Sleep(time.Until(next))
		if !halved && time.Since(began) > loadFor/2 {
			halved = true
			half()
		}
		class := min(rng.IntN(4), 1)
		sent[class].Add(1)
		wg.Go(func() {
			if ask(client, address, class) {
				inTime[class].Add(1)
			}
		})
	}
	wg.Wait()
	share := func(class int) float64 { return float64(inTime[class].Load()) / float64(max(1, sent[class].Load())) }
	return attained{share(0), share(1)}
}

var (
	classModels    = []string{"urgent", "bulk"}
	classDeadlines = []time.Duration{400 * time.Millisecond, time.Second}
)

func ask(client *http.Client, address string, class int) bool {
	began := time.Now()
	c := *client
	c.Timeout = classDeadlines[class]
	body := fmt.Sprintf(`{"model":%q,"max_tokens":%d}`, classModels[class], loadTokens)
	resp, err := c.Post("http://"+address+engine.ChatPath, "application/json", strings.NewReader(body))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK && time.Since(began) <= classDeadlines[class]
}

// BenchmarkAttainment compares the box with random and with round-robin choice
// at 0.7, 1.0 and 1.5 of capacity, and after the overload has ended.
func BenchmarkAttainment(b *testing.B) {
	for _, policy := range []string{"box", "random", "round-robin"} {
		for _, use := range []float64{0.7, 1.0, 1.5} {
			b.Run(fmt.Sprintf("%s/%.1f", policy, use), func(b *testing.B) {
				for b.Loop() {
					bed := newLoadBed(b)
					address := bed.addressOf(b, policy)
					offer(address, 0.3*loadCapacity, 1, func() {}) // warm
					bed.engines[0].SetFaults(standin.Faults{DelayMs: 60})
					got := offer(address, use*loadCapacity, 2, bed.stop[1])
					bed.engines[0].SetFaults(standin.Faults{})
					after := offer(address, 0.5*loadCapacity, 3, func() {})
					b.ReportMetric(got.urgent, "urgent")
					b.ReportMetric(got.bulk, "bulk")
					b.ReportMetric(after.urgent, "urgent-after")
					b.ReportMetric(after.bulk, "bulk-after")
				}
			})
		}
	}
}

func (b *loadBed) addressOf(t testing.TB, policy string) string {
	var n atomic.Int64
	switch policy {
	case "random":
		return serve(t, b.baseline(func() int { return rand.IntN(loadServers) }))
	case "round-robin":
		return serve(t, b.baseline(func() int { return int(n.Add(1)) % loadServers }))
	}
	return b.box
}

// grey are ways in which one of four servers fails without being dead.
var grey = []struct {
	name   string
	faults standin.Faults
}{
	{"slow", standin.Faults{DelayMs: 300}},
	{"mute", standin.Faults{DelayMs: 60_000}},
	{"half-mute", standin.Faults{DelayMs: 60_000, EveryNth: 2}},
	{"half-broken", standin.Faults{DisconnectBeforeResponse: true, EveryNth: 2}},
	{"errors", standin.Faults{Status: http.StatusInternalServerError}},
	{"half-errors", standin.Faults{Status: http.StatusInternalServerError, EveryNth: 2}},
}

// BenchmarkGrey compares the box with random choice at 0.6 of capacity while one
// server of four fails grey.
func BenchmarkGrey(b *testing.B) {
	for _, g := range grey {
		for _, policy := range []string{"box", "random"} {
			b.Run(g.name+"/"+policy, func(b *testing.B) {
				for b.Loop() {
					bed := newLoadBed(b)
					address := bed.addressOf(b, policy)
					offer(address, 0.3*loadCapacity, 1, func() {}) // warm
					bed.engines[0].SetFaults(g.faults)
					got := offer(address, 0.6*loadCapacity, 2, func() {})
					b.ReportMetric(got.urgent, "urgent")
					b.ReportMetric(got.bulk, "bulk")
				}
			})
		}
	}
}
