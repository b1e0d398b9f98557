package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"leverdrum/internal/attest"
	"leverdrum/internal/responsehead"
)

// Error is the error class of this package.
var Error = errs.Class("gateway")

// ErrConnectionLimit is returned where the box may open no more connections to the server.
var ErrConnectionLimit = Error.New("the connection limit of the server is reached")

// ErrInBackoff is returned where the server asked for backoff before the request was sent.
var ErrInBackoff = Error.New("the server is in backoff")

// ErrBlocked is returned where the request, or a part of its prompt, was blocked as a crasher before it was sent.
var ErrBlocked = Error.New("the request crashes servers")

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 400 * time.Millisecond
	// ackTimeout bounds how long sent bytes may stay unacknowledged: a server behind a network
	// partition sends no reset.
	ackTimeout = 4 * time.Second
	// readBuffer is the size in bytes of a connection's read buffer.
	readBuffer = 4 << 10
	// idleMargin is subtracted from the idle timeout that the server announces, so that the box
	// never uses a connection that the server is about to close.
	idleMargin = time.Second
	// defaultIdleTimeout is the idle timeout where the server announces none.
	defaultIdleTimeout = 4 * time.Second
)

// conn is a connection that carries one request at a time.
type conn struct {
	net.Conn
	pool        *connPool
	in          *bufio.Reader
	history     attest.History
	fault       connFault
	head        responsehead.Head // checks the head that is being read
	readingHead bool              // the head of a response is being read
	openedAt    time.Time
	idleSince   time.Time // start of the current idle period
	idleTimeout time.Duration
}

// connPool holds this box's connections to one server.
type connPool struct {
	address string
	dialer  Dialer
	links   *links // nil: dials are not observed
	server  string // ID

	mu      sync.Mutex
	idle    []*conn        // most recently used last
	conns   map[*conn]bool // open ones
	open    int
	maxOpen int
	closed  bool

	lastRead atomic.Int64 // time of the last read on any connection, in Unix nanoseconds
	lastDial atomic.Int64 // time of the last successful dial, in Unix nanoseconds
}

// Read records the time at which bytes arrived from the server.
func (x *conn) Read(b []byte) (int, error) {
	if x.readingHead {
		if _, _, err := x.head.Feed(nil); err != nil {
			return 0, err
		}
	}
	n, err := x.Conn.Read(b)
	if n > 0 {
		now := time.Now()
		x.pool.lastRead.Store(now.UnixNano())
		x.pool.links.recordRead(now)
	}
	if err == io.EOF {
		err = x.fault.endOr(io.EOF)
	}
	if x.readingHead && n > 0 {
		wellFormed, ended, headErr := x.head.Feed(b[:n])
		if headErr != nil {
			n = wellFormed // the next read returns the error
		}
		if headErr != nil && n == 0 {
			err = headErr
		}
		x.readingHead = !ended
	}
	return n, err
}

// Dialer opens a connection to an address within dialTimeout.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// dialTCP is the Dialer for servers that are reached over the network.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setUserTimeout}
	return dialer.DialContext(ctx, "tcp", address)
}

func newConnPool(address string) *connPool {
	return &connPool{address: address, dialer: dialTCP, maxOpen: 64}
}

func (c *connPool) setLimit(maxOpen int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxOpen = maxOpen
}

// close closes the idle connections; those in use are closed after their responses.
func (c *connPool) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, x := range c.idle {
		x.Close()
		delete(c.conns, x)
		c.open--
	}
	c.idle = nil
}

// get returns a usable idle connection that may carry an attempt with this ID, or dials a new one.
func (c *connPool) get(ctx context.Context, id string, names *attest.Headers) (*conn, error) {
	if x := c.takeIdle(id, names); x != nil {
		return x, nil
	}
	if !c.reserve() && !c.replaceIdle() {
		return nil, ErrConnectionLimit
	}
	return c.dial(ctx)
}

// dial opens a connection for which the caller has reserved a place in the pool.
func (c *connPool) dial(ctx context.Context) (*conn, error) {
	observed := c.links.observeDial(c.server)
	raw, err := c.dialer(ctx, c.address)
	observed(err, ctx.Err() != nil)
	if err != nil {
		c.release()
		return nil, Error.Wrap(err)
	}
	c.lastDial.Store(time.Now().UnixNano())
	x := &conn{Conn: raw, pool: c, openedAt: time.Now(), idleTimeout: defaultIdleTimeout}
	x.in = bufio.NewReaderSize(x, readBuffer)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns == nil {
		c.conns = map[*conn]bool{}
	}
	c.conns[x] = true
	return x, nil
}

// holdsFromBefore reports whether a connection that was opened before t is still open. The process that accepted it then still runs.
func (c *connPool) holdsFromBefore(t time.Time) bool {
	c.mu.Lock()
	var list []*conn
	for x := range c.conns {
		if x.openedAt.Before(t) {
			list = append(list, x)
		}
	}
	c.mu.Unlock()
	return slices.ContainsFunc(list, (*conn).isQuiet) // unread bytes may be followed by the end
}

// probe returns nil if the server accepts a connection now. The connection is kept for a later
// request.
func (c *connPool) probe(ctx context.Context) error {
	if !c.reserve() {
		return ErrConnectionLimit
	}
	x, err := c.dial(ctx)
	if err != nil {
		return err
	}
	c.put(x)
	return nil
}

// takeIdle returns the most recently used idle connection that may carry an attempt with this ID, nil if there is none.
func (c *connPool) takeIdle(id string, names *attest.Headers) *conn {
	for {
		x := c.removeIdle(id)
		if x == nil || time.Since(x.idleSince) < x.idleTimeout && (x.isQuiet() || x.skipSurplus(names) && x.isQuiet()) {
			return x
		}
		c.drop(x)
	}
}

// removeIdle removes the most recently used idle connection that may carry an attempt with this ID.
func (c *connPool) removeIdle(id string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, x := range slices.Backward(c.idle) {
		if x.history.MayCarry(id) {
			c.idle = slices.Delete(c.idle, i, i+1)
			return x
		}
	}
	return nil
}

// replaceIdle closes the least recently used idle connection and reserves its place.
func (c *connPool) replaceIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) == 0 || c.closed {
		return false
	}
	c.idle[0].Close()
	delete(c.conns, c.idle[0])
	c.idle = slices.Delete(c.idle, 0, 1)
	return true
}

func (c *connPool) reserve() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open >= c.maxOpen {
		return false
	}
	c.open++
	return true
}

// reserveBeyondLimit reserves a place that another connection still has, although it is closed.
func (c *connPool) reserveBeyondLimit() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open++
}

// hasIdle reports whether the pool has an idle connection that an attempt with this ID can use at once.
func (c *connPool) hasIdle(now time.Time, id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.idle, func(x *conn) bool {
		return now.Sub(x.idleSince) < x.idleTimeout && x.history.MayCarry(id)
	})
}

// any reports whether a connection is open or being opened.
func (c *connPool) any() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open > 0
}

// readSince reports whether bytes arrived after t.
func (c *connPool) readSince(t time.Time) bool { return c.lastRead.Load() > t.UnixNano() }

func (c *connPool) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
}

// drop closes a connection and frees its place in the pool.
func (c *connPool) drop(x *conn) {
	x.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, x)
	c.open--
}

// put returns a connection to the pool, or closes it where it cannot be used again.
func (c *connPool) put(x *conn) {
	c.mu.Lock()
	if c.closed || x.in.Buffered() > 0 || !x.history.Reusable() {
		c.mu.Unlock()
		c.drop(x)
		return
	}
	x.idleSince = time.Now()
	c.idle = append(c.idle, x)
	c.mu.Unlock()
}

// isQuiet reports whether an idle connection is open and has no unread bytes. Bytes that arrive on
// an idle connection belong to no request.
func (x *conn) isQuiet() bool {
	_, err := x.peek()
	return err == syscall.EAGAIN
}

// hasUnread reports whether bytes have arrived that were not read yet.
func (x *conn) hasUnread() bool {
	n, err := x.peek()
	return err == nil && n > 0
}

// peeker is implemented by connections of a Dialer that are not sockets. Peek is as conn.peek.
type peeker interface{ Peek() (n int, err error) }

// peek looks for unread bytes without consuming them. It is safe to call while another goroutine
// reads. The error is EAGAIN where no bytes have arrived, and EINVAL for a connection that is not
// a socket.
func (x *conn) peek() (n int, err error) {
	if p, ok := x.Conn.(peeker); ok {
		return p.Peek()
	}
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
	x.fault.mu.Lock() // a read that ends meanwhile waits for the error
	defer x.fault.mu.Unlock()
	err = raw.Control(func(fd uintptr) {
		n, _, found = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err == nil && found != nil && found != syscall.EAGAIN && found != syscall.EINTR {
		x.fault.recordLocked(found)
	}
	if err != nil {
		return 0, err
	}
	return n, found
}

// tcpUserTimeout is the Linux option TCP_USER_TIMEOUT, which package syscall does not define.
const tcpUserTimeout = 18

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	// Without the option, an unreachable server is only detected later.
	return raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(ackTimeout.Milliseconds()))
	})
}
