package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"testing"
	"time"
)

const (
	// recovers is how long after the last fault all must be served again.
	recovers = 30 * time.Second
	// fixedSeed and fixedSpan make the run of CI.
	fixedSeed = 20261202
	fixedSpan = 12 * time.Second
)

// failed are the seeds that ever failed, with what was found; they are played again
// in each run. Times differ from run to run, so a seed gives the same series of
// faults and not the same interleaving.
var failed = []struct {
	seed  uint64
	cause string
}{
	{20261202, "a torn record whose beginning was spoilt ended the box at each start (wal, rule 2)"},
	{1069260638684, "SIGHUP before the settings were read ended the process (daemon, catch)"},
	{643281099898, "the same"},
	{1016905792061, "SIGTERM as early ended it without a planned stop"},
	{667783712339, "the soak's own: a process killed before its first line was waited for by count"},
	{618484344335, "events that were not passed on were counted as passed, and not asked for again (gateway, relay)"},
	{416881008403, "an order was sent again, since its closing was answered before the view showed it (replica, publish)"},
}

func TestFixedSeed(t *testing.T) { soak(t, fixedSeed, fixedSpan) }

func TestSeedsThatFailed(t *testing.T) {
	for _, f := range failed {
		t.Run(fmt.Sprint(f.seed), func(t *testing.T) { soak(t, f.seed, fixedSpan) })
	}
}

// TestFreshSeeds runs as many fresh seeds as SOAK_SEEDS says, none without it.
func TestFreshSeeds(t *testing.T) {
	count, _ := strconv.Atoi(os.Getenv("SOAK_SEEDS"))
	seconds, err := strconv.Atoi(os.Getenv("SOAK_SECONDS"))
	if err != nil {
		seconds = 15
	}
	for range count {
		seed := rand.Uint64N(1 << 40)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { soak(t, seed, time.Duration(seconds)*time.Second) })
	}
}

func soak(t *testing.T, seed uint64, span time.Duration) {
	w := newWorld(t, seed)
	o := newOperator(w)
	w.eventually("the first configuration is acknowledged", func() bool { return o.apply(1, w.boxes[0]) })
	list := make([]*caller, callers)
	for i := range list {
		list[i] = newCaller(w, i)
	}
	w.allServed(list[0], "before any fault")

	ctx, cancel := context.WithTimeout(context.Background(), span)
	defer cancel()
	var wg sync.WaitGroup
	f := &faults{w: w, random: rand.New(rand.NewPCG(seed, 1))}
	wg.Go(func() { f.run(ctx) })
	wg.Go(func() { w.limits.run(ctx, w) })
	wg.Go(func() { w.pushback.run(ctx, w) })
	wg.Go(func() { o.run(ctx) })
	for _, c := range list {
		wg.Go(func() { c.run(ctx) })
	}
	wg.Wait()

	w.links.heal()
	w.allServed(list[0], "after the last fault")
	w.eventually("every box reads back", func() bool {
		for _, d := range w.boxes {
			if !o.readBack(d) {
				return false
			}
		}
		return true
	})
	w.checkRuns(list)
	w.checkLimits()
	w.checkPushback()
	w.report(list)
}

// eventually waits until ok holds.
func (w *world) eventually(what string, ok func() bool) {
	if w.missed {
		return // one wait that ended in vain is enough
	}
	for end := time.Now().Add(recovers); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return
		}
	}
	w.missed = true
	w.find("within %v it did not come true that %s", recovers, what)
}

// allServed wants every model served through every box.
func (w *world) allServed(c *caller, when string) {
	for i, d := range w.boxes {
		for m := range models {
			n := 0
			w.eventually(fmt.Sprintf("box %s serves m%d %s", d.ip, m, when), func() bool {
				n++
				status, _ := c.ask(context.Background(), d, fmt.Sprintf("s%d-%s-%d-%d-%d", w.seed, when[:3], i, m, n), fmt.Sprint("m", m), false)
				return status == http.StatusOK
			})
		}
	}
}

// checkRuns compares what callers were told with what ran.
func (w *world) checkRuns(list []*caller) {
	runs := map[string]int{}
	w.mu.Lock()
	servers := w.servers
	w.mu.Unlock()
	for _, s := range servers {
		for id, n := range s.Runs() {
			runs[id] += n
		}
		for _, fault := range s.Violations() {
			w.find("server %s: %s", s.ID, fault)
		}
	}
	for _, c := range list {
		for _, id := range c.unsafe {
			if runs[id] > 1 {
				w.find("request %s ran %d times", id, runs[id])
			}
		}
		for _, id := range c.refused {
			if runs[id] > 0 {
				w.find("request %s was said not to have run, and ran", id)
			}
		}
	}
}

// report fails the test with what was found, and keeps the logs.
func (w *world) report(list []*caller) {
	served, refused := 0, 0
	for _, c := range list {
		served += c.served
		refused += len(c.refused)
	}
	w.t.Logf("seed %d: %d served, %d refused", w.seed, served, refused)
	if served == 0 {
		w.find("nothing was served")
	}
	if len(w.findings) == 0 {
		return
	}
	for _, text := range w.findings {
		w.t.Errorf("seed %d: %s", w.seed, text)
	}
	folder := filepath.Join(os.TempDir(), fmt.Sprintf("leverdrum-soak-%d", w.seed))
	for _, d := range w.boxes {
		text, err := os.ReadFile(filepath.Join(d.folder, "log"))
		if err == nil && os.MkdirAll(folder, 0o700) == nil {
			_ = os.WriteFile(filepath.Join(folder, d.ip+".log"), text, 0o600)
		}
	}
	w.t.Logf("logs are in %s", folder)
}
