package gateway_test

import (
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/reason"
	"leverdrum/wire"
)

// An evacuated data hall gets no request, retries included, until the evacuation ends.
func TestNothingGoesToAnEvacuatedHall(t *testing.T) {
	g := NewWithT(t)
	breaks := newBackend(t, "i1", func(net.Conn, string) bool { return false })
	evacuated := newBackend(t, "i2", answerOK)
	s := newSetup(t, 2*time.Second, breaks, evacuated)
	s.view.Announcements.Get("i2").Hall = "k"
	s.view.Evacuations["k"] = &wire.Evacuation{Hall: "k"}
	s.gate.Refresh()
	for range 4 {
		g.Expect(s.send(request("/safe/x", ""))).To(HavePrefix("HTTP/1.1 502 "))
	}
	g.Expect(evacuated.received()).To(BeEmpty())
	s.view.Evacuations["h"] = &wire.Evacuation{Hall: "h"}
	s.gate.Refresh()
	start := time.Now()
	g.Expect(s.send(request("/safe/x", ""))).To(And(HavePrefix("HTTP/1.1 503 "), ContainSubstring(reason.NoServer.Code)))
	g.Expect(time.Since(start)).To(BeNumerically("<", time.Second), "refused at once")
	clear(s.view.Evacuations)
	s.gate.Refresh()
	g.Expect(s.send(request("/safe/x", ""))).To(HavePrefix("HTTP/1.1 200 "))
}

// A request is served only in the regions that its route and its workspace allow, and is refused
// at once where these have no server.
func TestRequestsStayInTheirRegions(t *testing.T) {
	g := NewWithT(t)
	near, far := newBackend(t, "i1", answerOK), newBackend(t, "i2", answerOK)
	s := newSetup(t, 2*time.Second, near, far)
	s.view.Announcements.Get("i2").Hall = "k"
	s.gate.Refresh()
	for _, r := range s.view.Fleet.Routes {
		r.Regions = []string{"region-of-k", "region-of-none"}
	}
	for range 8 {
		g.Expect(s.send(request("/safe/x", ""))).To(HavePrefix("HTTP/1.1 200 "))
	}
	g.Expect(near.received()).To(BeEmpty())
	g.Expect(far.received()).To(HaveLen(8))
	for _, r := range s.view.Fleet.Routes {
		r.Regions = []string{"region-of-h"}
	}
	for range 8 {
		g.Expect(s.send(request("/safe/x", ""))).To(HavePrefix("HTTP/1.1 200 "))
	}
	g.Expect(far.received()).To(HaveLen(8), "although an idle connection to it exists")
	for _, r := range s.view.Fleet.Routes {
		r.Regions = []string{"region-of-none"}
	}
	start := time.Now()
	g.Expect(s.send(request("/safe/x", ""))).To(And(HavePrefix("HTTP/1.1 503 "), ContainSubstring(reason.NoRegion.Code)))
	g.Expect(time.Since(start)).To(BeNumerically("<", time.Second))
}
