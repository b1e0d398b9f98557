package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"leverdrum/internal/framing"
	"leverdrum/internal/membudget"
	"leverdrum/internal/reply"
	"leverdrum/meter"
	"leverdrum/reason"
)

const (
	// relayBuffer is the size in bytes of the reads from a stream.
	relayBuffer = 8 << 10
	// answerBuffer is the size in bytes up to which a plain response is buffered until it is
	// complete. A larger one is forwarded as it arrives, and aborted if it breaks.
	answerBuffer = 1 << 20
	// maxDiscard bounds the bytes read of a response that is not forwarded, and discardTimeout the time in which they arrive.
	maxDiscard     = 64 << 10
	discardTimeout = 100 * time.Millisecond
)

func isStream(a *response) bool {
	return a.StatusCode == http.StatusOK && strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream")
}

// discard reads the rest of a response that is not forwarded, so that its connection can be
// reused.
func (a *response) discard() {
	if !a.delimited || a.tainted {
		a.finish(false)
		return
	}
	timer := a.abortReadAfter(discardTimeout)
	n, err := io.Copy(io.Discard, io.LimitReader(a.Body, maxDiscard))
	inTime := timer.Stop()
	a.finish(inTime && err == nil && n < maxDiscard)
}

// abortReadAfter makes reads of the body fail after d, unless the timer is stopped before.
func (a *response) abortReadAfter(d time.Duration) *time.Timer {
	if a.relay != nil {
		return time.AfterFunc(d, func() { a.relay.stream.Close() })
	}
	return a.conn.abortReadAfter(d)
}

// recordEnd records how the response of a server ended.
func (j *job) recordEnd(end framing.End) {
	j.end = end
	j.g.opts.Meters.Count(meter.ResponseEnds, end.String()).Inc()
}

// writeHead forwards the status and headers of a response. length is the length of the body, -1
// where it is not known.
func (j *job) writeHead(a *response, length int64) {
	h := j.w.Header()
	closing := h.Get("Connection")
	for k, v := range passHeaders(a.Header) {
		h[k] = v
	}
	if closing != "" {
		h.Set("Connection", closing)
	}
	h.Del("Content-Length")
	if length < 0 && (!a.delimited || !j.r.ProtoAtLeast(1, 1)) {
		j.undelimited = framing.BeginUndelimited(j.w, j.r, a.StatusCode)
	}
	if length >= 0 && a.StatusCode != http.StatusNoContent && a.StatusCode != http.StatusNotModified {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	for _, k := range []string{"Date", "Content-Type"} { // net/http would add its own
		if _, ok := h[k]; !ok {
			h[k] = nil
		}
	}
	j.w.WriteHeader(a.StatusCode)
	j.headSent, j.status = true, a.StatusCode
	j.responseStarted.Store(true)
}

// relayWhole forwards a plain response once it is complete (5).
func (j *job) relayWhole(ctx context.Context, s *server, a *response, onFirstEvent func()) (answered bool) {
	if j.headSent { // a stream was to resume, and this is none
		a.discard()
		return j.handleFailure(ctx, s, unknown(reason.StreamInterrupted, Error.New("stream cannot resume: the server answered with status %d", a.StatusCode)))
	}
	body, err := j.readWhole(a)
	if errors.Is(err, membudget.ErrTooLong) || errors.Is(err, membudget.ErrFull) {
		onFirstEvent()
		return j.relayLarge(ctx, s, a, body)
	}
	defer j.memory.Shrink(cap(body))
	if err != nil {
		a.finish(false)
		j.recordEnd(framing.Truncated)
		return j.handleFailure(ctx, s, j.bodyFailure(ctx, err))
	}
	onFirstEvent()
	if end := j.judgeEnd(ctx, s, a); !end.IsComplete() {
		return j.handleFailure(ctx, s, j.endFailure(ctx, end))
	}
	length := int64(len(body))
	if j.r.Method == http.MethodHead || !a.delimited {
		length = a.ContentLength
	}
	if len(body) > reply.SmallBody {
		defer reply.BoundWrites(ctx, http.NewResponseController(j.w)).Stop()
	}
	j.writeHead(a, length)
	// A disconnected caller is detected by its context.
	_, _ = j.w.Write(body)
	j.undelimited.Finish()
	return true
}

// readWhole reads a plain response within its limit and the memory of the box for responses (13).
func (j *job) readWhole(a *response) ([]byte, error) {
	length := a.ContentLength
	if j.r.Method == http.MethodHead {
		length = 0
	}
	return j.memory.ReadAll(a.Body, length, answerBuffer)
}

// relayLarge forwards a plain response as it arrives, because it is too large to be buffered or the box has no memory left for
// it.
func (j *job) relayLarge(ctx context.Context, s *server, a *response, buffered []byte) (answered bool) {
	if !a.watch.passHead(func() { j.writeHead(a, a.ContentLength) }) {
		a.finish(false)
		return j.handleBrokenStream(ctx, s, errGivenUp, true)
	}
	defer reply.BoundWrites(ctx, http.NewResponseController(j.w)).Stop()
	_, err := j.w.Write(buffered)
	j.memory.Shrink(cap(buffered))
	if err == nil {
		_, err = io.Copy(j.w, a.Body)
	}
	if err != nil {
		a.finish(false)
		j.recordEnd(framing.Truncated)
		f := j.bodyFailure(ctx, err)
		if j.interrupted(ctx) {
			j.endInterrupted(f)
			return true
		}
		j.abort(s, f, reason.BackendDisconnected)
		return true
	}
	if end := j.judgeEnd(ctx, s, a); !end.IsComplete() {
		j.abort(s, j.endFailure(ctx, end), reason.BackendDisconnected)
		return true
	}
	j.undelimited.Finish()
	return true
}

// abort aborts a response of which a part was forwarded.
func (j *job) abort(s *server, f *failure, refusal *reason.Reason) {
	j.lastFailure = f
	if !f.endUnknown && !j.failedOnOwnLinks(f) {
		s.recordFailure(time.Now())
		if !f.unproven {
			j.recordBroken(s, f)
			j.recordBrokenOutcome(s, f)
		}
	}
	j.giveUp(refusal)
}

// bodyFailure returns the failure for an error while reading a body.
func (j *job) bodyFailure(ctx context.Context, err error) *failure {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return unknown(reason.BackendTimeout, Error.Wrap(err))
	case errors.Is(err, membudget.ErrFull):
		f := unknown(reason.ResponseMemoryFull, Error.Wrap(err))
		f.unproven = true
		return f
	case errors.Is(err, errEndUnknown): // at a relaying box
		f := unknown(reason.BackendDisconnected, Error.Wrap(err))
		f.endUnknown = true
		return f
	}
	return unknown(reason.BackendDisconnected, Error.Wrap(err))
}

// errGivenUp is returned where a response began after its exchange was aborted for silence.
var errGivenUp = Error.New("the response began after the server was given up")

// errInsideEvent means that a stream ended inside an event, with or without its last chunk.
var errInsideEvent = Error.New("the stream ended inside an event")

// relayStream forwards a stream event by event (5).
func (j *job) relayStream(ctx context.Context, s *server, a *response, onFirstEvent func()) (answered bool) {
	f := streamForwarder{job: j, server: s, response: a}
	j.stream.memory = j.memory
	defer reply.BoundWrites(ctx, http.NewResponseController(j.w)).Stop()
	buf := make([]byte, relayBuffer)
	lastRead := time.Now()
	for {
		n, err := a.Body.Read(buf)
		if f.started && n > 0 {
			j.longestPause = max(j.longestPause, time.Since(lastRead))
		}
		lastRead = time.Now()
		seen := j.stream.count
		out := j.stream.next(buf[:n])
		j.load.eventsRead(lastRead, j.stream.count-seen)
		if err == io.EOF && j.stream.insideEvent() {
			err = errInsideEvent
		}
		if len(out) > 0 {
			if !f.started {
				onFirstEvent()
				f.started = true
			}
			if werr := f.forward(out, lastRead); werr != nil {
				a.finish(false)
				return f.fail(ctx, werr)
			}
		}
		if err == io.EOF {
			return f.end(ctx, lastRead, onFirstEvent)
		}
		if err != nil || j.stream.tooLarge() {
			if j.stream.full {
				err = membudget.ErrFull
			}
			unresponsive := a.watch.stop()
			a.finish(false)
			return j.handleBrokenStream(ctx, s, err, unresponsive)
		}
	}
}

// streamForwarder forwards one stream of a server.
type streamForwarder struct {
	job      *job
	server   *server
	response *response
	started  bool // the first event has been recorded
}

// forward forwards bytes that were read at a time, after the head. The error is errGivenUp, or that of writing to the caller.
func (f *streamForwarder) forward(out []byte, readAt time.Time) error {
	j := f.job
	j.run.Event(readAt)
	if a := f.response; !j.headSent && !a.watch.passHead(func() { j.writeHead(a, -1) }) {
		return errGivenUp
	}
	if j.stream.any || j.stream.noIDs {
		j.pinVersion(f.server)
	}
	if _, err := j.w.Write(out); err != nil {
		return Error.Wrap(err)
	}
	_ = http.NewResponseController(j.w).Flush() // a disconnected caller is detected at the next write
	j.load.forwarded(time.Now())
	return nil
}

// fail ends a stream that could not be forwarded.
func (f *streamForwarder) fail(ctx context.Context, err error) (answered bool) {
	if err != errGivenUp {
		return f.job.abandon()
	}
	f.job.stream.dropPartial()
	f.job.stream = events{} // no event reached the caller, so the next server is asked for all
	return f.job.handleBrokenStream(ctx, f.server, err, true)
}

// end ends a stream that was read to its end. What follows its last event is forwarded once the end is known, as an event of
// another server may follow instead.
func (f *streamForwarder) end(ctx context.Context, readAt time.Time, onFirstEvent func()) (answered bool) {
	j, s := f.job, f.server
	end := framing.Unknown
	if f.response.delimited || !j.headSent || j.undelimited != nil {
		end = j.judgeEnd(ctx, s, f.response)
	} else { // the head that was forwarded promises an end that is known without evidence
		f.response.finish(true)
		j.recordEnd(end)
	}
	if !end.IsComplete() {
		return j.resumeOrAbort(ctx, s, j.endFailure(ctx, end))
	}
	if !j.headSent || len(j.stream.partial) > 0 {
		if !f.started {
			onFirstEvent()
		}
		if err := f.forward(j.stream.partial, readAt); err != nil {
			return f.fail(ctx, err)
		}
	}
	j.undelimited.Finish()
	if j.route.EventGapTarget > 0 && j.relayedBy == "" {
		s.recordStream(time.Now(), j.longestPause > j.route.EventGapTarget)
	}
	return true
}

// handleBrokenStream resumes a stream at another server, or aborts it.
func (j *job) handleBrokenStream(ctx context.Context, s *server, err error, unresponsive bool) (answered bool) {
	j.recordEnd(framing.Truncated)
	f := j.bodyFailure(ctx, err)
	if j.interrupted(ctx) {
		j.endInterrupted(f)
		return true
	}
	f.unresponsive = unresponsive
	return j.resumeOrAbort(ctx, s, f)
}

// resumeOrAbort resumes a stream that did not end in full at another server, or aborts it.
func (j *job) resumeOrAbort(ctx context.Context, s *server, f *failure) (answered bool) {
	if j.headSent && (!j.route.Resumable || j.stream.noIDs) {
		j.abort(s, f, reason.StreamInterrupted)
		return true
	}
	j.stream.dropPartial()
	return j.handleFailure(ctx, s, f)
}
