package control

import (
	"context"
	"errors"

	"go.uber.org/zap"

	"leverdrum/event"
	"leverdrum/level"
	"leverdrum/replica"
	"leverdrum/wire"
)

// ErrLevelTooLow is returned if the build of some box does not support the call yet.
var ErrLevelTooLow = errors.New("not all boxes support this call yet")

// Evacuate commits that nothing is sent to the servers of a data hall, or that this ends. It may be
// repeated.
func (c *Controller) Evacuate(ctx context.Context, e *wire.EvacuateHall) error {
	if !c.leads() {
		return replica.ErrNotLeader
	}
	if c.opts.Replica.View().Level < level.Evacuations {
		return ErrLevelTooLow
	}
	cmd := &wire.EvacuateHall{Hall: e.Hall, Undo: e.Undo}
	if _, err := c.opts.Replica.Propose(ctx, &wire.Command{Kind: &wire.Command_Evacuate{Evacuate: cmd}}); err != nil {
		return err
	}
	event.HallEvacuated.Log(c.opts.Log, zap.String("hall", e.Hall), zap.Bool("undo", e.Undo))
	return nil
}
