package peer

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"leverdrum/meter"
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
	p.mu.Lock()
	p.cancel()
	links := slices.Collect(maps.Values(p.links))
	p.mu.Unlock()
	for _, l := range links {
		l.dropAny()
	}
	p.wg.Wait()
	for _, l := range links {
		l.dropAny() // what was made meanwhile
	}
}

// Call asks a box and returns its answer. A refusal comes back as RefusedError. It
// returns when the context ends, whatever the session is held up by.
func (p *Pool) Call(ctx context.Context, box string, r *wire.Request) (*wire.Response, error) {
	l := p.link(box)
	s, err := p.session(ctx, box, l)
	if err != nil {
		return nil, err
	}
	return p.callOn(ctx, l, s, r)
}

// Fetch is Call for an answer that may be long: once it is asked, it is given up only when
// next to nothing has come from the box for the time quiet, or the context ends. An answer that
// is given up on its way must come again from its first byte, on links that are busy
// already: 91 boxes that asked for 394 KB gave up 24 MB of it in 25 s.
func (p *Pool) Fetch(ctx context.Context, box string, r *wire.Request, quiet time.Duration) (*wire.Response, error) {
	l := p.link(box)
	dialling, cancel := context.WithTimeout(ctx, quiet)
	defer cancel()
	s, err := p.session(dialling, box, l)
	if err != nil {
		return nil, err
	}
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	go s.watch(ctx, end, quiet)
	return p.callOn(ctx, l, s, r)
}

// errQuiet tells that a box stopped sending.
var errQuiet = errors.New("the box sends next to nothing")

// progress is how much must come within the time quiet, in bytes. A link of 10 Mbit/s gives
// each of eight that share it 40 times as much in 1.2 s; keep-alives and small
// answers on the session stay below it.
const progress = 4 << 10

// watch ends a call once less than that has come in a whole span of quiet.
func (s *session) watch(ctx context.Context, end context.CancelCauseFunc, quiet time.Duration) {
	ticker := time.NewTicker(quiet)
	defer ticker.Stop()
	before := s.conn.got.Load()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		got := s.conn.got.Load()
		if got-before < progress {
			end(errQuiet)
			return
		}
		before = got
	}
}

func (p *Pool) callOn(ctx context.Context, l *link, s *session, r *wire.Request) (*wire.Response, error) {
	s.asked()
	p.meters.Count(meter.PeerCalls, "out").Inc()
	done := make(chan answered, 1)
	before := s.conn.got.Load()
	go func() {
		response, err := s.exchange(ctx, r)
		done <- answered{response, err}
	}()
	select {
	case a := <-done:
		if a.err == nil || ctx.Err() == nil {
			return a.unpack(l, s)
		}
	case <-ctx.Done():
	}
	// The end of a call's time is no fault of the session.
	if s.silent() {
		l.drop(s)
	}
	return nil, p.givenUp(ctx, s.conn.got.Load()-before)
}

// givenUp counts what had come from the box meanwhile, and says so: one that is slow to
// send is told from one that is silent by that alone.
func (p *Pool) givenUp(ctx context.Context, bytes int64) error {
	p.meters.Count(meter.PeerGivenUp).Add(float64(bytes))
	return Error.New("%w after %d bytes from the box", context.Cause(ctx), bytes)
}

// answered is what became of a call.
type answered struct {
	response *wire.Response
	err      error
}

// unpack ends a session that failed by itself.
func (a answered) unpack(l *link, s *session) (*wire.Response, error) {
	switch {
	case a.err != nil:
		l.drop(s)
		return nil, a.err
	case a.response.Refusal != nil:
		return nil, &RefusedError{a.response.Refusal.Code, a.response.Refusal.Text}
	}
	return a.response, nil
}

// Meet opens a new session to a box, so that both say again who they are, and
// returns who answered.
func (p *Pool) Meet(ctx context.Context, box string) (*wire.Member, error) {
	l := p.link(box)
	l.dropAny()
	s, err := p.session(ctx, box, l)
	if err != nil {
		return nil, err
	}
	return s.remote, nil
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
		p.link(box).dropAny()
		return nil
	}
	p.meters.Count(meter.PeerCalls, "out").Inc()
	return stream
}

func (p *Pool) openPush(box string) *yamux.Stream {
	ctx, cancel := context.WithTimeout(p.ctx, handshakeTimeout)
	defer cancel()
	l := p.link(box)
	s, err := p.session(ctx, box, l)
	if err != nil {
		return nil
	}
	stream, err := s.OpenStream()
	if err != nil {
		l.drop(s)
		return nil
	}
	if err := writeFrame(stream, &wire.Request{Kind: &wire.Request_Consensus{Consensus: &wire.ConsensusStream{}}}); err != nil {
		stream.Close()
		return nil
	}
	return stream
}
