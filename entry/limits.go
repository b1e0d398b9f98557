package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"leverdrum/dialect"
	"leverdrum/proxy"
	"leverdrum/rate"
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

// enter takes a place at a backend whose limit bears the sending. One that does not is passed over.
func (e *Entry) enter(ctx context.Context, j *job) (*route.Backend, *reason.Reason) {
	for {
		b, why := e.gate.Enter(ctx, j.ticket)
		if why == reason.NoServer && e.allFull(j) {
			return nil, reason.ServersLimited
		}
		if why != nil {
			return nil, why
		}
		charge, refusal := e.opts.Throttle.Take(ctx, b.Name, j.ticket.Rank)
		if refusal == nil {
			j.borne = charge
			return b, nil
		}
		e.gate.Leave(b, j.ticket, 0)
		j.bearsAfter = refusal.After
		if ctx.Err() != nil {
			return nil, reason.ServersLimited
		}
	}
}

// allFull reports whether the limits of some backends are what keeps the request from running.
func (e *Entry) allFull(j *job) (full bool) {
	for _, b := range j.target.Backends {
		left, is := e.opts.Directory.Full(b, j.ticket.Rank)
		if is && (!full || left < j.bearsAfter) {
			j.bearsAfter, full = left, true
		}
	}
	return full
}

// refusedFor is a refusal before anything was sent. Callers that one limit refuses come back apart from each other.
func refusedFor(j *job, why *reason.Reason) result {
	if why != reason.ServersLimited {
		return result{why: why}
	}
	return result{why: why, after: j.bearsAfter + time.Duration(rand.Int64N(int64(time.Second)))}
}

// observe records what an answer says of its backend, and gives back what did not leave.
func (e *Entry) observe(j *job, b *route.Backend, answer *proxy.Answer, failure *proxy.Failure) {
	switch {
	case answer != nil:
		said := dialect.Own.ReadReport(answer.Status, answer.Header, time.Now())
		said.Own = true
		e.opts.Pushback.Observe(b.Name, j.id, said)
	case failure.Header != nil:
		said := dialect.Own.ReadReport(failure.Status, failure.Header, time.Now())
		said.Own = false
		e.opts.Pushback.Observe(b.Name, j.id, said)
	}
	if failure != nil && failure.Reason == reason.NotReached {
		j.borne.Release()
	}
	j.borne = rate.Charge{}
}
