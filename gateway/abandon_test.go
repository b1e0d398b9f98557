package gateway_test

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against an empty success for a request whose caller shut down the sending direction of its connection and still waits for a
// response.
func TestCallerThatShutDownSendingGetsNoSuccess(t *testing.T) {
	for _, path := range []string{"/unsafe/x", "/safe/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			g := NewWithT(t)
			b := newBackend(t, "i1", func(c net.Conn, _ string) bool {
				_, _ = io.ReadAll(c) // the box closes the connection
				return false
			})
			s := newSetup(t, 30*time.Second, b)
			c, err := net.Dial("tcp", s.address)
			g.Expect(err).NotTo(HaveOccurred())
			defer c.Close()
			_, err = io.WriteString(c, strings.Replace(request(path, ""), "Connection: close\r\n", "", 1))
			g.Expect(err).NotTo(HaveOccurred())
			g.Eventually(func() int { return len(b.received()) }, within).Should(Equal(1))
			g.Expect(c.(*net.TCPConn).CloseWrite()).To(Succeed())
			_ = c.SetReadDeadline(time.Now().Add(within))
			answer, _ := io.ReadAll(c) // a reset is as good as an end
			g.Expect(string(answer)).To(BeEmpty())
		})
	}
}
