package entry_test

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"leverdrum/dialect"
	"leverdrum/entry"
	"leverdrum/internal/clock"
	"leverdrum/meter"
	"leverdrum/proxy"
	"leverdrum/pushback"
	"leverdrum/rate"
	"leverdrum/record"
	"leverdrum/route"
	"leverdrum/standin"
	"leverdrum/state"
	"leverdrum/throttle"
	"leverdrum/wire"
)

// limitedBoxes is a set of entry boxes in front of a service's instances, with their replicated state
// and one lessor that acts for the leader.
type limitedBoxes struct {
	state     localState
	boxes     []*httptest.Server
	instances []*standin.Service
}

// setLimit sets a server's limit in the replicated state.
func (l *limitedBoxes) setLimit(server string, limit dialect.Limit) {
	l.state.mu.Lock()
	defer l.state.mu.Unlock()
	next := l.state.view.Load().Clone()
	next.Limits = maps.Clone(next.Limits) // the clone of a state shares its maps
	next.Limits[server] = &wire.ServerLimit{Server: server, Milli: uint32(limit)}
	if limit == 0 {
		delete(next.Limits, server)
	}
	l.state.view.Store(next)
}

func newLimitedBoxes(t *testing.T, boxes, instances int) *limitedBoxes {
	l := &limitedBoxes{}
	text := "[fleet]\nnumber = 1\n[hall a]\n[class c]\ndeadline = 2s\n[service shop]\nclass = c\n"
	for i := range instances {
		s := standin.NewService("shop", "Idempotency-Key", time.Millisecond)
		server := httptest.NewServer(s)
		t.Cleanup(server.Close)
		l.instances = append(l.instances, s)
		text += fmt.Sprintf("[instance shop%d]\nservice = shop\naddress = %s\nhall = a\n", i, server.Listener.Addr())
	}
	st, err := standin.CommittedState(text)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	l.state.view.Store(st)
	lessor := rate.NewLessor("p", clock.New().Now)
	for i := range boxes {
		l.boxes = append(l.boxes, l.newBox(t, fmt.Sprint("box", i), lessor, boxes, st))
	}
	return l
}

func (l *limitedBoxes) newBox(t *testing.T, name string, lessor *rate.Lessor, boxes int, st *state.State) *httptest.Server {
	limiter := rate.NewLimiter(rate.Options{
		Now: clock.New().Now, Window: 4 * time.Second, Boxes: func() int { return boxes },
		Lease: func(_ context.Context, epoch string, asks []rate.LimitRequest) (rate.LeaseResponse, error) {
			limitOf := func(a rate.LimitRequest) (rate.Limit, bool) {
				return throttle.LimitOf(dialect.NewLimit(a.PerSecond)), true
			}
			return lessor.Lease(name, epoch, rate.Leadership{IsLeader: true, Term: 1, Boxes: boxes}, limitOf, asks), nil
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go limiter.Run(ctx)
	limits := throttle.New(throttle.Options{Limiter: limiter, View: l.state.view.Load, ReportLimit: l.setLimit, Meters: meter.New(), Log: zap.NewNop()})
	d := route.NewDirectory("a")
	registry := pushback.New(pushback.Options{Now: clock.New().Now, Throttle: limits, Boxes: func() int { return boxes }, Log: zap.NewNop()})
	d.SetPushback(registry)
	d.Update(st)
	box := httptest.NewServer(entry.New(entry.Options{
		Directory: d, View: l.state.view.Load, Current: func() bool { return true }, Sender: proxy.NewSender(),
		Meters: meter.New(), Records: record.NewHistory(100), MaxBody: 1000, Pushback: registry,
	}))
	t.Cleanup(box.Close)
	return box
}

// sendCalls calls the service through the boxes in turn at the given rate. It returns the number of
// calls and the refusals.
func (l *limitedBoxes) sendCalls(t *testing.T, perSecond int, span time.Duration) (sent int, refused []*http.Response) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for began := time.Now(); time.Since(began) < span; sent++ {
		at := l.boxes[sent%len(l.boxes)].URL
		wg.Go(func() {
			resp, err := http.Post(at+"/services/shop/x", "text/plain", nil)
			if err != nil {
				t.Error(err)
				return
			}
			resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				mu.Lock()
				refused = append(refused, resp)
				mu.Unlock()
			}
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	wg.Wait()
	return sent, refused
}

// maxIn4s returns the maximum number of arrivals in any window of 4 s that begins after since.
func maxIn4s(arrivals []time.Time, since time.Time) (maxCalls int) {
	for i, first := range arrivals {
		n := 0
		for _, at := range arrivals[i:] {
			if at.Sub(first) < 4*time.Second {
				n++
			}
		}
		if first.After(since) {
			maxCalls = max(maxCalls, n)
		}
	}
	return maxCalls
}

// Guards the limit that an instance reports: all boxes together must stay within it and send the other
// calls to the other instances.
func TestInstanceLimitIsHonored(t *testing.T) {
	g := NewWithT(t)
	l := newLimitedBoxes(t, 4, 2)
	l.instances[0].SetFaults(standin.Faults{Limit: "1"})
	limitSetAt := time.Now()
	sent, refused := l.sendCalls(t, 30, 7*time.Second)
	maxCalls := maxIn4s(l.instances[0].ArrivalTimes(), limitSetAt.Add(time.Second))
	t.Logf("%d calls, at most %d within 4 s at a limit of 1 per second", sent, maxCalls)
	g.Expect(maxCalls).To(BeNumerically("<=", 11))
	g.Expect(refused).To(BeEmpty(), "the other instance has capacity")

	l.instances[0].SetFaults(standin.Faults{})
	l.sendCalls(t, 30, 8*time.Second)
	afterLimit := len(l.instances[0].ArrivalTimes())
	l.sendCalls(t, 30, 2*time.Second)
	g.Expect(len(l.instances[0].ArrivalTimes())-afterLimit).To(BeNumerically(">", 15), "the limit has ended")
}

// Guards against calls that wait although no instance can take them: they must be refused immediately
// as not run, with a retry delay.
func TestCallsBeyondLimitAreRefusedImmediately(t *testing.T) {
	g := NewWithT(t)
	l := newLimitedBoxes(t, 3, 1)
	l.instances[0].SetFaults(standin.Faults{Limit: "2"})
	limitSetAt := time.Now()
	sent, refused := l.sendCalls(t, 30, 6*time.Second)
	g.Expect(maxIn4s(l.instances[0].ArrivalTimes(), limitSetAt.Add(time.Second))).To(BeNumerically("<=", 17))
	g.Expect(sent-len(refused)).To(BeNumerically(">=", 8), "the instance's limit is used up")
	g.Expect(len(refused)).To(BeNumerically(">", sent/2))
	for _, r := range refused {
		g.Expect(r.StatusCode).To(Equal(http.StatusServiceUnavailable))
		g.Expect(r.Header.Get(entry.HeaderReason)).To(Equal("servers-limited"))
		g.Expect(r.Header.Get(entry.HeaderOutcome)).To(Equal("not-run"))
		after, err := strconv.Atoi(r.Header.Get("Retry-After"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(after).To(BeNumerically("<=", 3))
	}
}
