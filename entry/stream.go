package entry

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"leverdrum/engine"
	"leverdrum/meter"
	"leverdrum/proxy"
	"leverdrum/reason"
	"leverdrum/route"
	"leverdrum/stream"
)

// maxResumes bounds how often one stream is resumed.
const maxResumes = 3

// copyBody copies the unread part of a response to the caller. A stream that breaks off is resumed at
// another server if possible; res names the backend whose slot is occupied, nil for none.
func (e *Entry) copyBody(ctx context.Context, w http.ResponseWriter, j *job, res *result) error {
	if !res.response.Stream {
		return proxy.CopyBody(w, res.response, proxy.CopyOptions{})
	}
	relay := stream.New(lastEvent(j))
	relay.Memory = j.attempt.Memory
	version := res.response.Version
	for resumes := 0; ; {
		err := proxy.CopyBody(w, res.response, e.copyOptions(j, relay, res.backend))
		e.crashWatcher.EndRun(j.run)
		j.run = nil
		if err == nil || errors.Is(err, proxy.ErrCallerDisconnected) || errors.Is(err, stream.ErrGap) || e.opts.Shutdown.Ended() {
			return err
		}
		position, resumable := relay.Position()
		if !resumable || version == "" {
			return err
		}
		failedBackend := res.backend
		e.recordFailedAttempt(j, failedBackend, reason.StreamInterrupted)
		if e.nextReportBlocks(j) {
			return err
		}
		e.recordBackendFailure(failedBackend, &proxy.Failure{Outcome: reason.Unknown, Reason: reason.StreamInterrupted, Cause: err})
		e.admission.Release(failedBackend, j.admission, 0)
		*res = result{}
		for res.response == nil {
			if resumes++; resumes > maxResumes || ctx.Err() != nil {
				return err
			}
			*res = e.resume(ctx, j, failedBackend, position, version)
		}
		relay.Continue()
	}
}

// copyOptions returns how to copy a stream: the first event is timed, and a stream that can be resumed
// elsewhere is closed when it stalls.
func (e *Entry) copyOptions(j *job, relay *stream.Relay, b *route.Backend) proxy.CopyOptions {
	resumed := relay.Forwarded() > 0
	opts := proxy.CopyOptions{Relay: relay, OnEvents: func() {
		now := time.Now()
		if !j.firstEventAt.IsZero() {
			j.run.Event(now)
			return
		}
		j.firstEventAt = now
		j.run = e.beginRun(j, b)
		if resumed {
			return
		}
		e.admission.RecordFirstEvent(j.admission, time.Since(j.admission.StartedAt()))
		if deadline := j.admission.FirstEventDeadline; !deadline.IsZero() && now.After(deadline) {
			j.firstEventLate = true
		}
	}}
	if b.ResumesStreams {
		opts.StallAfter, opts.AbortStalled = j.target.Class.StallTimeout, func() bool { return e.budget.permits(1) }
	}
	return opts
}

// lastEvent returns the line that ends a stream; services have none.
func lastEvent(j *job) string {
	if j.target.Service != nil {
		return ""
	}
	return engine.StreamDone
}

// resume requests the events after position from another server. It returns no response if no server
// provides them with the same version of the weights.
func (e *Entry) resume(ctx context.Context, j *job, failedBackend *route.Backend, position uint64, version string) result {
	if !e.budget.take() {
		e.opts.Meters.Count(meter.RetriesDenied).Inc()
		return result{}
	}
	b := e.acquireForResume(ctx, j, failedBackend)
	if b == nil {
		return result{}
	}
	e.opts.Meters.CountRetry(reason.RetryInterrupted)
	resumed := *j
	resumed.attempt.Header = j.attempt.Header.Clone()
	resumed.attempt.Header.Set(engine.HeaderLastEvent, strconv.FormatUint(position, 10))
	resumed.permit = j.permit
	response, failure := e.attempt(ctx, &resumed, b)
	j.attempts, j.brokenAttempts, j.sentAt, j.firstEventAt = resumed.attempts, resumed.brokenAttempts, resumed.sentAt, resumed.firstEventAt
	if failure == nil && response.Stream && response.Version == version && response.Status == http.StatusOK {
		return result{response: response, backend: b}
	}
	if failure == nil && response.BodyReader != nil {
		response.BodyReader.Close()
	}
	e.admission.Release(b, j.admission, 0)
	return result{}
}

// acquireForResume acquires a slot at a server that can resume streams: preferably another one than
// failedBackend.
func (e *Entry) acquireForResume(ctx context.Context, j *job, failedBackend *route.Backend) *route.Backend {
	var excluded []*route.Backend
	for _, b := range j.target.Backends {
		if !b.ResumesStreams {
			excluded = append(excluded, b)
		}
	}
	j.admission.Tried = append([]*route.Backend{failedBackend}, excluded...)
	b, why := e.acquireBackend(ctx, j)
	if why == reason.NoServer && failedBackend.ResumesStreams {
		j.admission.Tried = excluded
		b, _ = e.acquireBackend(ctx, j)
	}
	return b
}
