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

// A session has five turns; each sends all that was said before. A prompt of
// 4,000 bytes that no server keeps takes 80 ms to read, an answer 40 ms.
const (
	sessionTurns  = 5
	systemBytes   = 1500
	turnBytes     = 500
	prefillByte   = 20 * time.Microsecond
	keptMessages  = 400
	affinityFor   = 4 * time.Second
	sessionDue    = 250 * time.Millisecond
	turnPause     = 150 * time.Millisecond
	affinityBoxes = 2
)

// affinityBed is two entry boxes before four servers that keep prefixes.
func affinityBed(t testing.TB, slack float64) []string {
	text := fmt.Sprintf("[fleet]\nnumber = 1\naffinity-slack = %g\n[hall a]\n[class c]\ndeadline = 1s\n[kind k]\nmemory = 1GiB\nconcurrency = %d\n", slack, loadPlaces)
	for i := range loadServers {
		e := standin.NewEngine(standin.EngineOptions{
			Accelerators: 1, Memory: 1 << 30, ChecksFences: true, Concurrency: loadPlaces, TokenTime: loadToken, PrefillTimePerByte: prefillByte, CachedPrefixes: keptMessages,
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

// converse runs one session and returns how long each turn took, a second for
// one that was refused.
func converse(client *http.Client, boxes []string, id int) []time.Duration {
	messages := []standin.Message{{Role: "system", Content: strings.Repeat("s", systemBytes)}}
	var took []time.Duration
	for turn := range sessionTurns {
		messages = append(messages, standin.Message{Role: "user", Content: fmt.Sprintf("%d/%d %s", id, turn, strings.Repeat("u", turnBytes))})
		body, err := json.Marshal(map[string]any{"model": "m", "max_tokens": loadTokens, "messages": messages})
		if err != nil {
			panic(err)
		}
		began := time.Now()
		resp, err := client.Post("http://"+boxes[(id+turn)%len(boxes)]+engine.ChatPath, "application/json", strings.NewReader(string(body)))
		if err == nil {
			resp.Body.Close()
		}
		if err != nil || resp.StatusCode != http.StatusOK {
			took = append(took, time.Second)
		} else {
			took = append(took, time.Since(began))
		}
		messages = append(messages, standin.Message{Role: "assistant", Content: strings.Repeat("a", turnBytes)})
		time.Sleep(turnPause)
	}
	return took
}

// BenchmarkAffinity compares least-loaded choice (slack 0) with affinity that
// yields to load, at several sessions a second.
func BenchmarkAffinity(b *testing.B) {
	for _, perSecond := range []float64{20, 40, 52} {
		for _, slack := range []float64{0, 0.1, 0.25, 0.5, 1} {
			b.Run(fmt.Sprintf("sessions=%g/slack=%g", perSecond, slack), func(b *testing.B) {
				for b.Loop() {
					inTime, mean := sessionsAt(affinityBed(b, slack), perSecond)
					b.ReportMetric(inTime, "in-time")
					b.ReportMetric(mean, "ms")
				}
			})
		}
	}
}

func sessionsAt(boxes []string, perSecond float64) (inTime, meanMs float64) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
	defer client.CloseIdleConnections()
	rng := rand.New(rand.NewPCG(5, 3))
	var mu sync.Mutex
	var wg sync.WaitGroup
	var sum time.Duration
	count, good := 0, 0
	next := time.Now()
	for id := 0; float64(id) < perSecond*affinityFor.Seconds(); id++ {
		next = next.Add(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
		time.Sleep(time.Until(next))
		wg.Go(func() {
			took := converse(client, boxes, id)
			mu.Lock()
			defer mu.Unlock()
			for _, d := range took {
				sum += d
				count++
				if d <= sessionDue {
					good++
				}
			}
		})
	}
	wg.Wait()
	return float64(good) / float64(count), float64(sum.Milliseconds()) / float64(count)
}
