package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/event"
	"leverdrum/internal/framing"
	"leverdrum/internal/liveness"
)

// answerCheck returns a function that answers health checks with a status, and fields that may refer to the check's ID.
func answerCheck(status, fields string) func(net.Conn, *http.Request) bool {
	return func(c net.Conn, r *http.Request) bool {
		fmt.Fprintf(c, "HTTP/1.1 %s\r\n%sContent-Length: 0\r\n\r\n", status, strings.ReplaceAll(fields, "ID", r.Header.Get("X-Request-Id")))
		return false
	}
}

// Guards against an end that is believed although nothing shows that the server went on, and against one that is not although
// the server did: the rows of docs/design/response-ends.md.
func TestEvidenceOfTheEnd(t *testing.T) {
	silent := func(net.Conn, *http.Request) bool { return false }
	resets := func(c net.Conn, _ *http.Request) bool {
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
		return false
	}
	for _, c := range []struct {
		name     string
		onCheck  func(net.Conn, *http.Request) bool
		ends     bool // the server ends
		noPath   bool // the service has no health checks
		alone    bool // no other connection to the server is open
		evidence liveness.Evidence
	}{
		{"goes on", nil, false, false, true, liveness.Answered},
		{"ended", nil, true, false, false, liveness.Ended},
		{"draining", answerCheck("503 Draining", "X-Server-Id: i1\r\n"), false, false, true, liveness.Answered},
		{"full, and says who it is", answerCheck("503 Full", "X-Server-Id: i1\r\nX-Not-Run: 1\r\nX-Request-Id: ID\r\n"), false, false, true, liveness.Answered},
		{"full, and does not", answerCheck("503 Full", "X-Not-Run: 1\r\nX-Request-Id: ID\r\n"), false, false, false, liveness.Open},
		{"full, does not, alone", answerCheck("503 Full", "X-Not-Run: 1\r\nX-Request-Id: ID\r\n"), false, false, true, liveness.None},
		{"frozen, or without a free slot", silent, false, false, false, liveness.Open},
		{"frozen, alone", silent, false, false, true, liveness.None},
		{"answers for another request", answerCheck("200 OK", "X-Server-Id: i1\r\nX-Request-Id: other\r\n"), false, false, false, liveness.Open},
		{"another instance has the address", answerCheck("200 OK", "X-Server-Id: i9\r\nX-Request-Id: ID\r\n"), false, false, false, liveness.Ended},
		{"another instance rejects the check", answerCheck("421 Misdirected Request", "X-Request-Id: ID\r\n"), false, false, false, liveness.Ended},
		{"at its limit of connections", resets, false, false, false, liveness.Open},
		{"resets new connections, alone", resets, false, false, true, liveness.None},
		{"no health checks", nil, false, true, true, liveness.Open},
		{"no health checks, ended", nil, true, true, false, liveness.Ended},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			var both sync.WaitGroup
			both.Add(2)
			server := newEndingServer(t, "i1", func(conn net.Conn, r *http.Request) bool {
				if isKept(r) {
					return answerTogether(conn, r, &both)
				}
				streamEvents(conn, r, lastEvent)
				return !c.ends
			})
			server.onCheck, server.keepsOpen = c.onCheck, isKept
			s := newHealthSetup(t, server)
			if !c.alone {
				s.openTwo()
			}
			if c.noPath {
				s.view.Fleet.Pools["s"].HealthCheckPath = ""
			}
			want := framing.Truncated
			if c.evidence.GoesOn() {
				want = framing.Unknown // the caller sees a response that ends with its connection
			}
			_, body, end := s.receive(withID("/once/x", 1))
			g.Expect(end.String()).To(Equal(want.String()))
			if want == framing.Unknown {
				g.Expect(body).To(Equal(eventList(1, lastEvent)))
			}
			logged := s.logged.FilterMessage(event.ResponseEndUnknown.Title).All()
			g.Expect(logged).To(HaveLen(1))
			g.Expect(logged[0].ContextMap()).To(And(HaveKeyWithValue("life", c.evidence.String()), HaveKey("waited"), HaveKey("end")))
		})
	}
}

// Guards against a part that ends at its caller as the whole response because its server, which closes its listener first and
// then its connections, still answers on one of them.
func TestServerThatClosesItsListenerHasEnded(t *testing.T) {
	g := NewWithT(t)
	var both sync.WaitGroup // two plain requests, which take a connection each
	both.Add(2)
	var server *endingServer
	server = newEndingServer(t, "i1", func(conn net.Conn, r *http.Request) bool {
		if r.URL.Path == "/unsafe/x" {
			both.Done()
			both.Wait()
			_, _ = io.WriteString(conn, plainResponse(r.Header.Get("X-Request-Id"), "fine"))
			return true
		}
		server.listener.Close()
		streamEvents(conn, r, 2)
		return true
	})
	server.keepsOpen = func(r *http.Request) bool { return r.URL.Path == "/unsafe/x" }
	s := newHealthSetup(t, server)
	var plain sync.WaitGroup
	for n := range 2 {
		plain.Go(func() {
			_, body, _ := s.receive(withID("/unsafe/x", n))
			g.Expect(body).To(Equal("fine"))
		})
	}
	plain.Wait()
	_, _, end := s.receive(withID("/once/x", 2))
	g.Expect(end.String()).To(Equal(framing.Truncated.String()))
}

// Guards against probes, and waits, for responses whose head determines where they end.
func TestDelimitedResponsesNeedNoEvidence(t *testing.T) {
	for _, c := range []struct{ method, proto, response string }{
		{"POST", "HTTP/1.1", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n%s\r\nab"},
		{"POST", "HTTP/1.1", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n%s\r\n2\r\nab\r\n0\r\n\r\n"},
		{"POST", "HTTP/1.0", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n%s\r\nf\r\nid: 1\ndata: x\n\n\r\n0\r\n\r\n"},
		{"POST", "HTTP/1.1", "HTTP/1.1 204 No Content\r\n%s\r\n"},
		{"GET", "HTTP/1.1", "HTTP/1.1 304 Not Modified\r\n%s\r\n"},
		{"HEAD", "HTTP/1.1", "HTTP/1.1 200 OK\r\n%s\r\n"},
	} {
		g := NewWithT(t)
		var checks atomic.Int64
		server := newEndingServer(t, "i1", func(conn net.Conn, r *http.Request) bool {
			fmt.Fprintf(conn, c.response, "X-Server-Stamp: st\r\nX-Request-Id: "+r.Header.Get("X-Request-Id")+"\r\n")
			return true
		})
		server.onCheck = func(net.Conn, *http.Request) bool { checks.Add(1); return true }
		s := newHealthSetup(t, server)
		raw := strings.Replace(strings.Replace(withID("/safe/x", 1), "POST", c.method, 1), "HTTP/1.1", c.proto, 1)
		g.Expect(s.send(raw)).To(MatchRegexp("^HTTP/1.. (200|204|304) "), c.response)
		g.Expect(checks.Load()).To(BeZero(), c.response)
		g.Expect(s.logged.FilterMessage(event.ResponseEndUnknown.Title).Len()).To(BeZero(), c.response)
	}
}

// Guards against a request whose caller has left while the end of its response waits for evidence, and that is not ended.
func TestCallerLeavesWhileTheEndWaits(t *testing.T) {
	g := NewWithT(t)
	checked := make(chan struct{}, 1)
	server := newEndingServer(t, "i1", func(conn net.Conn, r *http.Request) bool {
		streamEvents(conn, r, 2)
		return true
	})
	server.onCheck = func(net.Conn, *http.Request) bool {
		checked <- struct{}{}
		return false
	}
	s := newHealthSetup(t, server)
	c, err := net.Dial("tcp", s.address)
	g.Expect(err).NotTo(HaveOccurred())
	_, _ = io.WriteString(c, withID("/stream/x", 1))
	_, err = bufio.NewReader(c).ReadString('\n')
	g.Expect(err).NotTo(HaveOccurred())
	<-checked
	c.Close()
	g.Eventually(s.gate.InFlight, within, time.Millisecond).Should(BeZero())
	g.Expect(server.requestCount()).To(Equal(1), "a stream without a caller is not resumed")
}

// isKept reports whether a request is one of openTwo.
func isKept(r *http.Request) bool { return r.URL.Path == "/unsafe/x" }

// openTwo makes the box hold two connections to its only server, one of which stays idle beside the next request.
func (s *setup) openTwo() {
	var both sync.WaitGroup
	for n := range 2 {
		both.Go(func() { s.receive(withID("/unsafe/x", 100+n)) })
	}
	both.Wait()
}

// answerTogether answers a request of openTwo once both have arrived, each on a connection of its own.
func answerTogether(c net.Conn, r *http.Request, both *sync.WaitGroup) bool {
	both.Done()
	both.Wait()
	return answerOK(c, r.Header.Get("X-Request-Id"))
}

// Guards against a part that ends at its caller as the whole response because another process takes the address of the server
// that ended, and accepts the connection of the health check without an answer.
func TestSilentProcessAtTheAddressIsNotTheServer(t *testing.T) {
	g := NewWithT(t)
	var server *endingServer
	var both sync.WaitGroup
	both.Add(2)
	server = newEndingServer(t, "i1", func(conn net.Conn, r *http.Request) bool {
		if isKept(r) {
			return answerTogether(conn, r, &both)
		}
		streamEvents(conn, r, 2)
		address := server.listener.Addr().String()
		server.listener.Close()
		l, err := net.Listen("tcp", address)
		if err != nil {
			t.Error(err)
			return false
		}
		t.Cleanup(func() { l.Close() })
		return false // ends the server, while the listener accepts
	})
	server.keepsOpen = isKept
	s := newHealthSetup(t, server)
	s.openTwo()
	_, body, end := s.receive(withID("/once/x", 1))
	g.Expect(body).To(Equal(eventList(1, 2)))
	g.Expect(end).To(Equal(framing.Truncated))
}
