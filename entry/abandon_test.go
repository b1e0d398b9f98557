package entry_test

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against an empty success of the product's own interface for a request whose caller shut down the sending direction of
// its connection and still waits for a response.
func TestCallerThatShutDownSendingGetsNoSuccess(t *testing.T) {
	for name, header := range map[string]string{"plain": "", "keyed": "Idempotency-Key: k\r\n"} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			received := make(chan struct{}, 1)
			s := newScriptedService(t, func(c net.Conn) {
				defer c.Close()
				_, _ = c.Read(make([]byte, 1000))
				received <- struct{}{}
				_, _ = io.ReadAll(c) // returns when the box closes the connection
			})
			c, err := net.Dial("tcp", s.address)
			g.Expect(err).NotTo(HaveOccurred())
			defer c.Close()
			fmt.Fprintf(c, "POST /services/shop/orders HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n%s\r\nab", header)
			g.Eventually(received, 10*time.Second).Should(Receive())
			g.Expect(c.(*net.TCPConn).CloseWrite()).To(Succeed())
			_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
			answer, _ := io.ReadAll(c) // a reset is as good as an end
			g.Expect(string(answer)).NotTo(ContainSubstring(" 200 "))
		})
	}
}
