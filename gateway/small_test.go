package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// BenchmarkSmallResponse measures one request whose response is small and has a length, on kept connections.
func BenchmarkSmallResponse(b *testing.B) {
	for name, s := range map[string]struct{ path, response string }{
		"plain":  {"/unsafe/x", plainResponse("r1", "fine")},
		"stream": {"/once/x", fmt.Sprintf(streamHead, "st") + chunk(twoEvents) + "0\r\n\r\n"},
	} {
		b.Run(name, func(b *testing.B) {
			server := newBackend(b, "i1", func(c net.Conn, _ string) bool {
				_, err := io.WriteString(c, s.response)
				return err == nil
			})
			gate := newSetup(b, 5*time.Second, server)
			c, err := net.Dial("tcp", gate.address)
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			in := bufio.NewReader(c)
			raw := "POST " + s.path + " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r1\r\nX-Deadline-Ms: 5000\r\nContent-Length: 2\r\n\r\nab"
			b.ReportAllocs()
			for b.Loop() {
				if _, err := io.WriteString(c, raw); err != nil {
					b.Fatal(err)
				}
				r, err := http.ReadResponse(in, nil)
				if err != nil {
					b.Fatal(err)
				}
				if n, err := io.Copy(io.Discard, r.Body); err != nil || n == 0 || r.StatusCode != http.StatusOK {
					b.Fatal(n, err, r.StatusCode)
				}
			}
		})
	}
}
