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
	"google.golang.org/protobuf/proto"

	"leverdrum/internal/attest"
	"leverdrum/internal/framing"
	"leverdrum/internal/liveness"
	"leverdrum/meter"
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
	proto.Merge(f, r.frames[0])
	r.frames = r.frames[1:]
	return nil
}

func (r *recordedFrames) Close() error { return nil }

// Guards against a relayed response whose end becomes known, or unknown, on its way between two boxes, and against an end for
// which the relaying box has no evidence and that the other box takes for that of the whole response.
func TestRelayKeepsHowAResponseEnds(t *testing.T) {
	for _, c := range []struct {
		method, response string
		evidence         liveness.Evidence // that the relaying box finds
		delimited, whole bool
	}{
		{"POST", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", liveness.None, true, true},
		{"POST", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", liveness.None, true, false},
		{"POST", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", liveness.None, true, true},
		{"POST", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", liveness.None, true, false},
		{"POST", "HTTP/1.1 200 OK\r\n\r\nab", liveness.Answered, false, true},
		{"POST", "HTTP/1.1 200 OK\r\n\r\nab", liveness.Open, false, true},
		{"POST", "HTTP/1.1 200 OK\r\n\r\nab", liveness.None, false, false},
		{"POST", "HTTP/1.1 200 OK\r\n\r\nab", liveness.Ended, false, false},
		{"HEAD", "HTTP/1.1 200 OK\r\n\r\n", liveness.None, true, true},
	} {
		g := NewWithT(t)
		o := &outgoing{method: c.method, host: "h", target: "/"}
		pool := &connPool{maxOpen: 1, dialer: func(context.Context, string) (net.Conn, error) { return respondOnce(c.response), nil }}
		response, failed := exchange(t.Context(), pool, o, &attest.Headers{RequestID: "X-Request-Id"}, 0, nil)
		g.Expect(failed).To(BeNil())
		sent := &recordedFrames{}
		to := &server{checker: liveness.NewChecker(func(context.Context) liveness.Evidence { return c.evidence })}
		(&Gateway{opts: Options{Meters: meter.New()}}).forwardRelayed(t.Context(), to, response, &relayAnswer{to: sent})

		x := &relayExchange{relays: &relays{}, ctx: context.Background(), stream: sent, names: &attest.Headers{RequestID: "X-Request-Id"}, silence: time.NewTimer(time.Hour)}
		f, err := x.nextFrame()
		g.Expect(err).NotTo(HaveOccurred())
		a, failure := x.response(f.Head, o)
		g.Expect(failure).To(BeNil())
		g.Expect(a.delimited).To(Equal(c.delimited), c.response)
		_, err = io.ReadAll(a.Body)
		g.Expect(err == nil).To(Equal(c.whole), "%s, %v: %v", c.response, c.evidence, err)
		g.Expect(x.evidence == liveness.Relayed).To(Equal(c.whole && !c.delimited))
		if err != nil { // an end that is unknown must not count against the server
			j := &job{}
			g.Expect(j.bodyFailure(t.Context(), err).endUnknown).To(Equal(!c.delimited && c.evidence == liveness.None), "%s, %v", c.response, c.evidence)
		}
	}
}

// Guards against an end of an undelimited response that a box of an earlier build relays without evidence, and that this box
// takes for that of the whole response.
func TestEndRelayedByAnEarlierBuildIsUnknown(t *testing.T) {
	g := NewWithT(t)
	sent := &recordedFrames{frames: []*wire.RelayFrame{{Body: []byte("ab")}, {End: true}}}
	x := &relayExchange{relays: &relays{}, ctx: context.Background(), stream: sent, silence: time.NewTimer(time.Hour)}
	body, err := io.ReadAll(x)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(body)).To(Equal("ab"))
	g.Expect(framing.Judge(false, io.EOF, func() liveness.Evidence { return x.evidence })).To(Equal(framing.Unknown))
}

// respondOnce returns a connection to a server that reads a request head, sends a response and closes the connection.
// Guards against a relaying box that takes a head that its server truncated, at any byte, for one that it may relay.
func TestTruncatedHeadsAreNotRelayed(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nX-Y: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Y: 1\r\n\r\n",
		"HTTP/1.1 204 No Content\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	} {
		for cut := range head {
			pool := &connPool{maxOpen: 1, dialer: func(context.Context, string) (net.Conn, error) { return respondOnce(head[:cut]), nil }}
			a, failed := exchange(t.Context(), pool, &outgoing{method: "POST", host: "h", target: "/"}, &attest.Headers{RequestID: "X-Request-Id"}, 0, nil)
			if failed == nil {
				t.Errorf("%q is taken for a head of status %d", head[:cut], a.StatusCode)
			}
		}
	}
}

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
