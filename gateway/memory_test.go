package gateway_test

import (
	"fmt"
	"io"
	"math"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/fleet"
	"leverdrum/wire"
)

const (
	// heldConnections is the number of connections on which servers send much and then pause.
	heldConnections = 100
	// heldBytes is what a server sends of each body or event, below the bounds of a single one.
	heldBytes = 900 << 10
	// connectionBytes bounds what a connection takes beside the memory for responses: heads, read buffers and goroutines, of the
	// box as well as of the servers and callers of the test.
	connectionBytes = 160 << 10
	// measured is the time for which the heap is measured once the servers pause.
	measured = 300 * time.Millisecond
)

// liveHeap returns the bytes of the heap that are in use.
func liveHeap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// addSoundServer adds the route /sound/ to a server of its own.
func (s *setup) addSoundServer(b *backend) {
	s.view.Fleet.Pools["s"].MaxConnections = 4 * heldConnections // also for attempts that follow, and probes
	s.view.Fleet.Pools["sound"] = &fleet.Pool{Name: "sound", MaxConnections: 100}
	s.view.Fleet.Routes = append(s.view.Fleet.Routes, &fleet.Route{
		Name: "sound", Host: "h.example", Prefix: "/sound/", Kind: fleet.Streaming, Timeout: within, LatencyTarget: within / 4, MaxAttempts: 1,
		Split: []fleet.Share{{Pool: "sound", Weight: 1}},
	})
	s.view.Announcements.Set(b.id, &wire.Announcement{Id: b.id, Service: "sound", Address: b.address, Hall: "h", Slots: 8})
	s.view.Version = &wire.FleetVersion{Number: 2, Index: 2}
	s.gate.Refresh()
}

// Guards against servers that together make a box keep more than its memory, each within the bounds of a single response, and
// against requests to other servers that fail meanwhile.
func TestResponsesShareOneMemoryBound(t *testing.T) {
	filler := strings.Repeat("x", heldBytes)
	lines := strings.Repeat(": "+strings.Repeat("x", 97)+"\n", heldBytes/100)
	plain := "HTTP/1.1 %d OK\r\nX-Server-Stamp: st\r\nX-Request-Id: r1\r\n"
	for _, c := range []struct{ name, path, response string }{
		{"no response", "/unsafe/x", filler},
		{"one header", "/unsafe/x", fmt.Sprintf(plain, 200) + "X-Filler: " + filler},
		{"header lines", "/unsafe/x", fmt.Sprintf(plain, 200) + strings.Repeat("x:\r\n", heldBytes/4)},
		{"interim responses", "/unsafe/x", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", heldBytes/27)},
		{"body without a length", "/unsafe/x", fmt.Sprintf(plain, 200) + "\r\n" + filler},
		{"body with a length", "/unsafe/x", fmt.Sprintf(plain, 200) + "Content-Length: 1000000\r\n\r\n" + filler},
		{"chunks", "/unsafe/x", fmt.Sprintf(plain, 200) + "Transfer-Encoding: chunked\r\n\r\nfffff\r\n" + filler},
		{"body of an error", "/unsafe/x", fmt.Sprintf(plain, 500) + "\r\n" + filler},
		{"body of an error that is retried", "/safe/x", fmt.Sprintf(plain, 500) + "\r\n" + filler},
		{"chunk extension", "/unsafe/x", fmt.Sprintf(plain, 200) + "Transfer-Encoding: chunked\r\n\r\n2;" + filler},
		{"trailers", "/unsafe/x", fmt.Sprintf(plain, 200) + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + strings.Repeat("x: y\r\n", heldBytes/6)},
		{"event", "/once/x", undelimitedStreamHead + "id: 1\ndata: " + filler},
		{"event that can be resumed", "/stream/x", undelimitedStreamHead + twoEvents + "id: 3\ndata: " + filler},
		{"comment lines", "/once/x", undelimitedStreamHead + lines},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			var written atomic.Int64
			response := []byte(c.response) // io.WriteString would copy it for each connection
			held := newBackend(t, "i1", func(conn net.Conn, _ string) bool {
				_, _ = conn.Write(response)
				written.Add(1)
				_, _ = conn.Read(make([]byte, 1)) // until the box closes the connection
				return false
			})
			s := newSetup(t, within, held)
			s.addSoundServer(newBackend(t, "i2", answerOK))
			before := liveHeap()
			var callers sync.WaitGroup
			var connections []net.Conn
			for range heldConnections {
				conn, err := net.Dial("tcp", s.address)
				g.Expect(err).NotTo(HaveOccurred())
				connections = append(connections, conn)
				callers.Go(func() {
					_, _ = io.WriteString(conn, request(c.path, ""))
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
			sound := func() {
				for !done.Load() {
					if strings.HasSuffix(s.send(request("/sound/x", "")), "fine") {
						answered.Add(1)
					} else {
						failed.Add(1)
					}
				}
			}
			callers.Go(sound)
			// Retried requests are sent more than once.
			g.Eventually(written.Load, within).Should(BeNumerically(">=", heldConnections), "servers that have sent all, or were cut off")
			kept := int64(math.MaxInt64) // the least, since other requests make garbage during the collection
			for startedAt := time.Now(); time.Since(startedAt) < measured; time.Sleep(measured / 20) {
				kept = min(kept, liveHeap()-before)
			}
			end()
			t.Logf("%.1f MiB kept, %d sound requests", float64(kept)/(1<<20), answered.Load())
			g.Expect(kept).To(BeNumerically("<=", responseMemory+heldConnections*connectionBytes))
			g.Expect(failed.Load()).To(BeZero(), "sound requests that failed")
			g.Expect(answered.Load()).To(BeNumerically(">", 0))
			g.Eventually(s.responses.Used, within).Should(BeZero(), "memory that is not returned")
		})
	}
}
