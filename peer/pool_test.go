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

// slow answers probes when it is let, and tells of each that it has got.
type slow struct {
	asked chan struct{}
	let   chan struct{}
}

func newSlow() *slow { return &slow{make(chan struct{}, 16), make(chan struct{}, 16)} }

func (s *slow) Answer(ctx context.Context, from *wire.Member, _ *wire.Request) *wire.Response {
	s.asked <- struct{}{}
	select {
	case <-s.let:
	case <-ctx.Done():
	}
	return &wire.Response{Kind: &wire.Response_Probe{Probe: &wire.ProbeAnswer{Member: from.Box}}}
}

func (s *slow) Receive(*wire.Message) {}

// pool returns a pool whose every box is at the address.
func pool(t *testing.T, address string) *peer.Pool {
	p := peer.NewPool(&who{box: "two", cluster: "c", id: "x"}, peer.Plaintext{}, "", func(string) string { return address }, meter.New())
	t.Cleanup(p.Close)
	return p
}

// serving lets a handler answer as box one and returns the address.
func serving(t *testing.T, h peer.Handler) string {
	l := loopback(t)
	s := peer.Serve(l, &who{box: "one", cluster: "c", id: "x"}, peer.Plaintext{}, h, meter.New())
	t.Cleanup(s.Close)
	return l.Addr().String()
}

// loopback listens on a port of its own.
func loopback(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// call asks in the background and sends what came of it.
func call(ctx context.Context, p *peer.Pool) <-chan error {
	done := make(chan error, 1)
	go func() {
		_, err := p.Call(ctx, "one", probe)
		done <- err
	}()
	return done
}

// A caller waited for the dialling that others had begun, however short its own time
// was: the question for news of whole halls stood behind heartbeats that were passed on
// to a leader with a lossy link, for seconds.
func TestACallerDoesNotWaitForTheDiallingOfOthers(t *testing.T) {
	g := NewWithT(t)
	l := loopback(t)
	p := pool(t, l.Addr().String())
	long, cancel := context.WithCancel(context.Background())
	defer cancel()
	first := call(long, p)
	c, err := l.Accept() // and says nothing
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	short, stop := context.WithCancel(context.Background())
	second := call(short, p)
	stop()
	g.Eventually(second, "1500ms").Should(Receive(HaveOccurred()))
	g.Expect(first).NotTo(Receive(), "the dialling goes on")
}

// A call that was given up ended the session, and with it all other calls on it.
func TestACallThatIsGivenUpEndsNoOther(t *testing.T) {
	g := NewWithT(t)
	h := newSlow()
	p := pool(t, serving(t, h))
	long, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	first := call(long, p)
	<-h.asked
	short, stop := context.WithCancel(context.Background())
	second := call(short, p)
	<-h.asked
	stop()
	g.Eventually(second, "5s").Should(Receive(HaveOccurred()))
	h.let <- struct{}{}
	h.let <- struct{}{}
	g.Eventually(first, "5s").Should(Receive(BeNil()))
}

// A session on which nothing comes back is ended by the calls that wait in vain, so that
// the next one finds another way sooner than the session itself would notice.
func TestASilentSessionIsEnded(t *testing.T) {
	g := NewWithT(t)
	h := newSlow()
	between, accepted := newValve(t, serving(t, h))
	p := pool(t, between)
	h.let <- struct{}{}
	g.Eventually(call(context.Background(), p), "5s").Should(Receive(BeNil()))
	<-h.asked
	valve := <-accepted
	valve.shut()
	patient, cancel := context.WithTimeout(context.Background(), peer.UnresponsiveTimeout+100*time.Millisecond)
	defer cancel()
	g.Eventually(call(patient, p), "5s").Should(Receive(HaveOccurred()))
	h.let <- struct{}{}
	g.Eventually(call(context.Background(), p), "5s").Should(Receive(BeNil()))
	g.Expect(accepted).To(Receive(), "over another session")
}
