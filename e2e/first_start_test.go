package e2e

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Ways in which a first member comes back after it was killed during the first start.
const (
	replaced  = "replaced at another address"
	restarted = "restarted"
	wiped     = "restarted with an empty disk"
)

// Guards against a cluster that never forms because one of its first members was killed during the first start. FIRST_START_STEP
// sets the time between two kills that are played, up to a second; without it, one kill of each member is.
func TestFirstStartSurvivesLossOfAMember(t *testing.T) {
	step, err := time.ParseDuration(os.Getenv("FIRST_START_STEP"))
	if err != nil {
		for i, way := range []string{replaced, restarted, wiped} {
			runFirstStart(t, i, time.Duration(150+100*i)*time.Millisecond, way)
		}
		return
	}
	for _, way := range []string{replaced, restarted, wiped} {
		for i := range 3 {
			for at := time.Duration(0); at <= time.Second; at += step {
				runFirstStart(t, i, at, way)
			}
		}
	}
}

// runFirstStart starts three boxes for the first time, kills one of them and brings it back.
func runFirstStart(t *testing.T, killed int, at time.Duration, way string) {
	const (
		absent = time.Second
		// timeout is how long the configuration may take, from the last start on: 3 s until the core is stable, and 4 s.
		timeout = 7 * time.Second
	)
	t.Run(fmt.Sprintf("box %d killed after %v and %s", killed, at, way), func(t *testing.T) {
		g := NewWithT(t)
		boxes := newSeededBoxes(t, 4, 0)
		first, successor := boxes[:3], boxes[3]
		for _, b := range first {
			b.writeSettings(t, true, first...)
			b.start(t)
		}
		time.Sleep(at)
		first[killed].kill()
		if way != replaced {
			successor = first[killed]
		}
		running := slices.Clone(first)
		running[killed] = successor
		time.Sleep(absent)
		if way == wiped {
			g.Expect(os.RemoveAll(filepath.Join(successor.dir, "data"))).To(Succeed())
		}
		successor.writeSettings(t, false, first...)
		successor.start(t)
		config := `{"version":1,"routes":[{"name":"r","hostname":"h","path_prefix":"/","timeout_ms":100,"backend":"s"}],"backends":[{"name":"s"}]}`
		began := time.Now()
		for n := 0; ; n++ {
			resp, err := http.Post("http://"+running[n%len(running)].ip+":8144/Config.Replace", "application/json", strings.NewReader(config))
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			g.Expect(time.Since(began)).To(BeNumerically("<", timeout), "the configuration is not acknowledged")
			time.Sleep(50 * time.Millisecond)
		}
		for _, b := range running {
			g.Eventually(b.ready, timeout).Should(BeTrue(), b.ip)
		}
	})
}
