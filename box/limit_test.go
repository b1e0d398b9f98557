package box_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/admin"
	"leverdrum/platform/standin"
)

const (
	// limitWindow is the time over which a server's rate is compared with its limit. Up to limitRatio times the limit plus
	// limitSlack requests may arrive in it: this is the users' requirement.
	limitWindow = 4 * time.Second
	limitRatio  = 1.5
	limitSlack  = 5
	// limitPropagation is the time within which all boxes must honor a limit that one of them received.
	limitPropagation = 3 * time.Second
)

// setLimit makes a server announce a limit in its responses, "" for none.
func (s *multiBox) setLimit(server, limit string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits[server] = limit
}

// serverByID returns the server with an ID.
func (s *multiBox) serverByID(id string) *standin.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.servers {
		if v.ID == id {
			return v
		}
	}
	s.t.Fatal("no server ", id)
	return nil
}

// startLoad sends requests to all boxes in turn at the given rate until the returned function is called, which returns the
// responses.
func (s *multiBox) startLoad(perSecond int) (stop func() []answer) {
	ended := make(chan struct{})
	var mu sync.Mutex
	var answers []answer
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-ended:
				return
			case <-time.After(time.Second / time.Duration(perSecond)):
			}
			wg.Go(func() {
				a := s.send(n, fmt.Sprint("load-", n), fmt.Sprint("/a/load-", n), "body")
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
			})
		}
	})
	return func() []answer {
		close(ended)
		wg.Wait()
		return answers
	}
}

// maxInWindow returns the maximum number of requests that arrived within one limitWindow, of those since a time.
func maxInWindow(arrived []standin.Arrival, since time.Time) (maximum int) {
	for i, first := range arrived {
		if first.ReceivedAt.Before(since) {
			continue
		}
		n := 0
		for _, other := range arrived[i:] {
			if other.ReceivedAt.Sub(first.ReceivedAt) < limitWindow {
				n++
			}
		}
		maximum = max(maximum, n)
	}
	return maximum
}

// maxAllowed returns the maximum number of requests allowed within one limitWindow.
func maxAllowed(perSecond float64) float64 {
	return limitRatio*limitWindow.Seconds()*perSecond + limitSlack
}

// Guards against ignoring the header in which servers announce a limit: two servers with a limit of 1 request/s for all
// boxes together got 13 and 12 requests in 4 s. Their rates, 2.0 and 2.5 requests/s before and 2.8 and 2.0 after,
// depended only on the demand for their models. All boxes had received the limit, and none changed its rate.
//
// Over all boxes, the server must get no more than the requirement allows, but must not stay idle either; the remaining
// requests go to the other server.
func TestServerLimitHonored(t *testing.T) {
	s := startMultiBox(t, 4)
	g := NewWithT(t)
	s.startServers(2)
	arrivedTotal := 0
	for _, limit := range []string{"1", "0.4", "2.5"} {
		s.setLimit("i-1", limit)
		named := time.Now()
		stop := s.startLoad(16)
		rate, err := strconv.ParseFloat(limit, 64)
		g.Expect(err).NotTo(HaveOccurred())
		if limit == "1" { // the first limit; boxes learn of a change when they send a request
			g.Eventually(func() []admin.LimitRow { return s.status().Limits }, limitPropagation).Should(ConsistOf(And(HaveField("Server", "i-1"), HaveField("PerSecond", rate))), "limit is committed and in the status; level %d is in force", s.status().Level)
		}
		time.Sleep(limitPropagation + 2*limitWindow)
		arrived := s.serverByID("i-1").Arrivals()
		served := 0
		answers := stop()
		for _, a := range answers {
			if a.complete {
				served++
			}
		}
		got := maxInWindow(arrived, named.Add(limitPropagation))
		t.Logf("limit %s: at most %d in %v, allowed %.1f; %d of %d served", limit, got, limitWindow, maxAllowed(rate), served, len(answers))
		g.Expect(float64(got)).To(BeNumerically("<=", maxAllowed(rate)), limit)
		arrivedTotal += got
		g.Expect(served).To(BeNumerically(">=", len(answers)*98/100), "the other server has capacity")
	}
	g.Expect(arrivedTotal).To(BeNumerically(">=", 1), "boxes that send nothing never learn that the limit was lifted")
	s.setLimit("i-1", "")
	stop := s.startLoad(16)
	began := time.Now()
	time.Sleep(4 * limitWindow)
	arrived := s.serverByID("i-1").Arrivals()
	stop()
	g.Expect(maxInWindow(arrived, began.Add(2*limitWindow))).To(BeNumerically(">", 20), "without a limit it gets half of the 64 requests")
}

// If only a limited server has the model, requests beyond its limit are refused immediately with a Retry-After, and the
// others are served.
func TestExcessRequestsRefusedImmediately(t *testing.T) {
	s := startMultiBox(t, 2)
	g := NewWithT(t)
	s.startServers(1)
	s.setLimit("i-1", "2")
	named := time.Now()
	stop := s.startLoad(16)
	time.Sleep(limitPropagation + 2*limitWindow)
	arrived := s.serverByID("i-1").Arrivals()
	answers := stop()
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
			g.Expect(after).To(BeNumerically(">", 0.05))
			g.Expect(after).To(BeNumerically("<", 5), "the server's limit is 2 requests/s")
			g.Expect(a.reason).To(Equal("servers-limited"))
		default:
			t.Errorf("unexpected response %+v", a)
		}
	}
	got := maxInWindow(arrived, named.Add(limitPropagation))
	t.Logf("at most %d in %v, allowed %.1f; %d served, %d refused", got, limitWindow, maxAllowed(2), served, refused)
	g.Expect(float64(got)).To(BeNumerically("<=", maxAllowed(2)))
	g.Expect(float64(got)).To(BeNumerically(">=", 0.7*2*limitWindow.Seconds()), "the limit is used")
}
