package gateway_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// earlyReset is a server that begins an undelimited response before it has read the request, and resets the connection
// within both.
type earlyReset struct {
	head  string
	read  int           // bytes of the request that are read first
	pause time.Duration // from the response to the reset
}

// serveEarly starts a server that answers each connection as the function says.
func serveEarly(t *testing.T, id string, next func() earlyReset) *backend {
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
			go next().serve(c)
		}
	}()
	return &backend{id: id, address: l.Addr().String()}
}

func (e earlyReset) serve(c net.Conn) {
	defer c.Close()
	if _, err := io.CopyN(io.Discard, c, int64(e.read)); err != nil {
		return
	}
	_, _ = io.WriteString(c, e.head) // the connection ends in any case
	time.Sleep(e.pause)
	_ = c.(*net.TCPConn).SetLinger(0)
}

// upload sends a request with a body of a size. It reports whether its caller takes the response for a whole success.
func (s *setup) upload(path string, size int) (complete bool, err error) {
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		return false, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(within))
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r1\r\nX-Deadline-Ms: 5000\r\nConnection: close\r\nContent-Length: %d\r\n\r\n", path, size)
	if _, err := io.WriteString(c, head+strings.Repeat("u", size)); err != nil {
		return false, err
	}
	answer, err := io.ReadAll(c)
	return err == nil && strings.HasPrefix(string(answer), "HTTP/1.1 200 "), nil
}

// Guards against a part of a response that its caller takes for complete: the server resets the connection while the request
// is being written, and the kernel reports the reset to the writer, so that the reader sees the end of the connection.
func TestResetDuringUploadIsNotAnEnd(t *testing.T) {
	const size, attempts = 4 << 20, 10
	for path, head := range map[string]string{
		"/unsafe/x": undelimitedHead + "par", "/safe/x": undelimitedHead + "par",
		"/once/x": undelimitedStreamHead + twoEvents, "/stream/x": undelimitedStreamHead + twoEvents,
	} {
		t.Run(strings.Trim(path, "/x"), func(t *testing.T) {
			g := NewWithT(t)
			s := newSetup(t, 5*time.Second, serveEarly(t, "i1", func() earlyReset { return earlyReset{head, 16, 60 * time.Millisecond} }))
			var wg sync.WaitGroup
			var complete atomic.Int64
			for range attempts {
				wg.Go(func() {
					whole, err := s.upload(path, size)
					if err != nil {
						t.Error(err)
					}
					if whole {
						complete.Add(1)
					}
				})
			}
			wg.Wait()
			g.Expect(complete.Load()).To(BeZero(), "parts that end as complete, of %d", attempts)
		})
	}
}

// Guards against a part of a response that its caller takes for complete, whenever the reset comes and whatever the request's
// size is.
func TestResetAtAnyMomentOfAnUploadIsNotAnEnd(t *testing.T) {
	const uploads, callers, maxUpload, seed = 1000, 4, 16 << 20, 20261206
	random := rand.New(rand.NewPCG(seed, 1))
	var mu sync.Mutex
	draw := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return random.IntN(n)
	}
	paths := []string{"/unsafe/x", "/safe/x", "/once/x", "/stream/x"}
	s := newSetup(t, 5*time.Second, serveEarly(t, "i1", func() earlyReset {
		return earlyReset{undelimitedStreamHead + twoEvents, 16 + draw(1<<10), time.Duration(draw(20_000)) * time.Microsecond}
	}))
	s.view.Fleet.Limits.MaxBody = maxUpload
	s.gate.Refresh()
	var wg sync.WaitGroup
	var next, complete atomic.Int64
	for range callers {
		wg.Go(func() {
			for next.Add(1) <= uploads {
				size := 1 << (10 + draw(15))
				size = min(size+draw(size), maxUpload)
				whole, err := s.upload(paths[draw(len(paths))], size)
				if err != nil {
					t.Error(err)
				}
				if whole {
					complete.Add(1)
				}
			}
		})
	}
	wg.Wait()
	NewWithT(t).Expect(complete.Load()).To(BeZero(), "parts that end as complete, of %d", uploads)
}
