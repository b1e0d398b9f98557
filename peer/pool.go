package peer

import (
	"context"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

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
	p := &Pool{
		id: id, tls: t, lookup: lookup, dialer: dialerFrom(own), meters: m, ctx: ctx, cancel: cancel,
		links: map[string]*link{}, senders: map[string]chan *wire.Message{},
	}
	p.wg.Go(p.closeIdle)
	return p
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
	p.mu.Unlock()
	links := p.allLinks()
	for _, l := range links {
		l.dropAny()
	}
	p.wg.Wait()
	for _, l := range links {
		l.dropAny() // what was made meanwhile
	}
}

// OpenSession opens a new session to a box, so that both say again who they are, and
// returns who answered.
func (p *Pool) OpenSession(ctx context.Context, box string) (*wire.Member, error) {
	l := p.link(box)
	l.dropAny()
	s, err := p.session(ctx, box, l)
	if err != nil {
		return nil, err
	}
	return s.remote, nil
}

func (p *Pool) allLinks() []*link {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Values(p.links))
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
