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
	"leverdrum/wire"
)

// recordedFrames is the answer of a relaying box: a RelaySender, and the RelayStream that reads what was sent.
type recordedFrames struct{ frames []*wire.RelayFrame }

func (r *recordedFrames) Send(f *wire.RelayFrame) error {
	if len(f.Body) > 0 {
		f = &wire.RelayFrame{Body: append([]byte(nil), f.Body...)}
	}
	r.frames = append(r.frames, f)
	return nil
}

func (r *recordedFrames) Receive(f *wire.RelayFrame) error {
	if len(r.frames) == 0 {
		return io.ErrUnexpectedEOF
	}
	f.Head, f.Failure, f.Body, f.End = r.frames[0].Head, r.frames[0].Failure, r.frames[0].Body, r.frames[0].End
	r.frames = r.frames[1:]
	return nil
}

func (r *recordedFrames) Close() error { return nil }

// Guards against a relayed response whose end becomes known, or unknown, on its way between two boxes.
func TestRelayKeepsHowAResponseEnds(t *testing.T) {
	for _, c := range []struct {
		method, response string
		delimited, whole bool
	}{
		{"POST", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", true, true},
		{"POST", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", true, false},
		{"POST", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", true, true},
		{"POST", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", true, false},
		{"POST", "HTTP/1.1 200 OK\r\n\r\nab", false, true},
		{"HEAD", "HTTP/1.1 200 OK\r\n\r\n", true, true},
	} {
		g := NewWithT(t)
		o := &outgoing{method: c.method, host: "h", target: "/"}
		pool := &connPool{maxOpen: 1, dialer: func(context.Context, string) (net.Conn, error) { return respondOnce(c.response), nil }}
		server, failed := exchange(t.Context(), pool, o, &attest.Headers{RequestID: "X-Request-Id"}, 0, nil)
		g.Expect(failed).To(BeNil())
		sent := &recordedFrames{}
		new(Gateway).forwardRelayed(server, &relayAnswer{to: sent})

		x := &relayExchange{relays: &relays{}, ctx: context.Background(), stream: sent, names: &attest.Headers{RequestID: "X-Request-Id"}, silence: time.NewTimer(time.Hour)}
		f, err := x.nextFrame()
		g.Expect(err).NotTo(HaveOccurred())
		a, failure := x.response(f.Head, o)
		g.Expect(failure).To(BeNil())
		g.Expect(a.delimited).To(Equal(c.delimited), c.response)
		_, err = io.ReadAll(a.Body)
		g.Expect(err == nil).To(Equal(c.whole), "%s: %v", c.response, err)
	}
}

// respondOnce returns a connection to a server that reads a request head, sends a response and closes the connection.
func respondOnce(response string) net.Conn {
	near, far := net.Pipe()
	go func() {
		defer far.Close()
		if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
			_, _ = io.WriteString(far, response)
		}
	}()
	return near
}
