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
	// minLimitInterval is the minimum time between two changes of one server's limit. A server that
	// names a different limit in each answer then costs at most two log entries a second.
	minLimitInterval = 500 * time.Millisecond
	// maxTrackedLimits bounds the servers whose last change is remembered.
	maxTrackedLimits = 4096
)

// noteLimits commits the server limits that a box reports. A limit that is skipped is reported
// again with the next answer that differs from the committed one.
func (c *Controller) noteLimits(ctx context.Context, reports []*wire.ServerLimit) {
	for _, l := range reports {
		if !c.acceptLimitChange(c.opts.Replica.View(), l, time.Now()) {
			continue
		}
		limit := &wire.ServerLimit{Server: l.Server, Milli: l.Milli}
		if _, err := c.propose(ctx, &wire.Command{Kind: &wire.Command_Limit{Limit: limit}}); err != nil {
			continue // reported again
		}
		event.LimitCommitted.Log(c.opts.Log, zap.String("server", l.Server), zap.Float64("limit", dialect.Limit(l.Milli).PerSecond()))
	}
}

// acceptLimitChange reports whether a server's limit must be committed again.
func (c *Controller) acceptLimitChange(view *state.State, l *wire.ServerLimit, now time.Time) bool {
	if view.Level < level.ServerLimits || !view.KnowsServer(l.Server) || dialect.Limit(l.Milli) == view.LimitOf(l.Server) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.limitChangedAt[l.Server]) < minLimitInterval {
		return false
	}
	if len(c.limitChangedAt) >= maxTrackedLimits {
		clear(c.limitChangedAt)
	}
	c.limitChangedAt[l.Server] = now
	return true
}
