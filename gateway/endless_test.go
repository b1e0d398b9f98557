package gateway_test

import (
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// endless writes text again and again until the connection is closed, with a pause after each time.
func endless(c net.Conn, text string, pause time.Duration, written *atomic.Int64) {
	for {
		n, err := io.WriteString(c, text)
		written.Add(int64(n))
		if err != nil {
			return
		}
		time.Sleep(pause)
	}
}

// Guards against bytes without end from a server, in a head or in the body of a response that is not forwarded, that a box
// reads until the deadline of the request, or keeps.
func TestEndlessBytesAreCutOff(t *testing.T) {
	const (
		maxTime  = 2 * time.Second // far below the deadline of the request
		maxBytes = 2 << 20         // of all attempts; the buffers of the kernel hold most of it
	)
	refusal := "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nX-Request-Id: r1\r\n"
	for _, c := range []struct {
		name, begin, text string
		pause             time.Duration
		status            string
	}{
		{"header lines", "HTTP/1.1 200 OK\r\n", "X-Filler: " + strings.Repeat("x", 1000) + "\r\n", 0, "502"},
		{"one header line", "HTTP/1.1 200 OK\r\nX-Filler: ", strings.Repeat("x", 1000), 0, "502"},
		{"no response", "", strings.Repeat("x", 1000), 0, "502"},
		{"interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n", 0, "502"},
		{"slow body of a refusal", refusal + "Content-Length: 60000\r\n\r\n", "x", 10 * time.Millisecond, "503"},
		{"slow chunks of a refusal", refusal + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", 10 * time.Millisecond, "503"},
		{"body of a refusal", refusal + "\r\n", strings.Repeat("x", 1000), 0, "503"},
		{"surplus response", "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nX-Request-Id: r0\r\n\r\n", strings.Repeat("x", 1000), 0, "502"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			var written atomic.Int64
			var closed atomic.Bool
			b := newBackend(t, "i1", func(conn net.Conn, _ string) bool {
				// Else the kernel takes some MB of each attempt that no box reads.
				_ = conn.(*net.TCPConn).SetWriteBuffer(32 << 10)
				_, _ = io.WriteString(conn, c.begin)
				endless(conn, c.text, c.pause, &written)
				closed.Store(true)
				return false
			})
			s := newSetup(t, 30*time.Second, b)
			startedAt := time.Now()
			answer := s.send(strings.Replace(request("/unsafe/x", ""), "X-Deadline-Ms: 5000", "X-Deadline-Ms: 20000", 1))
			g.Expect(answer).To(HavePrefix("HTTP/1.1 " + c.status + " "))
			g.Expect(time.Since(startedAt)).To(BeNumerically("<", maxTime))
			g.Eventually(closed.Load, maxTime).Should(BeTrue(), "the connection to the server is closed")
			g.Expect(written.Load()).To(BeNumerically("<", maxBytes))
		})
	}
}
