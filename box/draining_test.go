package box_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/platform/standin"
)

// drainGrace is the time after which a box that forwarded a response of a draining server must send it no request that a
// caller sent since.
const drainGrace = 2 * time.Second

// setDraining makes a server announce in all its responses that it is draining.
func (s *multiBox) setDraining(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining[server] = true
}

// firstDrainingAnswers returns when each box first got a response that announced the draining.
func firstDrainingAnswers(arrived []standin.Arrival) map[string]time.Time {
	seen := map[string]time.Time{}
	for _, a := range arrived {
		if _, known := seen[a.Via]; a.Draining && !known {
			seen[a.Via] = a.ReceivedAt
		}
	}
	return seen
}

// countLate counts the requests that arrived later than the given time after their box first got such a response.
func countLate(arrived []standin.Arrival, draining map[string]time.Time, after time.Duration) (late int) {
	for _, a := range arrived {
		if since, known := draining[a.Via]; known && a.ReceivedAt.Sub(since) > after {
			late++
		}
	}
	return late
}

// expectDrained sends requests for some seconds. It expects at least 98 % of them to be served, and none to reach the draining
// server after drainGrace.
func (s *multiBox) expectDrained(server string) {
	g := NewWithT(s.t)
	stop := s.startLoad(30)
	time.Sleep(3 * drainGrace)
	arrived := s.serverByID(server).Arrivals()
	answers := stop()
	served := 0
	for _, a := range answers {
		if a.complete {
			served++
		}
	}
	late := countLate(arrived, firstDrainingAnswers(arrived), drainGrace)
	s.t.Logf("%d requests arrived too late; %d of %d served", late, served, len(answers))
	g.Expect(late).To(BeZero())
	g.Expect(served).To(BeNumerically(">=", len(answers)*98/100))
}

// A server announces only in its responses that it is draining. The boxes that forwarded such a response must send it
// nothing after drainGrace, and what one box learned must reach the others, so that the model is loaded elsewhere.
func TestDrainingServerGetsNoRequests(t *testing.T) {
	s := startMultiBox(t, 4)
	g := NewWithT(t)
	s.startServers(1)
	s.server("", "") // no resident model
	s.setDraining("i-1")
	s.expectDrained("i-1")
	g.Expect(s.serverByID("i-2").HasModel("m1")).To(BeTrue(), "the last copy is loaded elsewhere")
}

// The same without a leader that could distribute the drain, while the committed state has the server as not draining:
// each box honors the reports that it received itself.
func TestDrainingHonoredWithoutLeader(t *testing.T) {
	s := startMultiBox(t, 3)
	s.startServers(2)
	s.box.Kill() // the only box that can lead
	s.entries = s.entries[1:]
	s.setDraining("i-1")
	s.expectDrained("i-1")
}
