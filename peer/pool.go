package peer

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"leverdrum/meter"
	"leverdrum/reason"
	"leverdrum/wire"
)

const (
	// redialPause is the least time between two attempts at one box.
	redialPause = 100 * time.Millisecond
	// queueLength bounds the messages that wait for one box; later ones are
	// dropped, as on a network.
	queueLength = 512
)

// Pool holds the sessions to other boxes.
type Pool struct {
	id     Identity
	tls    TLS
	lookup func(box string) string
	dialer net.Dialer
	meters *meter.Meters
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu      sync.Mutex
	links   map[string]*link
	senders map[string]chan *wire.Message
}

// link is the session to one box, made when it is needed.
type link struct {
	mu      sync.Mutex
	session *yamux.Session
	remote  *wire.Member
	address string
	failed  time.Time
	err     error
}

// NewPool returns a pool that calls from the IP number of own, an address, and
// finds addresses by lookup, which returns "" for boxes that are not known.
func NewPool(id Identity, t TLS, own string, lookup func(box string) string, m *meter.Meters) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{
		id: id, tls: t, lookup: lookup, dialer: dialerFrom(own), meters: m, ctx: ctx, cancel: cancel,
		links: map[string]*link{}, senders: map[string]chan *wire.Message{},
	}
}

// dialerFrom calls from the address's IP number, so that a machine with several
// is known by one of them.
func dialerFrom(own string) net.Dialer {
	a, err := netip.ParseAddrPort(own)
	if err != nil || a.Addr().IsUnspecified() {
		return net.Dialer{}
	}
	return net.Dialer{LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(a.Addr(), 0))}
}

// Close ends all sessions.
func (p *Pool) Close() {
	p.cancel()
	p.mu.Lock()
	for _, l := range p.links {
		l.drop()
	}
	p.mu.Unlock()
	p.wg.Wait()
}

// Call asks a box and returns its answer. A refusal comes back as RefusedError.
func (p *Pool) Call(ctx context.Context, box string, r *wire.Request) (*wire.Response, error) {
	l := p.link(box)
	stream, err := p.open(ctx, box, l)
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() { stream.SetDeadline(time.Now()) })
	defer stop()
	p.meters.Count(meter.PeerCalls, "out").Inc()
	if err := writeFrame(stream, r); err != nil {
		l.drop()
		return nil, err
	}
	response := &wire.Response{}
	if err := readFrame(bufio.NewReader(stream), maxFrame, response); err != nil {
		l.drop()
		return nil, err
	}
	if response.Refusal != nil {
		return nil, &RefusedError{response.Refusal.Code, response.Refusal.Text}
	}
	return response, nil
}

// Meet opens a new session to a box, so that both say again who they are, and
// returns who answered.
func (p *Pool) Meet(ctx context.Context, box string) (*wire.Member, error) {
	l := p.link(box)
	l.drop()
	stream, err := p.open(ctx, box, l)
	if err != nil {
		return nil, err
	}
	stream.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.remote, nil
}

func (p *Pool) link(box string) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.links[box]
	if l == nil {
		l = &link{}
		p.links[box] = l
	}
	return l
}

func (l *link) drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session != nil {
		l.session.Close()
		l.session = nil
	}
}

// open returns a new stream to a box, over a new session if need be.
func (p *Pool) open(ctx context.Context, box string, l *link) (*yamux.Stream, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	address := p.lookup(box)
	if l.session != nil && (l.session.IsClosed() || l.address != address) {
		l.session.Close()
		l.session = nil
	}
	if l.session == nil {
		if err := p.dial(ctx, box, address, l); err != nil {
			return nil, err
		}
	}
	stream, err := l.session.OpenStream()
	if err != nil {
		l.session.Close()
		l.session = nil
		return nil, Error.Wrap(err)
	}
	return stream, nil
}

func (p *Pool) dial(ctx context.Context, box, address string, l *link) error {
	if address == "" {
		return Error.New("no address of box %s is known", box)
	}
	if time.Since(l.failed) < redialPause && l.address == address {
		return l.err
	}
	l.address = address
	session, remote, err := p.connect(ctx, box, address)
	if err != nil {
		l.failed, l.err = time.Now(), err
		return err
	}
	l.session, l.remote = session, remote
	return nil
}

func (p *Pool) connect(ctx context.Context, box, address string) (*yamux.Session, *wire.Member, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	defer stop()
	c, err := secure(ctx, &countedConn{raw, p.meters}, p.tls.Client(box), false)
	if err != nil {
		raw.Close()
		p.meters.Refuse(reason.PeerTLS)
		return nil, nil, err
	}
	session, err := yamux.Client(c, sessionConfig())
	if err != nil {
		raw.Close()
		return nil, nil, Error.Wrap(err)
	}
	remote, err := p.greet(c, session)
	if err != nil {
		session.Close()
		return nil, nil, err
	}
	return session, remote, nil
}

func (p *Pool) greet(c net.Conn, session *yamux.Session) (*wire.Member, error) {
	stream, err := session.OpenStream()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer stream.Close()
	if err := writeFrame(stream, hello(p.id)); err != nil {
		return nil, err
	}
	theirs := &wire.Hello{}
	if err := readFrame(bufio.NewReader(stream), maxHello, theirs); err != nil {
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

// Send queues a message of the agreement for the box of the member it is for.
func (p *Pool) Send(m *wire.Message) {
	box, _, _ := strings.Cut(m.To, "/")
	select {
	case p.sender(box) <- m:
	default:
	}
}

func (p *Pool) sender(box string) chan *wire.Message {
	p.mu.Lock()
	defer p.mu.Unlock()
	queue := p.senders[box]
	if queue == nil {
		queue = make(chan *wire.Message, queueLength)
		p.senders[box] = queue
		p.wg.Go(func() { p.pump(box, queue) })
	}
	return queue
}

// pump writes the queue of one box to a stream, and opens a new one after a
// failure. What is queued meanwhile is lost.
func (p *Pool) pump(box string, queue chan *wire.Message) {
	var stream *yamux.Stream
	defer func() {
		if stream != nil {
			stream.Close()
		}
	}()
	for {
		select {
		case <-p.ctx.Done():
			return
		case m := <-queue:
			stream = p.push(box, stream, m)
		}
	}
}

func (p *Pool) push(box string, stream *yamux.Stream, m *wire.Message) *yamux.Stream {
	if stream == nil {
		stream = p.openPush(box)
		if stream == nil {
			return nil
		}
	}
	stream.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := writeFrame(stream, m); err != nil {
		stream.Close()
		p.link(box).drop()
		return nil
	}
	p.meters.Count(meter.PeerCalls, "out").Inc()
	return stream
}

func (p *Pool) openPush(box string) *yamux.Stream {
	ctx, cancel := context.WithTimeout(p.ctx, handshakeTimeout)
	defer cancel()
	stream, err := p.open(ctx, box, p.link(box))
	if err != nil {
		return nil
	}
	if err := writeFrame(stream, &wire.Request{Kind: &wire.Request_Consensus{Consensus: &wire.ConsensusStream{}}}); err != nil {
		stream.Close()
		return nil
	}
	return stream
}
