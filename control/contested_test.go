package control

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/state"
	"leverdrum/wire"
)

// Announcements delayed by a network partition arrived after their server had crashed and another
// server was running at its address.
func TestDelayedAnnouncementsDoNotReviveReplacedServer(t *testing.T) {
	g := NewWithT(t)
	c := New(Options{})
	view := state.New()
	before := &wire.Announcement{Id: "before", Address: "10.0.0.1:1", Silent: true}
	after := &wire.Announcement{Id: "after", Address: "10.0.0.1:1"}
	view.Announcements.Set("before", before)
	view.Announcements.Set("after", after)
	c.contacts["after"] = &contact{lastSeen: time.Now(), sequence: 1}
	announce := func(sequence uint64) bool {
		changed, _ := c.noteAnnouncement(&wire.Announcement{Id: "before", Address: "10.0.0.1:1", Sequence: sequence}, before, view)
		return changed
	}
	g.Expect(announce(7)).To(BeFalse())
	g.Expect(announce(8)).To(BeFalse(), "another delayed announcement")
	c.contacts["before"].contestedSince = time.Now().Add(-contestedConfirmTime)
	g.Expect(announce(9)).To(BeTrue(), "it keeps announcing itself, so the other server has terminated")
	c.contacts["before"].contestedSince = time.Time{}
	after.Silent = true
	g.Expect(announce(10)).To(BeTrue(), "no other server is at the address")
}
