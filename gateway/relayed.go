package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"leverdrum/event"
	"leverdrum/internal/attest"
	"leverdrum/internal/liveness"
	"leverdrum/internal/responsehead"
	"leverdrum/meter"
	"leverdrum/reason"
	"leverdrum/wire"
)

// errRelayLost is the cause of a failure of the relaying box, or of the connection to it, which says nothing about the server.
var errRelayLost = errors.New("the relaying box or the connection to it failed")

// relaysTo reports whether an attempt with this ID at a server goes through another box: no connection of this box that may carry
// it works.
func (g *Gateway) relaysTo(s *server, id string) bool {
	if !g.relays.enabled() {
		return false
	}
	now := time.Now()
	if since := g.links.isolatedSince(); !since.IsZero() {
		return !s.pool.readSince(since) || !s.pool.hasIdle(now, id)
	}
	return s.down(now) && s.relayable(now)
}

// relayedExchange is exchange through another box. silence is the time after which a silent server is given up; 0: never.
func (j *job) relayedExchange(ctx context.Context, s *server, o *outgoing, silence time.Duration) (*response, *failure) {
	var asked []string
	var full *failure // of a box that would relay
	for range maxRelayBoxes {
		box, ok := j.g.relays.acquire(ctx, asked)
		if !ok {
			break
		}
		if f := o.refused(); f != nil {
			j.g.relays.release(box)
			return nil, f
		}
		x := &relayExchange{ctx: ctx, relays: j.g.relays, box: box, names: &j.g.headers}
		a, f := x.run(s, o, silence)
		if f == nil || !f.declined {
			j.relayedBy = box
			j.countRelayed(f)
			return a, f
		}
		asked = append(asked, box)
		if errors.Is(f.cause, ErrConnectionLimit) {
			full = f
		}
	}
	if full != nil {
		return nil, full
	}
	j.g.opts.Meters.Count(meter.RelayedAttempts, "no-box").Inc()
	f := notRun(reason.NoPath, errNoRelay)
	f.noPath = true
	return nil, f
}

func (j *job) countRelayed(f *failure) {
	result := "answered"
	if f != nil {
		result = "failed"
	}
	j.g.opts.Meters.Count(meter.RelayedAttempts, result).Inc()
}

// relayExchange is one request that another box relays. It is released when its response has ended.
type relayExchange struct {
	relays  *relays
	box     string
	names   *attest.Headers
	ctx     context.Context // of the request
	stream  RelayStream
	stop    func() bool // of the context
	silence *time.Timer
	unread  []byte // of the body
	ended   bool   // the last frame has arrived
	// evidence is what the relaying box found of the server after the end of an undelimited response.
	evidence liveness.Evidence
}

// run sends the request and reads the head of the response.
func (x *relayExchange) run(s *server, o *outgoing, silence time.Duration) (*response, *failure) {
	ctx := x.ctx
	deadline, _ := ctx.Deadline()
	r := &wire.RelayRequest{
		Server: s.id, Method: o.method, Target: o.target, Host: o.host, Headers: relayHeaders(o.header), Body: o.body, Id: o.id,
		DeadlineMs: uint32(max(1, time.Until(deadline).Milliseconds())), SilenceMs: uint32(silence.Milliseconds()),
	}
	opening, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	stream, sent, err := x.relays.open(opening, x.box, r)
	if err != nil {
		x.recordLost()
		x.relays.release(x.box)
		if sent {
			return nil, relayLost(ctx, err)
		}
		return nil, &failure{outcome: reason.NotRun, reason: reason.NoPath, cause: Error.Wrap(err), declined: true}
	}
	x.stream = stream
	x.stop = context.AfterFunc(ctx, func() { stream.Close() })
	x.silence = time.AfterFunc(relaySilence, func() { stream.Close() })
	f, err := x.nextFrame()
	switch {
	case err != nil:
		x.close()
		x.recordLost()
		return nil, relayLost(ctx, err)
	case f.Failure != nil:
		x.close()
		return nil, x.failure(f.Failure)
	case f.Head == nil:
		x.close()
		return nil, relayLost(ctx, Error.New("the answer of box %s has no head", x.box))
	}
	x.relays.recordAnswer(x.box, true)
	if err := checkRelayed(f.Head); err != nil {
		x.close()
		return nil, unknown(reason.BackendDisconnected, Error.Wrap(err))
	}
	return x.response(f.Head, o)
}

// recordLost records that the relaying box was lost, unless it was this one that ended the exchange.
func (x *relayExchange) recordLost() {
	if x.ctx.Err() == nil {
		x.relays.recordAnswer(x.box, false)
	}
}

// relayLost returns the failure of an attempt whose relaying box was lost after it may have been sent.
func relayLost(ctx context.Context, err error) *failure {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return unknown(reason.BackendTimeout, Error.Wrap(err))
	}
	f := unknown(reason.BackendDisconnected, Error.Wrap(errors.Join(errRelayLost, err)))
	f.relayLost = true
	return f
}

// nextFrame reads frames until one has content.
func (x *relayExchange) nextFrame() (*wire.RelayFrame, error) {
	for {
		f := &wire.RelayFrame{}
		if err := x.stream.Receive(f); err != nil {
			return nil, err
		}
		x.silence.Reset(relaySilence)
		if f.Head != nil || f.Failure != nil || f.End || len(f.Body) > 0 {
			return f, nil
		}
	}
}

// failure returns what the relaying box reports of an attempt.
func (x *relayExchange) failure(r *wire.RelayFailure) *failure {
	cause := Error.New("box %s: %s", x.box, r.Text)
	x.relays.recordAnswer(x.box, r.Kind != wire.RelayFailure_DECLINED)
	switch r.Kind {
	case wire.RelayFailure_DECLINED:
		return &failure{outcome: reason.NotRun, reason: reason.NoPath, cause: cause, declined: true}
	case wire.RelayFailure_FULL:
		f := notRun(reason.BackendUnreachable, ErrConnectionLimit)
		f.declined = true
		return f
	case wire.RelayFailure_UNREACHABLE:
		f := notRun(reason.BackendUnreachable, cause)
		f.dialFailed, f.relayed = true, true
		return f
	case wire.RelayFailure_BACKOFF:
		return notRun(reason.ServersInBackoff, ErrInBackoff)
	case wire.RelayFailure_BLOCKED:
		return notRun(reason.CrashesServers, ErrBlocked)
	case wire.RelayFailure_UNRESPONSIVE:
		f := unknown(reason.BackendUnresponsive, cause)
		f.unresponsive, f.relayed = true, true
		return f
	}
	f := unknown(reason.BackendDisconnected, cause)
	f.relayed = true
	return f
}

// checkRelayed returns what is wrong with the head of a relayed response; nil if nothing is. A box of an earlier build relays
// heads that it has not checked.
func checkRelayed(head *wire.RelayHead) error {
	if head.Status < http.StatusOK || !responsehead.ValidStatus(int(head.Status)) {
		return &responsehead.Error{Kind: responsehead.Status}
	}
	if head.Length < -1 {
		return &responsehead.Error{Kind: responsehead.ContentLength}
	}
	for _, h := range head.Headers {
		if err := responsehead.CheckField(h.Name, h.Value); err != nil {
			return err
		}
	}
	return nil
}

func (x *relayExchange) response(head *wire.RelayHead, o *outgoing) (*response, *failure) {
	resp := &http.Response{StatusCode: int(head.Status), Header: http.Header{}, ContentLength: head.Length, Body: x, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}
	for _, h := range head.Headers {
		resp.Header.Add(h.Name, h.Value)
	}
	var history attest.History // of the stream between the boxes, which carries a single attempt
	history.Begin(o.id)
	ruling := history.Judge(o.id, resp.StatusCode, resp.Header, x.names)
	if o.observe != nil {
		o.observe(resp, ruling)
	}
	a := &response{Response: resp, relay: x, delimited: head.Framed, proof: ruling.Proof}
	if ruling.Owner != attest.This {
		a.finish(false)
		return nil, unproven(Error.New("box %s relayed a response that is not the request's", x.box))
	}
	return a, nil
}

// Read implements io.Reader for the body of the response.
func (x *relayExchange) Read(b []byte) (int, error) {
	for len(x.unread) == 0 {
		if x.ended {
			return 0, io.EOF
		}
		f, err := x.nextFrame()
		switch {
		case err != nil:
			x.recordLost()
			return 0, Error.Wrap(errors.Join(errRelayLost, err))
		case f.Failure.GetKind() == wire.RelayFailure_END_UNKNOWN:
			return 0, Error.Wrap(errEndUnknown)
		case f.Failure != nil:
			return 0, Error.New("box %s: %s", x.box, f.Failure.Text)
		}
		x.unread, x.ended = f.Body, f.End
		if f.Confirmed {
			x.evidence = liveness.Relayed
		}
	}
	n := copy(b, x.unread)
	x.unread = x.unread[n:]
	return n, nil
}

// Close implements io.Closer. It is finish that ends the exchange.
func (x *relayExchange) Close() error { return nil }

// close ends the exchange: the relaying box closes its connection to the server unless the response is complete.
func (x *relayExchange) close() {
	x.stop()
	x.silence.Stop()
	x.stream.Close()
	x.relays.release(x.box)
}

func relayHeaders(h http.Header) (list []*wire.RelayHeader) {
	for name, values := range h {
		for _, v := range values {
			list = append(list, &wire.RelayHeader{Name: name, Value: v})
		}
	}
	return list
}

// relayFields returns the log fields of a request that another box relayed.
func (j *job) relayFields() []zap.Field {
	if j.relayedBy == "" {
		return nil
	}
	return []zap.Field{zap.String("relayed_by", j.relayedBy)}
}

// logNoPath logs, at most once per noPathLogInterval, that requests are rejected since no box relays them.
func (g *Gateway) logNoPath() {
	now := time.Now().UnixNano()
	last := g.noPathLogged.Load()
	if now-last >= int64(noPathLogInterval) && g.noPathLogged.CompareAndSwap(last, now) {
		event.NoRelay.Log(g.opts.Log)
	}
}

const noPathLogInterval = time.Second
