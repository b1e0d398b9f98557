package control

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"leverdrum/event"
	"leverdrum/membership"
	"leverdrum/state"
	"leverdrum/wire"
)

// repairVoters follows package membership.
func (c *Controller) repairVoters() {
	status := c.opts.Replica.Status()
	if !status.Settled {
		return // one change after the other
	}
	c.noteVoters(status.Voters)
	in := membership.Input{
		Self: c.opts.Replica.ID(), Voters: status.Voters, Wanted: c.opts.WantedVoters, RepairAfter: c.opts.RepairAfter,
		Members: c.opts.Replica.View().Members, Silent: map[string]time.Duration{}, HoldsAll: status.CaughtUp,
		ReportAge: c.reportAges(), DisksOnly: c.opts.VotersNeedDisks,
	}
	now := c.opts.Replica.Now()
	for id, at := range status.LastSeen {
		in.Silent[id] = now - at
	}
	action := membership.Plan(in)
	switch {
	case action.Learn != "":
		c.opts.Replica.AddLearner(action.Learn)
	case action.Voters != nil:
		if err := c.opts.Replica.ChangeVoters(action.Voters); err == nil {
			event.VotersChanging.Log(c.opts.Log, zap.Strings("from", status.Voters), zap.Strings("to", action.Voters), zap.String("why", action.Reason))
		}
	}
}

// noteVoters logs that a change has come to its end.
func (c *Controller) noteVoters(voters []string) {
	if c.voters != nil && !slices.Equal(c.voters, voters) {
		event.VotersChanged.Log(c.opts.Log, zap.Strings("voters", voters))
	}
	c.voters = voters
}

func (c *Controller) reportAges() map[string]time.Duration {
	ages := map[string]time.Duration{}
	for _, h := range c.opts.Spread.Holdings() {
		ages[h.Member] = time.Duration(h.AgeMs) * time.Millisecond
	}
	return ages
}

// forgetBoxes takes silent boxes off the list, but only while a majority of the
// listed boxes is heard: else a cut-off leader could shrink the list until it
// is the majority of what is left.
func (c *Controller) forgetBoxes(ctx context.Context) {
	if time.Since(c.ledSince) < forgetBox {
		return
	}
	ages := c.reportAges()
	var silent []*wire.Member
	for _, m := range c.opts.Replica.View().Members {
		if age, ok := ages[state.MemberID(m)]; !ok || age > forgetBox/2 {
			silent = append(silent, m)
		}
	}
	if len(silent) == 0 || !c.opts.Spread.SeesMajority() {
		return
	}
	m := silent[0]
	cmd := &wire.Command{Kind: &wire.Command_Leave{Leave: &wire.Leave{Box: m.Box, Incarnation: m.Incarnation}}}
	if _, err := c.propose(ctx, cmd); err == nil {
		event.BoxForgotten.Log(c.opts.Log, zap.String("member", state.MemberID(m)))
	}
}

// meetSilent calls on listed boxes that are silent: after a restart such a box may
// know only boxes that have forgotten the cluster, too.
func (c *Controller) meetSilent(ctx context.Context) {
	if c.opts.OpenSession == nil || time.Since(c.metAt) < meetEvery {
		return
	}
	c.metAt = time.Now()
	ages := c.reportAges()
	for _, m := range c.opts.Replica.View().Members {
		if age, ok := ages[state.MemberID(m)]; !ok || age > meetAfter {
			go c.opts.OpenSession(ctx, m.Box)
		}
	}
}
