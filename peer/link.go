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

// link is the way to one box: its session, made when it is needed. Whoever needs one
// that is being made waits for it no longer than its own time.
type link struct {
	mu      sync.Mutex
	session *session
	address string
	failed  time.Time // when the last attempt failed, and by what
	err     error
	made    chan struct{} // closed when the attempt under way has ended; nil: there is none
}

// session is a yamux session to a box.
type session struct {
	*yamux.Session
	conn   *watchedConn
	waits  *waits
	remote *wire.Member
	used   atomic.Bool // since the last look, see idle.go
}

// Close ends what waits on the session's streams, and then the session.
func (s *session) Close() error {
	s.waits.end()
	return s.Session.Close()
}

// watchedConn notes since when something that was asked has brought nothing back, and how
// much has come. A stream would tell less: yamux hands a frame of up to 256 KiB on when it
// is whole.
type watchedConn struct {
	net.Conn
	waits atomic.Int64 // unix nanoseconds; 0: nothing was asked since bytes came
	got   atomic.Int64 // bytes
}

func (c *watchedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.waits.Store(0)
		c.got.Add(int64(n))
	}
	return n, err
}

// asked notes that something is asked.
func (s *session) asked() { s.conn.waits.CompareAndSwap(0, time.Now().UnixNano()) }

// silent reports whether nothing has come back for too long.
func (s *session) silent() bool {
	waits := s.conn.waits.Load()
	return waits != 0 && time.Now().UnixNano()-waits >= int64(UnresponsiveTimeout)
}

// exchange asks on a stream of its own. It may go on for writeTimeout after the context
// has ended: yamux writes cannot be ended sooner.
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
	return response, readOnly(s.waits.reader(stream), maxFrame, response)
}

// drop ends a session, unless another has taken its place.
func (l *link) drop(s *session) {
	l.mu.Lock()
	if l.session == s {
		l.session = nil
	}
	l.mu.Unlock()
	s.Close()
}

// dropAny ends the link's session, if it has one.
func (l *link) dropAny() {
	l.mu.Lock()
	s := l.session
	l.session = nil
	l.mu.Unlock()
	if s != nil {
		s.Close()
	}
}

// session returns the session to a box, and waits while it is being made.
func (p *Pool) session(ctx context.Context, box string, l *link) (*session, error) {
	for {
		s, made, err := p.current(box, l)
		if s != nil || err != nil {
			return s, err
		}
		select {
		case <-made:
		case <-ctx.Done():
			return nil, Error.Wrap(ctx.Err())
		}
	}
}

// current returns the link's session, or why there is none, or what is closed when the
// attempt to make one has ended.
func (p *Pool) current(box string, l *link) (*session, <-chan struct{}, error) {
	address := p.lookup(box)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.session != nil && !l.session.IsClosed() && l.address == address:
		l.session.used.Store(true)
		return l.session, nil, nil
	case l.made != nil:
		return nil, l.made, nil
	case address == "":
		return nil, nil, Error.New("no address of box %s is known", box)
	case l.address == address && time.Since(l.failed) < redialPause:
		return nil, nil, l.err
	}
	old := l.session
	l.session, l.address = nil, address
	made := make(chan struct{})
	l.made = made
	err := p.spawn(func() { p.dial(box, address, l, old) })
	if err != nil {
		l.made = nil
	}
	return nil, made, err
}

// spawn runs a goroutine that Close waits for.
func (p *Pool) spawn(f func()) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return Error.Wrap(p.ctx.Err())
	}
	p.wg.Go(f)
	return nil
}

// dial makes a session in the place of an old one, if there was one.
func (p *Pool) dial(box, address string, l *link, old *session) {
	if old != nil {
		old.Close()
	}
	s, err := p.connect(p.ctx, box, address)
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.made)
	l.made = nil
	if err != nil {
		l.failed, l.err = time.Now(), err
		return
	}
	l.failed = time.Time{}
	l.session = s
}

func (p *Pool) connect(ctx context.Context, box, address string) (*session, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	raw, err := p.open(ctx, address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	defer stop()
	watched := &watchedConn{Conn: raw}
	c, err := secure(ctx, &countedConn{watched, p.meters}, p.tls.Client(box), false)
	if err != nil {
		raw.Close()
		p.meters.Refuse(reason.PeerTLS)
		return nil, err
	}
	waits := newWaits()
	y, err := yamux.Client(&endingConn{c, waits}, sessionConfig())
	if err != nil {
		raw.Close()
		return nil, Error.Wrap(err)
	}
	remote, err := p.greet(c, y)
	if err != nil {
		y.Close()
		return nil, err
	}
	return &session{Session: y, conn: watched, waits: waits, remote: remote}, nil
}

// dialTimeout bounds the opening of a connection. What is sent to a machine that is just
// coming up is lost, and is repeated by the system only after a second: another attempt
// finds it sooner.
const dialTimeout = 400 * time.Millisecond

func (p *Pool) open(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return p.dialer.DialContext(ctx, "tcp", address)
}

func (p *Pool) greet(c net.Conn, y *yamux.Session) (*wire.Member, error) {
	stream, err := y.OpenStream()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer stream.Close()
	if err := writeFrame(stream, hello(p.id)); err != nil {
		return nil, err
	}
	theirs := &wire.Hello{}
	if err := readOnly(stream, maxHello, theirs); err != nil {
		return nil, err
	}
	if r := theirs.Refusal; r != nil {
		return nil, &RefusedError{r.Code, r.Text}
	}
	if r := judge(p.id, theirs, certifiedName(c)); r != nil {
		p.meters.Refuse(r)
		return nil, &RefusedError{r.Code, r.Title}
	}
	return theirs.Self, adopt(p.id, theirs)
}
