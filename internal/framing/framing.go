// Package framing determines where the body of an HTTP/1.x response ends, and keeps what is unknown about the end unknown
// when the response is forwarded.
//
// Rules:
//
//  1. A response is delimited if its head determines where the body ends: by a length, by chunks, or because it
//     has no body. Any other response ends with its connection (RFC 9112, section 6.3).
//  2. The body of a delimited response that was read to its end is complete. An undelimited one is complete if its server
//     has shown after the end that it went on (package liveness): the kernel closes the connections of a server that crashes,
//     too. Without that evidence its end is unknown.
//  3. An undelimited response is forwarded undelimited, with neither a length nor chunks.
//  4. Until the last byte of an undelimited response is written, closing its connection resets it, whoever closes it:
//     without a reset, a response that was aborted would look like one that has ended. Bytes that net/http buffers are
//     written before that: a process that is killed with them closes the connection in the ordinary way.
package framing

import (
	"context"
	"io"
	"net"
	"net/http"

	"leverdrum/internal/liveness"
)

// End is how the body of a response ended.
type End int

// Ends of a response.
const (
	// Pending is the end of a response that was not read to its end.
	Pending End = iota
	// Complete is the end of a response that has arrived in full.
	Complete
	// Confirmed is the end of an undelimited response whose server went on after it.
	Confirmed
	// Unknown is the end of a response that ended with its connection and may have been truncated.
	Unknown
	// Truncated is the end of a response of which a part is missing.
	Truncated
)

// String returns the name of the end in logs and metrics.
func (e End) String() string {
	return [...]string{"pending", "complete", "confirmed", "unknown", "truncated"}[e]
}

// Delimited reports whether the head of a response to a request with this method determines where its body ends (1).
func Delimited(method string, r *http.Response) bool {
	return !bodyAllowed(method, r.StatusCode) || r.ContentLength >= 0 || len(r.TransferEncoding) > 0
}

// IsComplete reports whether the response may be forwarded as one that has arrived in full.
func (e End) IsComplete() bool { return e == Complete || e == Confirmed }

// Judge returns the end of a body that was read until err (2). evidence returns what is known of the server after the end; it is
// called only for an undelimited body that was read to io.EOF, and may wait. nil: nothing is known.
func Judge(delimited bool, err error, evidence func() liveness.Evidence) End {
	switch {
	case err != io.EOF:
		return Truncated
	case delimited:
		return Complete
	case evidence == nil:
		return Unknown
	}
	switch e := evidence(); {
	case e.GoesOn():
		return Confirmed
	case e == liveness.Ended:
		return Truncated
	}
	return Unknown
}

func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

type connKey struct{}

// ConnContext is the ConnContext of a server whose handlers call BeginUndelimited.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Undelimited is a response that is being forwarded undelimited; nil if the response is delimited.
type Undelimited struct {
	writer http.ResponseWriter
	conn   lingerer // nil: not known
}

type lingerer interface{ SetLinger(seconds int) error }

// BeginUndelimited prepares the response to a request for a body whose end its head does not determine (3). It is called
// right before the head is written, which must have no Content-Length. It returns nil if the response has no body.
func BeginUndelimited(w http.ResponseWriter, r *http.Request, status int) *Undelimited {
	if !bodyAllowed(r.Method, status) {
		return nil
	}
	// net/http then writes neither chunks nor a length of its own, and closes the connection at the end.
	w.Header().Set("Transfer-Encoding", "identity")
	u := &Undelimited{writer: w}
	if u.conn = connOf(r); u.conn != nil {
		_ = u.conn.SetLinger(0) // (4); fails only on a closed connection
	}
	return u
}

// connOf returns the TCP connection of a request, nil if it is not known.
func connOf(r *http.Request) lingerer {
	c := r.Context().Value(connKey{})
	if outer, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = outer.NetConn()
	}
	l, _ := c.(lingerer)
	return l
}

// Finish writes what is buffered of the body and lets the connection close without a reset. It is called once the body has been
// written, and not for a response that is aborted.
func (u *Undelimited) Finish() {
	if u == nil {
		return
	}
	if http.NewResponseController(u.writer).Flush() != nil {
		return // the connection is broken
	}
	if u.conn != nil {
		_ = u.conn.SetLinger(-1) // fails only on a closed connection
	}
}
