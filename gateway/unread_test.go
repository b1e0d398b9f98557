package gateway_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against callers that do not read and hold a response, its server's connection and the request for any time.
func TestCallerThatDoesNotReadHoldsNothing(t *testing.T) {
	filler := bytes.Repeat([]byte("x"), 1<<20)
	for name, c := range map[string]struct{ path, head string }{
		"body":    {"/unsafe/x", undelimitedHead},
		"comment": {"/once/x", undelimitedStreamHead + ": x\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var closed atomic.Bool
			s := newSetup(t, within, newBackend(t, "i1", func(conn net.Conn, _ string) bool {
				_, _ = io.WriteString(conn, c.head)
				for text := filler; ; {
					if name == "comment" {
						text = []byte(fmt.Sprintf(": %s\n\n", filler[:4<<10]))
					}
					if _, err := conn.Write(text); err != nil {
						closed.Store(true)
						return false
					}
				}
			}))
			conn, err := net.Dial("tcp", s.address)
			g.Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			_, _ = io.WriteString(conn, strings.Replace(request(c.path, ""), "X-Deadline-Ms: 5000", "X-Deadline-Ms: 500", 1))
			g.Eventually(closed.Load, within).Should(BeTrue(), "the connection to the server is closed")
			g.Eventually(s.gate.InFlight, within).Should(BeZero(), "requests in flight")
			g.Eventually(s.responses.Used, within).Should(BeZero(), "memory that is not returned")
		})
	}
}
