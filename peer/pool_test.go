package peer_test

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/meter"
	"leverdrum/peer"
	"leverdrum/wire"
)

// blockingHandler signals each request it receives and responds when it is released.
type blockingHandler struct {
	requested chan struct{}
	release   chan struct{}
}

func newBlockingHandler() *blockingHandler {
	return &blockingHandler{make(chan struct{}, 16), make(chan struct{}, 16)}
}

func (s *blockingHandler) Answer(ctx context.Context, from *wire.Member, _ *wire.Request) *wire.Response {
	s.requested <- struct{}{}
	select {
	case <-s.release:
	case <-ctx.Done():
	}
	return &wire.Response{Kind: &wire.Response_Probe{Probe: &wire.ProbeAnswer{Member: from.Box}}}
}

func (s *blockingHandler) Receive(*wire.Message) {}

// pool returns a pool that finds every box at the given address.
func pool(t *testing.T, address string) *peer.Pool {
	p := peer.NewPool(&fixedIdentity{box: "two", cluster: "c", id: "x"}, peer.Plaintext{}, "", func(string) string { return address }, meter.New())
	t.Cleanup(p.Close)
	return p
}

// serve starts a server for box one with the given handler and returns its address.
func serve(t *testing.T, h peer.Handler) string {
	l := listenLoopback(t)
	s := peer.Serve(l, &fixedIdentity{box: "one", cluster: "c", id: "x"}, peer.Plaintext{}, h, meter.New())
	t.Cleanup(s.Close)
	return l.Addr().String()
}

// listenLoopback listens on a free loopback port.
func listenLoopback(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// callAsync sends a probe in the background and returns a channel with the resulting
// error.
func callAsync(ctx context.Context, p *peer.Pool) <-chan error {
	done := make(chan error, 1)
	go func() {
		_, err := p.Call(ctx, "one", probe)
		done <- err
	}()
	return done
}

// Guards against a call that waits for a dial started by another call beyond its own
// deadline. Queries for updates of whole halls were delayed for seconds behind heartbeats
// forwarded to a leader over a lossy link.
func TestCallDoesNotWaitForOtherDials(t *testing.T) {
	g := NewWithT(t)
	l := listenLoopback(t)
	p := pool(t, l.Addr().String())
	longCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	first := callAsync(longCtx, p)
	c, err := l.Accept() // never responds
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	shortCtx, stop := context.WithCancel(context.Background())
	second := callAsync(shortCtx, p)
	stop()
	g.Eventually(second, "1500ms").Should(Receive(HaveOccurred()))
	g.Expect(first).NotTo(Receive(), "the dial must continue")
}

// Guards against a canceled call closing the session and failing all other calls on it.
func TestCanceledCallKeepsSession(t *testing.T) {
	g := NewWithT(t)
	h := newBlockingHandler()
	p := pool(t, serve(t, h))
	longCtx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	first := callAsync(longCtx, p)
	<-h.requested
	shortCtx, stop := context.WithCancel(context.Background())
	second := callAsync(shortCtx, p)
	<-h.requested
	stop()
	g.Eventually(second, "5s").Should(Receive(HaveOccurred()))
	h.release <- struct{}{}
	h.release <- struct{}{}
	g.Eventually(first, "5s").Should(Receive(BeNil()))
}

// A call that times out on an unresponsive session must close it, so that the next call
// opens a new session sooner than the keep-alive would detect the failure.
func TestUnresponsiveSessionIsClosed(t *testing.T) {
	g := NewWithT(t)
	h := newBlockingHandler()
	proxyAddress, accepted := newBlackholeProxy(t, serve(t, h))
	p := pool(t, proxyAddress)
	h.release <- struct{}{}
	g.Eventually(callAsync(context.Background(), p), "5s").Should(Receive(BeNil()))
	<-h.requested
	conn := <-accepted
	conn.blackhole()
	ctx, cancel := context.WithTimeout(context.Background(), peer.UnresponsiveTimeout+100*time.Millisecond)
	defer cancel()
	g.Eventually(callAsync(ctx, p), "5s").Should(Receive(HaveOccurred()))
	h.release <- struct{}{}
	g.Eventually(callAsync(context.Background(), p), "5s").Should(Receive(BeNil()))
	g.Expect(accepted).To(Receive(), "the call must use a new session")
}
