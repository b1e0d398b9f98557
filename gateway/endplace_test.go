package gateway

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/dialect"
	"leverdrum/internal/attest"
	"leverdrum/internal/liveness"
	"leverdrum/wire"
)

// Guards against a whole response that is broken off because other requests use all connections that the box may open to its
// server, so that none is left for the probe.
func TestProbeNeedsNoFreeConnection(t *testing.T) {
	g := NewWithT(t)
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Server-Id", "i1")
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	}))
	defer backend.Close()
	s := newServer(&wire.Announcement{Id: "i1", Address: backend.Listener.Addr().String()})
	s.pool.setLimit(1)
	names := &attest.Headers{RequestID: "X-Request-Id"}
	x, err := s.pool.get(t.Context(), "r1", names)
	g.Expect(err).NotTo(HaveOccurred())
	defer s.pool.drop(x)
	p := endProbe{server: s, dialect: &dialect.Native, names: names, path: func() string { return "/health" }}
	g.Expect(liveness.NewChecker(p.run).Await(t.Context()).String()).To(Equal(liveness.Answered.String()))
}

// Guards against probes by which a box holds more connections to a server than it may: the connection of the ended response keeps
// its place until the end is judged, and the probe's takes it.
func TestProbeTakesThePlaceOfTheEndedConnection(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	s := newServer(&wire.Announcement{Id: "i1", Address: l.Addr().String()})
	s.pool.setLimit(1)
	x, err := s.pool.get(t.Context(), "r1", &attest.Headers{})
	g.Expect(err).NotTo(HaveOccurred())
	a := &response{Response: &http.Response{Close: true}, conn: x, pool: s.pool, stop: func() bool { return true }}
	a.endReading()
	_, err = s.pool.get(t.Context(), "r2", &attest.Headers{})
	g.Expect(err).To(MatchError(ErrConnectionLimit), "another request would open one beside the probe's")
	_ = x.SetDeadline(time.Now())
	_, err = fmt.Fprint(x, "x")
	g.Expect(err).To(MatchError(net.ErrClosed), "the server may wait for the close")
	a.finish(false)
	y, err := s.pool.get(t.Context(), "r2", &attest.Headers{})
	g.Expect(err).NotTo(HaveOccurred())
	s.pool.drop(y)
}
