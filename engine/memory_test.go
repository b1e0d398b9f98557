package engine

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/internal/membudget"
)

// serveHead serves each connection: the script gets the ID of the call on it.
func serveHead(t *testing.T, script func(c net.Conn, id string)) string {
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
			go func() {
				defer c.Close()
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					script(c, r.Header.Get(HeaderAttemptID))
				}
			}()
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

// Guards against model servers whose states, or outcomes of orders, together take the memory of the box that reads them, and
// against states of other servers that can't be read meanwhile.
func TestStatesShareOneMemoryBound(t *testing.T) {
	const (
		calls           = 100
		size            = 3 << 20 // below maxStateBytes
		memory          = 8 << 20
		connectionBytes = 160 << 10 // of a connection: its head and buffers, also the test's
		measured        = 300 * time.Millisecond
		maxWait         = 10 * time.Second
	)
	filler := strings.Repeat("x", size)
	for _, c := range []struct{ name, head, rest string }{
		{"no response", "", filler},
		{"one header", "HTTP/1.1 200 OK\r\n", "X-Filler: " + filler},
		{"header lines", "HTTP/1.1 200 OK\r\n", strings.Repeat("x:\r\n", size/4)},
		{"interim responses", "", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", size/27)},
		{"body", "HTTP/1.1 200 OK\r\n", "\r\n{\"incarnation\":\"" + filler},
		{"chunks", "HTTP/1.1 200 OK\r\n", "Transfer-Encoding: chunked\r\n\r\nffffff\r\n{\"incarnation\":\"" + filler},
		{"body of an error", "HTTP/1.1 500 No\r\n", "\r\n" + filler},
	} {
		for _, order := range []bool{false, true} {
			t.Run(fmt.Sprint(c.name, " order ", order), func(t *testing.T) {
				g := NewWithT(t)
				var written atomic.Int64
				rest := []byte(c.rest)
				held := serveHead(t, func(conn net.Conn, id string) {
					if c.head != "" {
						fmt.Fprintf(conn, "%s%s: %s\r\n", c.head, HeaderAttemptID, id)
					}
					_, _ = conn.Write(rest)
					written.Add(1)
					_, _ = io.Copy(io.Discard, conn) // until the client closes the connection
				})
				sound := serveHead(t, func(conn net.Conn, id string) {
					fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 19\r\n\r\n{\"incarnation\":\"i\"}", HeaderAttemptID, id)
				})
				client := NewClient(func() bool { return true }, nil)
				client.Memory = membudget.New(memory, nil)
				ctx, cancel := context.WithTimeout(t.Context(), maxWait)
				before := liveHeap()
				var running sync.WaitGroup
				end := sync.OnceFunc(func() {
					cancel()
					running.Wait()
				})
				defer end()
				for range calls {
					running.Go(func() {
						if order {
							_, _ = client.At("s", held).Order(ctx, &Order{})
						} else {
							_, _ = client.At("s", held).State(ctx)
						}
					})
				}
				g.Eventually(written.Load, maxWait).Should(BeNumerically(">=", calls), "servers that have sent all, or were cut off")
				kept := int64(math.MaxInt64)
				for startedAt := time.Now(); time.Since(startedAt) < measured; time.Sleep(measured / 20) {
					_, err := client.At("t", sound).State(ctx)
					g.Expect(err).NotTo(HaveOccurred(), "of a sound server")
					kept = min(kept, liveHeap()-before)
				}
				end()
				t.Logf("%.1f MiB kept", float64(kept)/(1<<20))
				g.Expect(kept).To(BeNumerically("<=", memory+calls*connectionBytes))
				g.Expect(client.Memory.Used()).To(BeZero(), "memory that is not returned")
			})
		}
	}
}
