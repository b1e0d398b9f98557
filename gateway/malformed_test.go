package gateway_test

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// malformedHeads are responses that a parser which accepts more than the grammar would take for successes.
var malformedHeads = map[string]string{
	"status 000":               "HTTP/1.1 000 Oops\r\n%Content-Length: 4\r\n\r\nfine",
	"status 099":               "HTTP/1.1 099 Oops\r\n%Content-Length: 4\r\n\r\nfine",
	"status 999":               "HTTP/1.1 999 Oops\r\n%Content-Length: 4\r\n\r\nfine",
	"status 600":               "HTTP/1.1 600 Oops\r\n%Content-Length: 4\r\n\r\nfine",
	"upgrade":                  "HTTP/1.1 101 Oops\r\n%\r\n\r\nfine",
	"status of four digits":    "HTTP/1.1 2000 OK\r\n%Content-Length: 4\r\n\r\nfine",
	"another version":          "HTTP/1.2 200 OK\r\n%Content-Length: 4\r\n\r\nfine",
	"blank in a name":          "HTTP/1.1 200 OK\r\n%X Y: 1\r\nContent-Length: 4\r\n\r\nfine",
	"control byte in a name":   "HTTP/1.1 200 OK\r\n%X\x01Y: 1\r\nContent-Length: 4\r\n\r\nfine",
	"control byte in a value":  "HTTP/1.1 200 OK\r\n%X: a\x01b\r\nContent-Length: 4\r\n\r\nfine",
	"blank before a colon":     "HTTP/1.1 200 OK\r\n%Content-Length : 2\r\n\r\nfine",
	"blank before chunks":      "HTTP/1.1 200 OK\r\n%Transfer-Encoding : chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n",
	"no name":                  "HTTP/1.1 200 OK\r\n%: x\r\nContent-Length: 4\r\n\r\nfine",
	"no colon":                 "HTTP/1.1 200 OK\r\n%oops\r\nContent-Length: 4\r\n\r\nfine",
	"folded value":             "HTTP/1.1 200 OK\r\n%X: a\r\n b\r\nContent-Length: 4\r\n\r\nfine",
	"two lengths":              "HTTP/1.1 200 OK\r\n%Content-Length: 4\r\nContent-Length: 5\r\n\r\nfine",
	"one length twice":         "HTTP/1.1 200 OK\r\n%Content-Length: 4\r\nContent-Length: 4\r\n\r\nfine",
	"length with a sign":       "HTTP/1.1 200 OK\r\n%Content-Length: +4\r\n\r\nfine",
	"length and chunks":        "HTTP/1.1 200 OK\r\n%Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n",
	"two encodings":            "HTTP/1.1 200 OK\r\n%Transfer-Encoding: gzip, chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n",
	"chunks in HTTP/1.0":       "HTTP/1.0 200 OK\r\n%Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n",
	"lines without a return":   "HTTP/1.1 200 OK\r\n%X: a\nContent-Length: 4\r\n\r\nfine",
	"return within a value":    "HTTP/1.1 200 OK\r\n%X: a\rb\r\nContent-Length: 4\r\n\r\nfine",
	"malformed interim":        "HTTP/1.1 103 Hints\r\nX Y: 1\r\n\r\nHTTP/1.1 200 OK\r\n%Content-Length: 4\r\n\r\nfine",
	"malformed surplus before": "HTTP/1.1 503 No\r\nX-Request-Id: r0\r\nContent-Length : 2\r\n\r\nHTTP/1.1 200 OK\r\n%Content-Length: 4\r\n\r\nfine",
}

// Guards against bytes that are no response and reach a caller as one, with a line dropped or with another body than the
// server's.
func TestMalformedHeadsAreNoResponse(t *testing.T) {
	for name, text := range malformedHeads {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			whole := strings.Replace(text, "%", "X-Server-Stamp: st\r\nX-Request-Id: r1\r\n", 1)
			for _, path := range []string{"/unsafe/x", "/once/x", "/safe/x", "/stream/x"} {
				for _, size := range []int{len(whole), 1} { // at once, and byte by byte
					b := newBackend(t, "i1", func(c net.Conn, _ string) bool {
						for i := 0; i < len(whole); i += size {
							_, _ = io.WriteString(c, whole[i:min(i+size, len(whole))]) // the box closes the connection
						}
						return false
					})
					s := newSetup(t, 5*time.Second, b)
					g.Expect(s.send(request(path, ""))).To(HavePrefix("HTTP/1.1 502 "), path)
					if path == "/unsafe/x" || path == "/once/x" {
						g.Expect(b.received()).To(HaveLen(1), "a request that may not be repeated is sent once")
					}
				}
			}
		})
	}
}

// Guards against a malformed response that costs a caller an answer which another server can give.
func TestRequestWithMalformedResponseIsRetried(t *testing.T) {
	g := NewWithT(t)
	a := newBackend(t, "i1", writeAndClose("HTTP/1.1 000 Oops\r\nX-Server-Stamp: st\r\nX-Request-Id: r1\r\nContent-Length: 4\r\n\r\nfine"))
	b := newBackend(t, "i2", answerOK)
	for range 20 { // the first server is chosen at random
		g.Expect(newSetup(t, 5*time.Second, a, b).send(request("/safe/x", ""))).To(HavePrefix("HTTP/1.1 200 "))
	}
	g.Expect(a.received()).NotTo(BeEmpty())
}
