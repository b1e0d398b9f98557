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

// A limit is committed only once all boxes support limits, only for known servers, and not
// repeatedly. It ends when the server reports none, or with its incarnation.
func TestServerLimitsAreCommitted(t *testing.T) {
	g := NewWithT(t)
	c := newLeader(t)
	view := c.opts.Replica.View
	report := func(server string, milli uint32) {
		_ = c.RecordNotice(context.Background(), &wire.Forward{Box: "b", Limits: []*wire.ServerLimit{{Server: server, Milli: milli}}}) // it leads
	}
	report("s", 1000)
	g.Expect(view().Limits).To(BeEmpty(), "below the level that brings limits")
	for view().Level < level.ServerLimits {
		c.raiseTo(context.Background(), view().Level+1)
	}
	report("stranger", 1000)
	g.Expect(view().Limits).To(BeEmpty())
	report("s", 1000)
	g.Expect(view().LimitOf("s")).To(Equal(dialect.Limit(1000)))

	index := view().Index
	for milli := range uint32(20) { // a different limit in each answer
		report("s", 2000+milli)
	}
	g.Expect(view().Index).To(Equal(index), "at most one change per half second")
	time.Sleep(minLimitInterval)
	report("s", 0)
	g.Expect(view().Limits).To(BeEmpty())
	time.Sleep(minLimitInterval)
	report("s", 700)
	g.Expect(view().LimitOf("s")).To(Equal(dialect.Limit(700)))
	_, err := c.propose(context.Background(), &wire.Command{Kind: &wire.Command_Withdraw{Withdraw: &wire.Withdraw{Id: "s", Forget: true}}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(view().Limits).To(BeEmpty(), "a successor has not named a limit")
}
