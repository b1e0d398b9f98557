// Command drive starts three boxes for the first time. The third one is gone for good right after its start, and another machine
// joins in its place, at another address and with an empty disk. The operator sends the first configuration.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"

	"review/rig"
)

// Bounds of a small deployment.
const (
	contact = 3 * time.Second // contact_ms: the core is stable this long after the last start or kill
	ack     = 4 * time.Second // ack_ms
	seedLag = 3 * time.Second // seed_lag_s: by which the operator's list lags
	// successorAfter is when the machine that takes the place of the lost one starts.
	successorAfter = time.Second
	// patience is how long the operator sends the configuration.
	patience = 45 * time.Second
)

// config is a first configuration with one route.
var config = map[string]any{
	"version": 1,
	"routes": []any{map[string]any{
		"name": "r-lookup", "hostname": "case.example", "path_prefix": "/lookup/", "route_type": "safe", "timeout_ms": 2500, "target_latency_ms": 150,
		"priority": 0, "backend": "app", "max_attempts": 2, "session_affinity": false, "resumable": false,
	}},
	"backends": []any{map[string]any{"name": "app", "health_check_path": "/health", "max_connections": 130, "protocol": "h1", "tls": false}},
	"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
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
	trouble := rig.WithTrouble()
	// All start within 0.3 s of each other, the third one first.
	fail(r.StartBox(2, true))
	time.Sleep(150 * time.Millisecond)
	if trouble {
		fail(r.SignalBox(2, syscall.SIGKILL)) // it never comes back
	}
	lostAt := time.Now()
	time.Sleep(50 * time.Millisecond)
	fail(r.StartBox(0, true))
	time.Sleep(80 * time.Millisecond)
	fail(r.StartBox(1, true))
	running, stableFrom := rig.First(), time.Now().Add(contact)
	boxes := rig.First
	if trouble {
		time.Sleep(time.Until(lostAt.Add(successorAfter)))
		fail(r.StartBox(rig.Successor, false))
		running, stableFrom = []int{0, 1, rig.Successor}, time.Now().Add(contact)
		listed := time.Now().Add(seedLag)
		boxes = func() []int {
			if time.Now().Before(listed) {
				return rig.First()
			}
			return running
		}
	}
	for i := range 2 {
		_, err := r.StartServer(fmt.Sprintf("i-app%d", i), rig.Hall(i), "-service", "app", "-events", "0", "-first", "30ms")
		fail(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	sent := time.Now()
	err = r.Replace(ctx, config, boxes)
	took, stable := time.Since(sent), time.Since(stableFrom)
	ready := 0
	for _, i := range running {
		if r.IsReady(i) {
			ready++
		}
	}
	served := served(r, running)
	r.Note("%d of %d running boxes are ready; %d of 20 requests were answered with a server's success", ready, len(running), served)
	switch {
	case stable > ack:
		r.Finish(rig.Broken, "Acks: the first configuration was sent for %.1f s, with all %d machines running and nothing disturbed for the last %.1f s (allowed: 4 s), and the result is: %v; %d of 20 requests were served", took.Seconds(), len(running), stable.Seconds(), err, served)
	case err != nil:
		r.Finish(rig.CouldNotRun, "the operator gave up: %v", err)
	}
	r.Finish(rig.Held, "the first configuration was acknowledged after %.2f s, and %d of 20 requests were served", took.Seconds(), served)
}

// served sends 20 requests to the boxes that run and counts those that a server answered.
func served(r *rig.Rig, boxes []int) (n int) {
	time.Sleep(2 * time.Second) // config_apply_ms
	client := &http.Client{Timeout: 3 * time.Second}
	for k := range 20 {
		box := boxes[k%len(boxes)]
		req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/lookup/%d", r.Entry(box), k), strings.NewReader(""))
		if err != nil {
			return n
		}
		req.Host = "case.example"
		req.Header.Set("Leverdrum-Request-Id", fmt.Sprintf("%016x", k+1))
		req.Header.Set("Leverdrum-Deadline-Ms", "2500")
		resp, err := client.Do(req)
		if err != nil {
			r.Note("client: request %d at box%d: %v", k, box+1, err)
			continue
		}
		resp.Body.Close()
		r.Note("client: request %d at box%d: %d, stamp %q", k, box+1, resp.StatusCode, resp.Header.Get("Leverdrum-Server-Stamp"))
		if resp.StatusCode == http.StatusOK && resp.Header.Get("Leverdrum-Server-Stamp") != "" {
			n++
		}
	}
	return n
}
