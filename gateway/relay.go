package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"leverdrum/event"
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
	if end != framing.Unknown {
		return
	}
	if skipped, ok := j.g.unknownEnds.admit(time.Now()); ok {
		event.ResponseEndUnknown.Log(j.g.opts.Log, zap.String("request", j.id), zap.String("route", j.route.Name), zap.String("server", j.current.id), zap.Int("status", j.status),
			zap.Int("events", j.stream.count), zap.Int("unfinished", len(j.stream.partial)), zap.Int("skipped", skipped))
	}
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
	a.finish(true)
	j.recordEnd(framing.EndOf(a.delimited))
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
	a.finish(err == nil)
	if err == nil {
		j.recordEnd(framing.EndOf(a.delimited))
		j.undelimited.Finish()
	} else {
		j.recordEnd(framing.Truncated)
		j.lastFailure = j.bodyFailure(ctx, err)
		if !j.failedOnOwnLinks(j.lastFailure) {
			s.recordFailure(time.Now())
			j.recordBroken(s, j.lastFailure)
			j.recordBrokenOutcome(s, j.lastFailure)
		}
		j.giveUp(reason.BackendDisconnected)
	}
	return true
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
	}
	return unknown(reason.BackendDisconnected, Error.Wrap(err))
}

// endUnknown returns the failure of a continuation whose end is unknown, where the head that was forwarded promises a
// known one. It does not count against the server, whose response may be complete.
func endUnknown() *failure {
	f := unknown(reason.StreamInterrupted, Error.New("the continuation ended with its connection, without a length or chunks"))
	f.endUnknown = true
	return f
}

// errGivenUp is returned where a response began after its exchange was aborted for silence.
var errGivenUp = Error.New("the response began after the server was given up")

// errInsideEvent means that a stream ended inside an event, with or without its last chunk.
var errInsideEvent = Error.New("the stream ended inside an event")

// relayStream forwards a stream event by event (5).
func (j *job) relayStream(ctx context.Context, s *server, a *response, onFirstEvent func()) (answered bool) {
	flush := http.NewResponseController(j.w)
	j.stream.memory = j.memory
	defer reply.BoundWrites(ctx, flush).Stop()
	buf := make([]byte, relayBuffer)
	started := false
	lastRead := time.Now()
	for {
		n, err := a.Body.Read(buf)
		if started && n > 0 {
			j.longestPause = max(j.longestPause, time.Since(lastRead))
		}
		lastRead = time.Now()
		seen := j.stream.count
		out := j.stream.next(buf[:n])
		j.load.eventsRead(lastRead, j.stream.count-seen)
		if err == io.EOF && j.stream.insideEvent() {
			err = errInsideEvent
		}
		if err == io.EOF {
			out = append(out, j.stream.partial...)
		}
		if len(out) > 0 || err == io.EOF {
			if !started {
				onFirstEvent()
				started = true
			}
			j.run.Event(lastRead)
			if !j.headSent && !a.watch.passHead(func() { j.writeHead(a, -1) }) {
				a.finish(false)
				j.stream.dropPartial()
				j.stream = events{} // no event reached the caller, so the next server is asked for all
				return j.handleBrokenStream(ctx, s, errGivenUp, true)
			}
			if j.stream.any || j.stream.noIDs {
				j.pinVersion(s)
			}
			if _, werr := j.w.Write(out); werr != nil {
				a.finish(false)
				return j.abandon()
			}
			_ = flush.Flush() // a disconnected caller is detected at the next write
			j.load.forwarded(time.Now())
		}
		if err == io.EOF {
			a.finish(true)
			j.recordEnd(framing.EndOf(a.delimited))
			if j.end == framing.Unknown && j.undelimited == nil {
				return j.handleFailure(ctx, s, endUnknown())
			}
			j.undelimited.Finish()
			if j.route.EventGapTarget > 0 && j.relayedBy == "" {
				s.recordStream(time.Now(), j.longestPause > j.route.EventGapTarget)
			}
			return true
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

// handleBrokenStream resumes a stream at another server, or aborts it.
func (j *job) handleBrokenStream(ctx context.Context, s *server, err error, unresponsive bool) (answered bool) {
	j.recordEnd(framing.Truncated)
	f := j.bodyFailure(ctx, err)
	f.unresponsive = unresponsive
	ownLinks := j.failedOnOwnLinks(f)
	if j.headSent && (!j.route.Resumable || j.stream.noIDs) {
		j.lastFailure = f
		if !ownLinks {
			s.recordFailure(time.Now())
		}
		if !ownLinks && !f.unproven {
			j.recordBroken(s, f)
			j.recordBrokenOutcome(s, f)
		}
		j.giveUp(reason.StreamInterrupted)
		return true
	}
	j.stream.dropPartial()
	return j.handleFailure(ctx, s, f)
}
