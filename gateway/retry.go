package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"syscall"
	"time"

	"go.uber.org/zap"

	"leverdrum/event"
	"leverdrum/internal/attest"
	"leverdrum/meter"
	"leverdrum/reason"
)

// extraNotRunAttempts is the number of further attempts for a request that no server has run.
const extraNotRunAttempts = 2

// checkResponse returns a failure for a response that must not be forwarded.
func (j *job) checkResponse(a *response) *failure {
	switch {
	case a.proof == attest.NotRun:
		return notRun(reason.BackendRefused, Error.New("the server answered %d, not run", a.StatusCode))
	case a.proof == attest.Run, j.mayForwardUnproven(a):
		return nil
	case a.StatusCode == http.StatusMisdirectedRequest && j.route.Repeatable():
		return notRun(reason.BackendRefused, Error.New("the server answered %d", a.StatusCode))
	}
	a.tainted = true
	if a.Header.Get(j.g.headers.NotRun) == "" {
		j.recordResponse(a, false) // a failure of its own, unlike a refusal that may be another attempt's
	}
	return unproven(Error.New("the server's response with status %d does not prove whether it ran the request", a.StatusCode))
}

// mayForwardUnproven reports whether a status that promises to callers that their request has not run may be forwarded although
// the server promises nothing: its caller may repeat the request whether or not it has run.
func (j *job) mayForwardUnproven(a *response) bool {
	return j.route.Repeatable() && attest.Promises(a.StatusCode) && a.StatusCode != http.StatusMisdirectedRequest && a.Header.Get(j.g.headers.NotRun) == ""
}

// recordMisdirected records why a server rejected the request as misdirected: the address belongs
// to another server, or the server does not have the model or the adapter.
func (j *job) recordMisdirected(s *server, a *response) {
	id := a.Header.Get(j.g.opts.Dialect.ServerID)
	if id != "" && id != s.name || j.prompt.Model == "" {
		s.setReplaced()
		return
	}
	s.recordMissing(itemOf(j.prompt), time.Now())
}

// retryServerError discards a server's error response for a retry at another server, where the
// request may be repeated (4).
func (j *job) retryServerError(s *server, a *response) bool {
	if a.StatusCode < http.StatusInternalServerError || j.headSent || !j.route.Repeatable() {
		return false
	}
	j.load.stop()
	f := &failure{outcome: reason.Failed, reason: reason.BackendFailed, cause: Error.New("the server answered %d", a.StatusCode)}
	j.possibleRuns++
	s.recordFailure(time.Now())
	if _, blocked := j.candidatesBlocked(); blocked || !j.mayRetry(f) {
		return false
	}
	j.lastFailure = f
	j.recordRetry(f)
	return true
}

// handleFailure decides what follows a failed attempt: a retry or the end of the request.
func (j *job) handleFailure(ctx context.Context, s *server, f *failure) (answered bool) {
	if j.load.stop() && f.outcome == reason.Unknown {
		f = j.load.failureOfMove()
	}
	if j.interrupted(ctx) {
		j.endInterrupted(f)
		return true
	}
	j.lastFailure = f
	ownLinks := j.failedOnOwnLinks(f)
	if !f.moved && !f.endUnknown && !f.unproven && !ownLinks {
		j.recordBroken(s, f)
		j.recordBrokenOutcome(s, f)
	}
	if f.outcome != reason.NotRun {
		j.possibleRuns++
	}
	if j.r.Context().Err() != nil {
		return j.abandon()
	}
	switch {
	case errors.Is(f.cause, ErrBlocked):
		j.giveUp(j.blockReason())
		return true
	case f.noPath && j.g.links.isolated():
		j.g.logNoPath()
		j.giveUp(f.reason)
		return true
	case f.noPath: // the server is down as far as this box knows, and its model may be loaded elsewhere
		s.setRelayFailed(time.Now())
	case ownLinks:
		j.tried = slices.DeleteFunc(j.tried, func(t *server) bool { return t == s }) // the next attempt takes another path
		if f.unsent() {
			j.attempts--
		}
	case f.unresponsive:
		s.eject(time.Now())
	case f.dialFailed && f.relayed:
		s.eject(time.Now())
		s.setRelayFailed(time.Now())
	case f.dialFailed:
		s.ejectUnreachable(time.Now())
		j.g.reportDown(s, f)
	case f.outcome != reason.NotRun && !f.moved && !f.endUnknown:
		s.recordFailure(time.Now())
	}
	if refusal, blocked := j.candidatesBlocked(); blocked && !j.headSent && f.outcome == reason.NotRun {
		j.giveUp(refusal)
		return true
	}
	if ctx.Err() == nil && j.mayRetry(f) {
		j.recordRetry(f)
		return false
	}
	if ctx.Err() != nil && f.outcome != reason.NotRun {
		j.giveUp(reason.BackendTimeout)
		return true
	}
	j.giveUp(f.reason)
	return true
}

// reportDown notifies the leader of a server to which no connection can be opened, unless other
// connections show that it is up.
func (g *Gateway) reportDown(s *server, f *failure) {
	now := time.Now()
	g.opts.Pushback.RecordUnreachable(s.id)
	switch refused := errors.Is(f.cause, syscall.ECONNREFUSED); {
	case refused && s.setDown(now):
		g.links.vouch(func() { g.notices.send(Notice{RefusingServer: s.id}) })
	case !refused && s.setUnreachable(now):
		g.links.vouch(func() { g.notices.send(Notice{UnreachableServer: s.id}) })
	}
}

// failedOnOwnLinks reports whether an attempt failed because of this box's links, or a relaying box, so that it says nothing
// about the server.
func (j *job) failedOnOwnLinks(f *failure) bool {
	return f.relayLost || f.noPath && j.g.links.isolated() || errors.Is(f.cause, errRelayLost) || !f.relayed && j.relayedBy == "" && f.outcome != reason.Failed && j.g.links.isolated()
}

// abortCheck returns a function that reports whether an exchange with an unresponsive server may
// be aborted now. It returns nil for a request that may not be repeated, whose exchange is never
// aborted. Where part of the response was forwarded, by this exchange or an earlier one, the
// stream must be able to resume at another server with a further attempt; otherwise the caller
// would lose what the unresponsive server may still send. The retry is taken from the budget
// before the exchange is aborted: without a retry, waiting for the unresponsive server is the
// better choice.
func (j *job) abortCheck(current *server) func() bool {
	if !j.route.Repeatable() {
		return nil
	}
	last := j.possibleRuns+1 >= j.route.MaxAttempts
	return func() bool {
		if last {
			return !j.responseStarted.Load()
		}
		if j.responseStarted.Load() {
			list, refusal := j.candidates()
			others := slices.DeleteFunc(slices.Clone(list), func(s *server) bool { return s == current })
			if refusal != nil || j.g.stopped() || !j.g.dir.anyUp(others) {
				return false
			}
		}
		if !j.g.budgets.takeRetry(j.poolName) {
			return false
		}
		j.retryGranted.Store(true)
		return true
	}
}

// mayRetry reports whether a request may be retried after a failed attempt: whether time is left, the
// route permits it (2), and the request is not a likely crasher. It takes the retry from the budget
// (8) unless the attempt was never sent.
func (j *job) mayRetry(f *failure) bool {
	switch {
	case j.remaining() < minRemaining:
		return false
	case j.prompt.Model != "" && f.unsent():
		return true // the model may soon be resident elsewhere
	case !j.headSent && j.outlastsStop():
		return false
	case f.outcome == reason.NotRun:
		if j.attempts >= j.route.MaxAttempts+extraNotRunAttempts {
			return false
		}
	case !j.route.Repeatable(), j.possibleRuns >= j.route.MaxAttempts:
		return false
	case j.brokenAttempts > 0 && j.likelyCrasher(j.current):
		return false
	}
	if f.unsent() {
		return true
	}
	if j.retryGranted.Swap(false) || j.g.budgets.takeRetry(j.poolName) {
		return true
	}
	j.g.opts.Meters.Count(meter.RetriesDenied).Inc()
	return false
}

// recordRetry counts a retry and logs it.
func (j *job) recordRetry(f *failure) {
	retryReason := reason.RetryDisconnected
	switch {
	case f.moved:
		retryReason = reason.RetryMoved
	case j.headSent:
		retryReason = reason.RetryInterrupted
	case f.dialFailed:
		retryReason = reason.RetryUnreachable
	case !j.g.opts.Pushback.Sendable(j.current.id):
		retryReason = reason.RetryBackoff
	case f.outcome == reason.NotRun:
		retryReason = reason.RetryRefused
	case f.outcome == reason.Failed:
		retryReason = reason.RetryFailed
	}
	j.g.opts.Meters.CountRetry(retryReason)
	event.RequestRetried.Log(j.g.opts.Log,
		zap.String("request", j.id), zap.String("route", j.route.Name), zap.String("outcome", f.reason.Code), zap.String("why", retryReason.Code),
		zap.Int("sends", j.attempts), zap.Int("runs", j.possibleRuns), zap.String("server", j.current.id), zap.String("version", j.current.version), event.ErrorField(f.cause), zap.Duration("left", j.remaining()), j.fingerprintField(f))
}

// fingerprintField adds the request's fingerprint to log lines of attempts that may have run, so
// that the attempts of one request can be correlated.
func (j *job) fingerprintField(f *failure) zap.Field {
	if f == nil || f.outcome == reason.NotRun {
		return zap.Skip()
	}
	return zap.Stringer("print", j.print())
}
