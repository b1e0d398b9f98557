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

// maxResumes bounds how often one stream is continued elsewhere.
const maxResumes = 3

// passRest passes on what is still to be read of an answer. A stream that
// breaks off goes on at another server if it can; res names the backend whose
// place is held, nil for none.
func (e *Entry) passRest(ctx context.Context, w http.ResponseWriter, j *job, res *result) error {
	if !res.answer.Stream {
		return proxy.CopyBody(w, res.answer, proxy.CopyOptions{})
	}
	relay := stream.New(lastEvent(j))
	version := res.answer.Version
	for resumes := 0; ; {
		err := proxy.CopyBody(w, res.answer, e.copying(j, relay, res.backend))
		if err == nil || errors.Is(err, proxy.ErrCallerDisconnected) || errors.Is(err, stream.ErrGap) {
			return err
		}
		at, can := relay.Position()
		if !can || version == "" {
			return err
		}
		broke := res.backend
		e.noteBroken(j, broke, reason.StreamInterrupted)
		if e.suspected(j) {
			return err
		}
		e.blame(broke, &proxy.Failure{Outcome: reason.Unknown, Reason: reason.StreamInterrupted, Cause: err})
		e.gate.Release(broke, j.ticket, 0)
		*res = result{}
		for res.answer == nil {
			if resumes++; resumes > maxResumes || ctx.Err() != nil {
				return err
			}
			*res = e.resume(ctx, j, broke, at, version)
		}
		relay.Continue()
	}
}

// copying says how a stream is passed on: its first event is timed, and where it
// can go on elsewhere it is broken off when it stalls.
func (e *Entry) copying(j *job, relay *stream.Relay, b *route.Backend) proxy.CopyOptions {
	how := proxy.CopyOptions{Relay: relay, OnFirstEvent: func() {
		j.firstAt = time.Now()
		e.gate.RecordFirstEvent(j.ticket, time.Since(j.ticket.StartedAt()))
		if due := j.ticket.FirstEventDeadline; !due.IsZero() && time.Now().After(due) {
			j.firstLate = true
		}
	}}
	if b.ResumesStreams {
		how.StallAfter, how.AbortStalled = j.target.Class.StallTimeout, e.budget.left
	}
	return how
}

// lastEvent is the line of a stream's last event; services have none.
func lastEvent(j *job) string {
	if j.target.Service != nil {
		return ""
	}
	return engine.StreamDone
}

// resume asks a server for the events behind the position. Without a server
// that gives them, by the same version of the weights, it returns no answer.
func (e *Entry) resume(ctx context.Context, j *job, broke *route.Backend, at uint64, version string) result {
	if !e.budget.retry() {
		e.opts.Meters.Count(meter.RetriesDenied).Inc()
		return result{}
	}
	b := e.enterAgain(ctx, j, broke)
	if b == nil {
		return result{}
	}
	e.opts.Meters.CountRetry(reason.RetryInterrupted)
	again := *j
	again.attempt.Header = j.attempt.Header.Clone()
	again.attempt.Header.Set(engine.HeaderLastEvent, strconv.FormatUint(at, 10))
	again.permit = j.permit
	answer, failure := e.attempt(ctx, &again, b)
	j.tries, j.breaks, j.sentAt, j.firstAt = again.tries, again.breaks, again.sentAt, again.firstAt
	if failure == nil && answer.Stream && answer.Version == version && answer.Status == http.StatusOK {
		return result{answer: answer, backend: b}
	}
	if failure == nil && answer.BodyReader != nil {
		answer.BodyReader.Close()
	}
	e.gate.Release(b, j.ticket, 0)
	return result{}
}

// enterAgain takes a place at a server that resumes streams: another one than
// the one that broke off, or else that one.
func (e *Entry) enterAgain(ctx context.Context, j *job, broke *route.Backend) *route.Backend {
	var not []*route.Backend
	for _, b := range j.target.Backends {
		if !b.ResumesStreams {
			not = append(not, b)
		}
	}
	j.ticket.Tried = append([]*route.Backend{broke}, not...)
	b, why := e.enter(ctx, j)
	if why == reason.NoServer && broke.ResumesStreams {
		j.ticket.Tried = not
		b, _ = e.enter(ctx, j)
	}
	return b
}
