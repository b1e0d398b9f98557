package e2e

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/standin"
)

// TestFrozenLeaderDuringLoads repeatedly freezes the leader while files that change the
// resident models are applied. Some servers check fencing tokens and some do not, and
// orders are slow or lose their answers. The servers' own accounts must show no moment
// at which an accelerator held more than its memory.
func TestFrozenLeaderDuringLoads(t *testing.T) {
	rounds := 4
	if testing.Short() {
		rounds = 2
	}
	g := NewWithT(t)
	c := newCluster(t, 3, 1)
	defer c.dumpLogs()
	servers := smallFleet + "[kind fenced]\nmemory = 10GiB\nchecks-fences = true\n[kind plain]\nmemory = 10GiB\norder-late = 1s\n"
	for i, kind := range []string{"fenced", "plain", "fenced", "plain"} {
		name := fmt.Sprint("engine", i)
		c.engines[name] = standin.NewEngine(standin.EngineOptions{
			Accelerators: 1, Memory: 10 << 30, ChecksFences: kind == "fenced", Concurrency: 4, LoadTime: 150 * time.Millisecond,
		})
		servers += fmt.Sprintf("[server %s]\naddress = %s\nhall = hall%d\nkind = %s\n", name, c.serve(name, c.engines[name]), i%2, kind)
	}
	c.fleetText = servers + modelSections(0)
	c.startReady()
	for round := 1; round <= rounds; round++ {
		for i, e := range c.engines {
			e.SetFaults(standin.Faults{DropOrderResponses: strings.HasSuffix(i, fmt.Sprint(round%4)), OrderDelayMs: 50 * round})
		}
		c.fleetText = servers + modelSections(round)
		leader := c.leader()
		c.awaitAccepted(round + 1)
		time.Sleep(100 * time.Millisecond)
		leader.signal(syscall.SIGSTOP)
		time.Sleep(1200 * time.Millisecond)
		leader.signal(syscall.SIGCONT)
		time.Sleep(500 * time.Millisecond)
	}
	for _, e := range c.engines {
		e.SetFaults(standin.Faults{})
	}
	eventually(t, "all models are ready in their new versions", 60*time.Second, func() bool {
		s := c.readStatus()
		if s == nil || s.Orders > 0 {
			return false
		}
		for _, m := range s.Models {
			if len(m.Ready) == 0 {
				return false
			}
		}
		return true
	})
	for name, e := range c.engines {
		a := e.Stats()
		g.Expect(a.Overcommits).To(BeZero(), "according to %s, which held up to %d bytes", name, a.Peak)
	}
}

// modelSections returns fleet file sections of models whose versions change from round
// to round.
func modelSections(round int) string {
	var text strings.Builder
	for i := range 6 {
		fmt.Fprintf(&text, "[model m%d]\nversion = %d\nmemory = %dGiB\nclass = any\n", i, (round+i)/2, 2+i%3)
	}
	return text.String()
}
