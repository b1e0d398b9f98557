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

// priorityLevels is the number of class priorities that are distinguished, below the workspace's
// urgency, when servers are at their limits.
const priorityLevels = 4

// rankOf returns the rank of a request, 0 the most urgent. The workspace's urgency counts first, then
// the class's priority.
func rankOf(owner *workspace.Workspace, t *route.Target) int {
	class := min(max(priorityLevels-1-t.Class.Priority, 0), priorityLevels-1)
	return urgencyOf(owner)*priorityLevels + class
}

// acquireBackend acquires a slot at a backend that accepts the attempt now. Backends at their limit or
// in backoff are skipped.
func (e *Entry) acquireBackend(ctx context.Context, j *job) (*route.Backend, *reason.Reason) {
	for retried := false; ; {
		b, why := e.admission.Acquire(ctx, j.admission)
		if why == reason.NoServer {
			why = e.blockReason(j)
			if why == reason.NoServer && !retried { // a limit or backoff may have ended since
				retried = true
				continue
			}
			return nil, why
		}
		if why != nil {
			return nil, why
		}
		permit, block := e.opts.Pushback.Acquire(ctx, b.Name, j.admission.Rank)
		if block == nil && e.blocked(j) { // while it waited
			permit.Release()
			e.admission.Release(b, j.admission, 0)
			return nil, e.crashReason(j)
		}
		if block == nil {
			j.permit = permit
			return b, nil
		}
		e.admission.Release(b, j.admission, 0)
		j.retryAfter = block.RetryAfter
		if ctx.Err() != nil {
			return nil, block.Reason
		}
	}
}

// blockReason returns why no backend accepts the request. If some are at their limits or in backoff,
// it returns the reason that ends first.
func (e *Entry) blockReason(j *job) *reason.Reason {
	why := reason.NoServer
	for _, b := range j.target.Backends {
		block, blocked := e.opts.Directory.Blocked(b, j.admission.Rank)
		if blocked && (why == reason.NoServer || block.RetryAfter < j.retryAfter) {
			why, j.retryAfter = block.Reason, block.RetryAfter
		}
	}
	return why
}

// newRefusal returns the result of a request refused before any attempt. Retry delays due to a limit
// or backoff are spread at random, so that callers do not return at the same time.
func newRefusal(j *job, why *reason.Reason) result {
	if why != reason.ServersLimited && why != reason.ServersInBackoff {
		return result{why: why}
	}
	return result{why: why, retryAfter: j.retryAfter + time.Duration(rand.Int64N(int64(time.Second)))}
}

// observe records what a response reports about its backend, and releases the permit of an attempt
// that was not sent. It reports whether the backend asked for a backoff, which does not count as a
// failure.
func (e *Entry) observe(j *job, b *route.Backend, response *proxy.Response, failure *proxy.Failure) (backoff bool) {
	switch {
	case response != nil:
		report := dialect.Native.ReadReport(response.Status, response.Header, time.Now())
		report.FromServer = true
		e.opts.Pushback.Observe(b.Name, j.id, report)
		backoff = report.Backoff > 0
	case failure.Header != nil:
		report := dialect.Native.ReadReport(failure.Status, failure.Header, time.Now())
		report.FromServer = false
		e.opts.Pushback.Observe(b.Name, j.id, report)
		backoff = report.Backoff > 0
	}
	if failure != nil && (failure.Reason == reason.BackendUnreachable || failure.Reason == reason.ServersInBackoff) {
		j.permit.Release()
	}
	j.permit = pushback.Permit{}
	return backoff || failure != nil && failure.Reason == reason.ServersInBackoff
}
