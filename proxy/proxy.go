// Package proxy sends one request to one backend server and says what became
// of it.
//
// Rules:
//
//  1. An attempt is sent at most once. The transport is kept from sending it
//     again: a request has a body that it cannot rewind, or, where an empty one
//     must be sent as such, no header by which it knows repeatable calls.
//  2. Not run is claimed only when no connection was had, so that no byte can
//     have left, or when the backend server itself says so.
//  3. An answer counts as whole when its length or its last chunk came, and a
//     stream only with its last event besides.
//  4. An answer that names another attempt is not this one's and is dropped
//     with its connection.
//  5. Calls that may not be repeated go on new connections, because one that
//     was kept may be dead already, and then the outcome would be unknown.
package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"leverdrum/engine"
	"leverdrum/reason"
)

// Error is the class of this package's errors.
var Error = errs.Class("proxy")

const (
	dialTimeout = time.Second
	idleTimeout = 30 * time.Second
	// idlePerHost is how many idle connections are kept to a backend server.
	idlePerHost = 256
	// bufferLimit is the size in bytes up to which an answer is read whole
	// before it is passed on.
	bufferLimit = 1 << 20
)

// Attempt is one attempt at a request.
type Attempt struct {
	ID      string
	Method  string
	Address string
	// Path holds the query too.
	Path   string
	Header http.Header
	Body   []byte
	// NonRepeatable marks a call that may not be repeated (5).
	NonRepeatable bool
	// Sendable is asked before the attempt is sent, once there is a connection; nil: it may be sent.
	Sendable func() bool
}

// Response is what came back. Either Body is the whole body, or Rest still has to
// be read and closed.
type Response struct {
	Status     int
	Header     http.Header
	Body       []byte
	BodyReader io.ReadCloser
	// Stream tells that Rest is a stream of events.
	Stream bool
	// Version is the version of the weights, "" when the backend does not say.
	Version string
}

// Failure says why there is no answer.
type Failure struct {
	Outcome reason.Outcome
	Reason  *reason.Reason
	Cause   error
	// Header and Status are those of an answer that is not the request's own, as of a backend that did not run it; nil and
	// 0 for other failures.
	Header http.Header
	Status int
}

// Error returns the cause.
func (f *Failure) Error() string { return f.Reason.Code + ": " + f.Cause.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }

// Sender sends attempts.
type Sender struct {
	kept  *http.Transport
	fresh *http.Transport
}

// NewSender returns a sender with its own connections.
func NewSender() *Sender {
	base := http.Transport{
		DialContext: dial, DisableCompression: true,
		MaxIdleConnsPerHost: idlePerHost, IdleConnTimeout: idleTimeout, ForceAttemptHTTP2: false,
	}
	fresh := base.Clone()
	fresh.DisableKeepAlives = true
	return &Sender{kept: base.Clone(), fresh: fresh}
}

// errNotSendable: the backend server asked for rest while a connection was being opened.
var errNotSendable = Error.New("the backend server rests")

// sendableKey names Attempt.Sendable in a request's context.
type sendableKey struct{}

// dial opens a connection, unless its request must not be sent any more by then.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	c, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if sendable, ok := ctx.Value(sendableKey{}).(func() bool); ok && !sendable() {
		c.Close()
		return nil, errNotSendable
	}
	return c, nil
}

// hopHeaders concern one connection only and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Connection",
}

// CopyEndToEndHeaders copies the headers that are for the other end.
func CopyEndToEndHeaders(to, from http.Header) {
	named := strings.Split(strings.Join(from.Values("Connection"), ","), ",")
	for k, v := range from {
		to[k] = v
	}
	for _, k := range hopHeaders {
		to.Del(k)
	}
	for _, k := range named {
		to.Del(strings.TrimSpace(k))
	}
}

// onceBody is a body that the transport cannot rewind (1).
type onceBody struct{ *bytes.Reader }

// Close does nothing.
func (onceBody) Close() error { return nil }

// keyHeaders make net/http's transport take a request for repeatable when they
// stand under their usual spelling.
var keyHeaders = []string{"Idempotency-Key", "X-Idempotency-Key"}

// bodyOf returns the body of a request (1). Methods that commonly have none get
// one that turns out empty. For others it would go out in chunks, so they get
// none, and the key headers go out under another spelling, which is the same in
// HTTP.
func bodyOf(req *http.Request, a *Attempt) {
	switch {
	case len(a.Body) > 0:
		req.Body, req.ContentLength = onceBody{bytes.NewReader(a.Body)}, int64(len(a.Body))
	case a.Method == http.MethodGet, a.Method == http.MethodHead, a.Method == http.MethodOptions, a.Method == http.MethodTrace:
		req.Body = onceBody{bytes.NewReader(nil)}
	default:
		for _, k := range keyHeaders {
			if v, ok := req.Header[k]; ok {
				delete(req.Header, k)
				req.Header[strings.ToLower(k)] = v
			}
		}
	}
}

// Send sends the attempt and waits for the answer, or its beginning if it is a
// stream or large. The context bounds the reading of Rest too.
func (s *Sender) Send(ctx context.Context, a *Attempt) (*Response, *Failure) {
	var connected atomic.Bool
	if a.Sendable != nil {
		ctx = context.WithValue(ctx, sendableKey{}, a.Sendable)
	}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), a.Method, "http://"+a.Address+a.Path, nil)
	if err != nil {
		return nil, &Failure{Outcome: reason.NotRun, Reason: reason.BadRequest, Cause: Error.Wrap(err)}
	}
	CopyEndToEndHeaders(req.Header, a.Header)
	bodyOf(req, a)
	req.Header.Set(engine.HeaderAttemptID, a.ID)
	transport := s.kept
	if a.NonRepeatable {
		transport = s.fresh // (5)
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return nil, classify(err, connected.Load())
	}
	return s.receive(a, resp)
}

// classify is rule 2.
func classify(err error, connected bool) *Failure {
	switch {
	case errors.Is(err, errNotSendable):
		return &Failure{Outcome: reason.NotRun, Reason: reason.ServersInBackoff, Cause: Error.Wrap(err)}
	case !connected:
		return &Failure{Outcome: reason.NotRun, Reason: reason.BackendUnreachable, Cause: Error.Wrap(err)}
	case errors.Is(err, context.DeadlineExceeded):
		return &Failure{Outcome: reason.Unknown, Reason: reason.BackendTimeout, Cause: Error.Wrap(err)}
	}
	return &Failure{Outcome: reason.Unknown, Reason: reason.BackendDisconnected, Cause: Error.Wrap(err)}
}

func (s *Sender) receive(a *Attempt, resp *http.Response) (*Response, *Failure) {
	if id := resp.Header.Get(engine.HeaderAttemptID); id != "" && id != a.ID { // (4)
		resp.Body.Close()
		return nil, &Failure{Outcome: reason.Unknown, Reason: reason.BackendDisconnected, Header: resp.Header, Status: resp.StatusCode, Cause: Error.New("the answer is of attempt %q", id)}
	}
	if resp.Header.Get(engine.HeaderNotRun) == "true" {
		resp.Body.Close()
		return nil, &Failure{Outcome: reason.NotRun, Reason: reason.BackendRefused, Header: resp.Header, Status: resp.StatusCode, Cause: Error.New("the backend server answered %d, not run", resp.StatusCode)}
	}
	answer := &Response{Status: resp.StatusCode, Header: http.Header{}, Version: resp.Header.Get(engine.HeaderVersion)}
	CopyEndToEndHeaders(answer.Header, resp.Header)
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		answer.BodyReader, answer.Stream = resp.Body, true
		return answer, nil
	}
	return s.buffer(resp, answer)
}

// buffer reads an answer whole if it is small (3).
func (s *Sender) buffer(resp *http.Response, answer *Response) (*Response, *Failure) {
	if resp.ContentLength > bufferLimit {
		answer.BodyReader = resp.Body
		return answer, nil
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, bufferLimit+1))
	if err != nil {
		resp.Body.Close()
		return nil, classify(err, true)
	}
	if len(body) > bufferLimit {
		answer.BodyReader = joined{io.MultiReader(bytes.NewReader(body), resp.Body), resp.Body}
		return answer, nil
	}
	resp.Body.Close()
	answer.Body = body
	return answer, nil
}

type joined struct {
	io.Reader
	io.Closer
}
