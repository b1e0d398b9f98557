package e2e

import (
	"context"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/wire"
)

// A box without a disk stood in for a voter, and votes no more. Then the leader changes: what the box passes on must go to the
// new one. It went to the leader of the time when it voted, for as long as the box ran.
func TestAFormerStandInFindsTheLeader(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t, 3, 3)
	defer c.dumpLogs()
	c.fleet = smallFleet
	c.up()
	lost := c.boxes[0]
	if lost == c.leader() {
		lost = c.boxes[1]
	}
	lost.kill()
	var standIn *boxProc
	eventually(t, "a box without a disk stands in", 60*time.Second, func() bool {
		for _, id := range c.voters() {
			i := slices.IndexFunc(c.boxes, func(b *boxProc) bool { return b.name == wire.BoxOf(id) })
			if i >= 0 && !c.boxes[i].disk {
				standIn = c.boxes[i]
			}
		}
		return standIn != nil && len(c.voters()) == 3
	})
	lost.start()
	eventually(t, "only boxes with a disk vote", 60*time.Second, func() bool {
		return len(c.voters()) == 3 && !slices.ContainsFunc(c.voters(), func(id string) bool { return wire.BoxOf(id) == standIn.name })
	})
	c.awaitRepair()
	for range 2 { // the leader changes, whoever led when the box ceased to vote
		before := c.leader()
		before.kill()
		eventually(t, "another leads", 30*time.Second, func() bool { l := c.leader(); return l != nil && l != before })
		before.start()
		c.awaitRepair()
		answered := func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			return standIn.status(ctx) != nil
		}
		g.Eventually(answered, 20*time.Second).Should(BeTrue(), "it reads from whoever leads")
	}
}
