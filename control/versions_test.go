package control

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/origin"
	"leverdrum/state"
	"leverdrum/wire"
)

// Guards against a departed version that is retired before a leader has seen it for as long as its streams can be resumed: a new
// leader does not know how long no box ran.
func TestLeaderRetiresVersionsByItsOwnRunningTime(t *testing.T) {
	g := NewWithT(t)
	view := state.New()
	v := state.ServiceVersion{Service: "s", Version: "v1"}
	view.Versions = state.VersionHistory{Since: 3, Departed: map[state.ServiceVersion]uint64{v: 7}}
	now := time.Now()
	var leader trackedVersions
	g.Expect(leader.expired(view, now).Versions).To(BeEmpty())
	now = now.Add(origin.HistoryTTL - time.Second)
	g.Expect(leader.expired(view, now).Versions).To(BeEmpty())
	var next trackedVersions
	g.Expect(next.expired(view, now).Versions).To(BeEmpty())

	now = now.Add(time.Second)
	retire := leader.expired(view, now)
	g.Expect(retire.Versions).To(HaveLen(1))
	g.Expect(retire.Versions[0].Index).To(Equal(uint64(7)))
	g.Expect(retire.Since).To(Equal(uint64(3)), "the history is complete")
	g.Expect(next.expired(view, now).Versions).To(BeEmpty(), "the next leader has seen it for a second")
	g.Expect(next.expired(view, now).Since).To(BeZero())

	view.Versions.Departed = map[state.ServiceVersion]uint64{v: 9}
	g.Expect(leader.expired(view, now).Versions).To(BeEmpty(), "it departed again")
	view.Versions = state.VersionHistory{Since: 10}
	g.Expect(leader.expired(view, now).Since).To(BeZero(), "the history began anew")
	view.Versions.Complete = true
	g.Expect(leader.expired(view, now.Add(origin.HistoryTTL)).Since).To(BeZero(), "it is complete already")
}

// Guards against a server that runs another software version under its ID: boxes would resume streams of the previous one at it.
func TestChangedVersionIsCommitted(t *testing.T) {
	c := New(Options{})
	known := &wire.Announcement{Id: "s", Service: "s", Address: "10.0.0.1:1", Version: "v1"}
	changed, _ := c.noteAnnouncement(&wire.Announcement{Id: "s", Service: "s", Address: "10.0.0.1:1", Version: "v2", Sequence: 1}, known, state.New())
	NewWithT(t).Expect(changed).To(BeTrue())
}
