package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"leverdrum/engine"
	"leverdrum/entry"
	"leverdrum/reason"
)

// refusal is a response that promises that its request has not run; idLine names its attempt, or is empty.
func refusal(idLine string) string {
	return "HTTP/1.1 503 Busy\r\n" + idLine + engine.HeaderNotRun + ": true\r\nContent-Length: 0\r\n\r\n"
}

// Guards against a surplus refusal of an earlier attempt that is taken for the response to a later one, which runs: a caller
// may come again with the ID of a refused request.
func TestSurplusRefusalProvesNothing(t *testing.T) {
	for name, named := range map[string]bool{"copy": true, "without ID": false} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var runs, connections atomic.Int64
			s := newScriptedService(t, func(c net.Conn) {
				defer c.Close()
				connections.Add(1)
				in := bufio.NewReader(c)
				surplus := ""
				for n := 0; ; n++ {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					idLine := fmt.Sprintf("%s: %s\r\n", engine.HeaderAttemptID, r.Header.Get(engine.HeaderAttemptID))
					if n == 0 {
						_, _ = io.WriteString(c, refusal(idLine))
						if surplus = refusal(""); named {
							surplus = refusal(idLine)
						}
						continue
					}
					runs.Add(1)
					_, _ = io.WriteString(c, surplus+"HTTP/1.1 200 OK\r\n"+idLine+"Content-Length: 2\r\n\r\nok")
				}
			})
			get := func() *http.Response {
				c, err := net.Dial("tcp", s.address)
				g.Expect(err).NotTo(HaveOccurred())
				defer c.Close()
				_, _ = io.WriteString(c, "GET /services/shop/items HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\nConnection: close\r\n\r\n")
				r, err := http.ReadResponse(bufio.NewReader(c), nil)
				g.Expect(err).NotTo(HaveOccurred())
				return r
			}
			first := get()
			g.Expect(first.Header.Get(entry.HeaderOutcome)).To(Equal(string(reason.NotRun)))
			second := get()
			g.Expect(runs.Load()).To(BeEquivalentTo(1))
			g.Expect(connections.Load()).To(BeEquivalentTo(1), "the connection of the refusal was used again")
			g.Expect(second.Header.Get(entry.HeaderOutcome)).To(Equal(string(reason.Unknown)))
			g.Expect(second.StatusCode).To(Equal(http.StatusBadGateway))
		})
	}
}
