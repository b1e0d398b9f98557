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

// long answers with many bytes.
type long struct{ bytes int }

func (l long) Answer(context.Context, *wire.Member, *wire.Request) *wire.Response {
	return &wire.Response{Kind: &wire.Response_Probe{Probe: &wire.ProbeAnswer{Member: strings.Repeat("x", l.bytes)}}}
}

func (l long) Receive(*wire.Message) {}

// slowBy proxies to an address and waits after each piece that comes from there.
func slowBy(t *testing.T, to string, pause time.Duration) string {
	l := loopback(t)
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
		go (&valve{}).copy(out, in)
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

// quiet is for how long nothing may come.
const quiet = 300 * time.Millisecond

// An answer was given up while it came, and began again at the next box.
func TestAnAnswerOnItsWayIsNotGivenUp(t *testing.T) {
	g := NewWithT(t)
	p := pool(t, slowBy(t, serving(t, long{400 << 10}), 20*time.Millisecond)) // over a second in all
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	began := time.Now()
	response, err := p.Fetch(ctx, "one", probe, quiet)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.GetProbe().Member).To(HaveLen(400 << 10))
	g.Expect(time.Since(began)).To(BeNumerically(">", 2*quiet))
}

func TestABoxThatSendsNothingIsGivenUp(t *testing.T) {
	g := NewWithT(t)
	p := pool(t, serving(t, newSlow()))
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	_, err := p.Fetch(ctx, "one", probe, quiet)
	g.Expect(err).To(MatchError(ContainSubstring("next to nothing")))
	g.Expect(ctx.Err()).NotTo(HaveOccurred())
}
