package e2e

import (
	"context"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/wire"
)

// TestFormerTemporaryVoterReachesNewLeader changes the leader after a box without a disk
// was a temporary voter and is no voter any more. The box must forward to the new leader.
// It forwarded to the leader at the time of its vote for as long as it ran.
func TestFormerTemporaryVoterReachesNewLeader(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t, 3, 3)
	defer c.dumpLogs()
	c.fleetText = smallFleet
	c.startReady()
	lost := c.boxes[0]
	if lost == c.leader() {
		lost = c.boxes[1]
	}
	lost.kill()
	var temporaryVoter *boxProcess
	eventually(t, "a box without a disk is a temporary voter", 60*time.Second, func() bool {
		for _, id := range c.voterBoxes() {
			i := slices.IndexFunc(c.boxes, func(b *boxProcess) bool { return b.name == wire.BoxOf(id) })
			if i >= 0 && !c.boxes[i].disk {
				temporaryVoter = c.boxes[i]
			}
		}
		return temporaryVoter != nil && len(c.voterBoxes()) == 3
	})
	lost.start()
	eventually(t, "only boxes with a disk are voters", 60*time.Second, func() bool {
		return len(c.voterBoxes()) == 3 && !slices.ContainsFunc(c.voterBoxes(), func(id string) bool { return wire.BoxOf(id) == temporaryVoter.name })
	})
	c.awaitVoters()
	for range 2 { // at least one change, whichever box was the leader when the box stopped voting
		previous := c.leader()
		previous.kill()
		eventually(t, "another box is the leader", 30*time.Second, func() bool { l := c.leader(); return l != nil && l != previous })
		previous.start()
		c.awaitVoters()
		answersReads := func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			return temporaryVoter.status(ctx) != nil
		}
		g.Eventually(answersReads, 20*time.Second).Should(BeTrue(), "it must read from the current leader")
	}
}
