package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/internal/framing"
)

// endingServer is a backend server whose process can end: its listener and its connections are closed in order, as a kernel
// does for a process with nothing unread.
type endingServer struct {
	*backend
	listener net.Listener
	// onCheck is called with each health check and returns whether it is answered; nil: all are.
	onCheck func(net.Conn, *http.Request) bool

	// keepsOpen reports whether the connection of a request stays open after the response; nil: none does.
	keepsOpen func(*http.Request) bool

	mu       sync.Mutex
	ended    bool
	conns    map[net.Conn]bool
	requests int // that are no health checks
}

// newEndingServer returns a server that handles each request with a function, which returns whether the server goes on. It
// answers health checks on /health. Each response ends with its connection.
func newEndingServer(t *testing.T, id string, respond func(c net.Conn, request *http.Request) (goesOn bool)) *endingServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &endingServer{backend: &backend{id: id, address: l.Addr().String()}, listener: l, conns: map[net.Conn]bool{}}
	t.Cleanup(s.end)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if s.add(c) {
				go s.serve(c, respond)
			}
		}
	}()
	return s
}

func (s *endingServer) add(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		c.Close()
		return false
	}
	s.conns[c] = true
	return true
}

// end ends the process.
func (s *endingServer) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	s.listener.Close()
	for c := range s.conns {
		c.Close()
	}
}

func (s *endingServer) serve(c net.Conn, respond func(net.Conn, *http.Request) bool) {
	defer func() {
		c.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
	}()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/health" && s.onCheck != nil && !s.onCheck(c, r) {
			continue
		}
		if r.URL.Path == "/health" {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Server-Id: %s\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id, r.Header.Get("X-Request-Id"))
			continue
		}
		s.countRequest()
		if !respond(c, r) {
			s.end()
		}
		if s.keepsOpen != nil && s.keepsOpen(r) {
			continue
		}
		return
	}
}

func (s *endingServer) countRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
}

func (s *endingServer) requestCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

// newHealthSetup is newSetup with health checks on /health.
func newHealthSetup(t *testing.T, servers ...*endingServer) *setup {
	var backends []*backend
	for _, s := range servers {
		backends = append(backends, s.backend)
	}
	s := newSetup(t, 5*time.Second, backends...)
	s.view.Fleet.Pools["s"].HealthCheckPath = "/health"
	return s
}

// receive sends a request and returns the body of the response, and how it ended for its caller.
func (s *setup) receive(raw string) (status int, body string, end framing.End) {
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Error(err)
		return 0, "", framing.Pending
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(within))
	_, _ = io.WriteString(c, raw)
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", framing.Truncated
	}
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return r.StatusCode, string(b), framing.Truncated
	}
	return r.StatusCode, string(b), framing.Judge(framing.Delimited(http.MethodPost, r), io.EOF, nil)
}

// withID returns a request with an ID of its own.
func withID(path string, n int) string {
	path += fmt.Sprintf("?n=%d", n) // a request that comes again at servers that end would be taken for their cause
	return strings.Replace(request(path, ""), "X-Request-Id: r1", fmt.Sprintf("X-Request-Id: e%d", n), 1)
}

func eventList(from, to int) string {
	var b strings.Builder
	for n := from; n <= to; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: x\n\n", n)
	}
	return b.String()
}

// streamEvents sends the events after the last one that the request names, up to the given one, as an undelimited stream.
func streamEvents(c net.Conn, r *http.Request, to int) {
	var last int
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &last)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Server-Stamp: st\r\nX-Request-Id: %s\r\nContent-Type: text/event-stream\r\n\r\n%s", r.Header.Get("X-Request-Id"), eventList(last+1, to))
}

// lastEvent is the last event of the streams of tests in which servers end.
const lastEvent = 5

// Guards against a stream that ends at its caller as a whole one, although its server ended between two events: the kernel
// closes the connections of a process that ends in the ordinary way.
func TestServerEndingBetweenEventsTruncatesTheStream(t *testing.T) {
	for i := range 10 {
		g := NewWithT(t)
		ending := newEndingServer(t, "i1", func(c net.Conn, r *http.Request) bool {
			streamEvents(c, r, 2)
			return false
		})
		_, body, end := newHealthSetup(t, ending).receive(withID("/once/x", i))
		g.Expect(end.String()).To(Equal(framing.Truncated.String()), "%q", body)
	}
}

// Guards against a stream that ends at its caller after a part, although another server could have continued it when its own
// server ended between two events.
func TestServerEndingBetweenEventsResumesTheStream(t *testing.T) {
	for i := range 10 {
		g := NewWithT(t)
		var once sync.Once
		respond := func(c net.Conn, r *http.Request) (goesOn bool) {
			to, goesOn := lastEvent, true
			once.Do(func() { to, goesOn = 2, false })
			streamEvents(c, r, to)
			return goesOn
		}
		s := newHealthSetup(t, newEndingServer(t, "i1", respond), newEndingServer(t, "i2", respond))
		_, body, end := s.receive(withID("/stream/x", i))
		g.Expect(end.String()).To(Equal(framing.Unknown.String()))
		g.Expect(body).To(Equal(eventList(1, lastEvent)))
	}
}

// Guards against a plain response that reaches its caller as a whole one although its server ended within it.
func TestServerEndingWithinAPlainResponseIsNoResponse(t *testing.T) {
	large := strings.Repeat("x", 2<<20)
	for _, c := range []struct {
		path, part string
		status     int
		end        framing.End
	}{
		{"/unsafe/x", "par", http.StatusBadGateway, framing.Complete},
		{"/unsafe/x", large, http.StatusOK, framing.Truncated},
	} {
		g := NewWithT(t)
		ending := newEndingServer(t, "i1", func(c2 net.Conn, r *http.Request) bool {
			_, _ = fmt.Fprintf(c2, "HTTP/1.1 200 OK\r\nX-Server-Stamp: st\r\nX-Request-Id: %s\r\n\r\n%s", r.Header.Get("X-Request-Id"), c.part)
			return false
		})
		status, _, end := newHealthSetup(t, ending).receive(withID(c.path, 1))
		g.Expect(status).To(Or(Equal(c.status), BeZero()))
		g.Expect(end.String()).To(Equal(c.end.String()), "%s, %d bytes", c.path, len(c.part))
	}
}
