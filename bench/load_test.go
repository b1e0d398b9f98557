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

// Four model servers with four slots each answer in 40 ms: 400 requests per
// second. One of them is slow, and one terminates halfway through the run.
const (
	loadServers      = 4
	serverSlots      = 4
	tokensPerRequest = 8
	tokenTime        = 5 * time.Millisecond
	loadCapacity     = loadServers * serverSlots * 1000 / (tokensPerRequest * 5)
	loadDuration     = 3 * time.Second
)

// loadTestbed holds the simulated servers and an entry box in front of them.
type loadTestbed struct {
	engines   [loadServers]*standin.Engine
	addresses [loadServers]string
	stop      [loadServers]func()
	box       string
}

func newLoadTestbed(t testing.TB) *loadTestbed {
	b := &loadTestbed{}
	text := "[fleet]\nnumber = 1\n[hall a]\n[class urgent]\ndeadline = 400ms\npriority = 9\n[class bulk]\ndeadline = 1s\n" +
		fmt.Sprintf("[kind k]\nmemory = 1GiB\nconcurrency = %d\n", serverSlots)
	for i := range loadServers {
		b.engines[i] = standin.NewEngine(standin.EngineOptions{Accelerators: 1, Memory: 1 << 30, ChecksFences: true, Concurrency: serverSlots, TokenTime: tokenTime})
		b.engines[i].Load(0, "urgent", "", "1", 1)
		b.engines[i].Load(0, "bulk", "", "1", 1)
		b.addresses[i], b.stop[i] = serveStoppable(t, b.engines[i])
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

// baseline returns a proxy that forwards each request to a server chosen without
// knowledge of its load, and waits until the caller's deadline.
func (b *loadTestbed) baseline(choose func() int) http.Handler {
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

// shareInTime holds the fraction of requests of each class that was answered in time.
type shareInTime struct{ urgent, bulk float64 }

// offerLoad sends requests at a rate, one in four urgent, and returns the share that
// is answered completely within the deadline. It calls atHalf halfway through the run.
func offerLoad(address string, perSecond float64, seed uint64, atHalf func()) shareInTime {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
	defer client.CloseIdleConnections()
	rng := rand.New(rand.NewPCG(seed, 3))
	var sent, inTime [2]atomic.Int64
	var wg sync.WaitGroup
	began := time.Now()
	next, halfReached := began, false
	for time.Since(began) < loadDuration {
		next = next.Add(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
		time.Sleep(time.Until(next))
		if !halfReached && time.Since(began) > loadDuration/2 {
			halfReached = true
			atHalf()
		}
		class := min(rng.IntN(4), 1)
		sent[class].Add(1)
		wg.Go(func() {
			if sendRequest(client, address, class) {
				inTime[class].Add(1)
			}
		})
	}
	wg.Wait()
	share := func(class int) float64 { return float64(inTime[class].Load()) / float64(max(1, sent[class].Load())) }
	return shareInTime{share(0), share(1)}
}

var (
	classModels    = []string{"urgent", "bulk"}
	classDeadlines = []time.Duration{400 * time.Millisecond, time.Second}
)

func sendRequest(client *http.Client, address string, class int) bool {
	began := time.Now()
	c := *client
	c.Timeout = classDeadlines[class]
	body := fmt.Sprintf(`{"model":%q,"max_tokens":%d}`, classModels[class], tokensPerRequest)
	resp, err := c.Post("http://"+address+engine.ChatPath, "application/json", strings.NewReader(body))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK && time.Since(began) <= classDeadlines[class]
}

// BenchmarkAttainment compares the box with random and with round-robin routing
// at 0.7, 1.0 and 1.5 of capacity, and after the overload has ended.
func BenchmarkAttainment(b *testing.B) {
	for _, policy := range []string{"box", "random", "round-robin"} {
		for _, use := range []float64{0.7, 1.0, 1.5} {
			b.Run(fmt.Sprintf("%s/%.1f", policy, use), func(b *testing.B) {
				for b.Loop() {
					bed := newLoadTestbed(b)
					address := bed.addressOf(b, policy)
					offerLoad(address, 0.3*loadCapacity, 1, func() {}) // warm-up
					bed.engines[0].SetFaults(standin.Faults{DelayMs: 60})
					got := offerLoad(address, use*loadCapacity, 2, bed.stop[1])
					bed.engines[0].SetFaults(standin.Faults{})
					after := offerLoad(address, 0.5*loadCapacity, 3, func() {})
					b.ReportMetric(got.urgent, "urgent")
					b.ReportMetric(got.bulk, "bulk")
					b.ReportMetric(after.urgent, "urgent-after")
					b.ReportMetric(after.bulk, "bulk-after")
				}
			})
		}
	}
}

func (b *loadTestbed) addressOf(t testing.TB, policy string) string {
	var n atomic.Int64
	switch policy {
	case "random":
		return serve(t, b.baseline(func() int { return rand.IntN(loadServers) }))
	case "round-robin":
		return serve(t, b.baseline(func() int { return int(n.Add(1)) % loadServers }))
	}
	return b.box
}

// grayFailures are partial failures of one of four servers, which still accepts connections.
var grayFailures = []struct {
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

// BenchmarkGrey compares the box with random routing at 0.6 of capacity while one
// of four servers has a gray failure.
func BenchmarkGrey(b *testing.B) {
	for _, g := range grayFailures {
		for _, policy := range []string{"box", "random"} {
			b.Run(g.name+"/"+policy, func(b *testing.B) {
				for b.Loop() {
					bed := newLoadTestbed(b)
					address := bed.addressOf(b, policy)
					offerLoad(address, 0.3*loadCapacity, 1, func() {}) // warm-up
					bed.engines[0].SetFaults(g.faults)
					got := offerLoad(address, 0.6*loadCapacity, 2, func() {})
					b.ReportMetric(got.urgent, "urgent")
					b.ReportMetric(got.bulk, "bulk")
				}
			})
		}
	}
}
