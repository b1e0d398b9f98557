package entry

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"leverdrum/admit"
	"leverdrum/crasher"
	"leverdrum/internal/wait"
	"leverdrum/meter"
	"leverdrum/proxy"
	"leverdrum/pushback"
	"leverdrum/reason"
	"leverdrum/record"
	"leverdrum/route"
	"leverdrum/workspace"
)

// HeaderDeadline tells a backend server how many milliseconds are left.
const HeaderDeadline = "X-Deadline-Ms"

// maxTries bounds the attempts of one request.
const maxTries = 3

// job is one request on its way.
type job struct {
	id         string
	arrived    time.Time
	owner      *workspace.Workspace // whose request it is; nil: nobody's
	usage      workspace.Usage
	target     *route.Target
	repeatable bool
	key        string // of a call that may run at most once; "" without one
	attempt    proxy.Attempt
	ticket     *admit.Request
	kind       kindOfCall
	stream     bool                // the caller asked for one
	session    uint64              // hash of the session, 0 for none
	tries      int                 // attempts so far
	firstLate  bool                // the stream's first event came too late
	printed    crasher.Fingerprint // once asked for
	breaks     int                 // attempts at whose end their servers may have ended
	sentAt     time.Time           // of the newest attempt
	permit     pushback.Permit     // of that attempt
	takenAfter time.Duration       // until a backend takes it, where limits or rests refused it
	rested     bool                // the newest attempt's backend asked for rest
	firstAt    time.Time           // of its first event; zero: none has come
	// suspects are backends whose failed answers are not yet held against them.
	suspects []*route.Backend
	// slow is the backend whose attempt was given up as slow; nil: none, or it may be tried again.
	slow *route.Backend
}

func (j *job) class() string { return j.target.Class.Name }

func (j *job) deadline() time.Time { return j.arrived.Add(j.target.Class.Deadline) }

// result is how a job ended: with an answer or with a reason. Backend is the one
// whose place is still held, nil for none.
type result struct {
	answer  *proxy.Response
	backend *route.Backend
	why     *reason.Reason
	detail  string
	after   time.Duration // when to come back, where it is not the reason's own time
}

// serve sends the request until it has an answer or must be given up, and
// answers the caller.
func (e *Entry) serve(w http.ResponseWriter, r *http.Request, j *job) {
	ctx, cancel := context.WithDeadline(r.Context(), j.deadline())
	defer cancel()
	j.ticket = &admit.Request{Target: j.target, Caller: callerOf(r, j.owner), Urgency: urgencyOf(j.owner), Deadline: j.deadline(), Criteria: route.Criteria{Rank: rankOf(j.owner, j.target), Session: j.session}}
	if first := j.target.Class.FirstToken; j.stream && first > 0 {
		j.ticket.FirstEventDeadline = j.arrived.Add(first)
	}
	if j.key != "" {
		e.serveKeyed(w, r, j)
		return
	}
	res := e.tryWithinQuota(ctx, j)
	if res.why == nil {
		e.pass(ctx, w, j, res)
		return
	}
	if r.Context().Err() != nil {
		e.finished(j, "caller-gone", "the caller hung up")
		return
	}
	e.giveUp(w, j, res)
}

func (e *Entry) giveUp(w http.ResponseWriter, j *job, res result) {
	e.noteDemand(j.target, 0)
	e.finished(j, string(res.why.Outcome), res.detail)
	e.refuseFor(w, j.id, res.why, res.detail, cmp.Or(res.after, res.why.RetryAfter))
}

// callerOf names the caller for fair shares: the workspace, where there is one, since a key cannot
// be made up as a name can.
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

// try makes the attempts.
func (e *Entry) try(ctx context.Context, j *job) result {
	e.budget.first()
	last := result{}
	for j.tries < maxTries {
		if e.held(j) {
			return result{why: reason.CrashesServers}
		}
		b, why := e.enter(ctx, j)
		if why != nil && j.retrySlow() {
			continue
		}
		if why != nil && j.tries > 0 {
			return last // the failure of the attempt before tells more
		}
		if why != nil {
			return refusedFor(j, why)
		}
		answer, failure := e.attempt(ctx, j, b)
		j.ticket.Tried = append(j.ticket.Tried, b)
		if failure != nil && errors.Is(failure.Cause, errSlow) {
			j.slow = b
		} else if len(j.ticket.Tried) >= len(j.target.Backends) {
			j.retrySlow()
		}
		if failure == nil && (!failed(answer) || !e.mayRetry(ctx, j, failedAnswer(answer))) {
			e.settle(j, b, answer)
			return result{answer: answer, backend: b}
		}
		e.gate.Release(b, j.ticket, 0)
		if failure == nil { // it is given to the caller if the next attempt gives none
			if !j.rested {
				j.suspects = append(j.suspects, b)
			}
			last = result{answer: answer}
			continue
		}
		last = last.and(result{why: failure.Reason, detail: failure.Cause.Error()})
		if !e.mayRetry(ctx, j, failure) {
			return last
		}
	}
	return last
}

// retrySlow lets a backend that was only slow be tried again, once, where no other is left. It reports whether
// there is one.
func (j *job) retrySlow() bool {
	if j.slow == nil {
		return false
	}
	j.ticket.Tried = slices.DeleteFunc(j.ticket.Tried, func(b *route.Backend) bool { return b == j.slow })
	j.slow = nil
	return true
}

// and returns what is to be said after one more attempt: that it did not run
// says nothing of an earlier one that did or may have.
func (r result) and(next result) result {
	mayHaveRun := r.answer != nil || r.why != nil && r.why.Outcome != reason.NotRun
	if mayHaveRun && next.why.Outcome == reason.NotRun {
		return r
	}
	return next
}

// failed reports whether an answer says that the backend failed at the request.
func failed(a *proxy.Response) bool {
	switch a.Status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return a.BodyReader == nil
	}
	return false
}

func failedAnswer(a *proxy.Response) *proxy.Failure {
	return &proxy.Failure{Outcome: reason.Failed, Reason: reason.BackendFailed, Cause: fmt.Errorf("the backend server answered %d", a.Status)}
}

// settle notes what an answer says of the backends. A failed answer is held
// against its backend, unless others failed at the same request: then the fault
// may be the request's.
func (e *Entry) settle(j *job, b *route.Backend, a *proxy.Response) {
	switch {
	case !failed(a):
		b.RecordSuccess()
		for _, suspect := range j.suspects {
			e.blame(suspect, &proxy.Failure{Outcome: reason.Failed, Reason: reason.BackendFailed, Cause: errOthersDid})
		}
	case len(j.suspects) == 0 && !j.rested:
		e.blame(b, failedAnswer(a))
	}
}

var errOthersDid = errors.New("it failed at a request that another backend server answered")

// mayRetry reports whether a failed attempt is followed by another.
func (e *Entry) mayRetry(ctx context.Context, j *job, f *proxy.Failure) bool {
	retry := retryReason(j, f)
	if retry == nil || ctx.Err() != nil || j.tries == maxTries || e.suspected(j) || len(j.ticket.Tried) >= len(j.target.Backends) {
		return false
	}
	if !e.budget.retry() {
		e.opts.Meters.Count(meter.RetriesDenied).Inc()
		return false
	}
	e.opts.Meters.CountRetry(retry)
	return wait.For(ctx, e.budget.jitter(j.tries-1))
}

// retryReason says why a failed attempt may be followed by another, nil when it
// may not.
func retryReason(j *job, f *proxy.Failure) *reason.Reason {
	switch {
	case f.Reason == reason.BackendUnreachable:
		return reason.RetryUnreachable
	case f.Outcome == reason.NotRun && j.rested:
		return reason.RetryBackoff
	case f.Outcome == reason.NotRun:
		return reason.RetryRefused
	case !j.repeatable:
		return nil
	case f.Reason == reason.BackendDisconnected:
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
	a.ID = j.id + "." + strconv.Itoa(j.tries)
	j.tries++
	a.Address = b.Address
	a.NonRepeatable = !j.repeatable
	a.Header = attemptHeaders(j.attempt.Header, time.Until(j.deadline()))
	j.sentAt, j.firstAt = time.Now(), time.Time{}
	a.Sendable = func() bool { return e.opts.Pushback.Sendable(b.Name) }
	answer, failure := e.sendPatiently(ctx, j, &a)
	j.rested = e.observe(j, b, answer, failure)
	if failure != nil && !j.rested && !errors.Is(failure.Cause, context.Canceled) {
		e.blame(b, failure)
		e.noteBroken(j, b, failure.Reason)
	}
	return answer, failure
}

// attemptHeaders are those of one attempt. What a caller names as of its own connection
// is taken off first, so that it cannot take the deadline off.
func attemptHeaders(from http.Header, left time.Duration) http.Header {
	h := http.Header{}
	proxy.CopyEndToEndHeaders(h, from)
	h.Set(HeaderDeadline, strconv.FormatInt(left.Milliseconds(), 10))
	return h
}

// blame notes a failure that is the backend's.
func (e *Entry) blame(b *route.Backend, f *proxy.Failure) {
	now := time.Now()
	b.RecordLate(now)
	if b.RecordFailure(now) {
		e.opts.Meters.Count(meter.Ejections).Inc()
		e.opts.Records.Add(record.Server, b.Name, "ejected", f.Cause.Error())
	}
}

// pass hands the answer to the caller and frees the place at the backend.
func (e *Entry) pass(ctx context.Context, w http.ResponseWriter, j *job, res result) {
	outcome := setHead(w, j, res.answer)
	if res.answer.BodyReader == nil {
		// A caller that has gone does not read its answer.
		_, _ = w.Write(res.answer.Body)
		e.left(j, &res, time.Since(j.ticket.StartedAt()))
		e.noteServed(j, res.answer)
		e.passed(j, res.backend, outcome)
		return
	}
	answered, isStream := time.Duration(0), res.answer.Stream
	defer func() { e.left(j, &res, answered) }()
	err := e.passRest(ctx, w, j, &res)
	switch {
	case err == nil:
		answered = time.Since(j.ticket.StartedAt())
		e.noteServed(j, res.answer)
		e.passed(j, res.backend, outcome)
	case errors.Is(err, proxy.ErrCallerDisconnected):
		e.finished(j, "caller-gone", "the caller hung up")
	default:
		e.breakOff(w, j, res.backend, isStream, err)
	}
}

// left frees the place at the backend, if one is held.
func (e *Entry) left(j *job, res *result, answered time.Duration) {
	e.noteDemand(j.target, time.Since(j.ticket.StartedAt()))
	if res.backend != nil {
		e.gate.Release(res.backend, j.ticket, answered)
	}
}

func setHead(w http.ResponseWriter, j *job, answer *proxy.Response) reason.Outcome {
	h := w.Header()
	proxy.CopyEndToEndHeaders(h, answer.Header)
	h.Set(HeaderRequestID, j.id)
	outcome := reason.Done
	if answer.Status >= http.StatusInternalServerError {
		outcome = reason.Failed
	}
	h.Set(HeaderOutcome, string(outcome))
	if answer.BodyReader == nil {
		h.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	}
	w.WriteHeader(answer.Status)
	return outcome
}

// passed notes a whole answer.
func (e *Entry) passed(j *job, b *route.Backend, outcome reason.Outcome) {
	if b == nil {
		e.finished(j, string(outcome), "by a backend server whose answer was kept while others were tried")
		return
	}
	if now := time.Now(); now.After(j.deadline()) || j.firstLate {
		b.RecordLate(now)
	} else {
		b.RecordInTime()
	}
	e.finished(j, string(outcome), "by "+b.Name)
}

// breakOff makes sure that a part of an answer is not taken for the whole: a
// stream gets an error event, and the connection breaks without its last chunk.
func (e *Entry) breakOff(w http.ResponseWriter, j *job, b *route.Backend, isStream bool, cause error) {
	e.opts.Meters.CountRefusal(reason.StreamInterrupted)
	if b != nil { // else it was blamed before the stream was to go on elsewhere
		e.noteBroken(j, b, reason.StreamInterrupted)
		e.blame(b, &proxy.Failure{Outcome: reason.Unknown, Reason: reason.StreamInterrupted, Cause: cause})
	}
	e.finished(j, string(reason.Unknown), cause.Error())
	if isStream {
		body, err := json.Marshal(errorBody(j.id, reason.StreamInterrupted, "", 0))
		if err == nil {
			fmt.Fprintf(w, "event: error\ndata: %s\n\n", body)
			_ = http.NewResponseController(w).Flush()
		}
	}
	panic(http.ErrAbortHandler)
}

// finished counts the request and notes how it ended.
func (e *Entry) finished(j *job, outcome, detail string) {
	took := time.Since(j.arrived)
	e.opts.Meters.Count(meter.Requests, j.class(), outcome).Inc()
	e.opts.Meters.Observer(meter.RequestDuration, j.class()).Observe(took.Seconds())
	if outcome == string(reason.Done) && took <= j.target.Class.Deadline && !j.firstLate {
		e.opts.Meters.Count(meter.RequestsInTime, j.class()).Inc()
	}
	e.opts.Records.Add(record.Request, j.id, outcome+" as "+j.target.Name, detail)
}
