package gateway_test

import (
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/reason"
	"leverdrum/wire"
)

// A hall that is evacuated gets no request, retries included; when the evacuation ends it does again.
func TestNothingGoesToAnEvacuatedHall(t *testing.T) {
	g := NewWithT(t)
	breaks := newBackend(t, "i1", func(net.Conn, string) bool { return false })
	away := newBackend(t, "i2", ok)
	s := newSetup(t, 2*time.Second, breaks, away)
	s.view.Announcements.Get("i2").Hall = "k"
	s.view.Evacuations["k"] = &wire.Evacuation{Hall: "k"}
	s.gate.Refresh()
	for range 4 {
		g.Expect(s.send(request("/safe/x", ""))).To(HavePrefix("HTTP/1.1 502 "))
	}
	g.Expect(away.came()).To(BeEmpty())
	s.view.Evacuations["h"] = &wire.Evacuation{Hall: "h"}
	s.gate.Refresh()
	began := time.Now()
	g.Expect(s.send(request("/safe/x", ""))).To(And(HavePrefix("HTTP/1.1 503 "), ContainSubstring(reason.NoServer.Code)))
	g.Expect(time.Since(began)).To(BeNumerically("<", time.Second), "refused at once")
	clear(s.view.Evacuations)
	s.gate.Refresh()
	g.Expect(s.send(request("/safe/x", ""))).To(HavePrefix("HTTP/1.1 200 "))
}

// A request is served in the regions that its route and its workspace allow, and rejected at once where they name none that
// has a server.
func TestRequestsStayInTheirRegions(t *testing.T) {
	g := NewWithT(t)
	near, far := newBackend(t, "i1", ok), newBackend(t, "i2", ok)
	s := newSetup(t, 2*time.Second, near, far)
	s.view.Announcements.Get("i2").Hall = "k"
	s.gate.Refresh()
	for _, r := range s.view.Fleet.Routes {
		r.Regions = []string{"region-of-k", "region-of-none"}
	}
	for range 8 {
		g.Expect(s.send(request("/safe/x", ""))).To(HavePrefix("HTTP/1.1 200 "))
	}
	g.Expect(near.came()).To(BeEmpty())
	g.Expect(far.came()).To(HaveLen(8))
	for _, r := range s.view.Fleet.Routes {
		r.Regions = []string{"region-of-h"}
	}
	for range 8 {
		g.Expect(s.send(request("/safe/x", ""))).To(HavePrefix("HTTP/1.1 200 "))
	}
	g.Expect(far.came()).To(HaveLen(8), "though a connection rests there")
	for _, r := range s.view.Fleet.Routes {
		r.Regions = []string{"region-of-none"}
	}
	began := time.Now()
	g.Expect(s.send(request("/safe/x", ""))).To(And(HavePrefix("HTTP/1.1 503 "), ContainSubstring(reason.NoRegion.Code)))
	g.Expect(time.Since(began)).To(BeNumerically("<", time.Second))
}
