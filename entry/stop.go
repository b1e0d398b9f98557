package entry

import (
	"context"
	"errors"
	"time"

	"leverdrum/meter"
	"leverdrum/reason"
	"leverdrum/route"
	"leverdrum/shutdown"
)

// outlastsStop reports whether a request must not be sent to a server, since the box is stopping and it may not end in time. A caller
// cannot resume a stream of this interface.
func (e *Entry) outlastsStop(j *job) bool {
	return !e.opts.Shutdown.Admits(shutdown.Request{Route: j.target.Name, Deadline: j.deadline(), AtMostOnce: !j.repeatable}, time.Now())
}

// stopReason returns why a request is refused during a planned stop; nil if it is not.
func (e *Entry) stopReason(j *job) *reason.Reason {
	switch {
	case e.stopped.Err() != nil:
		return reason.Stopping
	case e.outlastsStop(j):
		return reason.OutlastsStop
	}
	return nil
}

// acquireUnlessStopping is acquireBackend for a request that is refused if the box stops before its first attempt.
func (e *Entry) acquireUnlessStopping(ctx context.Context, j *job) (*route.Backend, *reason.Reason) {
	if j.attempts > 0 {
		return e.acquireBackend(ctx, j)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(e.stopped, cancel)()
	b, why := e.acquireBackend(ctx, j)
	refusal := e.stopReason(j)
	if refusal == nil {
		return b, why
	}
	if why == nil {
		j.permit.Release()
		e.admission.Release(b, j.admission, 0)
	}
	return nil, refusal
}

// endInterrupted returns the result of a request that ended without a response, in place of the failure by which the stop showed.
func (e *Entry) endInterrupted(ctx context.Context, res result) result {
	if res.why == nil || res.why.Outcome == reason.NotRun || !e.opts.Shutdown.Ended() || !errors.Is(ctx.Err(), context.Canceled) {
		return res
	}
	e.opts.Meters.Count(meter.Interrupted, "answered").Inc()
	return result{why: reason.StopUnanswered, backend: res.backend}
}
