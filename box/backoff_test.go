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
	// backoffGrace is the time within which a box must honor a backoff, and maxBackoffRequests the number of its requests that
	// may reach the server between then and the end of the backoff: this is the users' requirement.
	backoffGrace       = 500 * time.Millisecond
	maxBackoffRequests = 2
)

// setBackoff makes a server reject all requests with a Retry-After, "" for none.
func (s *multiBox) setBackoff(server, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryAfter[server] = after
}

// Orders and report polls must honor a backoff too: their responses also carry Retry-After, and the leader kept calling a
// server that had asked for a backoff. An order that was never sent must not count as one that may still arrive.
func TestServerInBackoffGetsNoOrders(t *testing.T) {
	o := startSingleBox(t)
	g := NewWithT(t)
	g.Eventually(func() int { return o.apply(config(1, "m1", "m2")) }, testTimeout).Should(Equal(http.StatusOK))
	var inBackoff atomic.Bool
	o.callBackoff = func() string {
		if inBackoff.Load() {
			return "2"
		}
		return ""
	}
	first := o.server("i-1", "m1")
	g.Eventually(func() int { s, _ := o.sendModelRequest("first", "m1"); return s }, testTimeout).Should(Equal(http.StatusOK))
	inBackoff.Store(true)
	status, body := o.sendModelRequest("adapter", "m1/a1")
	g.Expect(status).To(Equal(http.StatusServiceUnavailable), body)
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		o.sendModelRequest("again", "m1/a1")
	}
	got := maxSentInBackoff(first.AllArrivals())
	t.Logf("at most %d calls in a backoff of 2 s; %d arrived", got, len(first.AllArrivals()))
	g.Expect(got).To(BeNumerically("<=", maxBackoffRequests))
	inBackoff.Store(false)
	g.Eventually(func() int { s, _ := o.sendModelRequest("then", "m1/a1"); return s }, testTimeout).Should(Equal(http.StatusOK))
	g.Expect(first.Violations()).To(BeEmpty())
}

// A server in a long backoff counts as missing capacity: its model is loaded elsewhere.
func TestModelOfServerInLongBackoffLoadedElsewhere(t *testing.T) {
	s := startMultiBox(t, 4)
	g := NewWithT(t)
	s.startServers(1)
	s.server("", "") // no resident model
	s.setBackoff("i-1", "30")
	stop := s.startLoad(20)
	g.Eventually(func() bool { return s.serverByID("i-2").HasModel("m1") }, testTimeout).Should(BeTrue())
	time.Sleep(time.Second)
	stop()
	g.Expect(s.send(0, "then", "/a/then", "body").complete).To(BeTrue())
	g.Expect(maxSentInBackoff(s.serverByID("i-1").Arrivals())).To(BeNumerically("<=", maxBackoffRequests))
}

// maxSentInBackoff returns the maximum number of requests that one box sent within a backoff that it was asked for.
func maxSentInBackoff(arrived []standin.Arrival) (maximum int) {
	for i, asked := range arrived {
		n := 0
		for _, a := range arrived[i+1:] {
			if since := a.ReceivedAt.Sub(asked.ReceivedAt); a.Via == asked.Via && since > backoffGrace && since < asked.RetryAfter {
				n++
			}
		}
		maximum = max(maximum, n)
	}
	return maximum
}

// Guards against ignoring Retry-After in servers' responses: a server responded to a box with 503 and asked for a backoff of
// 3 s, within which the box sent it 4 requests, and other boxes up to 5. Boxes kept sending requests of other callers, and
// retried a request whose model has one holder up to four times, 43 ms apart, until its attempts or the retry budget were
// exhausted. Servers that rejected everything got twice as many requests as before. Each box had received the response.
//
// No box may send more than the requirement allows. A request goes to a server that accepts it, or is refused immediately
// with the time at which one will. The server gets requests again soon after its backoff.
func TestRetryAfterHonored(t *testing.T) {
	for _, c := range []struct {
		after   string
		servers int
	}{{"3", 2}, {"1.5", 2}, {"3", 1}} {
		t.Run(c.after+" s with "+strconv.Itoa(c.servers), func(t *testing.T) {
			s := startMultiBox(t, 4)
			g := NewWithT(t)
			s.startServers(c.servers)
			backoff, err := strconv.ParseFloat(c.after, 64)
			g.Expect(err).NotTo(HaveOccurred())
			s.setBackoff("i-1", c.after)
			stop := s.startLoad(40)
			time.Sleep(2*time.Duration(backoff*float64(time.Second)) + time.Second)
			s.setBackoff("i-1", "")
			clearedAt := time.Now()
			time.Sleep(time.Duration(backoff*float64(time.Second)) + 3*time.Second)
			arrived := s.serverByID("i-1").Arrivals()
			answers := stop()

			got := maxSentInBackoff(arrived)
			served, refused := 0, 0
			for _, a := range answers {
				switch {
				case a.complete:
					served++
				case a.status == http.StatusServiceUnavailable:
					refused++
					g.Expect(a.took).To(BeNumerically("<", 500*time.Millisecond), "refused immediately")
					after, err := strconv.ParseFloat(a.after, 64)
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(after).To(BeNumerically(">", 0))
					g.Expect(after).To(BeNumerically("<", backoff+2), "%+v", a)
				default:
					t.Errorf("unexpected response %+v", a)
				}
			}
			t.Logf("at most %d of a box in a backoff of %s s; %d requests, %d served, %d refused, %d arrived", got, c.after, len(answers), served, refused, len(arrived))
			g.Expect(got).To(BeNumerically("<=", maxBackoffRequests))
			if c.servers > 1 {
				g.Expect(refused).To(BeZero(), "the other server has capacity")
			}
			back := 0
			for _, a := range arrived {
				if a.ReceivedAt.After(clearedAt.Add(time.Duration(backoff*float64(time.Second)) + 2*time.Second)) {
					back++
				}
			}
			g.Expect(back).To(BeNumerically(">", 3), "the server gets requests again")
		})
	}
}
