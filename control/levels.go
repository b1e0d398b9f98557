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

// raiseLevel raises the level once all listed boxes have supported the next one for
// UpgradeSettleTime, or at once if no fleet file was ever active (package level, 3). Only the goroutine that runs the steps calls it.
func (c *Controller) raiseLevel(ctx context.Context, now time.Time) {
	view := c.opts.Replica.View()
	next, supported := c.nextLevel(view)
	if !supported {
		c.levelKnownSince = time.Time{}
		return
	}
	if c.levelKnownSince.IsZero() {
		c.levelKnownSince = now
	}
	if view.Version != nil && now.Sub(c.levelKnownSince) < c.opts.UpgradeSettleTime {
		return
	}
	began := time.Now()
	c.raiseTo(ctx, next)
	c.proposeWait += time.Since(began)
}

// RaiseInitialLevel raises the level as far as all boxes support it if no fleet file was ever
// applied. The first file is then interpreted as this build does, and nothing waits for an upgrade
// to settle.
func (c *Controller) RaiseInitialLevel(ctx context.Context) {
	c.awaitVotersListed(ctx)
	for ctx.Err() == nil {
		view := c.opts.Replica.View()
		next, supported := c.nextLevel(view)
		if !supported || view.Version != nil {
			return
		}
		c.raiseTo(ctx, next)
		if c.opts.Replica.View().Level < next {
			return // retried in the next step
		}
	}
}

const (
	// votersListedTimeout is how long the first fleet file waits until the voters are listed. It
	// may arrive within moments of the start of all boxes. If it were accepted before their builds
	// are known, the cluster would stay below the level that all support for as long as an upgrade
	// settles.
	votersListedTimeout = 1500 * time.Millisecond
	// votersListedPoll is the interval of the checks.
	votersListedPoll = 20 * time.Millisecond
)

func (c *Controller) awaitVotersListed(ctx context.Context) {
	for began := time.Now(); time.Since(began) < votersListedTimeout; {
		view := c.opts.Replica.View()
		if view.Version != nil || votersListed(view, c.opts.Replica.Status().Voters) || !wait.For(ctx, votersListedPoll) {
			return
		}
	}
}

// votersListed reports whether all voters are on the committed list with their current incarnation.
func votersListed(view *state.State, voters []string) bool {
	for _, id := range voters {
		if m := view.Members[wire.BoxOf(id)]; m == nil || state.MemberID(m) != id {
			return false
		}
	}
	return len(view.Members) > 0
}

// nextLevel returns the level after the current one and whether all boxes support it.
func (c *Controller) nextLevel(view *state.State) (level.Level, bool) {
	next := view.Level + 1
	return next, next <= level.Newest && allSupport(view, c.opts.Replica.Status().Voters, next)
}

// raiseTo commits a level. Committing the same level twice changes nothing, and an error is retried
// in the next step.
func (c *Controller) raiseTo(ctx context.Context, next level.Level) {
	raise := &wire.RaiseLevel{Level: uint32(next)}
	if next >= level.VersionHistory {
		raise.Durable = c.opts.Replica.View().VotersHaveDisks(c.opts.Replica.Status().Voters)
	}
	if _, err := c.propose(ctx, &wire.Command{Kind: &wire.Command_Raise{Raise: raise}}); err == nil {
		event.LevelRaised.Log(c.opts.Log, zap.Stringer("to", next))
	}
}

// allSupport reports whether the builds of all listed boxes and of all voters support a level.
func allSupport(view *state.State, voters []string, l level.Level) bool {
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
