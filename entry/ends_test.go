package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/entry"
	"leverdrum/internal/framing"
)

const undelimitedStream = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"

// endingAfter returns a service whose server sends a part of a response and then ends: its listener is closed in order, and its
// connection.
func endingAfter(t *testing.T, part string) *rawService {
	var s *rawService
	s = newScriptedService(t, func(c net.Conn) {
		defer c.Close()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, part)
		s.listener.Close()
	})
	return s
}

// Guards against a part of a response of the own interface that ends at its caller as the whole one because its server ended:
// the kernel closes the connections of a process that ends in the ordinary way.
func TestServerEndingWithinAResponseLeavesNoPartComplete(t *testing.T) {
	for name, part := range map[string]string{
		"small":  "HTTP/1.1 200 OK\r\n\r\npar",
		"large":  "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", 2<<20),
		"stream": undelimitedStream + "id: 1\ndata: x\n\nid: 2\ndata: x\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r, _, end, _ := endingAfter(t, part).call(t, "")
			if r.StatusCode == http.StatusOK {
				g.Expect(end.String()).To(Equal(framing.Truncated.String()))
			} else {
				g.Expect(r.StatusCode).To(Equal(http.StatusBadGateway))
			}
		})
	}
}

// Guards against a part that is stored for the key of its call and replayed as the whole response.
func TestPartIsNotStoredForItsKey(t *testing.T) {
	g := NewWithT(t)
	s := endingAfter(t, "HTTP/1.1 200 OK\r\n\r\npar")
	for range 2 {
		r, body, _, _ := s.call(t, "Idempotency-Key: k\r\n")
		g.Expect(r.StatusCode).To(Equal(http.StatusBadGateway))
		g.Expect(r.Header.Get(entry.HeaderOutcome)).To(Equal("unknown"))
		g.Expect(body).NotTo(ContainSubstring("par\n"))
	}
}

// Guards against a part of a response of the own interface that ends at its caller as the whole one, whenever its server ends.
func TestServersEndingAtAnyMomentLeaveNoPartComplete(t *testing.T) {
	for _, stream := range []bool{false, true} {
		t.Run(fmt.Sprint("stream ", stream), func(t *testing.T) {
			g := NewWithT(t)
			const rounds, calls = 25, 40
			var mu sync.Mutex
			counts := map[string]int{}
			for round := range rounds {
				random := rand.New(rand.NewPCG(uint64(round), 17))
				s, whole := newSlowService(t, stream)
				var running sync.WaitGroup
				endAfter := time.Duration(random.IntN(12000)) * time.Microsecond
				running.Go(func() {
					time.Sleep(endAfter)
					s.end()
				})
				for range calls {
					startAfter := time.Duration(random.IntN(8000)) * time.Microsecond
					running.Go(func() {
						time.Sleep(startAfter)
						r, body, end, _ := s.call(t, "")
						outcome := "partial"
						switch {
						case r.StatusCode != http.StatusOK:
							outcome = "refused"
						case end == framing.Truncated:
							outcome = "broken"
						case body == whole:
							outcome = "whole"
						}
						mu.Lock()
						defer mu.Unlock()
						counts[outcome]++
					})
				}
				running.Wait()
			}
			t.Log(counts)
			g.Expect(counts["partial"]).To(BeZero(), "%v", counts)
		})
	}
}

// Guards against whole responses of servers that go on that are broken off, and against a connection to the server for each end.
func TestResponsesOfServersThatGoOnAreWhole(t *testing.T) {
	for _, stream := range []bool{false, true} {
		g := NewWithT(t)
		s, whole := newSlowService(t, stream)
		const calls = 100
		var running sync.WaitGroup
		bodies := make([]string, calls)
		for i := range calls {
			running.Go(func() {
				_, body, end, _ := s.call(t, "")
				bodies[i] = end.String() + " " + body
			})
		}
		running.Wait()
		g.Expect(bodies).To(HaveEach(framing.Unknown.String() + " " + whole))
		s.mu.Lock()
		g.Expect(len(s.conns)).To(BeNumerically("<=", calls+10), "a probe for all ends at a time")
		s.mu.Unlock()
	}
}

// slowService is a service whose server can end.
type slowService struct {
	*rawService
	mu    sync.Mutex
	ended bool
	conns []net.Conn
}

// end closes the listener of the server and then its connections.
func (s *slowService) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	s.listener.Close()
	for _, c := range s.conns {
		c.Close()
	}
}

// newSlowService returns a service whose server sends undelimited responses in parts, and the body of a whole response.
func newSlowService(t *testing.T, stream bool) (s *slowService, whole string) {
	parts, head := strings.SplitAfter("whole body", ""), "HTTP/1.1 200 OK\r\n\r\n"
	if stream {
		parts, head = strings.SplitAfter("id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n", "\n\n"), undelimitedStream
	}
	s = &slowService{}
	s.rawService = newScriptedService(t, func(c net.Conn) {
		defer c.Close()
		s.mu.Lock()
		if s.ended {
			s.mu.Unlock()
			return
		}
		s.conns = append(s.conns, c)
		s.mu.Unlock()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, err = io.WriteString(c, head)
		for _, part := range parts {
			time.Sleep(time.Millisecond)
			if err == nil {
				_, err = io.WriteString(c, part)
			}
		}
	})
	return s, strings.Join(parts, "")
}
