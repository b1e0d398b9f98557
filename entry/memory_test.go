package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/entry"
	"leverdrum/internal/framing"
	"leverdrum/internal/membudget"
	"leverdrum/meter"
	"leverdrum/proxy"
	"leverdrum/record"
	"leverdrum/route"
	"leverdrum/standin"
	"leverdrum/state"
)

const (
	// heldConnections is the number of connections on which a server sends heldBytes and then pauses.
	heldConnections = 100
	heldBytes       = 900 << 10
	// responseMemory is the memory for responses, and connectionBytes what a connection takes beside it: heads, read buffers and
	// goroutines, of the box as well as of the servers and callers of the test.
	responseMemory  = 8 << 20
	connectionBytes = 160 << 10
	// measured is the time for which the heap is measured once the server pauses, and maxWait bounds the wait for that.
	measured = 300 * time.Millisecond
	maxWait  = 10 * time.Second
)

// listenScript serves each connection with a function and returns the address.
func listenScript(t *testing.T, serve func(net.Conn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}

// liveHeap returns the bytes of the heap that are in use.
func liveHeap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against servers that together make a box keep more than its memory, each within the bounds of a single response, and
// against calls to other servers that fail meanwhile.
func TestResponsesShareOneMemoryBound(t *testing.T) {
	filler := strings.Repeat("x", heldBytes)
	const ok, stream = "HTTP/1.1 200 OK\r\n", "Content-Type: text/event-stream\r\n\r\n"
	for _, c := range []struct{ name, status, rest string }{
		{"no response", "", filler},
		{"one header", ok, "X-Filler: " + filler},
		{"header lines", ok, strings.Repeat("x:\r\n", heldBytes/4)},
		{"interim responses", "", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", heldBytes/27)},
		{"body without a length", ok, "\r\n" + filler},
		{"body with a length", ok, "Content-Length: 1000000\r\n\r\n" + filler},
		{"chunks", ok, "Transfer-Encoding: chunked\r\n\r\nfffff\r\n" + filler},
		{"body of an error", "HTTP/1.1 500 No\r\n", "\r\n" + filler},
		{"chunk extension", ok, "Transfer-Encoding: chunked\r\n\r\n2;" + filler},
		{"trailers", ok, "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + strings.Repeat("x: y\r\n", heldBytes/6)},
		{"event", ok, stream + "id: 1\ndata: " + filler},
		{"comment lines", ok, stream + strings.Repeat(": "+strings.Repeat("x", 97)+"\n", heldBytes/100)},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			var written atomic.Int64
			rest := []byte(c.rest) // io.WriteString would copy it for each connection
			held := listenScript(t, func(conn net.Conn) {
				defer conn.Close()
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				if c.status != "" {
					fmt.Fprintf(conn, "%sX-Attempt-Id: %s\r\n", c.status, r.Header.Get("X-Attempt-Id"))
				}
				_, _ = conn.Write(rest)
				written.Add(1)
				_, _ = io.Copy(io.Discard, conn) // until the box closes the connection
			})
			sound := listenScript(t, func(conn net.Conn) {
				defer conn.Close()
				for in := bufio.NewReader(conn); ; {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nContent-Length: 4\r\n\r\nfine", r.Header.Get("X-Attempt-Id"))
				}
			})
			memory := membudget.New(responseMemory, nil)
			st, err := standin.CommittedState(fmt.Sprintf("[fleet]\nnumber = 1\n[hall a]\n[class c]\ndeadline = 20s\n[service held]\nclass = c\n[service sound]\nclass = c\n[instance h]\nservice = held\naddress = %s\nhall = a\nconcurrency = 1000\n[instance s]\nservice = sound\naddress = %s\nhall = a\nconcurrency = 1000\n", held, sound))
			g.Expect(err).NotTo(HaveOccurred())
			d := route.NewDirectory("a")
			d.Update(st)
			server := httptest.NewUnstartedServer(entry.New(entry.Options{
				Directory: d, View: func() *state.State { return st }, Current: func() bool { return true }, Sender: proxy.NewSender(), Responses: memory,
				Meters: meter.New(), Records: record.NewHistory(100), MaxBody: 1000, BodyTimeout: time.Second, Claims: &oneBoxClaims{},
			}))
			server.Config.ConnContext = framing.ConnContext
			server.Start()
			t.Cleanup(server.Close)
			address := server.Listener.Addr().String()

			before := liveHeap()
			var callers sync.WaitGroup
			var connections []net.Conn
			for range heldConnections {
				conn, err := net.Dial("tcp", address)
				g.Expect(err).NotTo(HaveOccurred())
				connections = append(connections, conn)
				callers.Go(func() {
					fmt.Fprint(conn, "POST /services/held/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 2\r\n\r\nab")
					_, _ = io.Copy(io.Discard, conn)
				})
			}
			var done atomic.Bool
			var answered, failed atomic.Int64
			end := sync.OnceFunc(func() {
				done.Store(true)
				for _, conn := range connections {
					conn.Close()
				}
				callers.Wait()
			})
			defer end()
			callers.Go(func() {
				for !done.Load() {
					r, err := http.Get("http://" + address + "/services/sound/x")
					if err != nil {
						failed.Add(1)
						continue
					}
					body, err := io.ReadAll(r.Body)
					r.Body.Close()
					if err == nil && r.StatusCode == http.StatusOK && string(body) == "fine" {
						answered.Add(1)
					} else {
						failed.Add(1)
					}
				}
			})
			g.Eventually(written.Load, maxWait).Should(BeNumerically(">=", heldConnections), "calls on which the server has sent all, or was cut off")
			kept := int64(math.MaxInt64) // the least, since other calls make garbage during the collection
			for startedAt := time.Now(); time.Since(startedAt) < measured; time.Sleep(measured / 20) {
				kept = min(kept, liveHeap()-before)
			}
			end()
			t.Logf("%.1f MiB kept, %d sound calls", float64(kept)/(1<<20), answered.Load())
			g.Expect(kept).To(BeNumerically("<=", responseMemory+heldConnections*connectionBytes))
			g.Expect(failed.Load()).To(BeZero(), "sound calls that failed")
			g.Expect(answered.Load()).To(BeNumerically(">", 0))
			g.Eventually(memory.Used, maxWait).Should(BeZero(), "memory that is not returned")
		})
	}
}
