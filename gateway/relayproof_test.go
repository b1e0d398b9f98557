package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/internal/attest"
	"leverdrum/reason"
)

// Guards against a refusal that proves nothing at the relaying box, and that the other box takes for one that does: it knows
// nothing of the connection to the server.
func TestUnprovenRefusalIsNotRelayed(t *testing.T) {
	g := NewWithT(t)
	names := attest.Headers{RequestID: "X-Request-Id", NotRun: "X-Not-Run", Stamp: "X-Server-Stamp"}
	near, far := newMemConns()
	go func() {
		in := bufio.NewReader(far)
		for _, response := range []string{
			"HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nContent-Length: 0\r\n\r\n", // a server that never names requests
			"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		} {
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			_, _ = io.WriteString(far, response)
		}
	}()
	pool := &connPool{maxOpen: 1, dialer: func(context.Context, string) (net.Conn, error) { return near, nil }}
	exchangeOnce := func(id string) (*response, *outgoing) {
		o := &outgoing{method: http.MethodGet, host: "h", target: "/", id: id}
		a, f := exchange(t.Context(), pool, o, &names, 0, nil)
		g.Expect(f).To(BeNil())
		return a, o
	}
	a, _ := exchangeOnce("r1")
	g.Expect(a.proof).To(Equal(attest.Run))
	a.finish(true)
	a, _ = exchangeOnce("r2")
	g.Expect(a.proof).To(Equal(attest.Nothing))
	sent := &recordedFrames{}
	(&Gateway{headers: names}).forwardRelayed(t.Context(), nil, a, &relayAnswer{to: sent})

	x := &relayExchange{relays: newRelays(nil, "", nil), ctx: context.Background(), stream: sent, names: &names, silence: time.NewTimer(time.Hour)}
	f, err := x.nextFrame()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(f.Failure).NotTo(BeNil())
	g.Expect(x.failure(f.Failure).outcome).To(Equal(reason.Unknown))
}
