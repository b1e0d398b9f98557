package control

import (
	"context"
	"time"

	"go.uber.org/zap"

	"leverdrum/dialect"
	"leverdrum/event"
	"leverdrum/level"
	"leverdrum/state"
	"leverdrum/wire"
)

const (
	// limitEvery is the least time between two changes of one server's limit, so that one that names another in each
	// answer costs two entries a second at the most.
	limitEvery = 500 * time.Millisecond
	// limitsKept bounds the servers whose last change is remembered.
	limitsKept = 4096
)

// noteLimits has agreed what a box was told of servers' limits. What is passed over is told again with the next
// answer that differs from what is agreed.
func (c *Controller) noteLimits(ctx context.Context, told []*wire.ServerLimit) {
	for _, l := range told {
		if !c.newLimit(c.opts.Replica.View(), l, time.Now()) {
			continue
		}
		limit := &wire.ServerLimit{Server: l.Server, Milli: l.Milli}
		if _, err := c.propose(ctx, &wire.Command{Kind: &wire.Command_Limit{Limit: limit}}); err != nil {
			continue // told again
		}
		event.LimitAgreed.Log(c.opts.Log, zap.String("server", l.Server), zap.Float64("limit", dialect.Limit(l.Milli).PerSecond()))
	}
}

// newLimit reports whether a server's limit is to be agreed anew.
func (c *Controller) newLimit(view *state.State, l *wire.ServerLimit, now time.Time) bool {
	if view.Level < level.ServerLimits || !view.KnowsServer(l.Server) || dialect.Limit(l.Milli) == view.LimitOf(l.Server) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.limitedAt[l.Server]) < limitEvery {
		return false
	}
	if len(c.limitedAt) >= limitsKept {
		clear(c.limitedAt)
	}
	c.limitedAt[l.Server] = now
	return true
}
