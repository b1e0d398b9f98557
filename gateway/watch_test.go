package gateway

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"leverdrum/dialect"
	"leverdrum/fleet"
	"leverdrum/meter"
	"leverdrum/reason"
	"leverdrum/state"
	"leverdrum/wire"
)

// Guards against aborting a response that cannot resume. The last attempt of a stream was aborted
// after 1.2 s of silence, and with it the caller's connection, also where the attempt had
// forwarded its own head.
func TestSilenceDoesNotAbortUnresumableResponses(t *testing.T) {
	d := newDirectory("h", 0, nil)
	list := newServers(2)
	gate := &Gateway{dir: d, stopping: make(chan struct{}), budgets: newBudgets(Budget{Slack: 100, Window: time.Minute}, d.boxes)}
	d.current.Store(&table{pools: map[string]*pool{"p": {Pool: &fleet.Pool{}, all: list, listed: true}}})
	for _, row := range []struct {
		name          string
		kind          fleet.RouteKind
		runs          int
		before, since bool // part was forwarded by an earlier attempt, by this attempt
		want          bool
	}{
		{"first attempt", fleet.Streaming, 0, false, false, true},
		{"first attempt, part forwarded by it", fleet.Streaming, 0, false, true, true},
		{"part forwarded, another attempt left", fleet.Streaming, 0, true, true, true},
		{"part forwarded, last attempt", fleet.Streaming, 1, true, true, false},
		{"nothing forwarded, last attempt", fleet.Streaming, 1, false, false, true},
		{"last attempt, part forwarded by it", fleet.Streaming, 1, false, true, false},
		{"non-repeatable request", fleet.Unsafe, 0, false, false, false},
	} {
		j := &job{g: gate, poolName: "p", route: &fleet.Route{Kind: row.kind, Resumable: true, MaxAttempts: 2}, possibleRuns: row.runs, headSent: row.before}
		j.responseStarted.Store(row.before)
		mayAbort := j.abortCheck(list[0])
		j.responseStarted.Store(row.before || row.since)
		if got := mayAbort != nil && mayAbort(); got != row.want {
			t.Errorf("%s: %v", row.name, got)
		}
	}
}

// Guards against aborting without a retry. Streams whose head had been forwarded were aborted
// after 1.2 s of silence, and then the budget refused the attempt that was to resume them.
func TestSilenceAbortNeedsRetryBudget(t *testing.T) {
	g := NewWithT(t)
	d := newDirectory("h", 0, nil)
	list := newServers(2)
	gate := &Gateway{opts: Options{Meters: meter.New()}, dir: d, stopping: make(chan struct{}), budgets: newBudgets(Budget{Slack: 1 / budgetShare, Window: time.Hour}, d.boxes)}
	d.current.Store(&table{pools: map[string]*pool{"p": {Pool: &fleet.Pool{}, all: list, listed: true}}})
	j := &job{g: gate, poolName: "p", route: &fleet.Route{Kind: fleet.Streaming, Resumable: true, MaxAttempts: 2}, deadline: time.Now().Add(time.Hour)}
	j.responseStarted.Store(true)
	mayAbort := j.abortCheck(list[0])
	g.Expect(mayAbort()).To(BeTrue())
	unresponsive := &failure{outcome: reason.Unknown, reason: reason.BackendUnresponsive, unresponsive: true}
	g.Expect(j.mayRetry(unresponsive)).To(BeTrue(), "the retry was taken from the budget when the exchange was aborted")
	g.Expect(j.mayRetry(unresponsive)).To(BeFalse(), "once")
	g.Expect(mayAbort()).To(BeFalse(), "the budget is exhausted")
}

// Guards against a race: a server was found unresponsive at the moment its response began. The
// head was forwarded between the check whether it had been and the abort of the exchange.
func TestAbortedExchangeForwardsNothing(t *testing.T) {
	g := NewWithT(t)
	near, far := net.Pipe()
	defer far.Close()
	x := &conn{Conn: near, pool: newConnPool("")}
	w := &watch{conn: x, probing: true, startedAt: time.Now().Add(-2 * unresponsiveAfter)}
	w.timer = time.AfterFunc(time.Hour, w.check)
	w.mayAbort = func() bool {
		g.Expect(w.mu.TryLock()).To(BeFalse(), "the head could be forwarded before the abort")
		return true
	}
	w.check()
	g.Expect(w.passHead(func() { t.Error("head forwarded after the abort") })).To(BeFalse())
	g.Expect(w.stop()).To(BeTrue())

	forwarded := false
	w = &watch{conn: x, probing: true, startedAt: time.Now().Add(-2 * unresponsiveAfter), mayAbort: func() bool { return !forwarded }}
	w.timer = time.AfterFunc(time.Hour, w.check)
	g.Expect(w.passHead(func() {
		g.Expect(w.mu.TryLock()).To(BeFalse(), "the exchange could be aborted before the head is forwarded")
		forwarded = true
	})).To(BeTrue())
	w.check()
	g.Expect(w.stop()).To(BeFalse())
}

// Guards against false positives on a box with little CPU, which reads arrived bytes some time
// later.
func TestUnreadBytesAreNotSilence(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	near, err := net.Dial("tcp", l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer near.Close()
	far, err := l.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	defer far.Close()
	x := &conn{Conn: near, pool: newConnPool("")}
	w := &watch{conn: x, probing: true, startedAt: time.Now().Add(-2 * unresponsiveAfter), mayAbort: func() bool { return true }}
	w.timer = time.AfterFunc(time.Hour, w.check)
	_, err = far.Write([]byte("HTTP/1.1 200 OK"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(x.hasUnread).Should(BeTrue())
	w.check()
	g.Expect(w.unresponsive).To(BeFalse())
	_, err = near.Read(make([]byte, 64))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(x.hasUnread()).To(BeFalse())
	x.pool.lastRead.Store(0)
	w.check()
	g.Expect(w.unresponsive).To(BeTrue())
	g.Expect(w.stop()).To(BeTrue())
}

// Guards against aborting a stream without an alternative. On a box that was stopping, a stream
// was aborted after its only server had been silent for 1.2 s, with no other server to resume at.
func TestSilenceAbortNeedsAnotherServer(t *testing.T) {
	g := NewWithT(t)
	d := newDirectory("h", 0, nil)
	list := newServers(2)
	gate := &Gateway{dir: d, stopping: make(chan struct{}), budgets: newBudgets(Budget{Slack: 100, Window: time.Minute}, d.boxes)}
	d.current.Store(&table{pools: map[string]*pool{"p": {Pool: &fleet.Pool{}, all: list, listed: true}}})
	j := &job{g: gate, poolName: "p", route: &fleet.Route{Kind: fleet.Streaming, Resumable: true, MaxAttempts: 2}}
	mayAbort := j.abortCheck(list[0])
	g.Expect(mayAbort()).To(BeTrue(), "nothing was forwarded")
	j.responseStarted.Store(true)
	g.Expect(mayAbort()).To(BeTrue(), "the stream resumes at the other server")
	list[1].markDraining(time.Now())
	g.Expect(mayAbort()).To(BeFalse(), "the other server is draining")
	list[1].drainingSince.Store(0)
	g.Expect(mayAbort()).To(BeTrue())
	gate.Stop()
	g.Expect(mayAbort()).To(BeFalse(), "a stopping box starts no attempt")
}

// A watch that may not abort its exchange continues to watch it.
func TestWatchWaitsUntilAbortIsAllowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		near, far := net.Pipe()
		defer far.Close()
		var may atomic.Bool
		w := newWatch(&conn{Conn: near, pool: newConnPool("")}, time.Minute, may.Load)
		time.Sleep(3 * unresponsiveAfter)
		may.Store(true)
		time.Sleep(unresponsiveAfter)
		synctest.Wait()
		g.Expect(w.stop()).To(BeTrue())
		w = newWatch(&conn{Conn: near, pool: newConnPool("")}, time.Minute, func() bool { return false })
		time.Sleep(3 * unresponsiveAfter)
		g.Expect(w.stop()).To(BeFalse())
	})
}

// Guards against giving up busy servers. A box with one request at a server that first prefilled a
// long prompt gave it up after 1.2 s and had another server prefill the prompt, too.
func TestServerAcceptingConnectionsIsNotUnresponsive(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	near, err := net.Dial("tcp", l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer near.Close()
	from := newConnPool(l.Addr().String())
	t.Cleanup(from.close)
	const timeout = 3 * unresponsiveAfter
	startCheck := func(silence time.Duration) *watch {
		w := &watch{conn: &conn{Conn: near, pool: from}, silenceTimeout: timeout, startedAt: time.Now().Add(-silence), mayAbort: func() bool { return true }}
		w.timer = time.AfterFunc(time.Hour, w.check)
		w.check()
		return w
	}
	w := startCheck(probeAfter)
	g.Eventually(func() int64 { return from.lastDial.Load() }).ShouldNot(BeZero(), "the server is probed")
	g.Eventually(func() bool { w.mu.Lock(); defer w.mu.Unlock(); return w.probing }).Should(BeFalse())
	g.Expect(from.hasIdle(time.Now(), "")).To(BeTrue(), "the connection of the probe is kept")
	w.startedAt = time.Now().Add(-unresponsiveAfter)
	w.check()
	g.Expect(w.stop()).To(BeFalse(), "the server accepted a connection")
	g.Expect(startCheck(timeout).stop()).To(BeTrue(), "silent for so long that another server must be used")

	l.Close()
	from.lastDial.Store(0)
	w = startCheck(probeAfter)
	g.Consistently(func() bool { w.mu.Lock(); defer w.mu.Unlock(); return w.probing }, 100*time.Millisecond).Should(BeTrue(), "the server accepts none")
	w.startedAt = time.Now().Add(-unresponsiveAfter)
	w.check()
	g.Expect(w.stop()).To(BeTrue())
}

// Guards against lost events: a caller received a stream that ended as if complete but had no
// events (soak test, seed 618484344335: a box was stopped for a moment and resumed). The response
// arrived as its exchange was aborted for silence, so that nothing of it was forwarded, but its
// events were counted as forwarded. The next server was asked for the events after the last of
// them and had none. The log lines of that request (its response began after it was given up, then
// another attempt) and the empty response showed this.
func TestEventsNotForwardedAreRequestedAgain(t *testing.T) {
	g := NewWithT(t)
	view := newView(fleet.Streaming, "127.0.0.1:1")
	gate := New(Options{
		Dialect: dialect.Native, View: func() *state.State { return view }, Current: func() bool { return true },
		Budget: Budget{Ratio: 1, Slack: 100, Window: 10 * time.Second}, Meters: meter.New(), Log: zap.NewNop(),
	})
	gate.Refresh()
	route := &fleet.Route{Kind: fleet.Streaming, Resumable: true, MaxAttempts: 2, Timeout: time.Minute}
	r := httptest.NewRequest(http.MethodPost, "/x", nil)
	j := gate.newJob(httptest.NewRecorder(), r, gate.dir.table(), route, nil, time.Now())
	s := newServer(&wire.Announcement{Id: "i", Address: "127.0.0.1:1", Slots: 1})
	j.tried, j.current, j.attempts = []*server{s}, s, 1
	near, far := net.Pipe()
	defer far.Close()
	a := &response{
		Response: &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))},
		conn:     &conn{Conn: near, pool: s.pool}, pool: s.pool, stop: func() bool { return true }, watch: &watch{unresponsive: true},
	}
	g.Expect(j.relayStream(t.Context(), s, a, func() {})).To(BeFalse(), "the request is retried at another server")
	g.Expect(j.headSent).To(BeFalse())
	g.Expect(j.stream).To(Equal(events{}), "the next server is asked for all events")
}
