package gateway

import (
	"math/rand/v2"
	"net/http"
	"time"

	"go.uber.org/zap"

	"leverdrum/event"
	"leverdrum/reason"
)

const (
	// retryAfterShare is the default Retry-After as a share of the route's target.
	retryAfterShare = 0.25
	// modelRetryAfter is the Retry-After for a model that is being loaded.
	modelRetryAfter = 1500 * time.Millisecond
	// minBackoffJitter and maxBackoffJitter bound the time over which the retries of callers
	// refused by one backoff are spread.
	minBackoffJitter = 100 * time.Millisecond
	maxBackoffJitter = time.Second
)

// backoffJitter returns how much later than the end of a backoff a caller should retry, so that
// callers do not all return at once.
func backoffJitter(after time.Duration) time.Duration {
	longest := min(max(after, minBackoffJitter), maxBackoffJitter)
	return time.Duration(rand.Float64() * float64(longest))
}

// giveUp ends the request without a server's response (3).
func (j *job) giveUp(refusal *reason.Reason) {
	if j.r.Context().Err() != nil {
		j.abandon()
		return
	}
	j.logFailure(refusal.Code, j.lastFailure)
	if j.headSent {
		panic(http.ErrAbortHandler) // closes the caller's connection
	}
	if j.possibleRuns > 0 && refusal.Outcome == reason.NotRun {
		refusal = reason.BackendDisconnected
		if j.remaining() < minRemaining {
			refusal = reason.BackendTimeout
		}
	}
	if refusal.Status == 0 {
		refusal = reason.BackendDisconnected
	}
	j.g.refuse(j.w, j.id, refusal, j.retryAfterFor(refusal))
}

// abandon ends a request whose caller has disconnected. A response that has begun is aborted, and so is the connection without
// one (ServeHTTP): a caller that closed only its writing side still reads.
func (j *job) abandon() (answered bool) {
	j.logFailure("caller-gone", j.lastFailure)
	if j.headSent {
		panic(http.ErrAbortHandler)
	}
	return true
}

// retryAfterFor returns when the caller should retry.
func (j *job) retryAfterFor(refusal *reason.Reason) time.Duration {
	soon := time.Duration(retryAfterShare * float64(j.route.LatencyTarget))
	switch refusal {
	case reason.Overloaded:
		if after := j.admission.decision.RetryAfter; after > 0 {
			return after
		}
		return max(soon, duration(j.queueDelay))
	case reason.OverQuota, reason.QuotaUnknown:
		return max(soon, duration(j.queueDelay))
	case reason.ServersLimited, reason.ServersFull:
		return max(soon, withJitter(j.retryAfter))
	case reason.CrashSuspected:
		return withJitter(refusal.RetryAfter)
	case reason.ServersInBackoff:
		return min(j.retryAfter+backoffJitter(j.retryAfter), j.remaining())
	case reason.NotResident, reason.VersionNotResident, reason.BackendRefused:
		return j.retryAfterForModel(refusal, soon)
	}
	return soon
}

// logDone logs a request that was answered.
func (j *job) logDone() {
	if !j.headSent || !j.g.opts.Log.Core().Enabled(event.RequestDone.Level) {
		return
	}
	event.RequestDone.Log(j.g.opts.Log, j.answerFields()...)
}

// answerFields returns the log fields of a request that was answered.
func (j *job) answerFields() []zap.Field {
	s := j.current
	fields := []zap.Field{
		zap.String("request", j.id), zap.String("route", j.route.Name), zap.Int("sends", j.attempts), zap.String("server", s.id),
		zap.String("model", j.prompt.Model), zap.String("adapter", j.prompt.Adapter), zap.Int("tokens", j.prompt.Tokens),
		zap.Duration("aim", j.route.LatencyTarget), zap.Duration("pause", j.route.EventGapTarget), zap.Int("status", j.status),
		zap.Duration("waited", j.queueTime), zap.Duration("sent", j.sentAfter), zap.Duration("first", j.firstEventAfter), zap.Duration("longest", j.longestPause),
		zap.Duration("after", time.Since(j.arrived)), zap.Float64("reckoned", j.estimatedPrefill), zap.Float64("behind", j.queueDelay), zap.Int("beside", j.concurrent),
		zap.Int("rank", j.rank()), zap.Stringer("end", j.end),
	}
	if j.owner != nil {
		fields = append(fields, zap.String("workspace", j.owner.Name))
	}
	fields = append(fields, j.resumeFields()...)
	return append(fields, j.relayFields()...)
}

// resumeFields returns the log fields of a request that resumes a stream: the request that began it, if it is known, and the
// software version that may continue it.
func (j *job) resumeFields() []zap.Field {
	if j.r.Header.Get(j.g.opts.Dialect.LastEvent) == "" {
		return nil
	}
	return []zap.Field{zap.String("resumes", j.resumes), zap.String("began", j.pinnedVersion), zap.String("known_by", string(j.originSource))}
}

// logFailure logs why a request was not answered.
func (j *job) logFailure(outcome string, f *failure) {
	fields := []zap.Field{
		zap.String("request", j.id), zap.String("route", j.route.Name), zap.String("outcome", outcome), zap.Uint64("number", j.number),
		zap.Int("sends", j.attempts), zap.Duration("after", time.Since(j.arrived)), zap.Duration("left", j.remaining()),
		zap.Duration("aim", j.route.LatencyTarget), zap.Duration("waited", j.queueTime), zap.Duration("sent", j.sentAfter), zap.Duration("first", j.firstEventAfter), zap.Duration("longest", j.longestPause),
	}
	if j.prompt.Model != "" {
		fields = append(fields, zap.String("model", j.prompt.Model), zap.String("adapter", j.prompt.Adapter))
	}
	fields = append(fields, j.resumeFields()...)
	fields = append(fields, j.quotaFields()...)
	fields = append(fields, j.admissionFields()...)
	fields = append(fields, j.blockFields(outcome)...)
	if n := len(j.tried); n > 0 {
		fields = append(fields, zap.String("server", j.tried[n-1].id))
	}
	fields = append(fields, j.relayFields()...)
	if f != nil {
		fields = append(fields, zap.String("last", f.reason.Code), event.ErrorField(f.cause), j.fingerprintField(f))
	}
	fields = append(fields, j.suspectFields(outcome, f)...)
	event.RequestFailed.Log(j.g.opts.Log, fields...)
}
