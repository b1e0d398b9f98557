package liveness_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/internal/liveness"
)

const (
	simulatedBoxes   = 300
	simulatedServers = 1200
	// endingHall servers end at once, each with slots streams of random boxes.
	endingHall = simulatedServers / 3
	slots      = 64
)

// Guards against probes that grow with boxes times servers, and against waits that grow with the streams, when a data hall ends
// at once.
func TestProbesWhenAHallEndsAtOnce(t *testing.T) {
	for _, c := range []struct {
		name     string
		takes    time.Duration // a probe
		evidence liveness.Evidence
		maxWait  time.Duration
	}{
		{"servers ended", 500 * time.Microsecond, liveness.Ended, time.Millisecond},
		{"hall unreachable", time.Hour, liveness.None, 2 * liveness.ProbeTimeout},
		{"servers go on", 500 * time.Microsecond, liveness.Answered, time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				var mu sync.Mutex
				probes := map[[2]int]int{} // by box and server
				perServer := map[int]int{}
				var longest time.Duration
				random := rand.New(rand.NewPCG(1, 2))
				boxes := make([]liveness.Group, simulatedBoxes)
				var ends sync.WaitGroup
				for server := range endingHall {
					for range slots {
						box, after := random.IntN(simulatedBoxes), time.Duration(random.IntN(200))*time.Microsecond
						ends.Go(func() {
							time.Sleep(after)
							began := time.Now()
							e := boxes[box].Await(t.Context(), fmt.Sprint(server), func(ctx context.Context) liveness.Evidence {
								mu.Lock()
								probes[[2]int{box, server}]++
								perServer[server]++
								mu.Unlock()
								select {
								case <-time.After(c.takes):
									return c.evidence
								case <-ctx.Done():
									return liveness.None
								}
							})
							mu.Lock()
							defer mu.Unlock()
							longest = max(longest, time.Since(began))
							if e != c.evidence {
								t.Errorf("evidence %v, want %v", e, c.evidence)
							}
						})
					}
				}
				ends.Wait()
				total, most, mostOfOne := 0, 0, 0
				for _, n := range probes {
					total, mostOfOne = total+n, max(mostOfOne, n)
				}
				for _, n := range perServer {
					most = max(most, n)
				}
				t.Logf("%d ends: %d probes, at most %d of a server and %d of a box at a server, longest wait %v", endingHall*slots, total, most, mostOfOne, longest)
				g.Expect(mostOfOne).To(BeNumerically("<=", 2))
				g.Expect(total).To(BeNumerically("<=", endingHall*slots))
				g.Expect(most).To(BeNumerically("<=", slots), "as many as streams that ended, whatever the number of boxes")
				g.Expect(longest).To(BeNumerically("<=", c.maxWait))
			})
		})
	}
}
