package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"leverdrum/internal/wait"
	"leverdrum/platform/standin"
)

const (
	endBoxes    = 3
	endServers  = 6
	endCallers  = 40
	endDuration = 8 * time.Second
	// endEvery is the mean time between two ends of servers.
	endEvery = 150 * time.Millisecond
	// goesOnFor is how long a server must go on after the end of a response for its caller to be owed the whole response.
	goesOnFor = 500 * time.Millisecond
	// spoiltShare is the share of requests whose first response has a fault.
	spoiltShare = 0.05
	// largeUpload is the size in bytes of the body of one request in largeUploadEvery.
	largeUpload      = 2 << 20
	largeUploadEvery = 12
	// maxReceived is the size in bytes from which a response counts as one without end. It exceeds that of any whole one.
	maxReceived = 1 << 20
	// minResumed is the share of streams that may resume of which all events must arrive.
	minResumed = 0.95
)

// endCase is one way in which servers end or spoil responses.
type endCase struct {
	name        string
	undelimited bool // all streams end with their connection
	serversEnd  bool // servers end, one after another, and others start
	spoils      bool // some responses have other faults
	disturbed   bool // boxes are killed, stopped and cut off meanwhile
}

var endCases = []endCase{
	{name: "servers go on", undelimited: true},
	{name: "servers end", undelimited: true, serversEnd: true},
	{name: "servers spoil responses", spoils: true},
}

// Guards against a part of a response that reaches its caller as the whole one, because its server ended or spoilt it.
func TestPartsOfResponsesAreNotComplete(t *testing.T) {
	for _, c := range endCases {
		t.Run(c.name, func(t *testing.T) { runEnds(t, c, endSeed()) })
	}
}

// TestFreshEndSeeds runs SOAK_END_SEEDS new random seeds, none if it is not set.
func TestFreshEndSeeds(t *testing.T) {
	count, _ := strconv.Atoi(os.Getenv("SOAK_END_SEEDS"))
	for range count {
		seed := rand.Uint64N(1 << 40)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 59))
			runEnds(t, endCase{name: "random", undelimited: random.IntN(4) > 0, serversEnd: random.IntN(4) > 0, spoils: random.IntN(2) == 0, disturbed: random.IntN(2) == 0}, seed)
		})
	}
}

func endSeed() uint64 {
	if seed, err := strconv.ParseUint(os.Getenv("SOAK_END_SEED"), 10, 64); err == nil {
		return seed
	}
	return fixedSeed
}

// endRun sends streams to servers that end or spoil them.
type endRun struct {
	h *harness
	c endCase

	mu       sync.Mutex
	random   *rand.Rand
	servers  []*standin.Server // that have not ended
	all      []*standin.Server
	stopped  map[string]time.Time // when servers ended, by ID
	started  int
	outcomes map[string]int // by route and outcome
	broken   []string       // requests whose response was visibly broken off
}

func runEnds(t *testing.T, c endCase, seed uint64) {
	boxes := endBoxes
	if c.disturbed {
		boxes = boxCount
	}
	r := &endRun{h: newBoxes(t, seed, boxes, ""), c: c, random: rand.New(rand.NewPCG(seed, 53)), stopped: map[string]time.Time{}, outcomes: map[string]int{}}
	for range endServers {
		r.startServer()
	}
	r.h.eventually("acknowledgement of the configuration", r.apply)
	for _, d := range r.h.boxes {
		r.h.eventually("box "+d.ip+" is ready", d.ready)
	}
	time.Sleep(time.Second) // each box knows all servers
	ctx, cancel := context.WithTimeout(t.Context(), endDuration)
	defer cancel()
	var running sync.WaitGroup
	if c.serversEnd {
		running.Go(func() { r.endServers(ctx) })
	}
	if c.disturbed {
		running.Go(func() { disturb(ctx, r.h, 61) })
	}
	for i := range endCallers {
		running.Go(func() { r.call(ctx, i) })
	}
	running.Wait()
	time.Sleep(goesOnFor)
	r.check()
}

// disturb injects faults into the boxes until the context ends.
func disturb(ctx context.Context, h *harness, stream uint64) {
	f := &faultInjector{h: h, random: rand.New(rand.NewPCG(h.seed, stream))}
	for wait.For(ctx, time.Duration(100+f.random.IntN(900))*time.Millisecond) {
		promiseFaults[f.random.IntN(len(promiseFaults))](f)
	}
	f.wg.Wait()
	h.links.heal()
}

func (r *endRun) draw(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n)
}

func (r *endRun) startServer() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started++
	s := &standin.Server{
		ID: fmt.Sprintf("e-%d-%d", r.started, r.h.seed), Service: "s", Hall: "h", Memory: 220, LoadTime: 200 * time.Millisecond,
		HeartbeatInterval: 300 * time.Millisecond, EventCount: eventCount, EventDelay: 15 * time.Millisecond, ModelSizes: map[string]int{"m0": 70},
	}
	id := s.ID
	s.Spoils = func(req *http.Request) standin.Fault { return r.fault(id, req.Header.Get("Leverdrum-Request-Id")) }
	for _, d := range r.h.boxes {
		s.ControlAddresses = append(s.ControlAddresses, d.control())
	}
	if err := s.Start("m0"); err != nil {
		r.h.addFailure("%v", err)
		return
	}
	r.h.t.Cleanup(s.Stop)
	r.servers, r.all = append(r.servers, s), append(r.all, s)
}

// fault returns the fault of the response of a server to a request.
func (r *endRun) fault(server, request string) standin.Fault {
	if r.c.spoils {
		h := xxhash.Sum64String(server + "\x00" + request)
		if float64(h%1000) < 1000*spoiltShare {
			faults := standin.Faults()
			return faults[h/1000%uint64(len(faults))]
		}
	}
	if r.c.undelimited {
		return standin.Undelimited
	}
	return standin.NoFault
}

// endServers ends servers and starts others.
func (r *endRun) endServers(ctx context.Context) {
	for wait.For(ctx, endEvery/2+time.Duration(r.draw(int(endEvery)))) {
		i := r.draw(len(r.servers))
		r.mu.Lock()
		s := r.servers[i]
		r.servers = slices.Delete(r.servers, i, i+1)
		r.stopped[s.ID] = time.Now()
		r.mu.Unlock()
		s.Stop()
		r.startServer()
	}
}

// apply applies a configuration with a route of streams that may resume and one of streams that may not.
func (r *endRun) apply() bool {
	route := `{"name":"%s","hostname":"h.example","path_prefix":"/%s/","route_type":"streaming","timeout_ms":5000,"target_latency_ms":1000,"gap_target_ms":600,"priority":1,"public":true,"backend":"s","max_attempts":3,"resumable":%v}`
	text := fmt.Sprintf(`{"version":1,"routes":[`+route+`,`+route+`],"backends":[{"name":"s","health_check_path":"/health","max_connections":200,"engine":{"slots":64,"weights_mb":220,"loads_per_s":50,"models":[{"name":"m0","weights_mb":70,"load_s":0.2,"warm_s":0.1,"disk_s":0.1}]}}]}`,
		"resumable", "resumable", true, "once", "once", false)
	resp, err := http.Post("http://"+r.h.boxes[0].control()+"/Config.Replace", "application/json", strings.NewReader(text))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// call sends the requests of one caller, one after another, on connections that it keeps.
func (r *endRun) call(ctx context.Context, number int) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: len(r.h.boxes)}, Timeout: 6 * time.Second}
	for n := 0; wait.For(ctx, time.Duration(r.draw(20))*time.Millisecond); n++ {
		route := []string{"resumable", "once"}[r.draw(2)]
		id := fmt.Sprintf("e%d-%d-%d", r.h.seed, number, n)
		body := []byte(id)
		if r.c.spoils && r.draw(largeUploadEvery) == 0 {
			body = bytes.Repeat([]byte("u"), largeUpload)
		}
		outcome, fault := r.send(client, route, id, body)
		if fault != "" {
			r.h.addFailure("request %s of route %s: %s", id, route, fault)
		}
		r.mu.Lock()
		r.outcomes[route+" "+outcome]++
		if outcome == "broken" {
			r.broken = append(r.broken, id)
		}
		r.mu.Unlock()
	}
}

// send sends one request. It returns its outcome, and what is wrong with its response, "" for nothing.
func (r *endRun) send(client *http.Client, route, id string, body []byte) (outcome, fault string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+r.h.boxes[r.draw(len(r.h.boxes))].entry()+"/"+route+"/x", bytes.NewReader(body))
	if err != nil {
		return "invalid", err.Error()
	}
	req.GetBody = nil // keeps the client from retrying on its own
	req.Host = "h.example"
	req.Header.Set("Leverdrum-Request-Id", id)
	req.Header.Set("Leverdrum-Deadline-Ms", "5000")
	req.Header.Set("Leverdrum-Model", "m0")
	req.Header.Set("Leverdrum-Token-Usage", "200,60")
	resp, err := client.Do(req)
	if err != nil {
		return "no response", ""
	}
	defer resp.Body.Close()
	received, err := io.ReadAll(io.LimitReader(resp.Body, maxReceived))
	switch {
	case err != nil:
		return "broken", ""
	case len(received) == maxReceived:
		return "endless", "" // the caller leaves
	}
	if resp.StatusCode != http.StatusOK {
		if resp.StatusCode < http.StatusBadRequest || resp.StatusCode >= 600 {
			return "invalid", fmt.Sprint("the response has status ", resp.StatusCode)
		}
		return strconv.Itoa(resp.StatusCode), ""
	}
	if fault := checkResponse(resp, id, string(received)); fault != "" {
		return "partial", fault
	}
	return "whole", ""
}

// check requires that responses whose servers went on have reached their callers, and that streams which may resume have.
func (r *endRun) check() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.h.t.Logf("seed %d, %+v: %v", r.h.seed, r.c, r.outcomes)
	if r.outcomes["resumable whole"] == 0 || r.outcomes["once whole"] == 0 {
		r.h.addFailure("no stream of a route was served")
	}
	if !r.c.disturbed && !r.c.spoils {
		owed := map[string]string{} // server by request ID
		for _, s := range r.all {
			for id, at := range s.Finished() {
				if end, ended := r.stopped[s.ID]; !ended || end.Sub(at) > goesOnFor {
					owed[id] = s.ID
				}
			}
		}
		for _, id := range r.broken {
			if server, ok := owed[id]; ok {
				r.h.addFailure("the response to request %s was broken off, and server %s had sent it whole and went on", id, server)
			}
		}
		whole, other := r.outcomes["resumable whole"], r.outcomes["resumable broken"]
		if float64(whole) < minResumed*float64(whole+other) {
			r.h.addFailure("%d of %d streams that may resume arrived whole", whole, whole+other)
		}
	}
	r.h.reportFailures()
}
