package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"leverdrum/meter"
	"leverdrum/proxy"
	"leverdrum/reason"
	"leverdrum/record"
	"leverdrum/route"
)

// HeaderDeadline tells a backend server how many milliseconds are left.
const HeaderDeadline = "X-Deadline-Ms"

// maxTries bounds the attempts of one request.
const maxTries = 3

// job is one request on its way.
type job struct {
	id         string
	arrived    time.Time
	target     *route.Target
	repeatable bool
	attempt    proxy.Attempt
	tried      []*route.Backend
}

func (j *job) class() string { return j.target.Class.Name }

// serve sends the request until it has an answer or must be given up, and
// answers the caller.
func (e *Entry) serve(w http.ResponseWriter, r *http.Request, j *job) {
	ctx, cancel := context.WithDeadline(r.Context(), j.arrived.Add(j.target.Class.Deadline))
	defer cancel()
	answer, backend, why, detail := e.try(ctx, j)
	if r.Context().Err() != nil {
		if answer != nil && answer.Rest != nil {
			answer.Rest.Close()
		}
		e.finished(j, "caller-gone", "the caller hung up")
		return
	}
	if why != nil {
		e.finished(j, string(why.Outcome), detail)
		e.refuse(w, j.id, why, detail)
		return
	}
	e.pass(w, j, answer, backend)
}

// try makes the attempts. Exactly one of answer and reason is set.
func (e *Entry) try(ctx context.Context, j *job) (*proxy.Answer, *route.Backend, *reason.Reason, string) {
	why, detail := reason.NoServer, ""
	for n := range maxTries {
		b := e.opts.Directory.Choose(j.target, time.Now(), j.tried)
		if b == nil {
			break
		}
		answer, failure := e.attempt(ctx, j, b, n)
		if failure == nil {
			return answer, b, nil, ""
		}
		why, detail = failure.Reason, failure.Cause.Error()
		retry := retryReason(j, failure)
		if retry == nil || ctx.Err() != nil || n == maxTries-1 {
			break
		}
		e.opts.Meters.Retry(retry)
	}
	return nil, nil, why, detail
}

// retryReason says why a failed attempt may be followed by another, nil when it
// may not.
func retryReason(j *job, f *proxy.Failure) *reason.Reason {
	switch {
	case f.Reason == reason.NotReached:
		return reason.RetryUnreached
	case f.Outcome == reason.NotRun:
		return reason.RetryRefused
	case j.repeatable && f.Reason == reason.BackendBroke:
		return reason.RetryBroke
	}
	return nil
}

func (e *Entry) attempt(ctx context.Context, j *job, b *route.Backend, n int) (*proxy.Answer, *proxy.Failure) {
	j.tried = append(j.tried, b)
	end := b.Begin()
	defer end()
	a := j.attempt
	a.ID = j.id + "." + strconv.Itoa(n)
	a.Address = b.Address
	a.Once = !j.repeatable
	a.Header = a.Header.Clone()
	if deadline, ok := ctx.Deadline(); ok {
		a.Header.Set(HeaderDeadline, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	answer, failure := e.opts.Sender.Send(ctx, &a)
	if failure == nil {
		b.Succeeded()
		return answer, nil
	}
	if ctx.Err() == nil && b.Failed(time.Now()) {
		e.opts.Meters.Count(meter.Ejections).Inc()
	}
	return nil, failure
}

// pass hands the answer to the caller.
func (e *Entry) pass(w http.ResponseWriter, j *job, answer *proxy.Answer, b *route.Backend) {
	h := w.Header()
	proxy.PassHeaders(h, answer.Header)
	h.Set(HeaderRequestID, j.id)
	outcome := reason.Done
	if answer.Status >= http.StatusInternalServerError {
		outcome = reason.Failed
	}
	h.Set(HeaderOutcome, string(outcome))
	if answer.Rest == nil {
		h.Set("Content-Length", strconv.Itoa(len(answer.Body)))
		w.WriteHeader(answer.Status)
		// A caller that has gone does not read its answer.
		_, _ = w.Write(answer.Body)
		e.finished(j, string(outcome), "by "+b.Name)
		return
	}
	e.passRest(w, j, answer, b, outcome)
}

func (e *Entry) passRest(w http.ResponseWriter, j *job, answer *proxy.Answer, b *route.Backend, outcome reason.Outcome) {
	end := b.Begin()
	defer end()
	w.WriteHeader(answer.Status)
	err := proxy.CopyRest(w, answer)
	switch {
	case err == nil:
		e.finished(j, string(outcome), "by "+b.Name)
	case errors.Is(err, proxy.ErrCallerGone):
		e.finished(j, "caller-gone", "the caller hung up")
	default:
		e.breakOff(w, j, answer, err)
	}
}

// breakOff makes sure that a part of an answer is not taken for the whole: a
// stream gets an error event, and the connection breaks without its last chunk.
func (e *Entry) breakOff(w http.ResponseWriter, j *job, answer *proxy.Answer, cause error) {
	e.opts.Meters.Refuse(reason.StreamBroke)
	e.finished(j, string(reason.Unknown), cause.Error())
	if answer.Stream {
		body, err := json.Marshal(errorBody(j.id, reason.StreamBroke, ""))
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
	e.opts.Meters.Observe(meter.Duration, j.class()).Observe(took.Seconds())
	if outcome == string(reason.Done) && took <= j.target.Class.Deadline {
		e.opts.Meters.Count(meter.InTime, j.class()).Inc()
	}
	e.opts.Records.Note(record.Request, j.id, outcome+" as "+j.target.Name, detail)
}
