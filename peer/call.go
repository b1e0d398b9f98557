package peer

import (
	"context"
	"errors"
	"time"

	"leverdrum/meter"
	"leverdrum/wire"
)

// Call sends a request to a box and returns its response. A refusal is returned as
// *RefusedError. Call returns when the context ends, even if the session is blocked.
func (p *Pool) Call(ctx context.Context, box string, r *wire.Request) (*wire.Response, error) {
	l := p.link(box)
	s, err := p.session(ctx, box, l)
	if err != nil {
		return nil, err
	}
	return p.callOnSession(ctx, l, s, r)
}

// Fetch is Call for a response that may be large. Once the request is sent, Fetch gives up
// only if fewer than minProgress bytes arrive from the box within stallTimeout, or if the
// context ends. An abandoned response has to be retransmitted from its first byte over
// links that are already busy: 91 boxes requesting 394 KB abandoned 24 MB of it in 25 s.
func (p *Pool) Fetch(ctx context.Context, box string, r *wire.Request, stallTimeout time.Duration) (*wire.Response, error) {
	l := p.link(box)
	dialCtx, cancel := context.WithTimeout(ctx, stallTimeout)
	defer cancel()
	s, err := p.session(dialCtx, box, l)
	if err != nil {
		return nil, err
	}
	ctx, abort := context.WithCancelCause(ctx)
	defer abort(nil)
	go s.abortOnStall(ctx, abort, stallTimeout)
	return p.callOnSession(ctx, l, s, r)
}

// errStalled is the cause of a Fetch that was aborted for lack of progress.
var errStalled = errors.New("response stalled: the box is sending almost no data")

// minProgress is the number of bytes that must arrive within stallTimeout. A 10 Mbit/s
// link shared by eight transfers gives each 40 times as much in 1.2 s; keep-alives and
// small responses on the session stay below it.
const minProgress = 4 << 10

// abortOnStall aborts a call once fewer than minProgress bytes have arrived during one
// interval of stallTimeout.
func (s *session) abortOnStall(ctx context.Context, abort context.CancelCauseFunc, stallTimeout time.Duration) {
	ticker := time.NewTicker(stallTimeout)
	defer ticker.Stop()
	before := s.conn.received.Load()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		received := s.conn.received.Load()
		if received-before < minProgress {
			abort(errStalled)
			return
		}
		before = received
	}
}

func (p *Pool) callOnSession(ctx context.Context, l *link, s *session, r *wire.Request) (*wire.Response, error) {
	s.recordRequest()
	p.meters.Count(meter.PeerMessages, "out").Inc()
	done := make(chan callResult, 1)
	before := s.conn.received.Load()
	go func() {
		response, err := s.exchange(ctx, r)
		done <- callResult{response, err}
	}()
	select {
	case a := <-done:
		if a.err == nil || ctx.Err() == nil {
			return a.result(l, s)
		}
	case <-ctx.Done():
	}
	// A call that runs out of time is not evidence that the session is broken. A Fetch during which nothing arrived is.
	received := s.conn.received.Load() - before
	if s.unresponsive() || received == 0 && errors.Is(context.Cause(ctx), errStalled) {
		l.drop(s)
	}
	return nil, p.abandoned(ctx, received)
}

// abandoned adds the bytes received from the box during an abandoned call to the metrics
// and reports them in the error. Only this figure distinguishes a slow sender from an
// unresponsive one.
func (p *Pool) abandoned(ctx context.Context, bytes int64) error {
	p.meters.Count(meter.PeerAbandonedBytes).Add(float64(bytes))
	return Error.New("%w after %d bytes from the box", context.Cause(ctx), bytes)
}

// callResult is the outcome of a call.
type callResult struct {
	response *wire.Response
	err      error
}

// result converts the outcome to the return values of a call. It drops the session if the
// exchange itself failed.
func (a callResult) result(l *link, s *session) (*wire.Response, error) {
	switch {
	case a.err != nil:
		l.drop(s)
		return nil, a.err
	case a.response.Refusal != nil:
		return nil, &RefusedError{a.response.Refusal.Code, a.response.Refusal.Text}
	}
	return a.response, nil
}
