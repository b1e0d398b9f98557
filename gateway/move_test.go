package gateway

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"leverdrum/event"
	"leverdrum/loadshare"
	"leverdrum/reason"
)

// Guards against moves that gain nothing, against requests that stay where they will be late, and against
// attempts that are raised without bound.
func TestRequestsMoveOnlyIfTheyGain(t *testing.T) {
	const ms = time.Millisecond
	for name, row := range map[string]struct {
		change func(*moveInput)
		want   bool
	}{
		"overdue":                         {func(*moveInput) {}, true},
		"no target":                       {func(in *moveInput) { in.target = 0 }, false},
		"still in time":                   {func(in *moveInput) { in.target = time.Second }, false},
		"not overdue yet":                 {func(in *moveInput) { in.elapsed = 160 * ms }, false},
		"the others are as late":          {func(in *moveInput) { in.other = 300 * ms }, false},
		"gains less than the prefill":     {func(in *moveInput) { in.otherPrefill = 100 * ms }, false},
		"no time left":                    {func(in *moveInput) { in.left = 60 * ms }, false},
		"a long queue as estimated":       {func(in *moveInput) { in.estimate, in.elapsed, in.target = 500*ms, 300*ms, 5*time.Second }, false},
		"a queue at a server slowed down": {func(in *moveInput) { in.estimate, in.elapsed, in.slowdown = 200*ms, 100*ms, 4 }, true},
		"a server that recovered":         {func(in *moveInput) { in.estimate, in.elapsed, in.slowdown = 300*ms, 100*ms, 0.4 }, false},
	} {
		in := moveInput{elapsed: 250 * ms, waited: 260 * ms, target: 400 * ms, left: 10 * time.Second, estimate: 60 * ms, slowdown: 1, other: 50 * ms, otherPrefill: 40 * ms}
		row.change(&in)
		NewWithT(t).Expect(in.moves()).To(Equal(row.want), name)
	}
	for elapsed, want := range map[time.Duration]time.Duration{249: 0, 420: 150, 60000: 2000} {
		NewWithT(t).Expect(overdueBy(elapsed*ms, 100*ms)).To(Equal(want*ms), "in steps, and bounded")
	}
}

// Guards against requests that stay at a server that stopped, and against moves of requests that may not be
// repeated, that run at two servers at once, move again, exceed the retry budget, or count against the server.
func TestLateRequestMovesOnce(t *testing.T) {
	for name, row := range map[string]struct {
		notRepeatable, noBudget, unknown, inactive, allSlow bool
		moves                                               int
	}{
		"moves":                     {moves: 1},
		"may not be repeated":       {notRepeatable: true},
		"retry budget is exhausted": {noBudget: true},
		"figures are not known":     {unknown: true},
		"load is not shared":        {inactive: true},
		"the second server is slow": {allSlow: true, moves: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			busy := loadshare.Outstanding{Prefill: time.Second}
			g, load := NewWithT(t), &recordedLoad{known: true, inactive: row.inactive, others: map[string]loadshare.Outstanding{"i1": busy, "i2": busy}}
			var gate *Gateway
			var requests, openAtFirst atomic.Int32
			var raised time.Duration
			before := func() {
				if requests.Add(1) > 1 {
					if gate.dir.serverByID("i0").pool.any() {
						openAtFirst.Add(1)
					}
					if !row.allSlow {
						return
					}
				}
				load.locked(func() { load.others, load.unknown = nil, row.unknown })
				time.Sleep(300 * time.Millisecond)
				load.locked(func() { raised = load.beginPrefill - load.firstPrefill })
				time.Sleep(300 * time.Millisecond)
			}
			gate = newStreamGateway(load, promptOf(1, 600, 230), newEventServer(t, before), newEventServer(t, before), newEventServer(t, before))
			logs, lines := observer.New(zap.InfoLevel)
			gate.opts.Log = zap.New(logs)
			route := gate.dir.table().fleet.Routes[0]
			route.LatencyTarget, route.Resumable, route.MaxAttempts = 200*time.Millisecond, !row.notRepeatable, 3
			if row.noBudget {
				gate.budgets.budget = Budget{Window: time.Second}
			}
			w := httptest.NewRecorder()
			gate.ServeHTTP(w, newStreamRequest())
			g.Expect(w.Body.String()).To(Equal("id: 1\ndata: x\n\n"))
			g.Expect(requests.Load()).To(BeEquivalentTo(1 + row.moves))
			g.Expect(openAtFirst.Load()).To(BeZero(), "the first exchange is closed before the second")
			moved := lines.FilterField(zap.String("event", event.RequestRetried.Code)).FilterField(zap.String("why", reason.RetryMoved.Code))
			g.Expect(moved.Len()).To(Equal(row.moves))
			g.Expect(sum(gate.budgets.windowFor("s").retries)).To(Equal(row.moves), "taken from the retry budget")
			g.Expect(gate.dir.serverByID("i0").ejected(time.Now())).To(BeFalse())
			load.mu.Lock()
			defer load.mu.Unlock()
			g.Expect(load.ended).To(Equal(load.begun))
			g.Expect(load.firstPrefill).To(Equal(load.beginPrefill))
			if row.noBudget || row.notRepeatable {
				g.Expect(raised).To(BeNumerically(">=", 100*time.Millisecond), "other boxes see that the server is slow")
			}
		})
	}
}

// Guards against a response that is forwarded although its exchange was aborted for a move, and against a move
// after the head of the response was forwarded.
func TestMoveAndHeadExcludeEachOther(t *testing.T) {
	for _, moveFirst := range []bool{true, false} {
		g, forwarded := NewWithT(t), false
		local, remote := net.Pipe()
		defer remote.Close()
		w := newWatch(&conn{Conn: local, pool: newConnPool("")}, time.Minute, func() bool { return false })
		if moveFirst {
			g.Expect(w.abort(func() bool { return true })).To(BeTrue())
		}
		g.Expect(w.passHead(func() { forwarded = true })).To(Equal(!moveFirst))
		g.Expect(forwarded).To(Equal(!moveFirst))
		g.Expect(w.abort(func() bool { return !forwarded })).To(BeFalse(), "once, and not after the head")
		g.Expect(w.stopAborted()).To(Equal(moveFirst), "its connection must not be used again")
		g.Expect(w.abort(func() bool { return true })).To(BeFalse(), "the exchange has ended")
	}
}

// Guards against a large response that is cut off: its exchange was aborted for a move after the buffered part was read,
// and its head was forwarded all the same.
func TestLargeResponseOfAnAbortedExchangeIsNotForwarded(t *testing.T) {
	gate := newStreamGateway(&recordedLoad{}, promptOf(1, 600), "127.0.0.1:1")
	r, w := newStreamRequest(), httptest.NewRecorder()
	j := gate.newJob(w, r, gate.dir.table(), gate.dir.table().fleet.Routes[0], nil, time.Now())
	j.route.MaxAttempts, j.route.Timeout, j.deadline = 2, time.Minute, time.Now().Add(time.Minute)
	s := gate.dir.serverByID("i0")
	j.tried, j.current, j.attempts = []*server{s}, s, 1
	near, far := net.Pipe()
	defer far.Close()
	a := &response{
		Response: &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(strings.Repeat("x", answerBuffer+1)))},
		conn:     &conn{Conn: near, pool: s.pool}, pool: s.pool, stop: func() bool { return true }, watch: &watch{moved: true},
	}
	g := NewWithT(t)
	g.Expect(j.relayWhole(t.Context(), s, a, func() {})).To(BeFalse(), "the request is retried at another server")
	g.Expect(w.Body.Len()).To(BeZero())
}
