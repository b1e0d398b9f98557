package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"leverdrum/dialect"
	"leverdrum/proxy"
	"leverdrum/pushback"
	"leverdrum/reason"
	"leverdrum/route"
	"leverdrum/workspace"
)

// classRanks is how many steps of priority of a class are told apart where servers' limits are scarce, below
// the urgency of a workspace.
const classRanks = 4

// rankOf is the urgency of a request, 0 the highest: its workspace's, then its class's.
func rankOf(owner *workspace.Workspace, t *route.Target) int {
	class := min(max(classRanks-1-t.Class.Priority, 0), classRanks-1)
	return urgencyOf(owner)*classRanks + class
}

// enter takes a place at a backend that takes the attempt now. One at its limit, or at rest, is skipped.
func (e *Entry) enter(ctx context.Context, j *job) (*route.Backend, *reason.Reason) {
	for {
		b, why := e.gate.Acquire(ctx, j.ticket)
		if why == reason.NoServer {
			return nil, e.blockedBy(j)
		}
		if why != nil {
			return nil, why
		}
		permit, block := e.opts.Pushback.Acquire(ctx, b.Name, j.ticket.Rank)
		if block == nil {
			j.permit = permit
			return b, nil
		}
		e.gate.Release(b, j.ticket, 0)
		j.takenAfter = block.RetryAfter
		if ctx.Err() != nil {
			return nil, block.Reason
		}
	}
}

// blockedBy says why no backend takes the request: where some are at their limits or rest, what ends first of that.
func (e *Entry) blockedBy(j *job) *reason.Reason {
	why := reason.NoServer
	for _, b := range j.target.Backends {
		block, blocked := e.opts.Directory.Blocked(b, j.ticket.Rank)
		if blocked && (why == reason.NoServer || block.RetryAfter < j.takenAfter) {
			why, j.takenAfter = block.Reason, block.RetryAfter
		}
	}
	return why
}

// refusedFor is a refusal before anything was sent. Callers that one limit or rest refuses come back apart from each other.
func refusedFor(j *job, why *reason.Reason) result {
	if why != reason.ServersLimited && why != reason.ServersInBackoff {
		return result{why: why}
	}
	return result{why: why, after: j.takenAfter + time.Duration(rand.Int64N(int64(time.Second)))}
}

// observe records what an answer says of its backend, and gives back the permit of an attempt that was not sent. It reports
// whether the backend asked for rest: that is no failure.
func (e *Entry) observe(j *job, b *route.Backend, answer *proxy.Response, failure *proxy.Failure) (rests bool) {
	switch {
	case answer != nil:
		said := dialect.Native.ReadReport(answer.Status, answer.Header, time.Now())
		said.FromServer = true
		e.opts.Pushback.Observe(b.Name, j.id, said)
		rests = said.Backoff > 0
	case failure.Header != nil:
		said := dialect.Native.ReadReport(failure.Status, failure.Header, time.Now())
		said.FromServer = false
		e.opts.Pushback.Observe(b.Name, j.id, said)
		rests = said.Backoff > 0
	}
	if failure != nil && (failure.Reason == reason.BackendUnreachable || failure.Reason == reason.ServersInBackoff) {
		j.permit.Release()
	}
	j.permit = pushback.Permit{}
	return rests || failure != nil && failure.Reason == reason.ServersInBackoff
}
