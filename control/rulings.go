package control

import (
	"context"
	"errors"

	"go.uber.org/zap"

	"leverdrum/crasher"
	"leverdrum/event"
	"leverdrum/level"
	"leverdrum/replica"
	"leverdrum/wire"
)

// ErrRulingRejected is returned if a ruling names no suspect, or there are too many rulings.
var ErrRulingRejected = errors.New("the ruling names no suspect, or there are too many rulings")

// RuleSuspect commits operators' ruling on a suspect. It may be repeated.
func (c *Controller) RuleSuspect(ctx context.Context, r *wire.SuspectRuling) error {
	if !c.leads() {
		return replica.ErrNotLeader
	}
	if c.opts.Replica.View().Level < level.PromptParts {
		return ErrLevelTooLow
	}
	result, err := c.opts.Replica.Propose(ctx, &wire.Command{Kind: &wire.Command_Rule{Rule: r}})
	if err != nil {
		return err
	}
	if !result.Ruled {
		return ErrRulingRejected
	}
	p, _ := crasher.ParseFingerprint(r.Print) // none of a prompt part
	event.SuspectRuled.Log(c.opts.Log, zap.Stringer("print", p), partField(&wire.Suspect{Service: r.Service, Part: r.Part}), zap.String("version", r.Version), zap.Stringer("ruling", r.Ruling))
	return nil
}
