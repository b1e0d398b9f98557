package peer_test

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/wire"
)

// largeResponse is a handler that responds with the given number of bytes.
type largeResponse struct{ bytes int }

func (l largeResponse) Answer(context.Context, *wire.Member, *wire.Request) *wire.Response {
	return &wire.Response{Kind: &wire.Response_Probe{Probe: &wire.ProbeAnswer{Member: strings.Repeat("x", l.bytes)}}}
}

func (l largeResponse) Receive(*wire.Message) {}

// slowProxy forwards one connection to an address and pauses after each chunk it relays
// back.
func slowProxy(t *testing.T, to string, pause time.Duration) string {
	l := listenLoopback(t)
	go func() {
		in, err := l.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", to)
		if err != nil {
			in.Close()
			return
		}
		go (&proxiedConn{}).copy(out, in)
		defer in.Close()
		buf := make([]byte, 8<<10)
		for {
			n, err := out.Read(buf)
			if err != nil {
				return
			}
			if _, err := in.Write(buf[:n]); err != nil {
				return
			}
			time.Sleep(pause)
		}
	}()
	return l.Addr().String()
}

// stallTimeout is the longest interval without progress that the tests allow.
const stallTimeout = 300 * time.Millisecond

// Guards against abandoning a response that is still arriving, which would then be
// requested again from the next box.
func TestFetchWaitsForSlowResponse(t *testing.T) {
	g := NewWithT(t)
	p := pool(t, slowProxy(t, serve(t, largeResponse{400 << 10}), 20*time.Millisecond)) // takes over a second in total
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	began := time.Now()
	response, err := p.Fetch(ctx, "one", probe, stallTimeout)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.GetProbe().Member).To(HaveLen(400 << 10))
	g.Expect(time.Since(began)).To(BeNumerically(">", 2*stallTimeout))
}

// A box that sends nothing must be given up after stallTimeout, before the context ends.
func TestFetchAbandonsStalledResponse(t *testing.T) {
	g := NewWithT(t)
	p := pool(t, serve(t, newBlockingHandler()))
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	_, err := p.Fetch(ctx, "one", probe, stallTimeout)
	g.Expect(err).To(MatchError(ContainSubstring("response stalled: the box is sending almost no data")))
	g.Expect(ctx.Err()).NotTo(HaveOccurred())
}
