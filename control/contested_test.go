package control

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/state"
	"leverdrum/wire"
)

// A server's words that a cut held up came after it had crashed and another was running at
// its address.
func TestLateWordsDoNotBringAServerBackWhereAnotherRuns(t *testing.T) {
	g := NewWithT(t)
	c := New(Options{})
	view := state.New()
	before := &wire.Announcement{Id: "before", Address: "10.0.0.1:1", Silent: true}
	after := &wire.Announcement{Id: "after", Address: "10.0.0.1:1"}
	view.Announcements.Set("before", before)
	view.Announcements.Set("after", after)
	c.heard["after"] = &heard{at: time.Now(), sequence: 1}
	word := func(sequence uint64) bool {
		news, _ := c.note(&wire.Announcement{Id: "before", Address: "10.0.0.1:1", Sequence: sequence}, before, view)
		return news
	}
	g.Expect(word(7)).To(BeFalse())
	g.Expect(word(8)).To(BeFalse(), "more of what was held up")
	c.heard["before"].insists = time.Now().Add(-insistFor)
	g.Expect(word(9)).To(BeTrue(), "it speaks on: then the other has ended")
	c.heard["before"].insists = time.Time{}
	after.Silent = true
	g.Expect(word(10)).To(BeTrue(), "nobody else is there")
}
