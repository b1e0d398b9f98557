package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"leverdrum/internal/attest"
	"leverdrum/internal/framing"
	"leverdrum/internal/liveness"
	"leverdrum/level"
	"leverdrum/meter"
	"leverdrum/reason"
	"leverdrum/wire"
)

const (
	// maxRelayed bounds the requests that this box relays at a time.
	maxRelayed = 256
	// relayFrameBytes is the size in bytes of the reads of a response that is relayed.
	relayFrameBytes = 16 << 10
)

// RelaySender carries the answer to the box whose request is relayed.
type RelaySender interface {
	Send(*wire.RelayFrame) error
}

// ServeRelay sends a request of another box to a server and forwards its response. The context ends when the other box needs no
// answer any more.
func (g *Gateway) ServeRelay(ctx context.Context, r *wire.RelayRequest, to RelaySender) {
	out := &relayAnswer{to: to}
	if why := g.declineRelay(r); why != "" {
		g.opts.Meters.Count(meter.RelaysServed, "declined").Inc()
		out.fail(wire.RelayFailure_DECLINED, why)
		return
	}
	if r.Server == "" {
		out.send(&wire.RelayFrame{Relays: true})
		return
	}
	reservation := g.bodies.reserve()
	defer reservation.release()
	if !reservation.grow(int64(len(r.Body))) {
		g.opts.Meters.Count(meter.RelaysServed, "declined").Inc()
		out.fail(wire.RelayFailure_DECLINED, "no memory for the body")
		return
	}
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	g.relayed.Add(1)
	defer g.relayed.Add(-1)
	g.opts.Meters.Count(meter.RelaysServed, "sent").Inc()
	stop := out.keepAlive()
	defer stop()
	g.relay(ctx, r, out)
}

// declineRelay returns why this box does not relay a request now; "" if it does. It need not be current: the box that chose the
// server is.
func (g *Gateway) declineRelay(r *wire.RelayRequest) string {
	switch {
	case g.stopped(), g.draining.Load():
		return "the box is stopping"
	case g.links.isolated():
		return "the box does not reach the servers"
	case g.relayed.Load() >= maxRelayed:
		return "the box relays too many requests"
	case r.Server != "" && g.dir.lookup(r.Server) == nil:
		return "the box does not know the server"
	}
	return ""
}

// lookup returns the server with an ID; nil if it is not known or may get no requests.
func (d *directory) lookup(id string) *server {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.view == nil {
		return nil
	}
	s := d.serverByID(id)
	if s == nil || s.isReplaced() || s.evacuated.Load() {
		return nil
	}
	if since, draining := s.drainingFor(time.Now()); draining && since >= d.drainingDuration {
		return nil
	}
	return s
}

func (g *Gateway) relay(ctx context.Context, r *wire.RelayRequest, out *relayAnswer) {
	s := g.dir.lookup(r.Server)
	if s == nil {
		out.fail(wire.RelayFailure_DECLINED, "the box does not know the server")
		return
	}
	now := time.Now()
	if s.down(now) && !s.probe(now) {
		out.fail(wire.RelayFailure_UNREACHABLE, "the server is down")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.DeadlineMs)*time.Millisecond)
	defer cancel()
	o := &outgoing{method: r.Method, target: r.Target, host: r.Host, header: http.Header{}, body: r.Body, id: r.Id}
	for _, h := range r.Headers {
		o.header.Add(h.Name, h.Value)
	}
	// The box whose request it is may not know of a block yet.
	o.refusal = func() *failure { return g.refusal(s, g.relayBlocked(r, o.header, s)) }
	o.observe = func(resp *http.Response, ruling attest.Ruling) { g.observe(s, r.Id, resp, ruling) }
	var mayAbort func() bool
	if r.SilenceMs > 0 {
		mayAbort = func() bool { return !out.started() }
	}
	startedAt := time.Now()
	s.beginAttempt(startedAt, 0)
	defer s.endAttempt(startedAt, 0, true)
	a, f := exchange(ctx, s.pool, o, &g.headers, time.Duration(r.SilenceMs)*time.Millisecond, mayAbort)
	if f != nil {
		g.recordMalformed(s, r.Id, f)
		if f.dialFailed && ctx.Err() == nil {
			g.reportDown(s, f)
		}
		out.fail(g.relayFailureKind(f), f.cause.Error())
		return
	}
	g.forwardRelayed(ctx, s, a, out)
}

// forwardRelayed forwards the response of a server as it arrives. A refusal that proves nothing on this box's connection is not forwarded: the
// other box would take it for proof.
func (g *Gateway) forwardRelayed(ctx context.Context, s *server, a *response, out *relayAnswer) {
	if a.proof != attest.NotRun && a.Header.Get(g.headers.NotRun) != "" {
		a.finish(false)
		out.fail(wire.RelayFailure_UNKNOWN, "the response does not prove that the request was not run")
		return
	}
	head := &wire.RelayHead{Status: uint32(a.StatusCode), Headers: relayHeaders(passHeaders(a.Header)), Length: a.ContentLength, Framed: a.delimited}
	if !a.watch.passHead(func() { out.send(&wire.RelayFrame{Head: head}) }) {
		a.finish(false)
		out.fail(wire.RelayFailure_UNRESPONSIVE, "the server was given up")
		return
	}
	buf := make([]byte, relayFrameBytes)
	for {
		n, err := a.Body.Read(buf)
		if n > 0 && out.send(&wire.RelayFrame{Body: buf[:n]}) != nil {
			a.finish(false)
			return // the other box has closed the stream
		}
		switch {
		case err == io.EOF:
			out.end(g.judgeRelayedEnd(ctx, s, a))
			return
		case err != nil:
			a.finish(false)
			out.fail(wire.RelayFailure_UNKNOWN, err.Error())
			return
		}
	}
}

// judgeRelayedEnd ends the reading of a response whose body was read to its end, and returns how it ended.
func (g *Gateway) judgeRelayedEnd(ctx context.Context, s *server, a *response) framing.End {
	if a.delimited {
		a.finish(true)
		return framing.Judge(true, io.EOF, nil)
	}
	a.endReading()
	defer a.finish(false)
	return framing.Judge(false, io.EOF, func() liveness.Evidence { return g.awaitEvidence(ctx, s).Evidence })
}

func (g *Gateway) relayFailureKind(f *failure) wire.RelayFailure_Kind {
	switch {
	case errors.Is(f.cause, ErrBlocked) && g.opts.View().Level >= level.PromptParts:
		return wire.RelayFailure_BLOCKED
	case f.dialFailed:
		return wire.RelayFailure_UNREACHABLE
	case errors.Is(f.cause, ErrInBackoff):
		return wire.RelayFailure_BACKOFF
	case errors.Is(f.cause, ErrConnectionLimit):
		return wire.RelayFailure_FULL
	case f.outcome == reason.NotRun:
		return wire.RelayFailure_DECLINED
	case f.unresponsive:
		return wire.RelayFailure_UNRESPONSIVE
	}
	return wire.RelayFailure_UNKNOWN
}

// relayAnswer sends the frames of an answer.
type relayAnswer struct {
	to RelaySender

	mu      sync.Mutex
	hasHead bool
}

// send sends a frame. An error means that the other box has closed the stream, which also ends the context of the request.
func (a *relayAnswer) send(f *wire.RelayFrame) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.hasHead = a.hasHead || f.Head != nil
	return a.to.Send(f)
}

// end sends the end of a response. A box of an earlier build takes any end for that of the whole response.
func (a *relayAnswer) end(end framing.End) {
	switch {
	case end == framing.Unknown:
		a.fail(wire.RelayFailure_END_UNKNOWN, errEndUnknown.Error())
		return
	case !end.IsComplete():
		a.fail(wire.RelayFailure_UNKNOWN, errServerEnded.Error())
		return
	}
	a.send(&wire.RelayFrame{End: true, Confirmed: end == framing.Confirmed})
}

func (a *relayAnswer) fail(kind wire.RelayFailure_Kind, text string) {
	a.send(&wire.RelayFrame{Failure: &wire.RelayFailure{Kind: kind, Text: text}})
}

func (a *relayAnswer) started() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.hasHead
}

// keepAlive sends empty frames until the returned function is called.
func (a *relayAnswer) keepAlive() (stop func()) {
	ended := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		ticker := time.NewTicker(relayAliveInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				a.send(&wire.RelayFrame{})
			case <-ended:
				return
			}
		}
	})
	return func() {
		close(ended)
		wg.Wait()
	}
}
