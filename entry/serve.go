package entry

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"leverdrum/admit"
	"leverdrum/crasher"
	"leverdrum/internal/framing"
	"leverdrum/internal/liveness"
	"leverdrum/internal/wait"
	"leverdrum/meter"
	"leverdrum/proxy"
	"leverdrum/pushback"
	"leverdrum/reason"
	"leverdrum/record"
	"leverdrum/route"
	"leverdrum/workspace"
)

// HeaderDeadline tells a backend server how many milliseconds remain.
const HeaderDeadline = "X-Deadline-Ms"

// maxAttempts bounds the attempts of one request.
const maxAttempts = 3

// job is the state of a request being served.
type job struct {
	id             string
	receivedAt     time.Time
	owner          *workspace.Workspace // nil: no workspace
	usage          workspace.Usage
	target         *route.Target
	repeatable     bool
	key            string // of a call that may run at most once; "" if it has none
	attempt        proxy.Attempt
	admission      *admit.Request
	kind           callKind
	stream         bool                // the caller asked for a stream
	session        uint64              // hash of the session, 0 for none
	attempts       int                 // attempts made so far
	firstEventLate bool                // the stream's first event came after its deadline
	fingerprint    crasher.Fingerprint // zero until first needed
	brokenAttempts int                 // attempts whose servers may have terminated
	sentAt         time.Time           // when the newest attempt was sent
	permit         pushback.Permit     // permit of the newest attempt
	retryAfter     time.Duration       // until a backend accepts it, if limits or backoffs refused it
	inBackoff      bool                // the newest attempt's backend asked for a backoff
	firstEventAt   time.Time           // first event of the newest attempt; zero: none yet
	run            *crasher.Run        // the stream in progress; nil: none
	// suspects are backends whose failed responses are not yet counted against them.
	suspects []*route.Backend
	// slow is the backend whose attempt was abandoned as slow; nil if there is none or it may be tried
	// again.
	slow *route.Backend
}

func (j *job) class() string { return j.target.Class.Name }

func (j *job) deadline() time.Time { return j.receivedAt.Add(j.target.Class.Deadline) }

// result is the result of a job: a response, or the reason for its failure. backend is the one whose
// slot is still occupied, nil for none.
type result struct {
	response   *proxy.Response
	backend    *route.Backend
	why        *reason.Reason
	detail     string
	retryAfter time.Duration // retry delay, if it differs from the reason's own
}

// serve sends the request until it has a response or must be abandoned, and answers the caller.
func (e *Entry) serve(w http.ResponseWriter, r *http.Request, j *job) {
	if why := e.stopReason(j); why != nil {
		e.refuseJob(w, j, result{why: why})
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), j.deadline())
	defer cancel()
	defer e.opts.Shutdown.OnEnd(cancel)()
	j.attempt.Memory = e.opts.Responses.Hold("response")
	defer j.attempt.Memory.Release()
	j.admission = &admit.Request{Target: j.target, Caller: callerOf(r, j.owner), Urgency: urgencyOf(j.owner), Deadline: j.deadline(), Criteria: route.Criteria{Rank: rankOf(j.owner, j.target), Session: j.session}}
	if first := j.target.Class.FirstToken; j.stream && first > 0 {
		j.admission.FirstEventDeadline = j.receivedAt.Add(first)
	}
	if j.key != "" {
		e.serveKeyed(w, r, j)
		return
	}
	res := e.tryWithinQuota(ctx, j)
	if res.why == nil {
		e.writeResponse(ctx, w, r, j, res)
		return
	}
	if r.Context().Err() != nil {
		e.finish(j, "caller-gone", "the caller hung up")
		return
	}
	e.refuseJob(w, j, e.endInterrupted(ctx, res))
}

func (e *Entry) refuseJob(w http.ResponseWriter, j *job, res result) {
	e.recordDemand(j.target, 0)
	e.finish(j, string(res.why.Outcome), res.detail)
	e.refuseFor(w, j.id, res.why, res.detail, cmp.Or(res.retryAfter, res.why.RetryAfter))
}

// callerOf returns the caller's name for fair sharing. It is the workspace's name where there is one,
// because a key cannot be forged as a caller's name can.
func callerOf(r *http.Request, owner *workspace.Workspace) string {
	if owner != nil {
		return owner.Name
	}
	if name := r.Header.Get(HeaderCaller); name != "" {
		return name
	}
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	return host
}

// runAttempts makes attempts until one succeeds or no retry is permitted.
func (e *Entry) runAttempts(ctx context.Context, j *job) result {
	e.budget.addRequest()
	last := result{}
	for j.attempts < maxAttempts {
		if e.blocked(j) {
			return last.merge(result{why: e.crashReason(j)})
		}
		b, why := e.acquireUnlessStopping(ctx, j)
		if why != nil && j.retrySlow() {
			continue
		}
		if why != nil && j.attempts > 0 {
			return last // the previous attempt's failure is more informative
		}
		if why != nil {
			return newRefusal(j, why)
		}
		response, failure := e.attempt(ctx, j, b)
		j.admission.Tried = append(j.admission.Tried, b)
		if failure != nil && errors.Is(failure.Cause, errSlow) {
			j.slow = b
		} else if len(j.admission.Tried) >= len(j.target.Backends) {
			j.retrySlow()
		}
		if failure == nil && (!failed(response) || !e.mayRetry(ctx, j, responseFailure(response))) {
			e.recordOutcome(j, b, response)
			return result{response: response, backend: b}
		}
		e.admission.Release(b, j.admission, 0)
		if failure == nil { // returned to the caller if the next attempt yields no response
			if !j.inBackoff {
				j.suspects = append(j.suspects, b)
			}
			last = result{response: response}
			continue
		}
		last = last.merge(result{why: failure.Reason, detail: failure.Cause.Error()})
		if !e.mayRetry(ctx, j, failure) {
			return last
		}
	}
	return last
}

// retrySlow permits one more attempt at a backend that was only slow, when no other is left. It
// reports whether there is such a backend.
func (j *job) retrySlow() bool {
	if j.slow == nil {
		return false
	}
	j.admission.Tried = slices.DeleteFunc(j.admission.Tried, func(b *route.Backend) bool { return b == j.slow })
	j.slow = nil
	return true
}

// merge returns the result to report after one more attempt. An attempt that did not run does not
// replace the result of an earlier one that ran or may have run.
func (r result) merge(next result) result {
	mayHaveRun := r.response != nil || r.why != nil && r.why.Outcome != reason.NotRun
	if mayHaveRun && next.why.Outcome == reason.NotRun {
		return r
	}
	return next
}

// failed reports whether a response shows that the backend failed to serve the request.
func failed(response *proxy.Response) bool {
	switch response.Status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return response.BodyReader == nil
	}
	return false
}

func responseFailure(response *proxy.Response) *proxy.Failure {
	return &proxy.Failure{Outcome: reason.Failed, Reason: reason.BackendFailed, Cause: fmt.Errorf("the backend server responded with status %d", response.Status)}
}

// recordOutcome records a response as success or failure of its backends. A failed response counts
// against its backend unless others failed on the same request, because then the request may be at
// fault.
func (e *Entry) recordOutcome(j *job, b *route.Backend, response *proxy.Response) {
	switch {
	case !failed(response):
		b.RecordSuccess()
		for _, suspect := range j.suspects {
			e.recordBackendFailure(suspect, &proxy.Failure{Outcome: reason.Failed, Reason: reason.BackendFailed, Cause: errOthersSucceeded})
		}
	case len(j.suspects) == 0 && !j.inBackoff:
		e.recordBackendFailure(b, responseFailure(response))
	}
}

var errOthersSucceeded = errors.New("the backend server failed on a request that another one answered")

// mayRetry reports whether a failed attempt is retried. If so, it waits for the retry delay.
func (e *Entry) mayRetry(ctx context.Context, j *job, f *proxy.Failure) bool {
	retry := retryReason(j, f)
	if retry == nil || e.outlastsStop(j) || ctx.Err() != nil || j.attempts == maxAttempts || e.nextReportBlocks(j) || len(j.admission.Tried) >= len(j.target.Backends) {
		return false
	}
	if !e.budget.take() {
		e.opts.Meters.Count(meter.RetriesDenied).Inc()
		return false
	}
	e.opts.Meters.CountRetry(retry)
	return wait.For(ctx, e.budget.jitter(j.attempts-1))
}

// retryReason returns why a failed attempt may be retried, nil if it may not.
func retryReason(j *job, f *proxy.Failure) *reason.Reason {
	switch {
	case f.Reason == reason.BackendUnreachable:
		return reason.RetryUnreachable
	case f.Outcome == reason.NotRun && j.inBackoff:
		return reason.RetryBackoff
	case f.Outcome == reason.NotRun:
		return reason.RetryRefused
	case !j.repeatable:
		return nil
	case f.Reason == reason.BackendDisconnected, f.Reason == reason.BackendUnproven:
		return reason.RetryDisconnected
	case f.Reason == reason.BackendFailed:
		return reason.RetryFailed
	case errors.Is(f.Cause, errSlow):
		return reason.RetrySlow
	}
	return nil
}

func (e *Entry) attempt(ctx context.Context, j *job, b *route.Backend) (*proxy.Response, *proxy.Failure) {
	a := j.attempt
	// What follows the last dot is the attempt's: servers may cut it off to get the request's ID.
	a.ID = j.id + "." + strconv.Itoa(j.attempts) + "-" + strconv.FormatUint(rand.Uint64(), 36)
	j.attempts++
	a.Address = b.Address
	a.NonRepeatable = !j.repeatable
	a.Header = attemptHeaders(j.attempt.Header, time.Until(j.deadline()))
	j.sentAt, j.firstEventAt = time.Now(), time.Time{}
	a.ObserveEnd = e.observeEnd
	a.Sendable = func() bool { return e.opts.Pushback.Sendable(b.Name) }
	response, failure := e.sendWithTimeout(ctx, j, &a)
	j.inBackoff = e.observe(j, b, response, failure)
	if failure != nil && !j.inBackoff && !errors.Is(failure.Cause, context.Canceled) {
		e.recordBackendFailure(b, failure)
		e.recordFailedAttempt(j, b, failure.Reason)
	}
	return response, failure
}

// observeEnd counts how a response of a backend server ended.
func (e *Entry) observeEnd(end framing.End, evidence liveness.Evidence, waited time.Duration) {
	e.opts.Meters.Count(meter.ResponseEnds, end.String()).Inc()
	if end != framing.Complete {
		e.opts.Meters.Observer(meter.ResponseEndWait, evidence.String()).Observe(waited.Seconds())
	}
}

// attemptHeaders returns the headers of one attempt. The headers that the caller lists in Connection
// are removed first, so that they cannot remove the deadline.
func attemptHeaders(from http.Header, left time.Duration) http.Header {
	h := http.Header{}
	proxy.CopyEndToEndHeaders(h, from)
	h.Set(HeaderDeadline, strconv.FormatInt(left.Milliseconds(), 10))
	return h
}

// recordBackendFailure records a failure caused by the backend.
func (e *Entry) recordBackendFailure(b *route.Backend, f *proxy.Failure) {
	now := time.Now()
	b.RecordLate(now)
	if b.RecordFailure(now) {
		e.opts.Meters.Count(meter.Ejections).Inc()
		e.opts.Records.Add(record.Server, b.Name, "ejected", f.Cause.Error())
	}
}

// writeResponse sends the response to the caller and releases the backend's slot.
func (e *Entry) writeResponse(ctx context.Context, w http.ResponseWriter, r *http.Request, j *job, res result) {
	outcome, undelimited := writeHeader(w, r, j, res.response)
	if res.response.BodyReader == nil {
		// The error is ignored: a caller that hung up needs no answer.
		_, _ = w.Write(res.response.Body)
		undelimited.Finish()
		e.releaseBackend(j, &res, time.Since(j.admission.StartedAt()))
		e.recordServed(j, res.response)
		e.finishResponse(j, res.backend, outcome)
		return
	}
	answered, isStream := time.Duration(0), res.response.Stream
	defer func() { e.releaseBackend(j, &res, answered) }()
	err := e.copyBody(ctx, w, j, &res)
	switch {
	case err == nil:
		undelimited.Finish()
		answered = time.Since(j.admission.StartedAt())
		e.recordServed(j, res.response)
		e.finishResponse(j, res.backend, outcome)
	case errors.Is(err, proxy.ErrCallerDisconnected):
		e.finish(j, "caller-gone", "the caller hung up")
	default:
		e.abortResponse(w, j, res.backend, isStream, err)
	}
}

// releaseBackend releases the backend's slot, if one is occupied.
func (e *Entry) releaseBackend(j *job, res *result, answered time.Duration) {
	e.recordDemand(j.target, time.Since(j.admission.StartedAt()))
	if res.backend != nil {
		e.admission.Release(res.backend, j.admission, answered)
	}
}

func writeHeader(w http.ResponseWriter, r *http.Request, j *job, response *proxy.Response) (outcome reason.Outcome, undelimited *framing.Undelimited) {
	h := w.Header()
	proxy.CopyEndToEndHeaders(h, response.Header)
	h.Set(HeaderRequestID, j.id)
	outcome = reason.Done
	if response.Status >= http.StatusInternalServerError {
		outcome = reason.Failed
	}
	h.Set(HeaderOutcome, string(outcome))
	switch {
	case endUnknown(j, response), response.BodyReader != nil && h.Get("Content-Length") == "" && !r.ProtoAtLeast(1, 1):
		undelimited = framing.BeginUndelimited(w, r, response.Status)
	case response.BodyReader == nil:
		h.Set("Content-Length", strconv.Itoa(len(response.Body)))
	}
	w.WriteHeader(response.Status)
	return outcome, undelimited
}

// endUnknown reports whether only the end of its connection ends a response.
func endUnknown(j *job, response *proxy.Response) bool {
	return response.Undelimited && !(response.Stream && lastEvent(j) != "")
}

// finishResponse records a complete response.
func (e *Entry) finishResponse(j *job, b *route.Backend, outcome reason.Outcome) {
	if b == nil {
		e.finish(j, string(outcome), "response of an earlier attempt, returned after the retries failed")
		return
	}
	if now := time.Now(); now.After(j.deadline()) || j.firstEventLate {
		b.RecordLate(now)
	} else {
		b.RecordInTime()
	}
	e.finish(j, string(outcome), "by "+b.Name)
}

// abortResponse ensures that a partial response is not taken for a complete one: a stream gets an
// error event, and the connection is closed without the final chunk.
func (e *Entry) abortResponse(w http.ResponseWriter, j *job, b *route.Backend, isStream bool, cause error) {
	e.opts.Meters.CountRefusal(reason.StreamInterrupted)
	if e.opts.Shutdown.Ended() {
		e.opts.Meters.Count(meter.Interrupted, "broken").Inc()
	} else if b != nil { // otherwise the failure was recorded before the attempt to resume the stream
		e.recordFailedAttempt(j, b, reason.StreamInterrupted)
		e.recordBackendFailure(b, &proxy.Failure{Outcome: reason.Unknown, Reason: reason.StreamInterrupted, Cause: cause})
	}
	e.finish(j, string(reason.Unknown), cause.Error())
	if isStream {
		body, err := json.Marshal(errorBody(j.id, reason.StreamInterrupted, "", 0))
		if err == nil {
			fmt.Fprintf(w, "event: error\ndata: %s\n\n", body)
			_ = http.NewResponseController(w).Flush()
		}
	}
	panic(http.ErrAbortHandler)
}

// countLate counts a stream whose first event came after its target; streams have no target for gaps here.
func (e *Entry) countLate(j *job) {
	workspace := ""
	if j.owner != nil {
		workspace = j.owner.Name
	}
	e.opts.Meters.CountLate(meter.LateFirstEvent, rankOf(j.owner, j.target), workspace)
}

// finish counts the request and records its outcome.
func (e *Entry) finish(j *job, outcome, detail string) {
	took := time.Since(j.receivedAt)
	if outcome == string(reason.Done) {
		e.opts.Shutdown.Record(j.target.Name, took)
	}
	e.opts.Meters.Count(meter.Requests, j.class(), outcome).Inc()
	e.opts.Meters.Observer(meter.RequestDuration, j.class()).Observe(took.Seconds())
	if outcome == string(reason.Done) && took <= j.target.Class.Deadline && !j.firstEventLate {
		e.opts.Meters.Count(meter.RequestsInTime, j.class()).Inc()
	}
	if j.firstEventLate && outcome == string(reason.Done) {
		e.countLate(j)
	}
	e.opts.Records.Add(record.Request, j.id, outcome+" as "+j.target.Name, detail)
}
