// Command drive sends requests that share the first parts of their prompts to three boxes before four model servers. While the
// first answers are under way, three servers crash, one after another. It counts requests that the boxes end with a 4xx of
// their own.
package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"review/rig"
)

const (
	servers   = 12                    // at the start
	interval  = 50 * time.Millisecond // between two requests
	firstKill = 1200 * time.Millisecond
	killEvery = 1200 * time.Millisecond
	kills     = 3
	restart   = 2 * time.Second // until a crashed server is back, empty and under a new id
	length    = 20 * time.Second
	model     = "base1"
	shared    = "5c1e07a2:119,91bd3f06:79" // the parts that all requests have
)

var config = map[string]any{
	"version": 1,
	"routes": []any{map[string]any{
		"name": "r-query", "hostname": "case.example", "path_prefix": "/query/", "route_type": "streaming", "timeout_ms": 15000, "target_latency_ms": 1500,
		"priority": 0, "backend": "lm", "max_attempts": 2, "session_affinity": true, "resumable": true, "gap_target_ms": 400,
	}},
	"backends": []any{map[string]any{
		"name": "lm", "health_check_path": "/health", "max_connections": 390, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": 64, "kv_capacity": 254071, "kv_bytes": 163840, "link_mbps": 260000.0, "stride": 5, "maximum": 12, "host_mb": 150000.0, "disk_mb": 450000.0,
			"models":     []any{map[string]any{"name": model, "weights_mb": 72700.0, "load_s": 4.2, "adapters": 0, "adapter_mb": 66.0, "warm_s": 0.4, "disk_s": 0.84}},
			"weights_mb": 220000.0, "adapter_slots": 5, "loads_per_s": 2.1,
		},
	}},
	"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
}

// result counts how requests ended.
type result struct {
	mu                  sync.Mutex
	sent, denied, whole int
	last                time.Duration // of the last denied request
}

func main() {
	r, err := rig.New(os.Args[1])
	if err != nil {
		fmt.Println(err)
		os.Exit(rig.CouldNotRun)
	}
	fail := func(err error) {
		if err != nil {
			r.Finish(rig.CouldNotRun, "%v", err)
		}
	}
	for i := range rig.Boxes {
		fail(r.StartBox(i, true))
	}
	start := func(id string, held string) *rig.Server {
		s, err := r.StartServer(id, rig.Hall(len(id)%3), "-service", "lm", "-engine", "-models", held, "-first", "300ms", "-events", "58", "-gap", "130ms")
		fail(err)
		return s
	}
	var list []*rig.Server
	for n := range servers {
		list = append(list, start(fmt.Sprintf("i-lm%d", n), model))
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	fail(r.Replace(ctx, config, rig.First))
	fail(r.AwaitReady(10 * time.Second))
	time.Sleep(4 * time.Second) // contact_ms, and time for each server's heartbeat
	began := time.Now()
	var all result
	var calls sync.WaitGroup
	killed, next := 0, began
	restarts := map[int]time.Time{} // of crashed servers: when they come back; zero once they have
	for time.Since(began) < length {
		if rig.WithTrouble() && killed < kills && time.Since(began) >= firstKill+time.Duration(killed)*killEvery {
			n := busiest(list, restarts)
			r.Kill(list[n])
			restarts[n] = time.Now().Add(restart)
			killed++
		}
		for n, at := range restarts {
			if !at.IsZero() && time.Now().After(at) {
				restarts[n] = time.Time{}
				list = append(list, start(fmt.Sprintf("i-lm%d-again", n), ""))
			}
		}
		if time.Now().After(next) {
			n := all.sent
			all.sent++
			calls.Go(func() { all.call(r, n, began) })
			next = next.Add(interval)
		}
		time.Sleep(5 * time.Millisecond)
	}
	calls.Wait()
	allowed := 5 + float64(all.sent)/500
	text := fmt.Sprintf("%d of %d proper requests were ended with a 4xx of the boxes' own (allowed: %.1f), the last one %.1f s after the first request; %d were answered whole", all.denied, all.sent, allowed, all.last.Seconds(), all.whole)
	for _, s := range list {
		for _, line := range s.RunLines() {
			r.Note("server %s: %s", s.ID, line)
		}
	}
	if float64(all.denied) > allowed {
		r.Finish(rig.Broken, "DENIED: %s", text)
	}
	r.Finish(rig.Held, "%s", text)
}

// busiest returns the server that began the most runs in the last second, of those that have not crashed.
func busiest(list []*rig.Server, crashed map[int]time.Time) (best int) {
	most := -1
	for n, s := range list[:servers] {
		if _, gone := crashed[n]; gone {
			continue
		}
		count := 0
		for _, line := range s.RunLines() {
			var at int64
			var what string
			if _, err := fmt.Sscan(line, &at, &what); err == nil && what == "begins" && time.Since(time.UnixMilli(at)) < time.Second {
				count++
			}
		}
		if count > most {
			best, most = n, count
		}
	}
	return best
}

var client = &http.Client{Timeout: 20 * time.Second}

// call sends one request and reads its answer.
func (all *result) call(r *rig.Rig, n int, began time.Time) {
	box, id := n%rig.Boxes, fmt.Sprintf("%016x", n+1)
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/query/%d", r.Entry(box), n), strings.NewReader(fmt.Sprintf("query %d", n)))
	if err != nil {
		return
	}
	req.Host = "case.example"
	req.Header.Set("Leverdrum-Request-Id", id)
	req.Header.Set("Leverdrum-Deadline-Ms", "15000")
	req.Header.Set("Leverdrum-Model", model)
	req.Header.Set("Leverdrum-Token-Usage", "826,290")
	req.Header.Set("Leverdrum-Prefix-Hash", fmt.Sprintf("%s,%x:628", shared, 0xe0000000+n))
	sentAt := time.Since(began)
	resp, err := client.Do(req)
	if err != nil {
		r.Note("request %s at box%d: %v", id, box+1, err)
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	stamp := resp.Header.Get("Leverdrum-Server-Stamp")
	r.Note("request %s sent at %.3f s to box%d: %d, stamp %q, reason %q, %d bytes, %v", id, sentAt.Seconds(), box+1, resp.StatusCode, stamp, resp.Header.Get("X-Leverdrum-Reason"), len(body), err)
	all.mu.Lock()
	defer all.mu.Unlock()
	switch {
	case resp.StatusCode == http.StatusOK && err == nil && stamp != "":
		all.whole++
	case resp.StatusCode/100 == 4 && stamp == "" && resp.StatusCode != 408 && resp.StatusCode != 421 && resp.StatusCode != 429:
		all.denied++
		all.last = time.Since(began)
	}
}
