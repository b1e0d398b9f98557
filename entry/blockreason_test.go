package entry

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"leverdrum/admit"
	"leverdrum/dialect"
	"leverdrum/meter"
	"leverdrum/proxy"
	"leverdrum/pushback"
	"leverdrum/reason"
	"leverdrum/route"
	"leverdrum/standin"
	"leverdrum/state"
	"leverdrum/throttle"
)

// Guards against calls that are refused as if no server were there, because the only server's backoff ended between the choice of a
// server and the search for a reason.
func TestBackoffThatEndsMeanwhileIsNoLackOfServers(t *testing.T) {
	const backoff = 100 * time.Millisecond
	st, err := standin.CommittedState("[fleet]\nnumber = 1\n[hall a]\n[class c]\ndeadline = 2s\n[service shop]\nclass = c\n[instance i]\nservice = shop\naddress = 127.0.0.1:1\nhall = a\n")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	view := func() *state.State { return st }
	for step := time.Millisecond; step < 2*backoff; step += time.Millisecond {
		g := NewWithT(t)
		now := time.Hour
		registry := pushback.New(pushback.Options{
			Now:      func() time.Duration { now += step; return now }, // time passes with each look at the clock
			Throttle: throttle.New(throttle.Options{View: view, Meters: meter.New(), Log: zap.NewNop()}), Boxes: func() int { return 1 }, Log: zap.NewNop(),
		})
		d := route.NewDirectory("a")
		d.SetPushback(registry)
		d.Update(st)
		e := New(Options{Directory: d, View: view, Meters: meter.New(), Pushback: registry})
		target := d.Table().Services["shop"]
		registry.Observe(target.Backends[0].Name, "r", dialect.Report{Backoff: backoff, FromServer: true})
		j := &job{receivedAt: time.Now(), target: target, attempt: proxy.Attempt{Method: http.MethodGet, Path: "/", Header: http.Header{}}}
		j.admission = &admit.Request{Target: target, Deadline: j.deadline()}
		_, why := e.acquireBackend(t.Context(), j)
		g.Expect(why).NotTo(Equal(reason.NoServer), "%v from one look to the next", step)
	}
}
