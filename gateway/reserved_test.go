package gateway_test

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// forged holds reserved headers as a caller might send them.
const forged = "X-Reserved: a\r\nx-rank: 0\r\nX-RESERVED: b\r\nX-Fetch: 10.0.0.1:1\r\nX-Instance: another\r\n"

func TestReservedHeadersAreDropped(t *testing.T) {
	g := NewWithT(t)
	// The first attempt of each stream breaks off after two events.
	breakOff := func(c net.Conn, id string) bool {
		if id == "" {
			return false
		}
		fmt.Fprintf(c, streamHead, "st")
		events(c, 1, 2, 5)
		return false
	}
	fail := func(c net.Conn, id string) bool {
		_, err := io.WriteString(c, "HTTP/1.1 500 No\r\nX-Server-Stamp: st\r\nX-Request-Id: "+id+"\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	for path, answer := range map[string]script{"/unsafe/x": answerOK, "/safe/x": fail, "/once/x": breakOff, "/stream/x": breakOff} {
		a, b := newBackend(t, "i1", answer), newBackend(t, "i2", answer)
		s := newSetup(t, 5*time.Second, a, b)
		s.send(request(path, forged))
		received := append(a.received(), b.received()...)
		g.Expect(received).NotTo(BeEmpty(), path)
		for _, head := range received {
			for _, name := range []string{"X-Reserved", "X-Rank", "X-Fetch"} {
				g.Expect(header(head, name)).To(BeEmpty(), "%s on %s", name, path)
			}
			g.Expect(header(head, "X-Instance")).To(HavePrefix("i"), "the chosen server, on %s", path)
		}
		if path == "/safe/x" || path == "/stream/x" {
			g.Expect(len(received)).To(BeNumerically(">", 1), "a retry on %s", path)
		}
	}
}
