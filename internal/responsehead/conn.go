package responsehead

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"leverdrum/internal/framing"
)

// ErrRequestUnfinished is returned where a response that is not delimited ends before the server has received its request: the
// server broke off both.
var ErrRequestUnfinished = errors.New("the connection ended before the server had received the request")

// Conn is a connection of an HTTP client that checks the responses that it reads (1 to 5), and that ends a response which is not
// delimited only if its whole request was sent and received.
type Conn struct {
	net.Conn

	mu       sync.Mutex // of the fields up to the next blank line; not held while reading
	head     Head
	body     bodyState
	left     int64 // bytes of the body, or of the current chunk
	digits   int   // of the size of the current chunk
	noBody   bool  // the response under way is to a HEAD request
	err      error // of the bytes read
	fault    error // the first error of a write: the kernel reports a reset only once
	headEnd  int   // bytes of "\r\n\r\n" at the end of what was written, while the head of the request is
	bodyLeft int64 // bytes of the request's body that were not written

	writing sync.Mutex // held during a write
}

// bodyState is the part of a response that a Conn reads next.
type bodyState uint8

const (
	inHead bodyState = iota
	inBody
	untilClose
	inChunkSize
	inChunkExtension
	atChunkSizeLineFeed
	inChunk
	atChunkEnd
	atChunkEndLineFeed
	inTrailer
)

// maxChunkDigits bounds the size of a chunk, so that it fits an int64.
const maxChunkDigits = 15

// headEnding is what the head of a request ends with.
const headEnding = "\r\n\r\n"

// NewConn returns a Conn over a connection that has carried no request.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// transport is an http.Transport whose connections are Conns.
type transport struct{ *http.Transport }

// NewTransport makes the connections of a transport Conns. It changes how the transport dials.
func NewTransport(t *http.Transport) http.RoundTripper {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
	return transport{t}
}

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	return RoundTrip(t.Transport, r)
}

// RoundTrip is that of a transport whose connections are Conns. Their requests have a body of a known length, or none. The error is
// an *Error if the head that was read is malformed.
func RoundTrip(t http.RoundTripper, r *http.Request) (*http.Response, error) {
	var last atomic.Pointer[Conn]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*Conn); ok {
			c.expect(r.Method, max(0, r.ContentLength))
			last.Store(c)
		}
	}}
	resp, err := t.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if c := last.Load(); err != nil && c != nil {
		if malformed := c.malformed(); malformed != nil {
			return nil, malformed // net/http may report it in other words
		}
	}
	return resp, err
}

// malformed returns what is wrong with the bytes that were read; nil if nothing is.
func (c *Conn) malformed() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// expect prepares for a request.
func (c *Conn) expect(method string, bodySize int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noBody = method == http.MethodHead
	c.headEnd, c.bodyLeft = 0, bodySize
}

// Write counts what is written of the request.
func (c *Conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordWritten(b[:n])
	if err != nil && c.fault == nil {
		c.fault = err
	}
	return n, err
}

func (c *Conn) recordWritten(b []byte) {
	for len(b) > 0 && c.headEnd < len(headEnding) {
		switch b[0] {
		case headEnding[c.headEnd]:
			c.headEnd++
		case '\r':
			c.headEnd = 1
		default:
			c.headEnd = 0
		}
		b = b[1:]
	}
	c.bodyLeft -= int64(len(b))
}

// Read returns an *Error in place of the first byte that is not part of a response.
func (c *Conn) Read(b []byte) (int, error) {
	if err := c.malformed(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	n = c.check(b[:n])
	invalid, ends := c.err, err == io.EOF && c.body == untilClose
	c.mu.Unlock()
	switch {
	case invalid != nil && n == 0:
		return 0, invalid
	case invalid != nil:
		return n, nil
	case ends:
		return n, c.end()
	}
	return n, err
}

// end returns how a response ends that ends with its connection: with io.EOF if the server has received the whole request.
func (c *Conn) end() error {
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // ends a write in progress; fails only on a closed connection
	c.writing.Lock()
	defer c.writing.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fault != nil || c.headEnd < len(headEnding) || c.bodyLeft > 0 || framing.Unacknowledged(c.Conn) > 0 {
		return ErrRequestUnfinished
	}
	return io.EOF
}

// check returns how many bytes that were read are part of well-formed responses. It sets err if not all are.
func (c *Conn) check(b []byte) (n int) {
	for n < len(b) && c.err == nil {
		switch c.body {
		case inHead, inTrailer:
			n += c.checkHead(b[n:])
		case untilClose:
			return len(b)
		case inBody, inChunk:
			size := min(c.left, int64(len(b)-n))
			n, c.left = n+int(size), c.left-size
			if c.left == 0 {
				c.endPart()
			}
		default:
			if !c.chunkByte(b[n]) {
				c.err = &Error{Chunk}
				return n
			}
			n++
		}
	}
	return n
}

// endPart goes on after a body or a chunk.
func (c *Conn) endPart() {
	if c.body == inChunk {
		c.body = atChunkEnd
		return
	}
	c.body = inHead
}

func (c *Conn) checkHead(b []byte) int {
	n, ended, err := c.head.Feed(b)
	if err != nil {
		c.err = err
		return n
	}
	if !ended {
		return n
	}
	h := c.head
	c.head = Head{}
	switch {
	case h.trailer, h.status < http.StatusOK, c.noBody, h.status == http.StatusNoContent, h.status == http.StatusNotModified:
		c.body = inHead
	case h.chunked:
		c.body, c.left, c.digits = inChunkSize, 0, 0
	case h.lengths == 0:
		c.body = untilClose
	case h.length == 0:
		c.body = inHead
	default:
		c.body, c.left = inBody, h.length
	}
	return n
}

// chunkByte checks a byte between the chunks of a body (5).
func (c *Conn) chunkByte(b byte) bool {
	switch c.body {
	case inChunkSize:
		return c.chunkSize(b)
	case inChunkExtension:
		if b == '\r' {
			c.body = atChunkSizeLineFeed
		}
		return b == '\r' || classes[b]&textByte != 0
	case atChunkSizeLineFeed:
		c.body = inChunk
		if c.left == 0 {
			c.body, c.head = inTrailer, Head{state: atLineStart, trailer: true}
		}
		return b == '\n'
	case atChunkEnd:
		c.body = atChunkEndLineFeed
		return b == '\r'
	default:
		c.body, c.left, c.digits = inChunkSize, 0, 0
		return b == '\n'
	}
}

func (c *Conn) chunkSize(b byte) bool {
	digit := int64(-1)
	switch {
	case '0' <= b && b <= '9':
		digit = int64(b - '0')
	case 'a' <= b|0x20 && b|0x20 <= 'f':
		digit = int64(b|0x20-'a') + 10
	case b == '\r':
		c.body = atChunkSizeLineFeed
	case b == ';':
		c.body = inChunkExtension
	}
	if digit < 0 {
		return c.digits > 0 && c.body != inChunkSize
	}
	c.left, c.digits = c.left<<4|digit, c.digits+1
	return c.digits <= maxChunkDigits
}
