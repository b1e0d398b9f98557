package spread_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// set changes which boxes are cut off from all others, or answer no calls.
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

// playCutParent cuts the first box without a disk of each hall off from those with one, has a file applied right after, and returns
// how long the others of the halls lack it.
func playCutParent(t *testing.T, seed uint64, disks, others int, draining time.Duration) time.Duration {
	const limit = 10 * time.Second
	c := newCluster(t, seed, time.Hour, 0, disks, others)
	c.draining = draining
	defer c.close()
	for i := range c.members {
		c.start(i)
	}
	c.advance(4 * time.Second)
	c.applyUntilAcknowledged(1)
	c.advance(15*time.Second + time.Duration(seed%11)*90*time.Millisecond) // all have the parents of the tree
	first := map[string]string{}
	for _, m := range c.members[disks:] {
		if b := first[m.Hall]; b == "" || m.Box < b {
			first[m.Hall] = m.Box
		}
	}
	c.mu.Lock()
	for _, b := range first {
		for _, m := range c.members[:disks] {
			c.cut[[2]string{b, m.Box}] = true
		}
	}
	c.number++
	number := c.number
	c.mu.Unlock()
	leader := c.process("", c.members[c.leader()].Box)
	c.running.Go(func() { c.applyFile(leader, number) })
	for waited := time.Duration(0); waited < limit; waited += 10 * time.Millisecond {
		lacking := slices.ContainsFunc(c.runningProcesses(), func(p *process) bool {
			return first[p.self.Hall] != p.self.Box && p.replica.View().Version.GetNumber() < number
		})
		if !lacking {
			return waited
		}
		c.advance(10 * time.Millisecond)
	}
	return limit
}

// Guards against boxes that go on sending requests to a server whose leaving was acknowledged, since the box that they have their
// updates from was cut off, and answers that there is nothing new (DRAIN, review/6).
func TestBoxesBehindACutLearnInTime(t *testing.T) {
	const (
		draining = 2 * time.Second
		most     = 1500 * time.Millisecond
	)
	for _, size := range []struct{ disks, others, plays int }{{4, 7, 40}, {6, 76, 4}} {
		var waits []time.Duration
		for seed := range uint64(size.plays) {
			synctest.Test(t, func(t *testing.T) { waits = append(waits, playCutParent(t, seed, size.disks, size.others, draining)) })
		}
		slices.Sort(waits)
		t.Logf("%d boxes: median %v, most %v", size.disks+size.others, waits[len(waits)/2], waits[len(waits)-1])
		NewWithT(t).Expect(waits[len(waits)-1]).To(BeNumerically("<=", most))
	}
}

func TestConfirmedAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newClusterWithFile(t, time.Hour, 1)
		defer c.close()
		p := c.runningProcesses()[3]
		before := p.replica.View().Index
		age, ok := p.spread.ConfirmedAge(before)
		g.Expect(ok).To(BeTrue())
		g.Expect(age).To(BeNumerically("<", time.Second))
		c.set(c.isolated, 3, true)
		c.advance(5 * time.Second)
		c.set(c.isolated, 3, false)
		c.applyUntilAcknowledged(2)
		c.advance(time.Second)
		g.Expect(p.replica.View().Index).To(BeNumerically(">", before))
		age, ok = p.spread.ConfirmedAge(before)
		g.Expect(ok).To(BeTrue())
		g.Expect(age).To(BeNumerically(">", 5*time.Second), "what it learned since may have been committed since the cut began")
		_, ok = p.spread.ConfirmedAge(0)
		g.Expect(ok).To(BeFalse())
	})
}
