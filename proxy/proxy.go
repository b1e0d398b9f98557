// Package proxy sends one request to one backend server and reports the outcome.
//
// Rules:
//
//  1. An attempt is sent at most once. The transport is prevented from retrying it:
//     a request has a body that cannot be rewound or, if an empty body must be sent
//     as such, no header that marks idempotent requests for the transport.
//  2. An attempt is reported as not run only if it had no connection, so that no
//     byte can have been sent, or if the backend server's response proves it
//     (package attest).
//  3. A response is complete when its full length or its final chunk arrived; a
//     stream also needs its last event. One without a length or chunks is
//     complete if its server has shown after the end that it went on (packages
//     framing and liveness), or if it is a stream with a last event.
//  4. A response that does not belong to the attempt is dropped with its
//     connection. Attempts have IDs of their own, so that a response to an earlier
//     attempt of the same request is none to a later one.
//  5. Calls that may not be repeated use new connections: a reused connection may
//     already be dead, and then the outcome would be unknown.
//  6. Bytes that are no well-formed response are none (package responsehead). The end of one without a length or chunks is
//     an error unless the backend server has received the whole request.
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
	"leverdrum/internal/attest"
	"leverdrum/internal/framing"
	"leverdrum/internal/liveness"
	"leverdrum/internal/membudget"
	"leverdrum/internal/responsehead"
	"leverdrum/reason"
)

// Error is the class of this package's errors.
var Error = errs.Class("proxy")

const (
	dialTimeout = time.Second
	idleTimeout = 30 * time.Second
	// idlePerHost is the maximum number of idle connections to a backend server.
	idlePerHost = 256
	// bufferLimit is the size in bytes up to which a response is read completely before it is
	// forwarded.
	bufferLimit = 1 << 20
)

// Attempt is one attempt at a request.
type Attempt struct {
	// ID is unique among all attempts (4).
	ID      string
	Method  string
	Address string
	// Path includes the query.
	Path   string
	Header http.Header
	Body   []byte
	// NonRepeatable marks a call that may not be repeated (5).
	NonRepeatable bool
	// Sendable is called once a new connection is open and reports whether the attempt may still be
	// sent; nil means yes.
	Sendable func() bool
	// Memory is what its response may be buffered in; nil means no limit. The caller releases it once it needs the body no more.
	Memory *membudget.Hold
	// ObserveEnd is called when the body of the response was read to its end; may be nil.
	ObserveEnd EndObserver
}

// Response is the response to an attempt. Either Body is the complete body, or BodyReader is not nil
// and must be read and closed.
type Response struct {
	Status     int
	Header     http.Header
	Body       []byte
	BodyReader io.ReadCloser
	// Stream is set if BodyReader is an event stream.
	Stream bool
	// Undelimited is set if only the end of the connection ended, or will end, the body.
	Undelimited bool
	// Version is the version of the weights, "" if the backend does not report it.
	Version string

	// awaitEvidence returns what is known of the server after now; set if Undelimited is. observe is Attempt.ObserveEnd.
	awaitEvidence func() liveness.Evidence
	observe       EndObserver
}

// Failure describes why there is no response.
type Failure struct {
	Outcome reason.Outcome
	Reason  *reason.Reason
	Cause   error
	// Header and Status are those of a response that is not the request's own, such as that of a
	// backend that did not run it. They are nil and 0 for other failures.
	Header http.Header
	Status int
}

// Error returns the reason code and the cause.
func (f *Failure) Error() string { return f.Reason.Code + ": " + f.Cause.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }

// Sender sends attempts to backend servers.
type Sender struct {
	reused    *http.Transport
	singleUse *http.Transport
	servers   liveness.Group // by address
}

// NewSender returns a Sender with its own connection pool.
func NewSender() *Sender {
	base := http.Transport{
		DialContext: dial, DisableCompression: true,
		MaxIdleConnsPerHost: idlePerHost, IdleConnTimeout: idleTimeout, ForceAttemptHTTP2: false, MaxResponseHeaderBytes: attest.MaxHeadBytes,
	}
	singleUse := base.Clone()
	singleUse.DisableKeepAlives = true
	return &Sender{reused: base.Clone(), singleUse: singleUse}
}

// errInBackoff means that the backend server asked for a backoff while a connection was being opened.
var errInBackoff = Error.New("the backend server asked for a backoff")

// sendableKey is the context key of Attempt.Sendable.
type sendableKey struct{}

// dial opens a connection. It fails if the request must no longer be sent once the connection is open.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	c, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if sendable, ok := ctx.Value(sendableKey{}).(func() bool); ok && !sendable() {
		c.Close()
		return nil, errInBackoff
	}
	return responsehead.NewConn(c), nil // (6)
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Connection",
}

// CopyEndToEndHeaders copies all headers except hop-by-hop headers and those listed in Connection.
func CopyEndToEndHeaders(to, from http.Header) {
	connectionHeaders := strings.Split(strings.Join(from.Values("Connection"), ","), ",")
	for k, v := range from {
		to[k] = v
	}
	for _, k := range hopByHopHeaders {
		to.Del(k)
	}
	for _, k := range connectionHeaders {
		to.Del(strings.TrimSpace(k))
	}
}

// unrewindableBody is a body that the transport cannot rewind (1).
type unrewindableBody struct{ *bytes.Reader }

// Close does nothing: the body holds no resources.
func (unrewindableBody) Close() error { return nil }

// idempotencyHeaders make net/http's transport treat a request as idempotent if they have their
// canonical spelling.
var idempotencyHeaders = []string{"Idempotency-Key", "X-Idempotency-Key"}

// setBody sets the body of a request (1). Methods that usually have no body get an empty one that
// cannot be rewound. For other methods such a body would be sent in chunks. They get no body, and the
// idempotency headers are sent in lower case, which is equivalent in HTTP.
func setBody(req *http.Request, a *Attempt) {
	switch {
	case len(a.Body) > 0:
		req.Body, req.ContentLength = unrewindableBody{bytes.NewReader(a.Body)}, int64(len(a.Body))
	case a.Method == http.MethodGet, a.Method == http.MethodHead, a.Method == http.MethodOptions, a.Method == http.MethodTrace:
		req.Body = unrewindableBody{bytes.NewReader(nil)}
	default:
		for _, k := range idempotencyHeaders {
			if v, ok := req.Header[k]; ok {
				delete(req.Header, k)
				req.Header[strings.ToLower(k)] = v
			}
		}
	}
}

// Send sends the attempt and waits for the complete response, or for its headers if it is a stream or
// large. The context also bounds the reading of BodyReader.
func (s *Sender) Send(ctx context.Context, a *Attempt) (*Response, *Failure) {
	var connected, reused atomic.Bool
	if a.Sendable != nil {
		ctx = context.WithValue(ctx, sendableKey{}, a.Sendable)
	}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		connected.Store(true)
		reused.Store(info.Reused)
	}}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), a.Method, "http://"+a.Address+a.Path, nil)
	if err != nil {
		return nil, &Failure{Outcome: reason.NotRun, Reason: reason.BadRequest, Cause: Error.Wrap(err)}
	}
	CopyEndToEndHeaders(req.Header, a.Header)
	setBody(req, a)
	req.Header.Set(engine.HeaderAttemptID, a.ID)
	transport := s.reused
	if a.NonRepeatable {
		transport = s.singleUse // (5)
	}
	resp, err := responsehead.RoundTrip(transport, req)
	if err != nil {
		return nil, classify(err, connected.Load())
	}
	return s.receive(ctx, a, resp, reused.Load())
}

// classify returns the failure for a transport error. It is not run only if there was no connection
// (2).
func classify(err error, connected bool) *Failure {
	switch {
	case errors.Is(err, errInBackoff):
		return &Failure{Outcome: reason.NotRun, Reason: reason.ServersInBackoff, Cause: Error.Wrap(err)}
	case !connected:
		return &Failure{Outcome: reason.NotRun, Reason: reason.BackendUnreachable, Cause: Error.Wrap(err)}
	case errors.Is(err, context.DeadlineExceeded):
		return &Failure{Outcome: reason.Unknown, Reason: reason.BackendTimeout, Cause: Error.Wrap(err)}
	}
	return &Failure{Outcome: reason.Unknown, Reason: reason.BackendDisconnected, Cause: Error.Wrap(err)}
}

// headers are the names of the headers by which a response is attributed to an attempt.
var headers = attest.Headers{RequestID: engine.HeaderAttemptID, NotRun: engine.HeaderNotRun}

// check returns the failure of an attempt whose response is not its own, was not run, or may have been (2, 4).
func check(a *Attempt, resp *http.Response, reused bool) *Failure {
	history := &attest.History{}
	if reused {
		history = attest.OfReused()
	}
	history.Begin(a.ID)
	ruling := history.Judge(a.ID, resp.StatusCode, resp.Header, &headers)
	f := &Failure{Outcome: reason.Unknown, Reason: reason.BackendUnproven, Header: resp.Header, Status: resp.StatusCode}
	switch {
	case ruling.Owner == attest.Another:
		f.Reason, f.Cause = reason.BackendDisconnected, Error.New("the response belongs to attempt %q", resp.Header.Get(engine.HeaderAttemptID))
	case ruling.Owner == attest.Unidentified:
		f.Cause = Error.New("the response does not say which attempt it belongs to")
	case ruling.Proof == attest.NotRun:
		f.Outcome, f.Reason = reason.NotRun, reason.BackendRefused
		f.Cause = Error.New("the backend server responded with status %d and did not run the request", resp.StatusCode)
	case resp.Header.Get(engine.HeaderNotRun) != "":
		f.Cause = Error.New("the response with status %d does not prove that the request was not run", resp.StatusCode)
	default:
		return nil
	}
	return f
}

func (s *Sender) receive(ctx context.Context, a *Attempt, resp *http.Response, reused bool) (*Response, *Failure) {
	if f := check(a, resp, reused); f != nil {
		resp.Body.Close()
		return nil, f
	}
	response := &Response{Status: resp.StatusCode, Header: http.Header{}, Version: resp.Header.Get(engine.HeaderVersion), Undelimited: !framing.Delimited(a.Method, resp), observe: a.ObserveEnd}
	if response.Undelimited {
		response.awaitEvidence = func() liveness.Evidence { return s.servers.Await(ctx, a.Address, probe(a.Address)) }
	}
	CopyEndToEndHeaders(response.Header, resp.Header)
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		response.BodyReader, response.Stream = resp.Body, true
		return response, nil
	}
	return s.buffer(a, resp, response)
}

// buffer reads a response completely if it is small and there is memory for it (3).
func (s *Sender) buffer(a *Attempt, resp *http.Response, response *Response) (*Response, *Failure) {
	length := resp.ContentLength
	switch {
	case length > bufferLimit:
		response.BodyReader = resp.Body
		return response, nil
	case a.Method == http.MethodHead:
		length = 0
	}
	body, err := a.Memory.ReadAll(resp.Body, length, bufferLimit)
	switch {
	case errors.Is(err, membudget.ErrTooLong), errors.Is(err, membudget.ErrFull):
		response.BodyReader = &partlyRead{ReadCloser: resp.Body, memory: a.Memory, begin: body, reserved: cap(body)}
		return response, nil
	case err != nil:
		a.Memory.Shrink(cap(body))
		resp.Body.Close()
		return nil, classify(err, true)
	}
	resp.Body.Close()
	if err := response.judgeEnd(); err != nil {
		a.Memory.Shrink(cap(body))
		return nil, endFailure(err)
	}
	response.Body = body
	return response, nil
}

// partlyRead is a body whose beginning was read into memory, which is returned once it was read again.
type partlyRead struct {
	io.ReadCloser
	memory   *membudget.Hold
	begin    []byte
	reserved int
}

// Read implements io.Reader.
func (p *partlyRead) Read(b []byte) (int, error) {
	if len(p.begin) > 0 {
		n := copy(b, p.begin)
		p.begin = p.begin[n:]
		return n, nil
	}
	p.begin = nil
	p.memory.Shrink(p.reserved)
	p.reserved = 0
	return p.ReadCloser.Read(b)
}
