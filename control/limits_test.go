package control

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/dialect"
	"leverdrum/level"
	"leverdrum/wire"
)

// A limit is agreed once every box knows of limits, for servers that are known, and not again and again; it ends with
// the server's word or its life.
func TestWhatServersNameIsAgreed(t *testing.T) {
	g := NewWithT(t)
	c := newLeader(t)
	view := c.opts.Replica.View
	tell := func(server string, milli uint32) {
		_ = c.RecordNotice(context.Background(), &wire.Forward{Box: "b", Limits: []*wire.ServerLimit{{Server: server, Milli: milli}}}) // it leads
	}
	tell("s", 1000)
	g.Expect(view().Limits).To(BeEmpty(), "below the level that brings limits")
	for view().Level < level.ServerLimits {
		c.raiseTo(context.Background(), view().Level+1)
	}
	tell("stranger", 1000)
	g.Expect(view().Limits).To(BeEmpty())
	tell("s", 1000)
	g.Expect(view().LimitOf("s")).To(Equal(dialect.Limit(1000)))

	index := view().Index
	for milli := range uint32(20) { // another one with each answer
		tell("s", 2000+milli)
	}
	g.Expect(view().Index).To(Equal(index), "at most one in half a second")
	time.Sleep(limitEvery)
	tell("s", 0)
	g.Expect(view().Limits).To(BeEmpty())
	time.Sleep(limitEvery)
	tell("s", 700)
	g.Expect(view().LimitOf("s")).To(Equal(dialect.Limit(700)))
	_, err := c.propose(context.Background(), &wire.Command{Kind: &wire.Command_Withdraw{Withdraw: &wire.Withdraw{Id: "s", Forget: true}}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(view().Limits).To(BeEmpty(), "a successor has named nothing")
}
