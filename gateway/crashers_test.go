package gateway

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"leverdrum/crasher"
	"leverdrum/dialect"
	"leverdrum/fleet"
	"leverdrum/meter"
	"leverdrum/state"
	"leverdrum/wire"
)

// told collects what a gateway tells of servers that ended.
type told struct {
	mu   sync.Mutex
	list []*wire.CrashReport
}

func (t *told) add(r *wire.CrashReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.list = append(t.list, r)
}

func (t *told) signs() (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.list {
		n += len(r.Signs)
	}
	return n
}

// breaks is a server that closes each connection once a request has come, and its port with the first where
// it ends under it.
func breaks(t *testing.T, ends bool, ended *atomic.Int64) string {
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
				if _, err := c.Read(make([]byte, 4096)); err == nil && ends {
					l.Close()
					if ended != nil {
						ended.Add(1)
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

// viewOf is an agreed state with one route to one service with servers at some addresses.
func viewOf(kind fleet.RouteKind, addresses ...string) *state.State {
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
func serveOne(view *state.State, seen *told) int {
	gate := New(Options{
		Dialect: dialect.Native, View: func() *state.State { return view }, Current: func() bool { return true }, DrainingDuration: time.Minute,
		Budget: Budget{Ratio: 1, Slack: 100, Window: 10 * time.Second}, ReportCrash: seen.add, Meters: meter.New(), Log: zap.NewNop(),
	})
	gate.Refresh()
	r := httptest.NewRequest(http.MethodPost, "/x", nil)
	r.Host = "h.example"
	w := httptest.NewRecorder()
	gate.ServeHTTP(w, r)
	return w.Code
}

// While the word of the end that holds a request is on its way, the attempt that saw it does not go on to
// another server; else four servers end and not three.
func TestARequestOneSignShortIsNotSentOn(t *testing.T) {
	for signs, servers := range map[int]int64{0: 2, 1: 2, 2: 1} {
		g := NewWithT(t)
		var ended atomic.Int64
		view := viewOf(fleet.Safe, breaks(t, true, &ended), breaks(t, true, &ended), breaks(t, true, &ended))
		p := crasher.FingerprintOf(crasher.Content{Method: http.MethodPost, Host: "h.example", Target: "/x"})
		for i := range signs {
			view.Crashers.Apply(&wire.CrashReport{Signs: []*wire.CrashSign{
				{Print: p[:], Server: fmt.Sprint("before", i), Version: "v1", SentMs: int64(1000 * i), EndedMs: int64(1000*i + 10)},
			}}, crasher.CommitPosition{Index: uint64(1 + i), Term: 1})
		}
		g.Expect(serveOne(view, &told{})).To(Equal(http.StatusBadGateway))
		g.Expect(ended.Load()).To(Equal(servers), "%d signs before", signs)
	}
}

// What broke off at a server that goes on, or that had said it leaves, is no sign of a crasher; at one that ended it is.
func TestOnlyEndsAreSigns(t *testing.T) {
	for name, c := range map[string]struct {
		ends, leaves bool
		signs        int
	}{
		"a server that ended":      {true, false, 1},
		"one that breaks off only": {false, false, 0},
		"one that was leaving":     {true, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			view := viewOf(fleet.Unsafe, breaks(t, c.ends, nil))
			leaves := proto.CloneOf(view.Announcements.Get("i0"))
			leaves.Leaving = c.leaves
			view.Announcements.Set("i0", leaves)
			seen := &told{}
			g.Expect(serveOne(view, seen)).To(Equal(http.StatusBadGateway))
			if c.signs > 0 {
				g.Eventually(seen.signs, within).Should(Equal(c.signs))
				return
			}
			g.Consistently(seen.signs, time.Second).Should(BeZero())
		})
	}
}

// A server that goes dark under a request breaks nothing off: the caller's time runs out, or it leaves. The end counts once
// it is agreed that the server is not heard, and weighs less.
func TestAServerThatGoesDarkIsASign(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0") // takes connections and says nothing
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	view := viewOf(fleet.Unsafe, l.Addr().String())
	view.Fleet.Routes[0].Timeout = 100 * time.Millisecond
	seen := &told{}
	var current atomic.Pointer[state.State]
	current.Store(view)
	gate := New(Options{
		Dialect: dialect.Native, View: current.Load, Current: func() bool { return true }, DrainingDuration: time.Minute,
		Budget: Budget{Ratio: 1, Slack: 100, Window: 10 * time.Second}, ReportCrash: seen.add, Meters: meter.New(), Log: zap.NewNop(),
	})
	gate.Refresh()
	r := httptest.NewRequest(http.MethodPost, "/x", nil)
	r.Host = "h.example"
	w := httptest.NewRecorder()
	gate.ServeHTTP(w, r)
	g.Expect(w.Code).To(Equal(http.StatusGatewayTimeout))
	g.Expect(seen.signs()).To(BeZero(), "it may only be slow")
	next := view.Clone()
	next.Announcements.Set("i0", &wire.Announcement{Id: "i0", Service: "s", Address: l.Addr().String(), Version: "v1", Slots: 8, Silent: true})
	current.Store(next)
	gate.Refresh()
	g.Expect(seen.signs()).To(Equal(1))
	g.Expect(seen.list[0].Signs[0].Weak).To(BeTrue())
}

const within = 10 * time.Second
