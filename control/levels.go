package control

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"leverdrum/event"
	"leverdrum/internal/wait"
	"leverdrum/level"
	"leverdrum/state"
	"leverdrum/wire"
)

// raiseLevel is rule 3 of package level. Only the goroutine that decides calls it.
func (c *Controller) raiseLevel(ctx context.Context, now time.Time) {
	view := c.opts.Replica.View()
	next, known := c.nextLevel(view)
	if !known {
		c.knownSince = time.Time{}
		return
	}
	if c.knownSince.IsZero() {
		c.knownSince = now
	}
	if view.Version != nil && now.Sub(c.knownSince) < c.opts.UpgradeSettleTime {
		return
	}
	began := time.Now()
	c.raiseTo(ctx, next)
	c.waited += time.Since(began)
}

// RaiseInitialLevel raises the level as far as all boxes know levels where no file was ever in force, so that the first one is read as
// this build reads it and nothing waits for an upgrade to settle.
func (c *Controller) RaiseInitialLevel(ctx context.Context) {
	c.awaitVotersListed(ctx)
	for ctx.Err() == nil {
		view := c.opts.Replica.View()
		next, known := c.nextLevel(view)
		if !known || view.Version != nil {
			return
		}
		c.raiseTo(ctx, next)
		if c.opts.Replica.View().Level < next {
			return // met again at the next step
		}
	}
}

const (
	// listedWithin is how long the first file waits until the voters are listed. It may come within moments of the
	// start of all boxes; taken before anything is known of their builds, it would keep the cluster below what they all
	// know for as long as an upgrade settles.
	listedWithin = 1500 * time.Millisecond
	// listedLook is the time between two looks.
	listedLook = 20 * time.Millisecond
)

func (c *Controller) awaitVotersListed(ctx context.Context) {
	for began := time.Now(); time.Since(began) < listedWithin; {
		view := c.opts.Replica.View()
		if view.Version != nil || votersListed(view, c.opts.Replica.Status().Voters) || !wait.For(ctx, listedLook) {
			return
		}
	}
}

// votersListed reports whether all voters are on the agreed list as they run.
func votersListed(view *state.State, voters []string) bool {
	for _, id := range voters {
		if m := view.Members[wire.BoxOf(id)]; m == nil || state.MemberID(m) != id {
			return false
		}
	}
	return len(view.Members) > 0
}

// nextLevel returns the level behind the one in force, where all boxes know it.
func (c *Controller) nextLevel(view *state.State) (level.Level, bool) {
	next := view.Level + 1
	return next, next <= level.Newest && allKnow(view, c.opts.Replica.Status().Voters, next)
}

// raiseTo has a level agreed. Twice the same changes nothing, and an error is met again at the next step.
func (c *Controller) raiseTo(ctx context.Context, next level.Level) {
	raise := &wire.Command{Kind: &wire.Command_Raise{Raise: &wire.RaiseLevel{Level: uint32(next)}}}
	if _, err := c.propose(ctx, raise); err == nil {
		event.LevelRaised.Log(c.opts.Log, zap.Stringer("to", next))
	}
}

// allKnow reports whether all listed boxes, and all that vote, run builds that know a level.
func allKnow(view *state.State, voters []string, l level.Level) bool {
	if !votersListed(view, voters) {
		return false
	}
	for _, m := range view.Members {
		if level.Level(m.Level) < l {
			return false
		}
	}
	return !slices.Contains(voters, "")
}
