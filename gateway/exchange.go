package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"leverdrum/internal/attest"
	"leverdrum/internal/framing"
	"leverdrum/proxy"
	"leverdrum/reason"
)

const (
	// maxSurplus is the number of interim responses, and of responses to other requests, that an exchange skips.
	maxSurplus = 16
	// maxSurplusBytes bounds the body of a response to another request, and surplusTimeout the time in which it arrives.
	maxSurplusBytes = 1 << 20
	surplusTimeout  = time.Second
	// smallBody is the body size in bytes up to which a request is written before its response is
	// read; a larger body is written concurrently.
	smallBody = 4 << 10
)

// outgoing is a request to a server.
type outgoing struct {
	method, target, host string
	header               http.Header
	body                 []byte
	id                   string
	// observe is called with each response that arrives, also one to another request; may be nil.
	observe func(*http.Response, attest.Ruling)
	// refusal is called right before the request is sent and returns why it may not be, nil if it may; nil: it always may.
	refusal func() *failure
	// watching is called with the watch of the exchange, where it has one; may be nil.
	watching func(*watch)
}

// refused returns why the request may not be sent now, nil if it may.
func (o *outgoing) refused() *failure {
	if o.refusal == nil {
		return nil
	}
	return o.refusal()
}

// head returns the request line and headers.
func (o *outgoing) head() []byte {
	var b bytes.Buffer
	b.WriteString(o.method + " " + o.target + " HTTP/1.1\r\nHost: " + o.host + "\r\n")
	for k, values := range o.header {
		for _, v := range values {
			b.WriteString(k + ": " + v + "\r\n")
		}
	}
	if len(o.body) > 0 || o.method == http.MethodPost || o.method == http.MethodPut || o.method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(o.body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// response is a server's response whose body has not been read.
type response struct {
	*http.Response
	conn    *conn
	pool    *connPool
	written <-chan error // set while the request body may still be being written
	stop    func() bool
	watch   *watch
	tainted bool // the connection must not be reused
	// proof is what the response proves about the attempt.
	proof attest.Proof
	// delimited is set if the head determines where the body ends.
	delimited bool
	relay     *relayExchange // set if another box relays the exchange; it has no connection then
}

// finish ends the reading of a response. whole reports that its body was read to the end.
func (a *response) finish(complete bool) {
	if a.relay != nil {
		a.relay.close()
		return
	}
	stopped := a.stop()
	if a.watch.stopAborted() {
		complete = false
	}
	if a.written != nil {
		select {
		case err := <-a.written:
			complete = complete && err == nil
		default:
			complete = false // a response before the end of the request: the server still expects the rest
		}
	}
	if !complete || a.tainted || !stopped || a.Close {
		a.pool.drop(a.conn)
		return
	}
	a.conn.idleTimeout = idleTimeoutOf(a.Header)
	a.pool.put(a.conn)
}

// idleTimeoutOf returns how long the server keeps an idle connection open.
func idleTimeoutOf(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return max(0, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
	return defaultIdleTimeout
}

// failure describes why an attempt has no usable response.
type failure struct {
	outcome      reason.Outcome
	reason       *reason.Reason
	cause        error
	dialFailed   bool // no connection was established
	unresponsive bool // the server sent nothing for too long
	moved        bool // the exchange was aborted to move the request to another server
	relayed      bool // another box that reaches the servers reports it
	declined     bool // a box declined to relay the attempt
	noPath       bool // this box does not reach the server, and no other box relays the attempt
	endUnknown   bool // the response may be complete
	unproven     bool // the response does not prove whether the server runs the attempt
	relayLost    bool // the relaying box, or the connection to it, failed
}

// unsent reports whether the attempt was never sent.
func (f *failure) unsent() bool {
	return f.dialFailed || f.noPath || errors.Is(f.cause, ErrConnectionLimit) || errors.Is(f.cause, ErrInBackoff) || errors.Is(f.cause, ErrBlocked)
}

func notRun(refusal *reason.Reason, cause error) *failure {
	return &failure{outcome: reason.NotRun, reason: refusal, cause: cause}
}

func unknown(refusal *reason.Reason, cause error) *failure {
	return &failure{outcome: reason.Unknown, reason: refusal, cause: cause}
}

// exchange sends the request once and reads the head of the response. The context also bounds the
// reading of the body. Where mayAbort is not nil, an exchange with an unresponsive server is
// aborted once mayAbort allows it; silence is as for newWatch.
func exchange(ctx context.Context, to *connPool, o *outgoing, names *attest.Headers, silence time.Duration, mayAbort func() bool) (*response, *failure) {
	x, err := to.get(ctx, o.id, names)
	if err != nil {
		f := notRun(reason.BackendUnreachable, err)
		f.dialFailed = !errors.Is(err, ErrConnectionLimit)
		return nil, f
	}
	if f := o.refused(); f != nil {
		to.put(x)
		return nil, f
	}
	a := &response{conn: x, pool: to}
	// A deadline in the past interrupts reads and writes in progress.
	a.stop = context.AfterFunc(ctx, func() { x.SetDeadline(time.Unix(1, 0)) })
	if mayAbort != nil {
		a.watch = newWatch(x, silence, mayAbort)
		if o.watching != nil {
			o.watching(a.watch)
		}
	}
	x.history.Begin(o.id)
	stopSilence := to.links.awaitHead(to.server)
	defer stopSilence()
	if f := a.write(o); f != nil {
		a.stop()
		a.watch.stop()
		to.drop(x)
		return nil, f
	}
	if err := a.read(o, names); err != nil {
		a.stop()
		unresponsive := a.watch.stop()
		to.drop(x)
		if errors.Is(err, errUnidentified) {
			return nil, unproven(err)
		}
		if unresponsive {
			f := unknown(reason.BackendUnresponsive, Error.Wrap(err))
			f.unresponsive = true
			return nil, f
		}
		if ctx.Err() != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return nil, unknown(reason.BackendTimeout, Error.Wrap(err))
		}
		return nil, unknown(reason.BackendDisconnected, Error.Wrap(err))
	}
	return a, nil
}

// write sends the request. Only where the first write took no byte is it certain that none was
// sent.
func (a *response) write(o *outgoing) *failure {
	head := o.head()
	if len(o.body) <= smallBody {
		n, err := a.conn.Write(append(head, o.body...))
		return writeFailure(n, err)
	}
	n, err := a.conn.Write(head)
	if err != nil {
		return writeFailure(n, err)
	}
	written := make(chan error, 1)
	a.written = written
	x := a.conn
	go func() {
		_, err := x.Write(o.body)
		written <- err
	}()
	return nil
}

func writeFailure(n int, err error) *failure {
	switch {
	case err == nil:
		return nil
	case n == 0:
		return notRun(reason.BackendUnreachable, Error.Wrap(err))
	}
	return unknown(reason.BackendDisconnected, Error.Wrap(err))
}

// errUnidentified is returned where a response does not say which request it is for.
var errUnidentified = Error.New("the response does not say which request it is for")

// unproven returns the failure of an attempt whose response does not prove whether the server runs it.
func unproven(cause error) *failure {
	f := unknown(reason.BackendUnproven, cause)
	f.unproven = true
	return f
}

// read reads the head of the response to this request. It skips responses to other requests: they are late or surplus.
func (a *response) read(o *outgoing, names *attest.Headers) error {
	for range maxSurplus + 1 {
		resp, err := a.conn.readHead(&http.Request{Method: o.method})
		if err != nil {
			return err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		ruling := a.conn.history.Judge(o.id, resp.StatusCode, resp.Header, names)
		if o.observe != nil {
			o.observe(resp, ruling)
		}
		switch ruling.Owner {
		case attest.This:
			a.Response, a.delimited, a.proof = resp, framing.Delimited(o.method, resp), ruling.Proof
			if !a.delimited {
				a.Body = &uploadedBody{a.Body, a}
			}
			return nil
		case attest.Unidentified:
			return errUnidentified
		}
		if err := a.skip(o, resp); err != nil {
			return err
		}
	}
	return Error.New("received only responses to other requests")
}

// errSurplus is returned where a response to another request has no end, so that it is not known where the next one begins.
var errSurplus = Error.New("a response to another request does not end")

// skip reads the body of a response to another request.
func (a *response) skip(o *outgoing, surplus *http.Response) error {
	if !framing.Delimited(o.method, surplus) {
		return errSurplus
	}
	timer := a.conn.abortReadAfter(surplusTimeout)
	n, err := io.Copy(io.Discard, io.LimitReader(surplus.Body, maxSurplusBytes))
	if !timer.Stop() || n == maxSurplusBytes {
		return errSurplus
	}
	return Error.Wrap(err)
}

// passHeaders returns the end-to-end headers.
func passHeaders(from http.Header) http.Header {
	to := http.Header{}
	proxy.CopyEndToEndHeaders(to, from)
	return to
}

// setHeader sets a header under its canonical name.
func setHeader(h http.Header, name, value string) {
	h[textproto.CanonicalMIMEHeaderKey(name)] = []string{value}
}
