package bench

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"leverdrum/engine"
	"leverdrum/standin"
	"leverdrum/wire"
)

// A session has five turns; each turn sends the whole conversation so far. The
// prefill of an uncached prompt of 4,000 bytes takes 80 ms, an answer 40 ms.
const (
	sessionTurns     = 5
	systemBytes      = 1500
	turnBytes        = 500
	prefillPerByte   = 20 * time.Microsecond
	cachedPrefixes   = 400
	affinityDuration = 4 * time.Second
	sessionDeadline  = 250 * time.Millisecond
	turnPause        = 150 * time.Millisecond
	affinityBoxes    = 2
)

// newAffinityBoxes starts two entry boxes in front of four servers that cache prompt prefixes, and returns the addresses
// of the boxes.
func newAffinityBoxes(t testing.TB, slack float64) []string {
	text := fmt.Sprintf("[fleet]\nnumber = 1\naffinity-slack = %g\n[hall a]\n[class c]\ndeadline = 1s\n[kind k]\nmemory = 1GiB\nconcurrency = %d\n", slack, serverSlots)
	for i := range loadServers {
		e := standin.NewEngine(standin.EngineOptions{
			Accelerators: 1, Memory: 1 << 30, ChecksFences: true, Concurrency: serverSlots, TokenTime: tokenTime, PrefillTimePerByte: prefillPerByte, CachedPrefixes: cachedPrefixes,
		})
		e.Load(0, "m", "", "1", 1)
		text += fmt.Sprintf("[server s%d]\naddress = %s\nhall = a\nkind = k\n", i, serve(t, e))
	}
	st, err := standin.CommittedState(text + "[model m]\nversion = 1\nmemory = 1B\nclass = c\n")
	if err != nil {
		t.Fatal(err)
	}
	for i := range loadServers {
		standin.AddReadyResident(st, fmt.Sprint("s", i), 0, &wire.Item{Model: "m", Version: "1"}, 1)
	}
	var boxes []string
	for range affinityBoxes {
		boxes = append(boxes, serveEntry(t, st))
	}
	return boxes
}

// runSession runs one session and returns the duration of each turn. A failed
// turn counts as one second.
func runSession(client *http.Client, boxes []string, id int) []time.Duration {
	messages := []standin.Message{{Role: "system", Content: strings.Repeat("s", systemBytes)}}
	var durations []time.Duration
	for turn := range sessionTurns {
		messages = append(messages, standin.Message{Role: "user", Content: fmt.Sprintf("%d/%d %s", id, turn, strings.Repeat("u", turnBytes))})
		body, err := json.Marshal(map[string]any{"model": "m", "max_tokens": tokensPerRequest, "messages": messages})
		if err != nil {
			panic(err)
		}
		began := time.Now()
		resp, err := client.Post("http://"+boxes[(id+turn)%len(boxes)]+engine.ChatPath, "application/json", strings.NewReader(string(body)))
		if err == nil {
			resp.Body.Close()
		}
		if err != nil || resp.StatusCode != http.StatusOK {
			durations = append(durations, time.Second)
		} else {
			durations = append(durations, time.Since(began))
		}
		messages = append(messages, standin.Message{Role: "assistant", Content: strings.Repeat("a", turnBytes)})
		time.Sleep(turnPause)
	}
	return durations
}

// BenchmarkAffinity compares least-loaded routing (slack 0) with session
// affinity limited by load, at several session rates.
func BenchmarkAffinity(b *testing.B) {
	for _, perSecond := range []float64{20, 40, 52} {
		for _, slack := range []float64{0, 0.1, 0.25, 0.5, 1} {
			b.Run(fmt.Sprintf("sessions=%g/slack=%g", perSecond, slack), func(b *testing.B) {
				for b.Loop() {
					inTime, mean := runSessions(newAffinityBoxes(b, slack), perSecond)
					b.ReportMetric(inTime, "in-time")
					b.ReportMetric(mean, "ms")
				}
			})
		}
	}
}

func runSessions(boxes []string, perSecond float64) (inTime, meanMs float64) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
	defer client.CloseIdleConnections()
	rng := rand.New(rand.NewPCG(5, 3))
	var mu sync.Mutex
	var wg sync.WaitGroup
	var sum time.Duration
	count, inTimeCount := 0, 0
	next := time.Now()
	for id := 0; float64(id) < perSecond*affinityDuration.Seconds(); id++ {
		next = next.Add(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
		time.Sleep(time.Until(next))
		wg.Go(func() {
			durations := runSession(client, boxes, id)
			mu.Lock()
			defer mu.Unlock()
			for _, d := range durations {
				sum += d
				count++
				if d <= sessionDeadline {
					inTimeCount++
				}
			}
		})
	}
	wg.Wait()
	return float64(inTimeCount) / float64(count), float64(sum.Milliseconds()) / float64(count)
}
