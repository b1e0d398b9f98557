package entry_test

import (
	"context"
	"fmt"
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

// limitedBoxes are entry boxes before a service's instances, with what they agree on and the allocator of one that leads.
type limitedBoxes struct {
	agreed    agreedHere
	boxes     []*httptest.Server
	instances []*standin.Service
}

// tell has a limit agreed.
func (l *limitedBoxes) tell(server string, limit dialect.Limit) {
	l.agreed.mu.Lock()
	defer l.agreed.mu.Unlock()
	next := l.agreed.view.Load().Clone()
	next.Limits[server] = &wire.ServerLimit{Server: server, Milli: uint32(limit)}
	if limit == 0 {
		delete(next.Limits, server)
	}
	l.agreed.view.Store(next)
}

func newLimitedBoxes(t *testing.T, boxes, instances int) *limitedBoxes {
	l := &limitedBoxes{}
	text := "[fleet]\nnumber = 1\n[hall a]\n[class c]\ndeadline = 2s\n[service shop]\nclass = c\n"
	for i := range instances {
		s := standin.NewService("shop", "Idempotency-Key", time.Millisecond)
		at := httptest.NewServer(s)
		t.Cleanup(at.Close)
		l.instances = append(l.instances, s)
		text += fmt.Sprintf("[instance shop%d]\nservice = shop\naddress = %s\nhall = a\n", i, at.Listener.Addr())
	}
	st, err := standin.Agreed(text)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	l.agreed.view.Store(st)
	lessor := rate.NewLessor("p", clock.New().Now)
	for i := range boxes {
		l.boxes = append(l.boxes, l.box(t, fmt.Sprint("box", i), lessor, boxes, st))
	}
	return l
}

func (l *limitedBoxes) box(t *testing.T, name string, lessor *rate.Lessor, boxes int, st *state.State) *httptest.Server {
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
	limits := throttle.New(throttle.Options{Limiter: limiter, View: l.agreed.view.Load, ReportLimit: l.tell, Meters: meter.New(), Log: zap.NewNop()})
	d := route.NewDirectory("a")
	said := pushback.New(pushback.Options{Now: clock.New().Now, Throttle: limits, Boxes: func() int { return boxes }, Log: zap.NewNop()})
	d.SetPushback(said)
	d.Update(st)
	box := httptest.NewServer(entry.New(entry.Options{
		Directory: d, View: l.agreed.view.Load, Current: func() bool { return true }, Sender: proxy.NewSender(),
		Meters: meter.New(), Records: record.NewHistory(100), MaxBody: 1000, Pushback: said,
	}))
	t.Cleanup(box.Close)
	return box
}

// ask calls the service through the boxes in turn, so many times a second, and returns the refusals.
func (l *limitedBoxes) ask(t *testing.T, perSecond int, span time.Duration) (asked int, refused []*http.Response) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for began := time.Now(); time.Since(began) < span; asked++ {
		at := l.boxes[asked%len(l.boxes)].URL
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
	return asked, refused
}

// mostIn4s is the most that came in a window of 4 s, since a time.
func mostIn4s(came []time.Time, since time.Time) (most int) {
	for i, first := range came {
		n := 0
		for _, at := range came[i:] {
			if at.Sub(first) < 4*time.Second {
				n++
			}
		}
		if first.After(since) {
			most = max(most, n)
		}
	}
	return most
}

// The product's own interface holds to what instances name, over all boxes, and work goes to the others.
func TestAnInstanceGetsNoMoreThanItsLimit(t *testing.T) {
	g := NewWithT(t)
	l := newLimitedBoxes(t, 4, 2)
	l.instances[0].Set(standin.Faults{Limit: "1"})
	named := time.Now()
	asked, refused := l.ask(t, 30, 7*time.Second)
	most := mostIn4s(l.instances[0].Came(), named.Add(time.Second))
	t.Logf("%d calls, at most %d in 4 s at a limit of 1 a second", asked, most)
	g.Expect(most).To(BeNumerically("<=", 11))
	g.Expect(refused).To(BeEmpty(), "the other instance has room")

	l.instances[0].Set(standin.Faults{})
	l.ask(t, 30, 8*time.Second)
	ended := len(l.instances[0].Came())
	l.ask(t, 30, 2*time.Second)
	g.Expect(len(l.instances[0].Came())-ended).To(BeNumerically(">", 15), "the limit has ended")
}

// What no instance takes is refused at once and in true words, with a time to come back.
func TestCallsBeyondALimitAreRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	l := newLimitedBoxes(t, 3, 1)
	l.instances[0].Set(standin.Faults{Limit: "2"})
	named := time.Now()
	asked, refused := l.ask(t, 30, 6*time.Second)
	g.Expect(mostIn4s(l.instances[0].Came(), named.Add(time.Second))).To(BeNumerically("<=", 17))
	g.Expect(asked-len(refused)).To(BeNumerically(">=", 8), "what it takes is used")
	g.Expect(len(refused)).To(BeNumerically(">", asked/2))
	for _, r := range refused {
		g.Expect(r.StatusCode).To(Equal(http.StatusServiceUnavailable))
		g.Expect(r.Header.Get(entry.HeaderReason)).To(Equal("servers-limited"))
		g.Expect(r.Header.Get(entry.HeaderOutcome)).To(Equal("not-run"))
		after, err := strconv.Atoi(r.Header.Get("Retry-After"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(after).To(BeNumerically("<=", 3))
	}
}
