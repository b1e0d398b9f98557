package e2e

import (
	"context"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/admin"
	"leverdrum/level"
)

// productionPattern matches the commit that runs in production in deploy/system.toml.
var productionPattern = regexp.MustCompile(`(?m)^production *= *"([0-9a-f]{7,40})"`)

// productionBuild builds the production commit from the Git history and returns the path
// of the binary.
func productionBuild(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile("../deploy/system.toml")
	if err != nil {
		t.Fatal(err)
	}
	match := productionPattern.FindSubmatch(text)
	if match == nil {
		t.Fatal("deploy/system.toml names no production commit")
	}
	commit := string(match[1])
	folder := t.TempDir()
	tar := filepath.Join(folder, "production.tar")
	runCommand(t, "..", "git", "archive", "-o", tar, commit)
	runCommand(t, folder, "tar", "-xf", tar)
	binary := filepath.Join(folder, "production-leverdrumd")
	runCommand(t, folder, "go", "build", "-buildvcs=false", "-o", binary, "./cmd/leverdrumd")
	return binary
}

func runCommand(t *testing.T, folder, name string, args ...string) {
	t.Helper()
	c := exec.Command(name, args...)
	c.Dir = folder
	if out, err := c.CombinedOutput(); err != nil {
		t.Fatalf("%s %v: %v\n%s", name, args, err, out)
	}
}

// traffic sends price requests to all boxes and counts those that fail. A rolling upgrade
// must cause none: a 5xx status other than 503 is neither an answer nor a refusal.
type traffic struct {
	served, failed atomic.Int64
	stop           chan struct{}
	callers        sync.WaitGroup
}

func (c *cluster) startTraffic() *traffic {
	load := &traffic{stop: make(chan struct{})}
	for i := range 10 {
		load.callers.Go(func() {
			for n := i; ; n++ {
				select {
				case <-load.stop:
					return
				case <-time.After(10 * time.Millisecond):
				}
				a := c.boxes[n%len(c.boxes)].post(context.Background(), "/services/shop/prices", "{}", nil)
				switch {
				case a.status == http.StatusOK:
					load.served.Add(1)
				case a.status >= http.StatusInternalServerError && a.status != http.StatusServiceUnavailable:
					load.failed.Add(1)
				}
			}
		})
	}
	return load
}

func (t *traffic) finish() {
	close(t.stop)
	t.callers.Wait()
}

// restartWith shuts the box down and starts it with the given binary.
func (b *boxProcess) restartWith(binary string) {
	b.stop()
	b.binary = binary
	b.start()
}

// replaceBuild restarts the boxes one by one with the given binary, the leader last, and
// applies a file halfway.
func (c *cluster) replaceBuild(binary string, number *int) {
	c.t.Helper()
	leader := c.leader()
	sequence := append([]*boxProcess{}, c.boxes...)
	for i, b := range sequence {
		if b == leader {
			sequence = append(append(sequence[:i:i], sequence[i+1:]...), b)
			break
		}
	}
	for i, b := range sequence {
		b.restartWith(binary)
		if i == len(sequence)/2 {
			*number++
			c.awaitAccepted(*number)
		}
		c.awaitActive(uint64(*number), 60*time.Second)
	}
}

// TestUpgradeAndRollback replaces the production build by this one box by box, then back,
// then forward again, under traffic and while files are applied. No accepted file may be
// lost, callers must be served all the time, and the level may rise only at the end.
func TestUpgradeAndRollback(t *testing.T) {
	g := NewWithT(t)
	production := productionBuild(t)
	c := newCluster(t, 3, 2)
	c.addServiceAndModel()
	for _, b := range c.boxes {
		b.binary = production
	}
	c.startReady()
	initialLevel := c.readStatus().Level
	g.Expect(initialLevel).To(BeNumerically("<", level.Newest), "otherwise the test does not cover levels")
	load := c.startTraffic()
	number := 1
	c.replaceBuild("", &number)
	g.Expect(c.readStatus().Level).To(Equal(initialLevel), "a rollback must remain possible")
	c.replaceBuild(production, &number)
	c.replaceBuild("", &number)
	load.finish()
	t.Logf("served %d, failed without a refusal %d", load.served.Load(), load.failed.Load())
	g.Expect(load.served.Load()).To(BeNumerically(">", 1000))
	g.Expect(load.failed.Load()).To(BeZero())
	g.Expect(c.readStatus().Fleet.Number).To(BeEquivalentTo(number))
	// A box that has started updates its member record beside serving.
	eventually(t, "every member record has the newest level", memberRecordTimeout, func() bool {
		s := c.readStatus()
		return s != nil && len(s.Boxes) == len(c.boxes) && !slices.ContainsFunc(s.Boxes, func(b admin.BoxRow) bool { return b.Level != level.Newest })
	})
}

// memberRecordTimeout bounds the time from the start of a box until its member record is up to date.
const memberRecordTimeout = 10 * time.Second

// TestLevelRisesAfterUpgrade leaves only 1 s for a rollback. The level must not rise before
// the last box runs the new build, and must rise after that. Features of the newest
// level must then work. Boxes of the previous build are refused from then on, which is not
// checked here.
func TestLevelRisesAfterUpgrade(t *testing.T) {
	g := NewWithT(t)
	production := productionBuild(t)
	c := newCluster(t, 3, 1)
	c.addServiceAndModel()
	for _, b := range c.boxes {
		b.binary = production
	}
	c.startReady()
	g.Expect(c.readStatus().Level).To(BeNumerically("<", level.Newest), "otherwise the test does not cover levels")
	c.extraSettings = "[upgrade]\nsettles = 1s\n"
	number := 1
	for i, b := range c.boxes {
		if i == len(c.boxes)-1 {
			g.Consistently(c.allSupportLevel, "2s", "200ms").Should(BeTrue())
		}
		b.stop()
		b.binary = ""
		b.writeSettings()
		b.start()
		c.awaitActive(uint64(number), 60*time.Second)
	}
	eventually(t, "the level rises", 30*time.Second, func() bool { s := c.readStatus(); return s != nil && s.Level == level.Newest })
	c.fleetText += workspaceSections("1000000")
	c.awaitAccepted(2)
	c.awaitActive(2, 20*time.Second)
	g.Expect(c.requestPrices(c.boxes[0], "").status).To(Equal(http.StatusUnauthorized))
}

// allSupportLevel reports whether the active level is below the newest and supported by
// the build of each box.
func (c *cluster) allSupportLevel() bool {
	s := c.readStatus()
	for _, b := range s.Boxes {
		if b.Level < s.Level {
			return false
		}
	}
	return s.Level < level.Newest
}
