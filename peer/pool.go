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
	// redialDelay is the minimum time between a failed dial and the next one to the same
	// address.
	redialDelay = 100 * time.Millisecond
	// sendQueueLength bounds the messages queued for one box. Further messages are dropped, as
	// a network may do.
	sendQueueLength = 512
)

// Pool manages the sessions to other boxes.
type Pool struct {
	id     Identity
	tls    TLS
	lookup func(box string) string
	dialer net.Dialer
	meters *meter.Meters
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu         sync.Mutex
	links      map[string]*link
	sendQueues map[string]chan *wire.Message
}

// NewPool returns a pool that dials from the IP address in localAddress (host:port).
// lookup returns the address of a box, or "" if it is unknown.
func NewPool(id Identity, t TLS, localAddress string, lookup func(box string) string, m *meter.Meters) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Pool{
		id: id, tls: t, lookup: lookup, dialer: dialerFrom(localAddress), meters: m, ctx: ctx, cancel: cancel,
		links: map[string]*link{}, sendQueues: map[string]chan *wire.Message{},
	}
	p.wg.Go(p.closeIdle)
	return p
}

// dialerFrom returns a dialer bound to the IP address in localAddress, so that a machine
// with several addresses always uses the same one.
func dialerFrom(localAddress string) net.Dialer {
	a, err := netip.ParseAddrPort(localAddress)
	if err != nil || a.Addr().IsUnspecified() {
		return net.Dialer{}
	}
	return net.Dialer{LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(a.Addr(), 0))}
}

// Close closes all sessions.
func (p *Pool) Close() {
	p.mu.Lock()
	p.cancel()
	p.mu.Unlock()
	links := p.allLinks()
	for _, l := range links {
		l.dropCurrent()
	}
	p.wg.Wait()
	for _, l := range links {
		l.dropCurrent() // sessions created in the meantime
	}
}

// OpenSession replaces the session to a box by a new one, so that both sides exchange
// their identities again. It returns the member that responded.
func (p *Pool) OpenSession(ctx context.Context, box string) (*wire.Member, error) {
	l := p.link(box)
	l.dropCurrent()
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
