package box_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/platform/standin"
)

// drainTime is the time after which a box that passed on an answer of a draining server must send it nothing that its
// caller sent since.
const drainTime = 2 * time.Second

// leave has a server say in all its answers that it is about to end.
func (s *several) leave(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaves[server] = true
}

// toldLeaving returns when each box first got an answer which said that the server is about to end.
func toldLeaving(arrived []standin.Arrival) map[string]time.Time {
	told := map[string]time.Time{}
	for _, a := range arrived {
		if _, known := told[a.Via]; a.Draining && !known {
			told[a.Via] = a.ReceivedAt
		}
	}
	return told
}

// lateAfter counts the requests that came more than a time after their box was told.
func lateAfter(arrived []standin.Arrival, told map[string]time.Time, after time.Duration) (late int) {
	for _, a := range arrived {
		if since, known := told[a.Via]; known && a.ReceivedAt.Sub(since) > after {
			late++
		}
	}
	return late
}

// checkDrained sends requests for some seconds and wants all of them served, and none at a server that says that it is about to
// end after the time that it goes on.
func (s *several) checkDrained(server string) {
	g := NewWithT(s.t)
	stop := s.load(30)
	time.Sleep(3 * drainTime)
	arrived := s.limited(server).Arrivals()
	answers := stop()
	served := 0
	for _, a := range answers {
		if a.whole {
			served++
		}
	}
	late := lateAfter(arrived, toldLeaving(arrived), drainTime)
	s.t.Logf("%d requests came too late; %d of %d served", late, served, len(answers))
	g.Expect(late).To(BeZero())
	g.Expect(served).To(BeNumerically(">=", len(answers)*98/100))
}

// A server says in its answers that it is about to end, and nowhere else. The boxes that passed such an answer on must
// send it nothing more after the time that it goes on serving, and what one box was told must reach the others, so
// that the model is loaded elsewhere.
func TestAServerThatSaysInItsAnswersThatItDrainsGetsNoMore(t *testing.T) {
	s := startSeveral(t, 4)
	g := NewWithT(t)
	s.up(1)
	s.server("", "") // holds nothing
	s.leave("i-1")
	s.checkDrained("i-1")
	g.Expect(s.limited("i-2").HasModel("m1")).To(BeTrue(), "the last copy gets a place elsewhere")
}

// The same where no leader is left that could spread it, while all that is agreed says that the server stays: each box keeps to
// what it was told by itself.
func TestABoxKeepsToADrainingServersWordWithoutALeader(t *testing.T) {
	s := startSeveral(t, 3)
	s.up(2)
	s.box.Kill() // the only one that can lead
	s.entries = s.entries[1:]
	s.leave("i-1")
	s.checkDrained("i-1")
}
