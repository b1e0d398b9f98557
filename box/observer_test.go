package box

import (
	"testing"

	. "github.com/onsi/gomega"

	"leverdrum/wire"
)

// Guards against a former leader that is cut off and keeps acknowledging servers'
// announcements: the new leader received none and counted 13 servers as unresponsive at once.
func TestObserverWithoutKnownLeader(t *testing.T) {
	g := NewWithT(t)
	members := map[string]*wire.Member{}
	for _, name := range []string{"a", "b", "c", "d"} {
		members[name] = &wire.Member{Box: name, Incarnation: "1", Disk: name != "d", AnnounceAddress: name + ":1"}
	}
	g.Expect(observerAddress(members, "b/1", "a")).To(Equal("b:1"), "the leader's address")
	g.Expect(observerAddress(members, "a/1", "a")).To(Equal(""), "this box leads and receives announcements itself")
	g.Expect(observerAddress(members, "", "a")).To(Equal("b:1"), "another box with a disk may reach a leader")
	g.Expect(observerAddress(members, "", "c")).To(Equal("a:1"), "the next box in order after c is a")
	g.Expect(observerAddress(members, "", "d")).To(Equal("a:1"))
	members["b"].Leaving = true
	g.Expect(observerAddress(members, "", "a")).To(Equal("c:1"))
	g.Expect(observerAddress(members, "b/1", "a")).To(Equal("c:1"), "a draining leader will not lead for long")
	g.Expect(observerAddress(map[string]*wire.Member{"a": members["a"]}, "", "a")).To(Equal(""))
}
