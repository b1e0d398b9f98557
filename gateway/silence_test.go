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

// The last sending that a stream had was ended after 1.2 s of silence, and the caller's
// connection with it; where its own head had been passed on, too.
func TestSilenceEndsNoAnswerThatCannotGoOn(t *testing.T) {
	d := newDirectory("h", 0, nil)
	list := newServers(2)
	gate := &Gateway{dir: d, stopping: make(chan struct{}), budgets: newBudgets(Budget{Slack: 100, Window: time.Minute}, d.boxes)}
	d.current.Store(&table{pools: map[string]*pool{"p": {Pool: &fleet.Pool{}, all: list, made: true}}})
	for _, row := range []struct {
		name          string
		kind          fleet.RouteKind
		runs          int
		before, since bool // part was passed on: before this sending, by it
		want          bool
	}{
		{"the first sending", fleet.Streaming, 0, false, false, true},
		{"the first sending, part passed on since", fleet.Streaming, 0, false, true, true},
		{"part passed on, another sending left", fleet.Streaming, 0, true, true, true},
		{"part passed on, the last sending", fleet.Streaming, 1, true, true, false},
		{"nothing passed on, the last sending", fleet.Streaming, 1, false, false, true},
		{"the last sending, part passed on since", fleet.Streaming, 1, false, true, false},
		{"what may not be repeated", fleet.Unsafe, 0, false, false, false},
	} {
		j := &job{g: gate, poolName: "p", route: &fleet.Route{Kind: row.kind, Resumable: true, MaxAttempts: 2}, runs: row.runs, headed: row.before}
		j.begun.Store(row.before)
		mayEnd := j.silenceMayEnd(list[0])
		j.begun.Store(row.before || row.since)
		if got := mayEnd != nil && mayEnd(); got != row.want {
			t.Errorf("%s: %v", row.name, got)
		}
	}
}

// Streams whose head had been passed on were ended after 1.2 s of silence, and then the budget
// refused the sending that was to go on with them.
func TestSilenceEndsNothingWithoutBudget(t *testing.T) {
	g := NewWithT(t)
	d := newDirectory("h", 0, nil)
	list := newServers(2)
	gate := &Gateway{opts: Options{Meters: meter.New()}, dir: d, stopping: make(chan struct{}), budgets: newBudgets(Budget{Slack: 1 / budgetShare, Window: time.Hour}, d.boxes)}
	d.current.Store(&table{pools: map[string]*pool{"p": {Pool: &fleet.Pool{}, all: list, made: true}}})
	j := &job{g: gate, poolName: "p", route: &fleet.Route{Kind: fleet.Streaming, Resumable: true, MaxAttempts: 2}, deadline: time.Now().Add(time.Hour)}
	j.begun.Store(true)
	mayEnd := j.silenceMayEnd(list[0])
	g.Expect(mayEnd()).To(BeTrue())
	dark := &failure{outcome: reason.Unknown, why: reason.BackendSilent, dark: true}
	g.Expect(j.mayRepeat(dark)).To(BeTrue(), "taken off the budget when the exchange was ended")
	g.Expect(j.mayRepeat(dark)).To(BeFalse(), "once")
	g.Expect(mayEnd()).To(BeFalse(), "nothing is left of the budget")
}

// A server was found silent in the moment in which its answer began: the head was passed on
// between the question whether anything was, and the end of the exchange.
func TestAnExchangeThatSilenceEndsPassesNothingOn(t *testing.T) {
	g := NewWithT(t)
	near, far := net.Pipe()
	defer far.Close()
	x := &conn{Conn: near, from: newConns("")}
	w := &watch{x: x, asking: true, began: time.Now().Add(-2 * darkAfter)}
	w.timer = time.AfterFunc(time.Hour, w.look)
	w.mayEnd = func() bool {
		g.Expect(w.mu.TryLock()).To(BeFalse(), "a head could be passed on before the end")
		return true
	}
	w.look()
	g.Expect(w.pass(func() { t.Error("passed on behind the end") })).To(BeFalse())
	g.Expect(w.stop()).To(BeTrue())

	begun := false
	w = &watch{x: x, asking: true, began: time.Now().Add(-2 * darkAfter), mayEnd: func() bool { return !begun }}
	w.timer = time.AfterFunc(time.Hour, w.look)
	g.Expect(w.pass(func() {
		g.Expect(w.mu.TryLock()).To(BeFalse(), "the exchange could be ended before the head is passed on")
		begun = true
	})).To(BeTrue())
	w.look()
	g.Expect(w.stop()).To(BeFalse())
}

// A box with little of a processor reads what has come some time later.
func TestBytesThatWaitToBeReadAreNoSilence(t *testing.T) {
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
	x := &conn{Conn: near, from: newConns("")}
	w := &watch{x: x, asking: true, began: time.Now().Add(-2 * darkAfter), mayEnd: func() bool { return true }}
	w.timer = time.AfterFunc(time.Hour, w.look)
	_, err = far.Write([]byte("HTTP/1.1 200 OK"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(x.arrived).Should(BeTrue())
	w.look()
	g.Expect(w.dark).To(BeFalse())
	_, err = near.Read(make([]byte, 64))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(x.arrived()).To(BeFalse())
	x.from.heard.Store(0)
	w.look()
	g.Expect(w.dark).To(BeTrue())
	g.Expect(w.stop()).To(BeTrue())
}

// A stream on a box that was stopping was ended when its only server had been silent for
// 1.2 s, and there was no other to go on at.
func TestSilenceEndsNoStreamWithoutAnotherServer(t *testing.T) {
	g := NewWithT(t)
	d := newDirectory("h", 0, nil)
	list := newServers(2)
	gate := &Gateway{dir: d, stopping: make(chan struct{}), budgets: newBudgets(Budget{Slack: 100, Window: time.Minute}, d.boxes)}
	d.current.Store(&table{pools: map[string]*pool{"p": {Pool: &fleet.Pool{}, all: list, made: true}}})
	j := &job{g: gate, poolName: "p", route: &fleet.Route{Kind: fleet.Streaming, Resumable: true, MaxAttempts: 2}}
	mayEnd := j.silenceMayEnd(list[0])
	g.Expect(mayEnd()).To(BeTrue(), "nothing was passed on")
	j.begun.Store(true)
	g.Expect(mayEnd()).To(BeTrue(), "it goes on at the other server")
	list[1].part(time.Now())
	g.Expect(mayEnd()).To(BeFalse(), "the other leaves")
	list[1].leaving.Store(0)
	g.Expect(mayEnd()).To(BeTrue())
	gate.Stop()
	g.Expect(mayEnd()).To(BeFalse(), "a box that stops begins nothing anew")
}

// A watch that may not end its exchange goes on watching.
func TestAWatchWaitsUntilItMayEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		near, far := net.Pipe()
		defer far.Close()
		var may atomic.Bool
		w := watchOver(&conn{Conn: near, from: newConns("")}, time.Minute, may.Load)
		time.Sleep(3 * darkAfter)
		may.Store(true)
		time.Sleep(darkAfter)
		synctest.Wait()
		g.Expect(w.stop()).To(BeTrue())
		w = watchOver(&conn{Conn: near, from: newConns("")}, time.Minute, func() bool { return false })
		time.Sleep(3 * darkAfter)
		g.Expect(w.stop()).To(BeFalse())
	})
}

// A box with one request at a server that reads a long prompt first gave it up after 1.2 s,
// and had another server read the prompt, too.
func TestAServerThatTakesConnectionsIsNotDark(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	near, err := net.Dial("tcp", l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer near.Close()
	from := newConns(l.Addr().String())
	t.Cleanup(from.close)
	const mute = 3 * darkAfter
	look := func(silence time.Duration) *watch {
		w := &watch{x: &conn{Conn: near, from: from}, mute: mute, began: time.Now().Add(-silence), mayEnd: func() bool { return true }}
		w.timer = time.AfterFunc(time.Hour, w.look)
		w.look()
		return w
	}
	w := look(askAfter)
	g.Eventually(func() int64 { return from.reached.Load() }).ShouldNot(BeZero(), "it is asked for a connection")
	g.Eventually(func() bool { w.mu.Lock(); defer w.mu.Unlock(); return w.asking }).Should(BeFalse())
	g.Expect(from.rests(time.Now())).To(BeTrue(), "which is kept")
	w.began = time.Now().Add(-darkAfter)
	w.look()
	g.Expect(w.stop()).To(BeFalse(), "it took one")
	g.Expect(look(mute).stop()).To(BeTrue(), "it is silent for so long that another must be asked")

	l.Close()
	from.reached.Store(0)
	w = look(askAfter)
	g.Consistently(func() bool { w.mu.Lock(); defer w.mu.Unlock(); return w.asking }, 100*time.Millisecond).Should(BeTrue(), "it takes none")
	w.began = time.Now().Add(-darkAfter)
	w.look()
	g.Expect(w.stop()).To(BeTrue())
}

// A caller got a stream that ended as if whole, without an event (soak, seed 618484344335: a box was stopped for a moment and woke).
// The server's answer came as its exchange was given up for its silence, so nothing of it was passed on, but its events had been
// counted as passed: the next server was asked for what follows the last of them, and had nothing. The box's lines of that
// request ("began when it had been given up", then another sending) and the empty answer proved it.
func TestEventsThatWereNotPassedOnAreAskedForAgain(t *testing.T) {
	g := NewWithT(t)
	view := viewOf(fleet.Streaming, "127.0.0.1:1")
	gate := New(Options{
		Dialect: dialect.Native, View: func() *state.State { return view }, Current: func() bool { return true },
		Budget: Budget{Ratio: 1, Slack: 100, Window: 10 * time.Second}, Meters: meter.New(), Log: zap.NewNop(),
	})
	gate.Refresh()
	route := &fleet.Route{Kind: fleet.Streaming, Resumable: true, MaxAttempts: 2, Timeout: time.Minute}
	r := httptest.NewRequest(http.MethodPost, "/x", nil)
	j := gate.newJob(httptest.NewRecorder(), r, gate.dir.table(), route, nil, time.Now())
	s := newServer(&wire.Announcement{Id: "i", Address: "127.0.0.1:1", Slots: 1})
	j.tried, j.sends = []*server{s}, 1
	near, far := net.Pipe()
	defer far.Close()
	a := &answer{
		Response: &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))},
		conn:     &conn{Conn: near, from: s.conns}, from: s.conns, stop: func() bool { return true }, watch: &watch{dark: true},
	}
	g.Expect(j.relay(t.Context(), s, a, func() {})).To(BeFalse(), "it goes to another server")
	g.Expect(j.headed).To(BeFalse())
	g.Expect(j.stream).To(Equal(events{}), "from the first event on")
}
