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

// withEngines adds model servers of 10 GiB in the given halls and returns their
// part of the fleet file.
func (c *cluster) withEngines(halls ...int) string {
	text := "[kind k]\nmemory = 10GiB\nchecks-fences = true\nconcurrency = 4\n"
	for i, hall := range halls {
		name := fmt.Sprint("engine", i)
		c.engines[name] = standin.NewEngine(standin.EngineOptions{
			Accelerators: 1, Memory: 10 << 30, ChecksFences: true, Concurrency: 4, TokenTime: 2 * time.Millisecond, LoadTime: 100 * time.Millisecond,
		})
		text += fmt.Sprintf("[server %s]\naddress = %s\nhall = hall%d\nkind = k\n", name, c.serve(name, c.engines[name]), hall)
	}
	return text
}

// readyOn returns on which servers a model is ready, by the agreed state.
func (c *cluster) readyOn(model string) []string {
	s := c.read()
	if s == nil {
		return nil
	}
	for _, m := range s.Models {
		if m.Name == model {
			return m.Ready
		}
	}
	return nil
}

// loseServer ends a model server for good.
func (c *cluster) loseServer(name string) {
	c.servers[name].CloseClientConnections()
	c.servers[name].Config.Close()
}

// answeredBy waits until each of the boxes answers for each of the models: news of
// copies reaches a box a moment after it is agreed.
func (c *cluster) answeredBy(boxes []int, models []string) {
	c.t.Helper()
	eventually(c.t, "all boxes answer for all models", 10*time.Second, func() bool {
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

// TestLossOfAHallAndOfAServerRightAfter: all boxes and model servers of one hall
// are lost, and one server of the other as soon as the first models are back.
// Models with a copy elsewhere answer all the time, the others come back, files
// are accepted, and no server holds more than it has.
func TestLossOfAHallAndOfAServerRightAfter(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t, 3, 4) // hall0 has four boxes of seven and two disks of three
	defer c.dumpLogs()
	c.fleet = smallFleet + c.withEngines(0, 0, 0, 0, 1, 1, 1)
	models := []string{"pair0", "pair1", "pair2", "one0", "one1", "one2", "one3", "one4", "one5"}
	for _, m := range models {
		c.fleet += fmt.Sprintf("[model %s]\nversion = 1\nmemory = 3GiB\nclass = any\n", m)
		if strings.HasPrefix(m, "pair") {
			c.fleet += "copies = 2\n"
		}
	}
	c.up()
	allReady := func() bool {
		return !slices.ContainsFunc(models, func(m string) bool {
			gone := func(s string) bool { return s >= "engine4" || s == "engine0" && c.servers["engine0"] == nil }
			ready := slices.DeleteFunc(c.readyOn(m), gone)
			return len(ready) == 0
		})
	}
	eventually(t, "all models have their copies", 30*time.Second, func() bool {
		return !slices.ContainsFunc(models, func(m string) bool {
			wanted := 1
			if strings.HasPrefix(m, "pair") {
				wanted = 2
			}
			return len(c.readyOn(m)) < wanted
		})
	})

	c.answeredBy([]int{0, 2, 4, 6}, models[:3])

	ctx, stop := context.WithCancel(t.Context())
	var asked, failed atomic.Int32
	var wg sync.WaitGroup
	for i := range 3 {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				one, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				a := c.boxes[2*(n%4)].post(one, engine.ChatPath, fmt.Sprintf(`{"model":"pair%d"}`, i), nil)
				cancel()
				asked.Add(1)
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
		c.loseServer(name)
	}
	eventually(t, "all models are ready in the hall that is left", 40*time.Second, allReady)
	t.Logf("all models were ready again %v after the loss of the hall", time.Since(began).Round(10*time.Millisecond))
	eventually(t, "the callers have asked often enough", 20*time.Second, func() bool { return asked.Load() > 300 })
	stop()
	wg.Wait()
	g.Expect(failed.Load()).To(BeZero(), "of %d requests for models with a copy in the hall that is left", asked.Load())

	c.loseServer("engine0")
	c.servers["engine0"] = nil
	c.applyNow(2)
	eventually(t, "all models are ready on the three servers that are left", 40*time.Second, allReady)
	c.answeredBy([]int{0, 2, 4, 6}, models)
	for name, e := range c.engines {
		g.Expect(e.Stats().Overcommits).To(BeZero(), name)
	}
}

// TestDemandReachesTheLeaderAndMovesCopies asks two boxes without a disk for one
// model beyond what its only copy can do: what they count goes up the tree, and
// copies follow.
func TestDemandReachesTheLeaderAndMovesCopies(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t, 3, 4)
	defer c.dumpLogs()
	c.fleet = "move-weight = 1\n" + smallFleet + c.withEngines(0, 1, 0) + "[model hot]\nversion = 1\nmemory = 4GiB\nclass = any\n[model cold]\nversion = 1\nmemory = 4GiB\nclass = any\n"
	c.up()
	eventually(t, "the model is ready", 20*time.Second, func() bool { return len(c.readyOn("hot")) == 1 })
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	for i := range 12 { // 16 ms each on four places
		wg.Go(func() {
			for ctx.Err() == nil {
				c.boxes[5+i%2].post(ctx, engine.ChatPath, `{"model":"hot"}`, nil)
			}
		})
	}
	eventually(t, "copies follow the demand", 60*time.Second, func() bool { return len(c.readyOn("hot")) >= 2 })
	g.Expect(c.readyOn("cold")).To(HaveLen(1), "nobody asks for it")
}
