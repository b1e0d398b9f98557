package soak

import (
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

	"leverdrum/platform/standin"
)

const (
	crashBoxes    = 3
	crashInterval = 50 * time.Millisecond // between two requests
	crashLoadTime = 10 * time.Second
	crashRestart  = 2 * time.Second // until a crashed server is back, without models
	// crashDeadlyPart is a prompt part on which servers crash by themselves.
	crashDeadlyPart = "dead"
	// maxEndedByPart bounds the servers that crash on a part, maxBlockedShare the sound requests that are rejected since they are
	// suspected, as a share of these and the served ones: of what could have been served 0.95 is.
	maxEndedByPart  = 8
	maxBlockedShare = 0.05
)

// crashCase is one way in which servers crash under streams that share a prompt part.
type crashCase struct {
	name        string
	servers     int
	crashes     int           // of servers drawn at random, in turn
	every       time.Duration // between two crashes
	sharing     int           // one of so many requests has the shared part
	followsPart bool          // crashes come to the server that began the most requests with the part in the last second
	deadly      int           // one of so many requests has the deadly part; 0: none
}

// Guards against sound requests that are denied since servers crash one after another by themselves, and against the loss of servers to a
// part that does crash them: 156 of 400 requests were denied with ten servers.
func TestCrashingServersDenyNothing(t *testing.T) {
	runCrashes(t, crashCase{name: "ten servers, all crash", servers: 10, crashes: 10, every: 700 * time.Millisecond, sharing: 2}, crashSeed())
	runCrashes(t, crashCase{name: "a rare part", servers: 12, crashes: 5, every: 900 * time.Millisecond, sharing: 20, followsPart: true}, crashSeed())
	runCrashes(t, crashCase{name: "beside a deadly part", servers: 12, crashes: 4, every: 500 * time.Millisecond, sharing: 1, deadly: 10}, crashSeed())
}

// TestFreshCrashSeeds runs SOAK_CRASH_SEEDS new random seeds, none if it is not set.
func TestFreshCrashSeeds(t *testing.T) {
	count, _ := strconv.Atoi(os.Getenv("SOAK_CRASH_SEEDS"))
	for range count {
		seed := rand.Uint64N(1 << 40)
		runCrashes(t, randomCrashCase(seed), seed)
	}
}

func crashSeed() uint64 {
	if seed, err := strconv.ParseUint(os.Getenv("SOAK_CRASH_SEED"), 10, 64); err == nil {
		return seed
	}
	return fixedSeed
}

func randomCrashCase(seed uint64) crashCase {
	random := rand.New(rand.NewPCG(seed, 43))
	c := crashCase{name: "random", servers: 10 + random.IntN(10), sharing: []int{1, 2, 5, 20}[random.IntN(4)], followsPart: random.IntN(3) == 0}
	c.crashes, c.every = 3+random.IntN(8), time.Duration(300+random.IntN(900))*time.Millisecond
	if random.IntN(2) == 0 {
		c.deadly, c.crashes = 10, min(c.crashes, 4)
	}
	return c
}

// crashRun sends streams while servers crash.
type crashRun struct {
	h *harness
	c crashCase

	mu       sync.Mutex
	servers  []*standin.Server // that have not been crashed by the run
	started  int
	ended    int // servers that crashed on the deadly part
	outcomes map[string]int
	withPart map[string]time.Time // requests with the shared part, when they were sent
}

func runCrashes(t *testing.T, c crashCase, seed uint64) {
	t.Run(fmt.Sprint(c.name, " ", seed), func(t *testing.T) {
		r := &crashRun{h: newBoxes(t, seed, crashBoxes, ""), c: c, outcomes: map[string]int{}, withPart: map[string]time.Time{}}
		for range c.servers {
			r.startServer("m0")
		}
		r.h.eventually("acknowledgement of the configuration", r.apply)
		for _, d := range r.h.boxes {
			r.h.eventually("box "+d.ip+" is ready", d.ready)
		}
		time.Sleep(time.Second) // each box knows all servers
		random, began := rand.New(rand.NewPCG(seed, 47)), time.Now()
		var calls sync.WaitGroup
		crashes := 0
		for n := 0; time.Since(began) < crashLoadTime; n++ {
			calls.Go(func() { r.send(n) })
			time.Sleep(crashInterval)
			if crashes < c.crashes && time.Since(began) > time.Second+time.Duration(crashes)*c.every {
				r.crash(random)
				crashes++
			}
		}
		calls.Wait()
		r.check()
	})
}

func (r *crashRun) startServer(models ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started++
	s := &standin.Server{
		ID: fmt.Sprintf("c-%d-%d", r.started, r.h.seed), Service: "s", Hall: "h", Memory: 220, LoadTime: 200 * time.Millisecond, CrashOnPart: crashDeadlyPart,
		HeartbeatInterval: 300 * time.Millisecond, EventCount: 15, EventDelay: 300 * time.Millisecond, ModelSizes: map[string]int{"m0": 70},
	}
	for _, d := range r.h.boxes {
		s.ControlAddresses = append(s.ControlAddresses, d.control())
	}
	s.OnCrash = func() { // on the deadly part
		r.mu.Lock()
		r.ended++
		r.mu.Unlock()
		r.remove(s)
	}
	if err := s.Start(models...); err != nil {
		r.h.addFailure("%v", err)
		return
	}
	r.h.t.Cleanup(s.Stop)
	r.servers = append(r.servers, s)
}

// remove takes a crashed server off the list and starts another one later.
func (r *crashRun) remove(s *standin.Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.servers = slices.DeleteFunc(r.servers, func(o *standin.Server) bool { return o == s })
	time.AfterFunc(crashRestart, func() { r.startServer() })
}

// crash terminates one of the first servers.
func (r *crashRun) crash(random *rand.Rand) {
	r.mu.Lock()
	var choice *standin.Server
	most := -1
	for _, i := range random.Perm(len(r.servers)) {
		s, runs := r.servers[i], 0
		if r.c.followsPart {
			for id := range s.Runs() {
				if at, ok := r.withPart[id]; ok && time.Since(at) < time.Second {
					runs++
				}
			}
		}
		if runs > most {
			choice, most = s, runs
		}
	}
	r.mu.Unlock()
	if choice != nil {
		choice.Stop()
		r.remove(choice)
	}
}

// apply applies a configuration with one route of streams that may resume.
func (r *crashRun) apply() bool {
	text := `{"version":1,"routes":[{"name":"r","hostname":"h.example","path_prefix":"/r/","route_type":"streaming","timeout_ms":15000,"target_latency_ms":1500,"gap_target_ms":900,"priority":1,"public":true,"backend":"s","max_attempts":2,"resumable":true}],"backends":[{"name":"s","max_connections":200,"engine":{"slots":64,"weights_mb":220,"loads_per_s":50,"models":[{"name":"m0","weights_mb":70,"load_s":0.2,"warm_s":0.1,"disk_s":0.1}]}}]}`
	resp, err := http.Post("http://"+r.h.boxes[0].control()+"/Config.Replace", "application/json", strings.NewReader(text))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// send sends request n and records how it ended.
func (r *crashRun) send(n int) {
	id, parts := fmt.Sprintf("c%d-%d", r.h.seed, n), "aa:100"
	if n%r.c.sharing == 0 {
		parts += ",bb:50"
		r.mu.Lock()
		r.withPart[id] = time.Now()
		r.mu.Unlock()
	}
	deadly := r.c.deadly > 0 && n%r.c.deadly == 1
	if deadly {
		parts += "," + crashDeadlyPart + ":50"
	}
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/r/%d", r.h.boxes[n%crashBoxes].entry(), n), strings.NewReader(id))
	if err != nil {
		r.h.addFailure("%v", err)
		return
	}
	req.Host = "h.example"
	req.Header.Set("Leverdrum-Request-Id", id)
	req.Header.Set("Leverdrum-Model", "m0")
	req.Header.Set("Leverdrum-Token-Usage", "200,60")
	req.Header.Set("Leverdrum-Prefix-Hash", fmt.Sprintf("%s,%x:50", parts, 1<<20+n))
	outcome := "broken"
	if resp, err := http.DefaultClient.Do(req); err == nil {
		if _, err = io.Copy(io.Discard, resp.Body); err == nil {
			outcome = fmt.Sprint(resp.StatusCode, " ", resp.Header.Get("X-Leverdrum-Reason"))
		}
		resp.Body.Close()
	}
	if deadly {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes[outcome]++
}

func (r *crashRun) check() {
	r.mu.Lock()
	served, denied, suspected, ended := r.outcomes["200 "], r.outcomes["422 crashes-servers"], r.outcomes["503 crash-suspected"], r.ended
	r.h.t.Logf("seed %d, %+v: sound requests %v; %d servers crashed on the deadly part", r.h.seed, r.c, r.outcomes, ended)
	r.mu.Unlock()
	if denied > 0 {
		r.h.addFailure("%d sound requests were denied", denied)
	}
	if float64(suspected) > maxBlockedShare*float64(served+suspected) {
		r.h.addFailure("%d sound requests were rejected as suspected, %d served", suspected, served)
	}
	if ended > maxEndedByPart || r.c.deadly > 0 && ended == 0 {
		r.h.addFailure("%d servers crashed on the deadly part", ended)
	}
	if served == 0 {
		r.h.addFailure("none was served")
	}
	r.h.reportFailures()
}
