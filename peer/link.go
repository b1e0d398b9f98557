package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"leverdrum/reason"
	"leverdrum/wire"
)

// link is the connection to one box. Its session is created on demand. A caller that needs
// a session while it is being created waits no longer than its own context allows.
type link struct {
	mu       sync.Mutex
	session  *session
	address  string
	failedAt time.Time // time of the last dial if it failed; err is its error
	err      error
	dialing  chan struct{} // closed when the current dial ends; nil if none is in progress
}

// session is a yamux session to a box.
type session struct {
	*yamux.Session
	conn   *monitoredConn
	reads  *pendingReads
	remote *wire.Member
	used   atomic.Bool // since the last idle check, see idle.go
}

// Close stops the pending reads on the session's streams before it closes the session.
func (s *session) Close() error {
	s.reads.stop()
	return s.Session.Close()
}

// monitoredConn records how long a request has gone without any bytes in return, and how
// many bytes were received. A stream would show less: yamux delivers a frame, which may
// have up to 256 KiB, only when it is complete.
type monitoredConn struct {
	net.Conn
	awaitingSince atomic.Int64 // Unix time in nanoseconds of the oldest request since bytes last arrived; 0 if none
	received      atomic.Int64 // bytes
}

func (c *monitoredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.awaitingSince.Store(0)
		c.received.Add(int64(n))
	}
	return n, err
}

// recordRequest marks the session as awaiting bytes, unless it already is.
func (s *session) recordRequest() { s.conn.awaitingSince.CompareAndSwap(0, time.Now().UnixNano()) }

// unresponsive reports whether no bytes have arrived for UnresponsiveTimeout while a
// request was outstanding.
func (s *session) unresponsive() bool {
	since := s.conn.awaitingSince.Load()
	return since != 0 && time.Now().UnixNano()-since >= int64(UnresponsiveTimeout)
}

// exchange sends a request on its own stream and reads the response. It may run for up to
// writeTimeout after the context ends, because yamux writes cannot be canceled sooner.
func (s *session) exchange(ctx context.Context, r *wire.Request) (*wire.Response, error) {
	stream, err := s.OpenStream()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() { stream.SetDeadline(time.Now()) })
	defer stop()
	if err := writeFrame(stream, r); err != nil {
		return nil, err
	}
	response := &wire.Response{}
	return response, readSingleFrame(s.reads.reader(stream), maxFrame, response)
}

// drop closes a session and detaches it from the link, unless the link already has
// another.
func (l *link) drop(s *session) {
	l.mu.Lock()
	if l.session == s {
		l.session = nil
	}
	l.mu.Unlock()
	s.Close()
}

// dropCurrent closes the link's session, if any.
func (l *link) dropCurrent() {
	l.mu.Lock()
	s := l.session
	l.session = nil
	l.mu.Unlock()
	if s != nil {
		s.Close()
	}
}

// session returns the session to a box. It waits if the session is being created.
func (p *Pool) session(ctx context.Context, box string, l *link) (*session, error) {
	for {
		s, dialing, err := p.sessionOrDial(box, l)
		if s != nil || err != nil {
			return s, err
		}
		select {
		case <-dialing:
		case <-ctx.Done():
			return nil, Error.Wrap(ctx.Err())
		}
	}
}

// sessionOrDial returns the link's session or an error. If a dial is in progress, which
// sessionOrDial starts if necessary, it returns a channel that is closed when the dial
// ends.
func (p *Pool) sessionOrDial(box string, l *link) (*session, <-chan struct{}, error) {
	address := p.lookup(box)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.session != nil && !l.session.IsClosed() && l.address == address:
		l.session.used.Store(true)
		return l.session, nil, nil
	case l.dialing != nil:
		return nil, l.dialing, nil
	case address == "":
		return nil, nil, Error.New("address of box %s is unknown", box)
	case l.address == address && time.Since(l.failedAt) < redialDelay:
		return nil, nil, l.err
	}
	old := l.session
	l.session, l.address = nil, address
	dialing := make(chan struct{})
	l.dialing = dialing
	err := p.spawn(func() { p.dial(box, address, l, old) })
	if err != nil {
		l.dialing = nil
	}
	return nil, dialing, err
}

// spawn starts a goroutine that Close waits for.
func (p *Pool) spawn(f func()) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return Error.Wrap(p.ctx.Err())
	}
	p.wg.Go(f)
	return nil
}

// dial creates the link's session, closing the old one first if there was one.
func (p *Pool) dial(box, address string, l *link, old *session) {
	if old != nil {
		old.Close()
	}
	s, err := p.connect(p.ctx, box, address)
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.dialing)
	l.dialing = nil
	if err != nil {
		l.failedAt, l.err = time.Now(), err
		return
	}
	l.failedAt = time.Time{}
	l.session = s
}

func (p *Pool) connect(ctx context.Context, box, address string) (*session, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	raw, err := p.dialTCP(ctx, address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	defer stop()
	monitored := &monitoredConn{Conn: raw}
	c, err := startTLS(ctx, &countedConn{monitored, p.meters}, p.tls.Client(box), false)
	if err != nil {
		raw.Close()
		p.meters.CountRefusal(reason.PeerTLS)
		return nil, err
	}
	reads := newPendingReads()
	y, err := yamux.Client(&readStoppingConn{&joinedConn{Conn: c}, reads}, sessionConfig())
	if err != nil {
		raw.Close()
		return nil, Error.Wrap(err)
	}
	remote, err := p.exchangeHello(c, y)
	if err != nil {
		y.Close()
		return nil, err
	}
	return &session{Session: y, conn: monitored, reads: reads, remote: remote}, nil
}

const (
	// dialTimeout bounds the TCP connect.
	dialTimeout = 400 * time.Millisecond
	// secondDialDelay is the time after which a second connect is started beside the first.
	// Packets sent to a machine that is just starting are lost, and the system retransmits them
	// only after a second: a new dial gets through sooner. It is above the round-trip time
	// between regions.
	secondDialDelay = 100 * time.Millisecond
)

// dialTCP connects to an address by the first of two attempts that succeeds.
func (p *Pool) dialTCP(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	type result struct {
		conn net.Conn
		err  error
	}
	results := make(chan result)
	dial := func() {
		c, err := p.dialer.DialContext(ctx, "tcp", address)
		select {
		case results <- result{c, err}:
		case <-ctx.Done(): // the other attempt succeeded, or the time is over
			if c != nil {
				c.Close()
			}
		}
	}
	go dial()
	second := time.NewTimer(secondDialDelay)
	defer second.Stop()
	for {
		select {
		case r := <-results: // an error means that the address is unreachable or refuses
			return r.conn, r.err
		case <-second.C:
			go dial()
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (p *Pool) exchangeHello(c net.Conn, y *yamux.Session) (*wire.Member, error) {
	stream, err := y.OpenStream()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer stream.Close()
	if err := writeFrame(stream, hello(p.id)); err != nil {
		return nil, err
	}
	theirs := &wire.Hello{}
	if err := readSingleFrame(stream, maxHello, theirs); err != nil {
		return nil, err
	}
	if r := theirs.Refusal; r != nil {
		return nil, &RefusedError{r.Code, r.Text}
	}
	if r := checkHello(p.id, theirs, certifiedName(c)); r != nil {
		p.meters.CountRefusal(r)
		return nil, &RefusedError{r.Code, r.Title}
	}
	return theirs.Self, adoptClusterID(p.id, theirs)
}
