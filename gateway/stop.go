package gateway

import (
	"context"
	"time"

	"leverdrum/fleet"
	"leverdrum/meter"
	"leverdrum/reason"
	"leverdrum/shutdown"
)

// outlastsStop reports whether the request must not be sent to a server, since the box is stopping and it may not end in time.
func (j *job) outlastsStop() bool {
	plan := j.g.opts.Shutdown
	if !plan.Begun() {
		return false
	}
	streaming := j.route.Kind == fleet.Streaming
	return !plan.Admits(shutdown.Request{
		Route: j.route.Name, Deadline: j.deadline, Resumable: streaming && j.route.Resumable, AtMostOnce: !streaming && !j.route.Repeatable(),
	}, time.Now())
}

// interrupted reports whether the request was ended because the box is about to end.
func (j *job) interrupted(ctx context.Context) bool {
	return j.g.opts.Shutdown.Interrupted(ctx, j.r.Context())
}

// endInterrupted ends a request that the stop interrupted. It says nothing about the server.
func (j *job) endInterrupted(f *failure) {
	j.lastFailure = f
	if f.outcome != reason.NotRun {
		j.possibleRuns++
	}
	refusal := reason.StopUnanswered
	switch {
	case j.headSent:
		j.g.opts.Meters.Count(meter.Interrupted, "broken").Inc()
	case j.possibleRuns == 0:
		refusal = reason.Stopping
	default:
		j.g.opts.Meters.Count(meter.Interrupted, "answered").Inc()
	}
	j.giveUp(refusal)
}
