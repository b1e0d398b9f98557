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

// repairVoters executes the plan of package membership.
func (c *Controller) repairVoters() {
	status := c.opts.Replica.Status()
	if !status.Settled {
		return // one change at a time
	}
	c.logVoterChange(status.Voters)
	in := membership.Input{
		Self: c.opts.Replica.ID(), Voters: status.Voters, WantedVoters: c.opts.WantedVoters, RepairAfter: c.opts.RepairAfter,
		Members: c.opts.Replica.View().Members, ContactAge: map[string]time.Duration{}, CaughtUp: status.CaughtUp,
		ReportAge: c.reportAges(), VotersNeedDisks: c.opts.VotersNeedDisks,
	}
	now := c.opts.Replica.Now()
	for id, at := range status.LastSeen {
		in.ContactAge[id] = now - at
	}
	action := membership.Plan(in)
	switch {
	case action.Learner != "":
		c.opts.Replica.AddLearner(action.Learner)
	case action.Voters != nil:
		if err := c.opts.Replica.ChangeVoters(action.Voters); err == nil {
			event.VotersChanging.Log(c.opts.Log, zap.Strings("from", status.Voters), zap.Strings("to", action.Voters), zap.String("why", action.Reason))
		}
	}
}

// logVoterChange logs a completed change of the voters.
func (c *Controller) logVoterChange(voters []string) {
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

// removeUnresponsiveBoxes removes unresponsive boxes from the list, but only while updates arrive
// from a majority of the listed boxes. Otherwise a partitioned leader could shrink the list until
// it is the majority of what is left.
func (c *Controller) removeUnresponsiveBoxes(ctx context.Context) {
	if time.Since(c.leadingSince) < boxRemovalTimeout {
		return
	}
	ages := c.reportAges()
	var unresponsive []*wire.Member
	for _, m := range c.opts.Replica.View().Members {
		if age, ok := ages[state.MemberID(m)]; !ok || age > boxRemovalTimeout/2 {
			unresponsive = append(unresponsive, m)
		}
	}
	if len(unresponsive) == 0 || !c.opts.Spread.SeesMajority() {
		return
	}
	m := unresponsive[0]
	cmd := &wire.Command{Kind: &wire.Command_Leave{Leave: &wire.Leave{Box: m.Box, Incarnation: m.Incarnation}}}
	if _, err := c.propose(ctx, cmd); err == nil {
		event.BoxRemoved.Log(c.opts.Log, zap.String("member", state.MemberID(m)))
	}
}

// contactUnresponsiveBoxes opens sessions to listed boxes that are unresponsive. After a restart
// such a box may know only boxes that have forgotten the cluster, too.
func (c *Controller) contactUnresponsiveBoxes(ctx context.Context) {
	if c.opts.OpenSession == nil || time.Since(c.sessionsRetriedAt) < sessionRetryInterval {
		return
	}
	c.sessionsRetriedAt = time.Now()
	ages := c.reportAges()
	for _, m := range c.opts.Replica.View().Members {
		if age, ok := ages[state.MemberID(m)]; !ok || age > sessionRetryAfter {
			go c.opts.OpenSession(ctx, m.Box)
		}
	}
}
