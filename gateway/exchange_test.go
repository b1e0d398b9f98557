package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"leverdrum/internal/attest"
	"leverdrum/internal/responsehead"
	"leverdrum/wire"
)

// Guards against a head that a box of an earlier build relays without having checked it, and that is no response.
func TestMalformedRelayedHeadsAreNoResponse(t *testing.T) {
	field := func(name, value string) []*wire.RelayHeader {
		return []*wire.RelayHeader{{Name: name, Value: value}}
	}
	for _, c := range []struct {
		head *wire.RelayHead
		kind responsehead.Kind
	}{
		{&wire.RelayHead{Status: 200, Length: -1, Headers: field("X-Y", "a")}, ""},
		{&wire.RelayHead{Status: 0}, responsehead.Status},
		{&wire.RelayHead{Status: 101}, responsehead.Status},
		{&wire.RelayHead{Status: 103}, responsehead.Status},
		{&wire.RelayHead{Status: 999}, responsehead.Status},
		{&wire.RelayHead{Status: 200, Length: -2}, responsehead.ContentLength},
		{&wire.RelayHead{Status: 200, Headers: field("X Y", "a")}, responsehead.FieldName},
		{&wire.RelayHead{Status: 200, Headers: field("X", "a\r\nY: b")}, responsehead.FieldValue},
	} {
		g := NewWithT(t)
		err := checkRelayed(c.head)
		if c.kind == "" {
			g.Expect(err).NotTo(HaveOccurred())
		} else {
			g.Expect(err).To(Equal(&responsehead.Error{Kind: c.kind}), "%v", c.head)
		}
	}
}

// BenchmarkExchange measures one exchange with a server on a kept connection.
func BenchmarkExchange(b *testing.B) {
	const response = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Request-Id: r1\r\nX-Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\nKeep-Alive: timeout=5\r\nContent-Length: 4\r\n\r\nfine"
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		in := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, response)
		}
	}()
	pool := newConnPool(l.Addr().String())
	o := &outgoing{method: http.MethodPost, host: "h", target: "/", id: "r1", body: []byte("ab")}
	b.ReportAllocs()
	for b.Loop() {
		a, f := exchange(b.Context(), pool, o, &attest.Headers{RequestID: "X-Request-Id"}, 0, nil)
		if f != nil {
			b.Fatal(f.cause)
		}
		if _, err := io.Copy(io.Discard, a.Body); err != nil {
			b.Fatal(err)
		}
		a.finish(true)
	}
}
