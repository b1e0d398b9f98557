package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"leverdrum/reason"
)

const (
	// relayBuffer is the size in bytes of the reads from a stream.
	relayBuffer = 8 << 10
	// answerBuffer is how much of a plain answer is held back until it is whole, in
	// bytes; a larger one is passed on as it comes, and broken off if it breaks.
	answerBuffer = 1 << 20
	// maxDiscard bounds what is read of an answer that is not passed on.
	maxDiscard = 64 << 10
)

func isStream(a *answer) bool {
	return a.StatusCode == http.StatusOK && strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream")
}

// discard reads the rest of an answer that is not passed on, so that its
// connection can be used again.
func (a *answer) discard() {
	n, err := io.Copy(io.Discard, io.LimitReader(a.Body, maxDiscard))
	a.done(err == nil && n < maxDiscard)
}

// framed reports whether the answer tells where it ends. One that ends with its connection may have been cut short.
func (a *answer) framed() bool { return a.ContentLength >= 0 || len(a.TransferEncoding) > 0 }

// writeHead passes the status and headers of an answer on. length is the body's,
// -1 when it is not known.
func (j *job) writeHead(a *answer, length int64) {
	h := j.w.Header()
	closing := h.Get("Connection")
	for k, v := range passHeaders(a.Header) {
		h[k] = v
	}
	if closing != "" {
		h.Set("Connection", closing)
	}
	h.Del("Content-Length")
	if length >= 0 && a.StatusCode != http.StatusNoContent && a.StatusCode != http.StatusNotModified {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	for _, k := range []string{"Date", "Content-Type"} { // net/http would add its own
		if _, ok := h[k]; !ok {
			h[k] = nil
		}
	}
	j.w.WriteHeader(a.StatusCode)
	j.headed, j.status = true, a.StatusCode
	j.begun.Store(true)
}

// passWhole passes a plain answer on once it is whole (5).
func (j *job) passWhole(ctx context.Context, s *server, a *answer, first func()) (answered bool) {
	if j.headed { // a stream was to go on, and this is none
		a.discard()
		return j.failed(ctx, s, unknown(reason.StreamBroke, Error.New("no stream came to go on with, but status %d", a.StatusCode)))
	}
	body, err := io.ReadAll(io.LimitReader(a.Body, answerBuffer))
	if err != nil {
		a.done(false)
		return j.failed(ctx, s, j.broke(ctx, err))
	}
	first()
	if len(body) == answerBuffer {
		return j.passLarge(ctx, s, a, body)
	}
	a.done(true)
	j.whole = a.framed()
	length := int64(len(body))
	if j.r.Method == http.MethodHead {
		length = a.ContentLength
	}
	j.writeHead(a, length)
	// A caller that has gone is noticed by its context.
	_, _ = j.w.Write(body)
	return true
}

func (j *job) passLarge(ctx context.Context, s *server, a *answer, begun []byte) (answered bool) {
	j.writeHead(a, a.ContentLength)
	_, err := j.w.Write(begun)
	if err == nil {
		_, err = io.Copy(j.w, a.Body)
	}
	a.done(err == nil)
	j.whole = err == nil && a.framed()
	if err != nil {
		s.failed(time.Now())
		j.last = j.broke(ctx, err)
		j.noteBroken(s, j.last)
		j.giveUp(reason.BackendBroke)
	}
	return true
}

// broke says what a broken body means.
func (j *job) broke(ctx context.Context, err error) *failure {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return unknown(reason.BackendLate, Error.Wrap(err))
	}
	return unknown(reason.BackendBroke, Error.Wrap(err))
}

// errSilent: the server had been silent for too long when its answer began.
var errSilent = Error.New("the server's answer began when it had been given up")

// relay passes a stream on event by event (5).
func (j *job) relay(ctx context.Context, s *server, a *answer, first func()) (answered bool) {
	flush := http.NewResponseController(j.w)
	buf := make([]byte, relayBuffer)
	begun := false
	heard := time.Now()
	for {
		n, err := a.Body.Read(buf)
		if begun && n > 0 {
			j.longest = max(j.longest, time.Since(heard))
		}
		heard = time.Now()
		out := j.stream.next(buf[:n])
		if err == io.EOF {
			out = append(out, j.stream.partial...)
		}
		if len(out) > 0 || err == io.EOF {
			if !begun {
				first()
				begun = true
			}
			if !j.headed && !a.watch.pass(func() { j.writeHead(a, -1) }) {
				a.done(false)
				j.stream = events{} // none of them reaches the caller: the next server is asked for all
				return j.streamBroke(ctx, s, errSilent, true)
			}
			if _, werr := j.w.Write(out); werr != nil {
				a.done(false)
				return true // the caller has gone
			}
			_ = flush.Flush() // a caller that has gone is met at the next write
		}
		if err == io.EOF {
			a.done(true)
			j.whole = a.framed()
			if j.route.Pause > 0 {
				s.streamed(time.Now(), j.longest > j.route.Pause)
			}
			return true
		}
		if err != nil || j.stream.tooLarge() {
			dark := a.watch.stop()
			a.done(false)
			return j.streamBroke(ctx, s, err, dark)
		}
	}
}

// streamBroke has a stream go on at another server, or breaks it off.
func (j *job) streamBroke(ctx context.Context, s *server, err error, dark bool) (answered bool) {
	f := j.broke(ctx, err)
	f.dark = dark
	if j.headed && (!j.route.Resumable || j.stream.noIDs) {
		s.failed(time.Now())
		j.last = f
		j.noteBroken(s, f)
		j.giveUp(reason.StreamBroke)
		return true
	}
	j.stream.broke()
	return j.failed(ctx, s, f)
}
