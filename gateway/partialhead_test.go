package gateway_test

import (
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// partialHeads are responses that a server may stop within: with a length, with chunks, without either, without a body, and after
// an interim response.
var partialHeads = map[string]string{
	"length":  "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Server-Stamp: st\r\nX-Request-Id: r1\r\nContent-Length: 4\r\n\r\n",
	"chunks":  "HTTP/1.1 200 OK\r\nX-Server-Stamp: st\r\nX-Request-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n",
	"neither": "HTTP/1.1 200 OK\r\nX-Server-Stamp: st\r\nX-Request-Id: r1\r\nContent-Type: application/json\r\n\r\n",
	"empty":   "HTTP/1.1 204 No Content\r\nX-Server-Stamp: st\r\nX-Request-Id: r1\r\nX-Last: 1\r\n\r\n",
	"interim": "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nX-Server-Stamp: st\r\nX-Request-Id: r1\r\nContent-Length: 0\r\n\r\n",
}

// Guards against a response whose head is truncated, at any byte, and that reaches its caller as a success with an empty or short
// body that counts as whole (MIXED, ORDER).
func TestHeadTruncatedAtAnyByteIsNoSuccess(t *testing.T) {
	const retriedStep = 7 // of routes whose requests are tried again, which takes longer
	for name, head := range partialHeads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for path, step := range map[string]int{"/unsafe/x": 1, "/once/x": 1, "/safe/x": retriedStep, "/stream/x": retriedStep} {
				var part atomic.Value
				b := newBackend(t, "i1", func(c net.Conn, id string) bool { return writeAndClose(part.Load().(string))(c, id) })
				s := newSetup(t, 5*time.Second, b)
				for cut := 0; cut < len(head); cut += step {
					part.Store(head[:cut])
					if answer := s.send(request(path, "")); strings.HasPrefix(answer, "HTTP/1.1 2") {
						t.Errorf("%s, %d of %d bytes: %q", path, cut, len(head), answer)
					}
				}
			}
		})
	}
}
