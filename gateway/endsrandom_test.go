package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"leverdrum/dialect"
	"leverdrum/gateway"
	"leverdrum/internal/framing"
	"leverdrum/internal/liveness"
	"leverdrum/level"
	"leverdrum/meter"
	"leverdrum/state"
	"leverdrum/wire"
)

const (
	// endRounds rounds of endStreams responses each end while endingServers of endServers end.
	endRounds     = 20
	endStreams    = 50
	endServers    = 8
	endingServers = 2
	// plainBody is the body of a whole plain response.
	plainBody = "whole body"
)

// endCounts counts responses by how they ended for their callers.
type endCounts struct{ whole, broken, refused, partial int }

// slowly sends the events of a stream, or the bytes of a plain response, with pauses, and records when it has sent all.
func slowly(c net.Conn, r *http.Request, random *lockedRandom) (goesOn bool) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Server-Stamp: st\r\nX-Request-Id: %s\r\n", r.Header.Get("X-Request-Id"))
	parts := strings.SplitAfter(plainBody, "")
	if strings.HasPrefix(r.URL.Path, "/stream/") || strings.HasPrefix(r.URL.Path, "/once/") {
		_, _ = io.WriteString(c, "Content-Type: text/event-stream\r\n")
		var last int
		_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &last)
		parts = nil
		for n := last + 1; n <= lastEvent; n++ {
			parts = append(parts, eventList(n, n))
		}
	}
	_, err := io.WriteString(c, "\r\n")
	for _, part := range parts {
		time.Sleep(time.Duration(random.IntN(2000)) * time.Microsecond)
		if err == nil {
			_, err = io.WriteString(c, part)
		}
	}
	return true
}

type lockedRandom struct {
	mu sync.Mutex
	r  *rand.Rand
}

func (l *lockedRandom) IntN(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.r.IntN(n)
}

// runEndRound sends responses of one kind while some servers end at random moments.
func runEndRound(t *testing.T, path string, random *lockedRandom, enter func(*setup) *setup) (counts endCounts) {
	var servers []*endingServer
	for i := range endServers {
		servers = append(servers, newEndingServer(t, fmt.Sprint("i", i), func(c net.Conn, r *http.Request) bool { return slowly(c, r, random) }))
	}
	s := newHealthSetup(t, servers...)
	for _, r := range s.view.Fleet.Routes {
		r.MaxAttempts = 3
	}
	s = enter(s)
	var mu sync.Mutex
	var running sync.WaitGroup
	for _, ending := range servers[:endingServers] {
		running.Go(func() {
			time.Sleep(time.Duration(random.IntN(12000)) * time.Microsecond)
			ending.end()
		})
	}
	want := eventList(1, lastEvent)
	if path == "/safe/x" || path == "/unsafe/x" {
		want = plainBody
	}
	for i := range endStreams {
		running.Go(func() {
			time.Sleep(time.Duration(random.IntN(8000)) * time.Microsecond)
			status, body, end := s.receive(withID(path, i))
			mu.Lock()
			defer mu.Unlock()
			switch {
			case status != http.StatusOK && status != 0:
				counts.refused++
			case end == framing.Truncated:
				counts.broken++
			case body == want:
				counts.whole++
			default:
				counts.partial++
			}
		})
	}
	running.Wait()
	return counts
}

// Guards against a part of a response that ends at its caller as the whole one, whenever its server ends, and against streams
// that break off although another server could finish them.
func TestServersEndingAtAnyMomentLeaveNoPartComplete(t *testing.T) {
	for _, relayed := range []bool{false, true} {
		for _, path := range []string{"/once/x", "/stream/x", "/safe/x", "/unsafe/x"} {
			t.Run(fmt.Sprint(path, " relayed ", relayed), func(t *testing.T) {
				g := NewWithT(t)
				random := &lockedRandom{r: rand.New(rand.NewPCG(7, 11))}
				enter := func(s *setup) *setup { return s }
				if relayed {
					enter = func(s *setup) *setup { return newRelayedSetup(t, s) }
				}
				var sum endCounts
				for range endRounds {
					c := runEndRound(t, path, random, enter)
					sum = endCounts{sum.whole + c.whole, sum.broken + c.broken, sum.refused + c.refused, sum.partial + c.partial}
				}
				t.Logf("%+v", sum)
				g.Expect(sum.partial).To(BeZero(), "%+v", sum)
				if path == "/stream/x" || path == "/safe/x" {
					g.Expect(sum.whole).To(BeNumerically(">=", 0.95*endRounds*endStreams), "%+v", sum)
				}
			})
		}
	}
}

// frames carries the frames of a relayed answer from one gateway to another.
type frames struct {
	list   chan *wire.RelayFrame
	closed chan struct{}
	once   sync.Once
}

func (f *frames) Send(frame *wire.RelayFrame) error {
	select {
	case f.list <- proto.Clone(frame).(*wire.RelayFrame):
		return nil
	case <-f.closed:
		return io.ErrClosedPipe
	}
}

func (f *frames) Receive(into *wire.RelayFrame) error {
	select {
	case frame := <-f.list:
		proto.Merge(into, frame)
		return nil
	case <-f.closed:
		return io.ErrClosedPipe
	}
}

func (f *frames) Close() error {
	f.once.Do(func() { close(f.closed) })
	return nil
}

// newRelayedSetup returns a setup with a second gateway, which reaches no server, so that the first one relays its requests.
func newRelayedSetup(t *testing.T, relaying *setup) *setup {
	view := relaying.view
	view.Level = level.Relays
	view.Members = map[string]*wire.Member{"relaying": {EntryAddress: "unused"}}
	relaying.gate.Refresh()
	open := func(ctx context.Context, _ string, r *wire.RelayRequest) (gateway.RelayStream, bool, error) {
		f := &frames{list: make(chan *wire.RelayFrame, 64), closed: make(chan struct{})}
		ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
		go func() {
			<-f.closed
			cancel()
		}()
		go relaying.gate.ServeRelay(ctx, r, f)
		return f, true, nil
	}
	s := &setup{t: t, view: view}
	s.gate = gateway.New(gateway.Options{
		Dialect: dialect.Native, View: func() *state.State { return view }, Current: func() bool { return true }, Hall: "h", Self: "cut off",
		Dial:      func(context.Context, string) (net.Conn, error) { return nil, errors.New("no path") },
		OpenRelay: open, Budget: gateway.Budget{Ratio: 1, Slack: 100, Window: 10 * time.Second}, Meters: meter.New(), Log: zap.NewNop(),
	})
	s.gate.Refresh()
	server := httptest.NewUnstartedServer(s.gate)
	server.Config.ConnContext = framing.ConnContext
	server.Start()
	t.Cleanup(server.Close)
	s.address = server.Listener.Addr().String()
	for range 100 { // until the gateway knows that it reaches no server
		if status, _, _ := s.receive(withID("/safe/first", 0)); status == http.StatusOK {
			return s
		}
	}
	t.Fatal("no request was relayed")
	return nil
}

// Guards against whole responses of servers that go on that are broken off, or that wait long for evidence of it.
func TestResponsesOfServersThatGoOnAreWhole(t *testing.T) {
	g := NewWithT(t)
	var checks atomic.Int64
	var servers []*endingServer
	random := &lockedRandom{r: rand.New(rand.NewPCG(3, 5))}
	for i := range 4 {
		servers = append(servers, newEndingServer(t, fmt.Sprint("i", i), func(c net.Conn, r *http.Request) bool { return slowly(c, r, random) }))
		servers[i].onCheck = func(net.Conn, *http.Request) bool { checks.Add(1); return true }
	}
	s := newHealthSetup(t, servers...)
	paths := []string{"/once/x", "/stream/x", "/safe/x", "/unsafe/x"}
	var running sync.WaitGroup
	var broken atomic.Int64
	const callers, each = 16, 64
	for caller := range callers {
		running.Go(func() {
			for n := range each {
				path := paths[n%len(paths)]
				_, body, end := s.receive(withID(path, caller*each+n))
				if end == framing.Truncated || body != plainBody && body != eventList(1, lastEvent) {
					broken.Add(1)
				}
			}
		})
	}
	running.Wait()
	g.Expect(broken.Load()).To(BeZero())
	g.Expect(checks.Load()).To(And(BeNumerically(">", 0), BeNumerically("<=", callers*each)), "at most one probe for each end")
	t.Logf("%d probes; %s", checks.Load(), strings.Join(s.endWaits(liveness.Answered), " "))
	g.Expect(s.endWaits(liveness.Answered)).To(ContainElement(HaveSuffix(fmt.Sprintf(`_count{life="answered"} %d`, callers*each))), "each end waited for an answer")
}

// endWaits returns the lines of the metric that says how long ends waited for evidence.
func (s *setup) endWaits(e liveness.Evidence) (lines []string) {
	w := httptest.NewRecorder()
	s.meters.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for line := range strings.Lines(w.Body.String()) {
		if strings.HasPrefix(line, meter.ResponseEndWait.Name) && strings.Contains(line, `life="`+e.String()+`"`) {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	return lines
}
