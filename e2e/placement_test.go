package e2e

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/engine"
	"leverdrum/standin"
)

// addEngines adds model servers with 10 GiB each in the given halls and returns their
// sections of the fleet file.
func (c *cluster) addEngines(halls ...int) string {
	sections := "[kind k]\nmemory = 10GiB\nchecks-fences = true\nconcurrency = 4\n"
	for i, hall := range halls {
		name := fmt.Sprint("engine", i)
		c.engines[name] = standin.NewEngine(standin.EngineOptions{
			Accelerators: 1, Memory: 10 << 30, ChecksFences: true, Concurrency: 4, TokenTime: 2 * time.Millisecond, LoadTime: 100 * time.Millisecond,
		})
		sections += fmt.Sprintf("[server %s]\naddress = %s\nhall = hall%d\nkind = k\n", name, c.serve(name, c.engines[name]), hall)
	}
	return sections
}

// readyServers returns the servers on which a model is ready, according to the
// committed state.
func (c *cluster) readyServers(model string) []string {
	status := c.readStatus()
	if status == nil {
		return nil
	}
	for _, m := range status.Models {
		if m.Name == model {
			return m.Ready
		}
	}
	return nil
}

// terminateServer shuts a model server down permanently.
func (c *cluster) terminateServer(name string) {
	c.servers[name].CloseClientConnections()
	c.servers[name].Config.Close()
}

// awaitAnswers waits until each of the boxes answers requests for each of the models.
// Updates on copies reach a box shortly after they are committed.
func (c *cluster) awaitAnswers(boxes []int, models []string) {
	c.t.Helper()
	eventually(c.t, "all boxes answer requests for all models", 10*time.Second, func() bool {
		for _, b := range boxes {
			for _, m := range models {
				if c.boxes[b].post(c.t.Context(), engine.ChatPath, fmt.Sprintf(`{"model":%q}`, m), nil).status != http.StatusOK {
					return false
				}
			}
		}
		return true
	})
}

// TestHallLossFollowedByServerLoss loses all boxes and model servers of one data hall,
// and one server of the other hall once all models are ready again. Models with a
// copy in the remaining hall must answer all the time, the other models must become
// ready again, files must be accepted, and no server may exceed its memory.
func TestHallLossFollowedByServerLoss(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t, 3, 4) // hall0 has four of seven boxes and two of three disks
	defer c.dumpLogs()
	c.fleetText = smallFleet + c.addEngines(0, 0, 0, 0, 1, 1, 1)
	models := []string{"pair0", "pair1", "pair2", "one0", "one1", "one2", "one3", "one4", "one5"}
	for _, m := range models {
		c.fleetText += fmt.Sprintf("[model %s]\nversion = 1\nmemory = 3GiB\nclass = any\n", m)
		if strings.HasPrefix(m, "pair") {
			c.fleetText += "copies = 2\n"
		}
	}
	c.startReady()
	allReady := func() bool {
		return !slices.ContainsFunc(models, func(m string) bool {
			removed := func(s string) bool { return s >= "engine4" || s == "engine0" && c.servers["engine0"] == nil }
			ready := slices.DeleteFunc(c.readyServers(m), removed)
			return len(ready) == 0
		})
	}
	eventually(t, "all models have their copies", 30*time.Second, func() bool {
		return !slices.ContainsFunc(models, func(m string) bool {
			copies := 1
			if strings.HasPrefix(m, "pair") {
				copies = 2
			}
			return len(c.readyServers(m)) < copies
		})
	})

	c.awaitAnswers([]int{0, 2, 4, 6}, models[:3])

	ctx, stopLoad := context.WithCancel(t.Context())
	var requests, failed atomic.Int32
	var wg sync.WaitGroup
	for i := range 3 {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				requestCtx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				a := c.boxes[2*(n%4)].post(requestCtx, engine.ChatPath, fmt.Sprintf(`{"model":"pair%d"}`, i), nil)
				cancel()
				requests.Add(1)
				if a.status != http.StatusOK {
					failed.Add(1)
					t.Logf("pair%d: %d %s %v", i, a.status, a.reason, a.err)
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	for _, b := range c.boxes {
		if b.hall == "hall1" {
			b.kill()
		}
	}
	began := time.Now()
	for _, name := range []string{"engine4", "engine5", "engine6"} {
		c.terminateServer(name)
	}
	eventually(t, "all models are ready in the remaining hall", 40*time.Second, allReady)
	t.Logf("all models were ready again %v after the loss of the hall", time.Since(began).Round(10*time.Millisecond))
	eventually(t, "the callers have sent more than 300 requests", 20*time.Second, func() bool { return requests.Load() > 300 })
	stopLoad()
	wg.Wait()
	g.Expect(failed.Load()).To(BeZero(), "of %d requests for models with a copy in the remaining hall", requests.Load())

	c.terminateServer("engine0")
	c.servers["engine0"] = nil
	c.awaitAccepted(2)
	eventually(t, "all models are ready on the three remaining servers", 40*time.Second, allReady)
	c.awaitAnswers([]int{0, 2, 4, 6}, models)
	for name, e := range c.engines {
		g.Expect(e.Stats().Overcommits).To(BeZero(), name)
	}
}

// TestDemandReachesLeaderAndAddsCopies sends requests for one model through two boxes
// without a disk, beyond the capacity of its only copy. The demand that they count must
// reach the leader through the tree, and copies must be added.
func TestDemandReachesLeaderAndAddsCopies(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t, 3, 4)
	defer c.dumpLogs()
	c.fleetText = "move-weight = 1\n" + smallFleet + c.addEngines(0, 1, 0) + "[model hot]\nversion = 1\nmemory = 4GiB\nclass = any\n[model cold]\nversion = 1\nmemory = 4GiB\nclass = any\n"
	c.startReady()
	eventually(t, "the model is ready", 20*time.Second, func() bool { return len(c.readyServers("hot")) == 1 })
	ctx, stopLoad := context.WithCancel(t.Context())
	defer stopLoad()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stopLoad()
	for i := range 12 { // 16 ms each on four slots
		wg.Go(func() {
			for ctx.Err() == nil {
				c.boxes[5+i%2].post(ctx, engine.ChatPath, `{"model":"hot"}`, nil)
			}
		})
	}
	eventually(t, "copies are added for the demand", 60*time.Second, func() bool { return len(c.readyServers("hot")) >= 2 })
	g.Expect(c.readyServers("cold")).To(HaveLen(1), "it gets no requests")
}
