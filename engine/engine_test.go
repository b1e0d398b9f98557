package engine

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against an old state that passes for the current one: a server sends its response to an earlier read a second time.
func TestCopyOfAnEarlierStateIsRejected(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	go func() {
		for n := 0; ; {
			c, err := l.Accept()
			if err != nil {
				return
			}
			in, copied := bufio.NewReader(c), ""
			for {
				r, err := http.ReadRequest(in)
				if err != nil {
					break
				}
				n++
				body := fmt.Sprintf(`{"incarnation":"i","running":%d}`, n)
				response := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", HeaderAttemptID, r.Header.Get(HeaderAttemptID), len(body), body)
				_, _ = io.WriteString(c, copied+response)
				copied = response
			}
			c.Close()
		}
	}()
	server := NewClient(func() bool { return true }, nil).At("s", l.Addr().String())
	s, err := server.State(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Running).To(Equal(1))
	_, err = server.State(context.Background())
	g.Expect(err).To(MatchError(ContainSubstring("another call")))
	s, err = server.State(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Running).To(Equal(3), "on a new connection")
}
