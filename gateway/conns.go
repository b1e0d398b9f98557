package gateway

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("gateway")

// ErrConnectionLimit: the box may open no more connections to the server.
var ErrConnectionLimit = Error.New("no connection is free")

// ErrInBackoff: the server asked for a rest before the request was sent.
var ErrInBackoff = Error.New("the server rests")

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 400 * time.Millisecond
	// unsentTimeout is how long bytes may stay without an acknowledgement: a
	// server behind a cut says nothing.
	unsentTimeout = 4 * time.Second
	// readBuffer is the size in bytes of a connection's buffer.
	readBuffer = 4 << 10
	// idleMargin is how much earlier than the server says an idle connection is
	// not used any more.
	idleMargin = time.Second
	// idleDefault is how long a connection may be idle when the server says
	// nothing.
	idleDefault = 4 * time.Second
)

// conn is one connection; it carries one request at a time.
type conn struct {
	net.Conn
	from  *conns
	in    *bufio.Reader
	since time.Time     // when it became idle
	rest  time.Duration // how long it may be idle
}

// conns are this box's connections to one server.
type conns struct {
	address string

	mu     sync.Mutex
	idle   []*conn // the newest last
	open   int
	most   int
	closed bool

	heard   atomic.Int64 // when bytes came last, on any of them, in unix nanoseconds
	reached atomic.Int64 // when one was opened last, in unix nanoseconds
}

// Read notes that the server was heard.
func (x *conn) Read(b []byte) (int, error) {
	n, err := x.Conn.Read(b)
	if n > 0 {
		x.from.heard.Store(time.Now().UnixNano())
	}
	return n, err
}

func newConns(address string) *conns { return &conns{address: address, most: 64} }

func (c *conns) limit(most int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.most = most
}

// close closes the idle connections, and those in use after their answers.
func (c *conns) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, x := range c.idle {
		x.Close()
		c.open--
	}
	c.idle = nil
}

// get returns an idle connection that is still sound, or a new one. fresh tells
// that nothing was sent on it before.
func (c *conns) get(ctx context.Context) (x *conn, fresh bool, err error) {
	if x := c.takeIdle(); x != nil {
		return x, false, nil
	}
	if !c.reserve() {
		return nil, false, ErrConnectionLimit
	}
	x, err = c.dial(ctx)
	return x, true, err
}

// dial opens a connection that was reserved.
func (c *conns) dial(ctx context.Context) (*conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setUnsent}
	raw, err := dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		c.release()
		return nil, Error.Wrap(err)
	}
	c.reached.Store(time.Now().UnixNano())
	x := &conn{Conn: raw, from: c, rest: idleDefault}
	x.in = bufio.NewReaderSize(x, readBuffer)
	return x, nil
}

// reach returns nil if the server takes a connection now. It is kept for a request.
func (c *conns) reach() error {
	if !c.reserve() {
		return ErrConnectionLimit
	}
	x, err := c.dial(context.Background())
	if err != nil {
		return err
	}
	c.put(x)
	return nil
}

func (c *conns) takeIdle() *conn {
	for {
		c.mu.Lock()
		n := len(c.idle)
		if n == 0 {
			c.mu.Unlock()
			return nil
		}
		x := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		if time.Since(x.since) < x.rest && x.quiet() {
			return x
		}
		c.drop(x)
	}
}

func (c *conns) reserve() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open >= c.most {
		return false
	}
	c.open++
	return true
}

// rests reports whether a connection is open that a request could use at once.
func (c *conns) rests(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.idle)
	return n > 0 && now.Sub(c.idle[n-1].since) < c.idle[n-1].rest
}

// any reports whether a connection is open or being opened.
func (c *conns) any() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open > 0
}

// heardSince reports whether bytes came after a time.
func (c *conns) heardSince(t time.Time) bool { return c.heard.Load() > t.UnixNano() }

func (c *conns) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
}

// drop closes a connection that is not used any more.
func (c *conns) drop(x *conn) {
	x.Close()
	c.release()
}

// put keeps a connection for the next request.
func (c *conns) put(x *conn) {
	c.mu.Lock()
	if c.closed || x.in.Buffered() > 0 {
		c.mu.Unlock()
		c.drop(x)
		return
	}
	x.since = time.Now()
	c.idle = append(c.idle, x)
	c.mu.Unlock()
}

// quiet reports whether an idle connection is open and nothing has come on it:
// whatever comes there belongs to no request.
func (x *conn) quiet() bool {
	_, err := x.peek()
	return err == syscall.EAGAIN
}

// arrived reports whether bytes have come that were not read yet.
func (x *conn) arrived() bool {
	n, err := x.peek()
	return err == nil && n > 0
}

// peek looks for bytes that wait to be read and leaves them there. It may be called while
// another goroutine reads. The error is EAGAIN where nothing has come, and EINVAL for
// connections that are no sockets.
func (x *conn) peek() (n int, err error) {
	sock, ok := x.Conn.(syscall.Conn)
	if !ok {
		return 0, syscall.EINVAL
	}
	raw, err := sock.SyscallConn()
	if err != nil {
		return 0, err
	}
	var one [1]byte
	var found error
	err = raw.Control(func(fd uintptr) {
		n, _, found = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err != nil {
		return 0, err
	}
	return n, found
}

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall lacks.
const tcpUserTimeout = 18

func setUnsent(_, _ string, raw syscall.RawConn) error {
	// A system without the option only notices a silent server later.
	return raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unsentTimeout.Milliseconds()))
	})
}
