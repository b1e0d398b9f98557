package control

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"leverdrum/event"
	"leverdrum/level"
	"leverdrum/state"
	"leverdrum/wire"
)

// raiseLevel is rule 3 of package level.
func (c *Controller) raiseLevel(ctx context.Context, now time.Time) {
	view := c.opts.Replica.View()
	next := view.Level + 1
	if next > level.Newest || !allKnow(view, c.opts.Replica.Status().Voters, next) {
		c.knownSince = time.Time{}
		return
	}
	if c.knownSince.IsZero() {
		c.knownSince = now
	}
	if view.Version != nil && now.Sub(c.knownSince) < c.opts.UpgradeSettles {
		return
	}
	// An error is met again at the next step.
	if _, err := c.propose(ctx, &wire.Command{Kind: &wire.Command_Raise{Raise: &wire.RaiseLevel{Level: uint32(next)}}}); err == nil {
		event.LevelRaised.Log(c.opts.Log, zap.Stringer("to", next))
	}
}

// RaiseFirst raises the level where no file was ever in force, so that the first one is read as this build reads it.
func (c *Controller) RaiseFirst(ctx context.Context) {
	if view := c.opts.Replica.View(); view.Version != nil || view.Level == level.Newest {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.raiseLevel(ctx, time.Now())
}

// allKnow reports whether all listed boxes, and all that vote, run builds that know a level.
func allKnow(view *state.State, voters []string, l level.Level) bool {
	for _, id := range voters {
		if m := view.Members[wire.BoxOf(id)]; m == nil || state.MemberID(m) != id {
			return false
		}
	}
	for _, m := range view.Members {
		if level.Level(m.Level) < l {
			return false
		}
	}
	return !slices.Contains(voters, "") && len(view.Members) > 0
}
