package box

import (
	"context"
	"errors"
	"time"

	"leverdrum/internal/wait"
	"leverdrum/peer"
	"leverdrum/reason"
	"leverdrum/replica"
	"leverdrum/state"
	"leverdrum/wire"
)

const (
	// forwardTimeout bounds one call to another box that no operator waits for.
	forwardTimeout = 2 * time.Second
	// forwardPause is the delay before the leader is determined again.
	forwardPause = 50 * time.Millisecond
)

// forwarder passes calls on to the leader. It implements admin.Cluster.
type forwarder struct {
	box        *Box
	components *components
}

// Forward retries a call until the leader executes it or the context ends. All calls
// may be retried: a file's number and digest determine the outcome of an earlier attempt.
func (f *forwarder) Forward(ctx context.Context, call *wire.Forward) (*wire.ForwardAnswer, *reason.Reason) {
	mayHaveApplied := false
	for ctx.Err() == nil {
		answer, err := f.forwardOnce(ctx, call)
		if err == nil && answer.Code == "" {
			return answer, nil
		}
		// A refusal is reliable only if no earlier attempt may have been accepted.
		if why := reason.ByCode(answer.GetCode()); why != nil && why.Outcome == reason.NotRun && !mayHaveApplied {
			return nil, why
		}
		mayHaveApplied = mayHaveApplied || mayHaveRun(err)
		wait.For(ctx, forwardPause)
	}
	if mayHaveApplied && call.Kind == wire.ForwardKind_FORWARD_APPLY {
		return nil, reason.ApplyUnknown
	}
	return nil, reason.NoLeader
}

// mayHaveRun reports whether a failed call may have been executed.
func mayHaveRun(err error) bool {
	var refused *peer.RefusedError
	if errors.As(err, &refused) || errors.Is(err, replica.ErrNotLeader) || errors.Is(err, errNoLeader) {
		return false
	}
	return true
}

var errNoLeader = errors.New("leader is unknown")

func (f *forwarder) forwardOnce(ctx context.Context, call *wire.Forward) (*wire.ForwardAnswer, error) {
	leader := f.components.spread.Leader()
	if leader == "" {
		return nil, errNoLeader
	}
	if leader == f.components.replica.ID() {
		return executeAsLeader(ctx, f.components, call)
	}
	response, err := f.box.pool.Call(ctx, wire.BoxOf(leader), &wire.Request{Kind: &wire.Request_Forward{Forward: withPackedFile(call)}})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if response.GetForward() == nil {
		return nil, Error.New("leader returned an unexpected response type")
	}
	return response.GetForward(), nil
}

// withPackedFile returns a call with its file compressed for sending to another box: a file that
// the operator sends repeatedly must not occupy a slow link each time.
func withPackedFile(call *wire.Forward) *wire.Forward {
	if call.Apply.GetText() == "" {
		return call
	}
	return &wire.Forward{Kind: call.Kind, DeadlineMs: call.DeadlineMs, Apply: state.PackFile(call.Apply, nil)}
}
