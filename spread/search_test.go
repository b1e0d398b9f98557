package spread_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// set changes which boxes are cut off from all others, or answer nobody.
func (c *cluster) set(m map[string]bool, i int, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m[c.members[i].Box] = on
}

// leader returns the number of the box that leads, -1 if there is none.
func (c *cluster) leader() int {
	for i, m := range c.members {
		if p := c.process("", m.Box); p != nil {
			if _, held := p.replica.Lease(); held {
				return i
			}
		}
	}
	return -1
}

// playCut cuts a box off while files are applied, freezes the leader shortly before the cut ends, and returns how long the box then
// lacks the newest file that was acknowledged before the freeze.
func playCut(t *testing.T, seed uint64, disks, others int, length time.Duration) time.Duration {
	const (
		freeze = 700 * time.Millisecond // before the end of the cut
		limit  = 10 * time.Second
	)
	c := newCluster(t, seed, time.Hour, 0, disks, others)
	defer c.close()
	for i := range c.members {
		c.start(i)
	}
	c.advance(4 * time.Second)
	c.applyUntilAcknowledged(1)
	c.advance(time.Duration(seed%7) * 130 * time.Millisecond)
	cutOff := disks + int(seed)%others
	c.set(c.isolated, cutOff, true)
	for left := length; left > 0; left -= 500 * time.Millisecond {
		if left <= freeze+500*time.Millisecond {
			c.advance(left - min(left, freeze))
			break
		}
		c.applyNextFile()
		c.advance(500 * time.Millisecond)
	}
	c.set(c.frozen, c.leader(), true)
	c.advance(min(length, freeze))
	want := c.newestAcknowledged()
	c.set(c.isolated, cutOff, false)
	p := c.runningProcesses()[cutOff]
	for waited := time.Duration(0); waited < limit; waited += 10 * time.Millisecond {
		if p.replica.View().Version.GetNumber() >= want {
			return waited
		}
		c.advance(10 * time.Millisecond)
	}
	return limit
}

// Guards against a box that serves an older configuration for seconds after it was cut off, while the leader stands still: it asked one
// box after the other, and waited for each that did not answer (CONFIG, review/5).
func TestBoxIsCurrentSoonAfterACut(t *testing.T) {
	const (
		most   = time.Second
		median = 300 * time.Millisecond
	)
	for _, size := range []struct{ disks, others, plays int }{{4, 6, 20}, {6, 76, 3}} {
		t.Run(fmt.Sprint(size.disks+size.others), func(t *testing.T) {
			var waits []time.Duration
			for seed := range uint64(size.plays) {
				for _, length := range []time.Duration{1200 * time.Millisecond, 2500 * time.Millisecond, 4600 * time.Millisecond, 9 * time.Second} {
					synctest.Test(t, func(t *testing.T) { waits = append(waits, playCut(t, seed, size.disks, size.others, length)) })
				}
			}
			slices.Sort(waits)
			t.Logf("median %v, most %v", waits[len(waits)/2], waits[len(waits)-1])
			g := NewWithT(t)
			g.Expect(waits[len(waits)-1]).To(BeNumerically("<=", most))
			g.Expect(waits[len(waits)/2]).To(BeNumerically("<=", median))
		})
	}
}
