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
	// limitWindow is the span over which a server's limit is judged, limitOver the share of it that may arrive there, and
	// limitSlack the requests besides: what the users' rule allows.
	limitWindow = 4 * time.Second
	limitOver   = 1.5
	limitSlack  = 5
	// contact is the time in which all boxes must hold to a limit that one was told.
	contact = 3 * time.Second
)

// name has a server name a limit in its answers, "" for none.
func (s *several) name(server, limit string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits[server] = limit
}

// limited returns the server with an id.
func (s *several) limited(id string) *standin.Server {
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

// load sends requests to all boxes in turn, so many a second, until the function that it returns is called; that returns
// the answers.
func (s *several) load(perSecond int) (stop func() []answer) {
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

// mostIn is the most requests that arrived within a window, of those since a time.
func mostIn(arrived []standin.Arrival, since time.Time) (most int) {
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
		most = max(most, n)
	}
	return most
}

func allowed(perSecond float64) float64 {
	return limitOver*limitWindow.Seconds()*perSecond + limitSlack
}

// A server that named a limit of 1 request a second, for all boxes together, got 13 in 4 s, another one 12. No box read the
// header that names it: what the two servers got was the same before and after, 2.0 and 2.5 requests a second, then
// 2.8 and 2.0, and followed the demand for their models alone. Lines of the boxes that tell when each was told a
// limit, and arrivals as the stand-in counts them by box here, proved it: all boxes had been told, and
// each went on as before.
//
// Over all boxes, the server must get no more than the rule allows, and not lie idle either; its work goes to the other.
func TestAServerGetsNoMoreThanItsLimit(t *testing.T) {
	s := startSeveral(t, 4)
	g := NewWithT(t)
	s.up(2)
	tries := 0
	for _, limit := range []string{"1", "0.4", "2.5"} {
		s.name("i-1", limit)
		named := time.Now()
		stop := s.load(16)
		rate, err := strconv.ParseFloat(limit, 64)
		g.Expect(err).NotTo(HaveOccurred())
		if limit == "1" { // the first that it names; of a change boxes learn as they send it something
			g.Eventually(func() []admin.LimitRow { return s.status().Limits }, contact).Should(ConsistOf(And(HaveField("Server", "i-1"), HaveField("PerSecond", rate))), "agreed by all, and shown; level %d is in force", s.status().Level)
		}
		time.Sleep(contact + 2*limitWindow)
		arrived := s.limited("i-1").Arrivals()
		served := 0
		answers := stop()
		for _, a := range answers {
			if a.whole {
				served++
			}
		}
		got := mostIn(arrived, named.Add(contact))
		t.Logf("limit %s: at most %d in %v, allowed %.1f; %d of %d served", limit, got, limitWindow, allowed(rate), served, len(answers))
		g.Expect(float64(got)).To(BeNumerically("<=", allowed(rate)), limit)
		tries += got
		g.Expect(served).To(BeNumerically(">=", len(answers)*98/100), "the other server has room")
	}
	g.Expect(tries).To(BeNumerically(">=", 1), "who sends nothing more never learns that the limit has ended")
	s.name("i-1", "")
	stop := s.load(16)
	began := time.Now()
	time.Sleep(4 * limitWindow)
	arrived := s.limited("i-1").Arrivals()
	stop()
	g.Expect(mostIn(arrived, began.Add(2*limitWindow))).To(BeNumerically(">", 20), "half of 64 are its own once the limit has ended")
}

// Where only a limited server holds the model, what it can't take is refused at once with a time to come back, and
// what it can is served.
func TestWhatNoServerCanTakeIsRefusedAtOnce(t *testing.T) {
	s := startSeveral(t, 2)
	g := NewWithT(t)
	s.up(1)
	s.name("i-1", "2")
	named := time.Now()
	stop := s.load(16)
	time.Sleep(contact + 2*limitWindow)
	arrived := s.limited("i-1").Arrivals()
	answers := stop()
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
			g.Expect(after).To(BeNumerically(">", 0.05))
			g.Expect(after).To(BeNumerically("<", 5), "the server takes two a second")
			g.Expect(a.reason).To(Equal("servers-limited"))
		default:
			t.Errorf("answered %+v", a)
		}
	}
	got := mostIn(arrived, named.Add(contact))
	t.Logf("at most %d in %v, allowed %.1f; %d served, %d refused", got, limitWindow, allowed(2), served, refused)
	g.Expect(float64(got)).To(BeNumerically("<=", allowed(2)))
	g.Expect(float64(got)).To(BeNumerically(">=", 0.7*2*limitWindow.Seconds()), "what it takes is used")
}
