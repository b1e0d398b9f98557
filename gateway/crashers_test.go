package gateway

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"leverdrum/crasher"
	"leverdrum/dialect"
	"leverdrum/fleet"
	"leverdrum/level"
	"leverdrum/meter"
	"leverdrum/state"
	"leverdrum/wire"
)

// crashReports collects the crash reports of a gateway.
type crashReports struct {
	mu      sync.Mutex
	reports []*wire.CrashReport
}

func (t *crashReports) add(r *wire.CrashReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reports = append(t.reports, r)
}

func (t *crashReports) signs() (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.reports {
		n += len(r.Signs)
	}
	return n
}

// newBreakingServer starts a server that closes each connection once a request has arrived. With
// terminate set it also closes its listener at the first request, as if the process had terminated.
func newBreakingServer(t *testing.T, terminate bool, terminations *atomic.Int64) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := c.Read(make([]byte, 4096)); err == nil && terminate {
					l.Close()
					if terminations != nil {
						terminations.Add(1)
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

// newView returns a state with one route to one service that has servers at the given addresses.
func newView(kind fleet.RouteKind, addresses ...string) *state.State {
	view := state.New()
	view.Fleet, view.Version = fleet.New(), &wire.FleetVersion{Number: 1, Index: 1}
	view.Fleet.Pools["s"] = &fleet.Pool{Name: "s", MaxConnections: 100}
	view.Fleet.Routes = []*fleet.Route{{Name: "r", Host: "h.example", Prefix: "/", Kind: kind, Timeout: 5 * time.Second, MaxAttempts: 2, Split: []fleet.Share{{Pool: "s", Weight: 1}}}}
	for i, a := range addresses {
		id := fmt.Sprint("i", i)
		view.Announcements.Set(id, &wire.Announcement{Id: id, Service: "s", Address: a, Version: "v1", Slots: 8})
	}
	return view
}

// serveOne serves one request and returns its status.
func serveOne(view *state.State, reports *crashReports) int {
	gate := New(Options{
		Dialect: dialect.Native, View: func() *state.State { return view }, Current: func() bool { return true }, DrainingDuration: time.Minute,
		Budget: Budget{Ratio: 1, Slack: 100, Window: 10 * time.Second}, ReportCrash: reports.add, Meters: meter.New(), Log: zap.NewNop(),
	})
	gate.Refresh()
	r := httptest.NewRequest(http.MethodPost, "/x", nil)
	r.Host = "h.example"
	w := httptest.NewRecorder()
	gate.ServeHTTP(w, r)
	return w.Code
}

// Guards against one server crash too many. While the crash report that blocks a request is on its
// way, the attempt that saw the crash must not be retried at another server; otherwise four
// servers crash instead of three.
func TestRequestOneSignShortIsNotRetried(t *testing.T) {
	for signs, servers := range map[int]int64{0: 2, 1: 2, 2: 1} {
		g := NewWithT(t)
		var crashed atomic.Int64
		view := newView(fleet.Safe, newBreakingServer(t, true, &crashed), newBreakingServer(t, true, &crashed), newBreakingServer(t, true, &crashed))
		p := crasher.FingerprintOf(crasher.Content{Method: http.MethodPost, Host: "h.example", Target: "/x"})
		for i := range signs {
			view.Crashers.Apply(&wire.CrashReport{Signs: []*wire.CrashSign{
				{Print: p[:], Server: fmt.Sprint("before", i), Version: "v1", SentMs: int64(1000 * i), EndedMs: int64(1000*i + 10)},
			}}, crasher.CommitPosition{Index: uint64(1 + i), Term: 1})
		}
		g.Expect(serveOne(view, &crashReports{})).To(Equal(http.StatusBadGateway))
		g.Expect(crashed.Load()).To(Equal(servers), "%d earlier signs", signs)
	}
}

// A connection that breaks counts as a crash sign only where the server terminated, not where it
// goes on running or was draining.
func TestOnlyServerTerminationsAreCrashSigns(t *testing.T) {
	for name, c := range map[string]struct {
		terminates, draining bool
		signs                int
	}{
		"server terminated":      {true, false, 1},
		"connection broken only": {false, false, 0},
		"server was draining":    {true, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			view := newView(fleet.Unsafe, newBreakingServer(t, c.terminates, nil))
			announcement := proto.CloneOf(view.Announcements.Get("i0"))
			announcement.Leaving = c.draining
			view.Announcements.Set("i0", announcement)
			reports := &crashReports{}
			g.Expect(serveOne(view, reports)).To(Equal(http.StatusBadGateway))
			if c.signs > 0 {
				g.Eventually(reports.signs, within).Should(Equal(c.signs))
				return
			}
			g.Consistently(reports.signs, time.Second).Should(BeZero())
		})
	}
}

// A server that hangs during a request breaks no connection: the request times out or its caller
// leaves. This counts as a weak crash sign once the committed state marks the server as
// unresponsive.
func TestUnresponsiveServerIsAWeakCrashSign(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and never answers
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	view := newView(fleet.Unsafe, l.Addr().String())
	view.Fleet.Routes[0].Timeout = 100 * time.Millisecond
	reports := &crashReports{}
	var current atomic.Pointer[state.State]
	current.Store(view)
	gate := New(Options{
		Dialect: dialect.Native, View: current.Load, Current: func() bool { return true }, DrainingDuration: time.Minute,
		Budget: Budget{Ratio: 1, Slack: 100, Window: 10 * time.Second}, ReportCrash: reports.add, Meters: meter.New(), Log: zap.NewNop(),
	})
	gate.Refresh()
	r := httptest.NewRequest(http.MethodPost, "/x", nil)
	r.Host = "h.example"
	w := httptest.NewRecorder()
	gate.ServeHTTP(w, r)
	g.Expect(w.Code).To(Equal(http.StatusGatewayTimeout))
	g.Expect(reports.signs()).To(BeZero(), "the server may only be slow")
	next := view.Clone()
	next.Announcements.Set("i0", &wire.Announcement{Id: "i0", Service: "s", Address: l.Addr().String(), Version: "v1", Slots: 8, Silent: true})
	current.Store(next)
	gate.Refresh()
	g.Expect(reports.signs()).To(Equal(1))
	g.Expect(reports.reports[0].Signs[0].Weak).To(BeTrue())
}

const within = 10 * time.Second

// Guards against a box that reaches no leader, so that its crash reports are not committed, and that sends requests with a crashing
// prompt part to one server after another for as long as that lasts.
func TestOwnEvidenceBlocksWithoutLeader(t *testing.T) {
	g := NewWithT(t)
	var crashed atomic.Int64
	var addresses []string
	for range 12 {
		addresses = append(addresses, newBreakingServer(t, true, &crashed))
	}
	view := newView(fleet.Unsafe, addresses...)
	d := dialect.Native
	d.Prompt = func(h http.Header) dialect.Prompt {
		return dialect.Prompt{Tokens: 30, Parts: []dialect.Part{{ID: 1, Tokens: 10}, {ID: 2, Tokens: 10}, {ID: xxhash.Sum64String(h.Get("X-Own")), Tokens: 10}}}
	}
	reports := &crashReports{}
	gate := New(Options{
		Dialect: d, View: func() *state.State { return view }, Current: func() bool { return true }, DrainingDuration: time.Minute,
		Budget: Budget{Ratio: 1, Slack: 100, Window: 10 * time.Second}, ReportCrash: reports.add, Meters: meter.New(), Log: zap.NewNop(),
	})
	gate.Refresh()
	send := func(n int) int {
		r := httptest.NewRequest(http.MethodPost, fmt.Sprint("/x", n), nil)
		r.Host = "h.example"
		r.Header.Set("X-Own", fmt.Sprint(n))
		w := httptest.NewRecorder()
		gate.ServeHTTP(w, r)
		return w.Code
	}
	const enoughEvidence = 3
	for n := range enoughEvidence {
		g.Expect(send(n)).To(Equal(http.StatusBadGateway))
		g.Eventually(reports.signs, within).Should(Equal(n + 1))
	}
	for n := range 6 {
		g.Expect(send(100 + n)).To(Equal(http.StatusUnprocessableEntity))
	}
	g.Expect(crashed.Load()).To(BeEquivalentTo(enoughEvidence))
}

// newBlockingGateway returns a gateway of one server, at whose service prompt part 1 and the request POST h.example/blocked are
// blocked, provisionally if holds is 0. The parts of a prompt are the IDs in the header X-Parts.
func newBlockingGateway(level level.Level, address string, holds uint32) *Gateway {
	view := newView(fleet.Unsafe, address)
	view.Level = level
	part, whole := crasher.PartFingerprint("s", 1), crasher.FingerprintOf(crasher.Content{Method: http.MethodPost, Host: "h.example", Target: "/blocked"})
	view.Crashers = crasher.Decode([]*wire.Suspect{{Print: part[:], Service: "s", Part: 1, Held: true, Holds: holds}, {Print: whole[:], Version: "v1", Held: true, Holds: holds}})
	d := dialect.Native
	d.Prompt = func(h http.Header) (p dialect.Prompt) {
		for _, id := range h.Values("X-Parts") {
			n, _ := strconv.ParseUint(id, 10, 64)
			p.Parts = append(p.Parts, dialect.Part{ID: n, Tokens: 10})
		}
		return p
	}
	gate := New(Options{Dialect: d, View: func() *state.State { return view }, Current: func() bool { return true }, DrainingDuration: time.Minute, MaxBodies: 1 << 20, Meters: meter.New(), Log: zap.NewNop()})
	gate.Refresh()
	return gate
}

// Guards against a box that relays a request that it knows to crash servers, for a box that does not know it yet.
func TestBlockedRequestIsNotRelayed(t *testing.T) {
	for _, c := range []struct {
		level  level.Level
		target string
		parts  []string
		want   wire.RelayFailure_Kind
	}{
		{level.PromptParts, "/x", []string{"7", "1", "9"}, wire.RelayFailure_BLOCKED},
		{level.PromptParts, "/blocked", nil, wire.RelayFailure_BLOCKED},
		{level.Relays, "/blocked", nil, wire.RelayFailure_DECLINED}, // the other box may not know the kind
		{level.PromptParts, "/x", []string{"7", "9", "1"}, wire.RelayFailure_UNKNOWN},
	} {
		g := NewWithT(t)
		var crashed atomic.Int64
		gate := newBlockingGateway(c.level, newBreakingServer(t, true, &crashed), 1)
		r := &wire.RelayRequest{Server: "i0", Method: http.MethodPost, Target: c.target, Host: "h.example", Id: "q", DeadlineMs: 2000}
		for _, id := range c.parts {
			r.Headers = append(r.Headers, &wire.RelayHeader{Name: "X-Parts", Value: id})
		}
		sent := &recordedFrames{}
		gate.ServeRelay(t.Context(), r, sent)
		g.Expect(sent.frames).NotTo(BeEmpty())
		g.Expect(sent.frames[len(sent.frames)-1].Failure.GetKind()).To(Equal(c.want), "%v", c)
		g.Expect(crashed.Load()).To(BeEquivalentTo(map[bool]int{true: 1}[c.want == wire.RelayFailure_UNKNOWN]), "%v", c)
	}
}

// Guards against a request that is blocked after its server was chosen, and sent nevertheless.
func TestRequestBlockedBeforeItIsSent(t *testing.T) {
	g := NewWithT(t)
	var crashed atomic.Int64
	gate := newBlockingGateway(level.PromptParts, newBreakingServer(t, true, &crashed), 1)
	r := httptest.NewRequest(http.MethodPost, "/blocked", nil)
	r.Host = "h.example"
	w := httptest.NewRecorder()
	j := gate.newJob(w, r, gate.dir.table(), gate.opts.View().Fleet.Routes[0], nil, time.Now())
	g.Expect(j.attempt(t.Context(), choice{server: gate.dir.lookup("i0")})).To(BeTrue())
	g.Expect(w.Code).To(Equal(http.StatusUnprocessableEntity))
	g.Expect(crashed.Load()).To(BeZero())
}

// Guards against permanent rejections of sound requests because servers terminated for another reason.
func TestProvisionallyBlockedRequestMayBeRetried(t *testing.T) {
	for _, c := range []struct {
		holds        uint32
		target       string
		parts        []string
		possibleRuns int
		want         int
	}{
		{0, "/x", []string{"7", "1", "9"}, 0, http.StatusServiceUnavailable},
		{0, "/blocked", nil, 0, http.StatusServiceUnavailable},
		{0, "/blocked", nil, 1, http.StatusBadGateway}, // an earlier attempt may have run
		{1, "/x", []string{"7", "1", "9"}, 0, http.StatusUnprocessableEntity},
		{1, "/blocked", nil, 0, http.StatusUnprocessableEntity},
	} {
		g := NewWithT(t)
		var crashed atomic.Int64
		gate := newBlockingGateway(level.ProvisionalBlocks, newBreakingServer(t, true, &crashed), c.holds)
		r := httptest.NewRequest(http.MethodPost, c.target, nil)
		r.Host = "h.example"
		r.Header["X-Parts"] = c.parts
		w := httptest.NewRecorder()
		j := gate.newJob(w, r, gate.dir.table(), gate.opts.View().Fleet.Routes[0], nil, time.Now())
		j.possibleRuns = c.possibleRuns
		j.serve()
		g.Expect(w.Code).To(Equal(c.want), "%v", c)
		g.Expect(w.Header().Get("Retry-After") != "").To(Equal(c.want == http.StatusServiceUnavailable), "%v", c)
		g.Expect(crashed.Load()).To(BeZero())
	}
}
