package box_test

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/platform/standin"
)

const (
	// restTold is the time that a box has to hold to a rest, and restMost how many requests may reach the server from it
	// between then and the end of the rest: what the users' rule allows.
	restTold = 500 * time.Millisecond
	restMost = 2
)

// rest has a server turn all requests away with a Retry-After, "" for none.
func (s *several) rest(server, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rests[server] = after
}

// Orders and the reading of reports heed a rest as well: what they are answered asks for it, too, and the leader was not kept
// from a server that it had been told to leave alone. An order that was not sent is none that may still arrive.
func TestAServerThatAsksForRestGetsNoOrders(t *testing.T) {
	o := startOne(t)
	g := NewWithT(t)
	g.Eventually(func() int { return o.apply(config(1, "m1", "m2")) }, within).Should(Equal(http.StatusOK))
	var rests atomic.Bool
	o.turnCallsAway = func() string {
		if rests.Load() {
			return "2"
		}
		return ""
	}
	first := o.server("i-1", "m1")
	g.Eventually(func() int { s, _ := o.ask("first", "m1"); return s }, within).Should(Equal(http.StatusOK))
	rests.Store(true)
	status, body := o.ask("adapter", "m1/a1")
	g.Expect(status).To(Equal(http.StatusServiceUnavailable), body)
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		o.ask("again", "m1/a1")
	}
	got := mostInRest(first.AllArrivals())
	t.Logf("at most %d calls in a rest of 2 s; %d arrived", got, len(first.AllArrivals()))
	g.Expect(got).To(BeNumerically("<=", restMost))
	rests.Store(false)
	g.Eventually(func() int { s, _ := o.ask("then", "m1/a1"); return s }, within).Should(Equal(http.StatusOK))
	g.Expect(first.Violations()).To(BeEmpty())
}

// A server that wants no requests for long is room that is missing: its model is loaded elsewhere.
func TestTheModelOfAServerThatRestsLongIsLoadedElsewhere(t *testing.T) {
	s := startSeveral(t, 4)
	g := NewWithT(t)
	s.up(1)
	s.server("", "") // holds nothing
	s.rest("i-1", "30")
	stop := s.load(20)
	g.Eventually(func() bool { return s.limited("i-2").HasModel("m1") }, within).Should(BeTrue())
	time.Sleep(time.Second)
	stop()
	g.Expect(s.send(0, "then", "/a/then", "body").whole).To(BeTrue())
	g.Expect(mostInRest(s.limited("i-1").Arrivals())).To(BeNumerically("<=", restMost))
}

// mostInRest returns the most requests that one box sent within a rest that it was asked for.
func mostInRest(arrived []standin.Arrival) (most int) {
	for i, asked := range arrived {
		n := 0
		for _, a := range arrived[i+1:] {
			if since := a.ReceivedAt.Sub(asked.ReceivedAt); a.Via == asked.Via && since > restTold && since < asked.RetryAfter {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// A server answered a box with 503 and asked for 3 s of rest; within that time the box sent it 4 requests, and others
// up to 5. No line of code read Retry-After of a server's answer: boxes sent requests of other callers there as before, and
// a request whose model has one holder up to four times, 43 ms apart, until its attempts or the retry budget were exhausted.
// The servers that turned all away got twice as many requests as before. Lines of the boxes that tell when each was
// asked for a rest, and arrivals as the stand-in counts them by box here, proved it: each box had read the
// answer, and went on.
//
// Here no box may send more than the rule allows; a request goes to a server that takes it, or is refused at once with
// the time at which one does; and the server gets work again soon after its rest.
func TestAServerThatAsksForRestGetsIt(t *testing.T) {
	for _, c := range []struct {
		after   string
		servers int
	}{{"3", 2}, {"1.5", 2}, {"3", 1}} {
		t.Run(c.after+" s with "+strconv.Itoa(c.servers), func(t *testing.T) {
			s := startSeveral(t, 4)
			g := NewWithT(t)
			s.up(c.servers)
			rest, err := strconv.ParseFloat(c.after, 64)
			g.Expect(err).NotTo(HaveOccurred())
			s.rest("i-1", c.after)
			stop := s.load(40)
			time.Sleep(2*time.Duration(rest*float64(time.Second)) + time.Second)
			s.rest("i-1", "")
			works := time.Now()
			time.Sleep(time.Duration(rest*float64(time.Second)) + 3*time.Second)
			arrived := s.limited("i-1").Arrivals()
			answers := stop()

			got := mostInRest(arrived)
			served, refused := 0, 0
			for _, a := range answers {
				switch {
				case a.whole:
					served++
				case a.status == http.StatusServiceUnavailable:
					refused++
					g.Expect(a.took).To(BeNumerically("<", 500*time.Millisecond), "refused at once")
					after, err := strconv.ParseFloat(a.after, 64)
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(after).To(BeNumerically(">", 0))
					g.Expect(after).To(BeNumerically("<", rest+2), "%+v", a)
				default:
					t.Errorf("answered %+v", a)
				}
			}
			t.Logf("at most %d of a box in a rest of %s s; %d requests, %d served, %d refused, %d arrived", got, c.after, len(answers), served, refused, len(arrived))
			g.Expect(got).To(BeNumerically("<=", restMost))
			if c.servers > 1 {
				g.Expect(refused).To(BeZero(), "the other server has room")
			}
			back := 0
			for _, a := range arrived {
				if a.ReceivedAt.After(works.Add(time.Duration(rest*float64(time.Second)) + 2*time.Second)) {
					back++
				}
			}
			g.Expect(back).To(BeNumerically(">", 3), "the server takes work again")
		})
	}
}
