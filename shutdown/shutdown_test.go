package shutdown

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

func TestRequestsAdmittedDuringStop(t *testing.T) {
	const left = 4 * time.Second
	for _, c := range []struct {
		name     string
		request  Request
		deadline time.Duration // from now
		slowest  time.Duration // of the route; 0: none is known
		admitted bool
	}{
		{"at most once, ends in time", Request{AtMostOnce: true}, left, 0, true},
		{"at most once, may end late", Request{AtMostOnce: true}, left + 1, time.Millisecond, false},
		{"repeatable, usually ends in time", Request{}, time.Minute, 3 * time.Second, true},
		{"repeatable, usually ends late", Request{}, time.Minute, 3500 * time.Millisecond, false},
		{"repeatable, not known", Request{}, time.Minute, 0, false},
		{"resumable", Request{Resumable: true}, time.Minute, time.Minute, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			p := New()
			r := c.request
			r.Route, r.Deadline = "r", time.Now().Add(c.deadline)
			if c.slowest > 0 {
				p.Record("r", c.slowest)
				p.Record("r", c.slowest/2)
			}
			g.Expect(p.Admits(r, time.Now())).To(BeTrue(), "no stop has begun")
			p.Begin(time.Now().Add(left))
			g.Expect(p.Admits(r, time.Now())).To(Equal(c.admitted), c.name)
			g.Expect(p.Admits(r, time.Now().Add(left))).To(Equal(c.deadline <= left), "%s, at the end", c.name)
		})
	}
}

// A request that was slow once must not keep a route from being served at each later stop.
func TestSlowestRequestIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := New()
		p.Record("r", time.Hour)
		for range 3 {
			time.Sleep(slowestPeriod)
			p.Record("r", time.Second)
		}
		slowest, known := p.slowestOf("r")
		g.Expect(known).To(BeTrue())
		g.Expect(slowest).To(Equal(time.Second))
	})
}

func TestOnlyTheStopInterrupts(t *testing.T) {
	g := NewWithT(t)
	p := New()
	caller, hangUp := context.WithCancel(context.Background())
	defer hangUp()
	request, cancel := context.WithCancel(caller)
	p.OnEnd(cancel)
	g.Expect(p.Interrupted(request, caller)).To(BeFalse())
	p.End()
	g.Eventually(request.Done()).Should(BeClosed())
	g.Expect(p.Interrupted(request, caller)).To(BeTrue())
	expired, cancelExpired := context.WithDeadline(caller, time.Now())
	defer cancelExpired()
	g.Expect(p.Interrupted(expired, caller)).To(BeFalse(), "its deadline has passed")
	hangUp()
	g.Expect(p.Interrupted(request, caller)).To(BeFalse(), "its caller has hung up")
}
