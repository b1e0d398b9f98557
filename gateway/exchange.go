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

	"leverdrum/proxy"
	"leverdrum/reason"
)

const (
	// maxSurplus is how many answers that belong to no request are skipped on
	// a connection.
	maxSurplus = 2
	// maxSurplusBytes bounds such an answer.
	maxSurplusBytes = 1 << 20
	// smallBody is the size in bytes up to which a request is written before its
	// answer is read; a larger one is written beside.
	smallBody = 4 << 10
)

// outgoing is a request as it is sent.
type outgoing struct {
	method, target, host string
	header               http.Header
	body                 []byte
	id                   string
	// observe is told of each answer that comes, also of one to another request; nil: nobody is.
	observe func(*http.Response)
	// sendable is asked right before the request is sent; nil: it may be sent.
	sendable func() bool
}

// head returns the request's head.
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

// answer is a server's answer; its body has not been read.
type answer struct {
	*http.Response
	conn    *conn
	from    *conns
	written <-chan error // set while the request may still be on its way
	stop    func() bool
	watch   *watch
	spoilt  bool // the connection must not be used again
}

// done ends the reading of an answer. whole tells that its body came to its end.
func (a *answer) done(whole bool) {
	stopped := a.stop()
	if a.watch.stop() {
		whole = false
	}
	if a.written != nil {
		select {
		case err := <-a.written:
			whole = whole && err == nil
		default:
			whole = false // an answer before the request's end: the rest is still due there
		}
	}
	if !whole || a.spoilt || !stopped || a.Close {
		a.from.drop(a.conn)
		return
	}
	a.conn.rest = restOf(a.Header)
	a.from.put(a.conn)
}

// restOf returns how long the server keeps an idle connection.
func restOf(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return max(0, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
	return idleDefault
}

// failure says why there is no answer.
type failure struct {
	outcome reason.Outcome
	why     *reason.Reason
	cause   error
	dial    bool // no connection was had
	dark    bool // the server has fallen silent
}

// unsent reports whether nothing arrived anywhere.
func (f *failure) unsent() bool {
	return f.dial || errors.Is(f.cause, ErrConnectionLimit) || errors.Is(f.cause, ErrInBackoff)
}

func notRun(why *reason.Reason, cause error) *failure {
	return &failure{outcome: reason.NotRun, why: why, cause: cause}
}

func unknown(why *reason.Reason, cause error) *failure {
	return &failure{outcome: reason.Unknown, why: why, cause: cause}
}

// exchange sends the request once and reads the head of its answer. The context
// bounds the reading of the body too. A server that falls silent is given up where mayEnd
// is given and allows it; mute is as for watchOver.
func exchange(ctx context.Context, to *conns, o *outgoing, idHeader string, mute time.Duration, mayEnd func() bool) (*answer, *failure) {
	x, _, err := to.get(ctx)
	if err != nil {
		f := notRun(reason.NotReached, err)
		f.dial = !errors.Is(err, ErrConnectionLimit)
		return nil, f
	}
	if o.sendable != nil && !o.sendable() {
		to.put(x)
		return nil, notRun(reason.ServersResting, ErrInBackoff)
	}
	a := &answer{conn: x, from: to}
	// A deadline in the past ends reads and writes that are under way.
	a.stop = context.AfterFunc(ctx, func() { x.SetDeadline(time.Unix(1, 0)) })
	if mayEnd != nil {
		a.watch = watchOver(x, mute, mayEnd)
	}
	if f := a.write(o); f != nil {
		a.stop()
		a.watch.stop()
		to.drop(x)
		return nil, f
	}
	if err := a.read(o, idHeader); err != nil {
		a.stop()
		dark := a.watch.stop()
		to.drop(x)
		if dark {
			f := unknown(reason.BackendSilent, Error.Wrap(err))
			f.dark = true
			return nil, f
		}
		if ctx.Err() != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return nil, unknown(reason.BackendLate, Error.Wrap(err))
		}
		return nil, unknown(reason.BackendBroke, Error.Wrap(err))
	}
	return a, nil
}

// write sends the request. Only where the first write took nothing is it certain
// that no byte left.
func (a *answer) write(o *outgoing) *failure {
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
		return notRun(reason.NotReached, Error.Wrap(err))
	}
	return unknown(reason.BackendBroke, Error.Wrap(err))
}

// read reads the head of the answer that names the request, and skips
// answers that name another: they are late or surplus, and the connection is not
// used again.
func (a *answer) read(o *outgoing, idHeader string) error {
	for range maxSurplus + 1 {
		resp, err := http.ReadResponse(a.conn.in, &http.Request{Method: o.method})
		if err != nil {
			return err
		}
		if resp.StatusCode < http.StatusOK && resp.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		if o.observe != nil {
			o.observe(resp)
		}
		if id := resp.Header.Get(idHeader); id == "" || id == o.id {
			a.Response = resp
			return nil
		}
		a.spoilt = true
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSurplusBytes)); err != nil {
			return err
		}
	}
	return Error.New("only answers to other requests came")
}

// passHeaders copies what is for the other end.
func passHeaders(from http.Header) http.Header {
	to := http.Header{}
	proxy.CopyEndToEndHeaders(to, from)
	return to
}

// setHeader sets a header under its usual spelling.
func setHeader(h http.Header, name, value string) {
	h[textproto.CanonicalMIMEHeaderKey(name)] = []string{value}
}
