package throttle

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"leverdrum/dialect"
	"leverdrum/event"
	"leverdrum/fleet"
	"leverdrum/internal/clock"
	"leverdrum/meter"
	"leverdrum/rate"
	"leverdrum/state"
	"leverdrum/wire"
)

// told collects what the leader hears.
type told struct {
	mu   sync.Mutex
	list []dialect.Limit
}

func (t *told) tell(_ string, l dialect.Limit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.list = append(t.list, l)
}

// answer is one that names limits; own tells that it is surely the server's.
func answer(own bool, limits ...string) dialect.Report {
	r := dialect.Own.ReadReport(http.StatusOK, http.Header{dialect.Own.Limit: limits}, time.Now())
	r.Own = own
	return r
}

func newThrottle(t *testing.T, view *state.State) (*Throttle, *told, *observer.ObservedLogs) {
	heard := &told{}
	core, lines := observer.New(zap.InfoLevel)
	lessor := rate.NewLessor("p", clock.New().Now)
	limiter := rate.NewLimiter(rate.Options{
		Now: clock.New().Now, Window: 4 * time.Second, Boxes: func() int { return 1 },
		Lease: func(_ context.Context, epoch string, asks []rate.LimitRequest) (rate.LeaseResponse, error) {
			limitOf := func(a rate.LimitRequest) (rate.Limit, bool) { return LimitOf(dialect.LimitOf(a.PerSecond)), true }
			return lessor.Lease("b", epoch, rate.Leadership{IsLeader: true, Term: 1, Boxes: 1}, limitOf, asks), nil
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go limiter.Run(ctx)
	return New(Options{Limiter: limiter, View: func() *state.State { return view }, ReportLimit: heard.tell, Meters: meter.New(), Log: zap.New(core)}), heard, lines
}

func agree(view *state.State, milli uint32) {
	view.Limits = map[string]*wire.ServerLimit{}
	if milli != 0 {
		view.Limits["s"] = &wire.ServerLimit{Server: "s", Milli: milli}
	}
}

// The newer of what a server said here and of what is agreed holds, and the leader hears of what differs.
func TestTheNewerWordHolds(t *testing.T) {
	g := NewWithT(t)
	view := state.New()
	x, heard, lines := newThrottle(t, view)
	g.Expect(x.Active()).To(BeFalse())
	x.RecordReport("s", answer(true))
	g.Expect(x.Active()).To(BeFalse(), "servers that name nothing are not remembered")

	x.RecordReport("s", answer(true, "2"))
	g.Expect(x.Limit("s")).To(Equal(dialect.Limit(2000)))
	g.Expect(heard.list).To(Equal([]dialect.Limit{2000}))
	agree(view, 2000)
	x.RecordReport("s", answer(true, "2.05"))
	g.Expect(x.Limit("s")).To(Equal(dialect.Limit(2050)))
	g.Expect(heard.list).To(HaveLen(1), "a small change is not worth an entry")
	agree(view, 500)
	g.Expect(x.Limit("s")).To(Equal(dialect.Limit(500)), "another box was told since")

	x.RecordReport("s", answer(false))
	g.Expect(x.Limit("s")).To(Equal(dialect.Limit(500)), "an answer that is not surely the server's does not end it")
	x.RecordReport("s", answer(true, "x"))
	x.RecordReport("s", answer(true, "-1"))
	g.Expect(x.Limit("s")).To(Equal(dialect.Limit(500)), "what cannot be read changes nothing")
	g.Expect(lines.FilterMessage(event.LimitMalformed.Title).Len()).To(Equal(1), "one line, not one for each")
	x.RecordReport("s", answer(true))
	g.Expect(x.Limit("s")).To(BeZero())
	g.Expect(heard.list).To(Equal([]dialect.Limit{2000, 0}))
	agree(view, 0)
	g.Expect(x.Limit("s")).To(BeZero())
	g.Expect(x.Limit("another life at its address")).To(BeZero())
	g.Expect(x.Active()).To(BeFalse(), "what has ended is forgotten")
}

// A server whose limit is used up is passed over by this rank and refuses at once with a time to come back.
func TestAUsedLimitIsKnownAtOnce(t *testing.T) {
	g := NewWithT(t)
	x, _, _ := newThrottle(t, state.New())
	x.RecordReport("s", answer(true, "0.5"))
	var refusal *rate.Refusal
	for range 5 {
		if _, refusal = x.Take(context.Background(), "s", 0); refusal != nil {
			break
		}
	}
	g.Expect(refusal).NotTo(BeNil())
	g.Expect(refusal.RetryAfter).To(BeNumerically("<", 3*time.Second))
	after, full := x.Exhausted("s", 0)
	g.Expect(full).To(BeTrue())
	g.Expect(after).To(BeNumerically(">", 0))
	began := time.Now()
	_, refusal = x.Take(context.Background(), "s", 0)
	g.Expect(refusal).NotTo(BeNil())
	g.Expect(time.Since(began)).To(BeNumerically("<", 50*time.Millisecond))
	charge, refusal := x.Take(context.Background(), "other", 0)
	g.Expect(refusal).To(BeNil(), "one without a limit bears all")
	charge.Release() // of nothing
}

// What is remembered stays bounded, whatever servers say.
func TestWhatIsRememberedIsBounded(t *testing.T) {
	g := NewWithT(t)
	x, _, _ := newThrottle(t, state.New())
	long := time.Now().Add(-time.Hour)
	for i := range maxReports {
		x.reports[string(rune(i))+"old"] = &report{at: long}
	}
	x.RecordReport("s", answer(true, "1"))
	g.Expect(len(x.reports)).To(Equal(1))
}

var errNobody = errors.New("no box answers")

// A box that reaches nobody keeps to its own part of what it was told.
func TestABoxAloneKeepsToItsPart(t *testing.T) {
	g := NewWithT(t)
	limiter := rate.NewLimiter(rate.Options{
		Now: clock.New().Now, Window: 4 * time.Second, Boxes: func() int { return 10 },
		Lease: func(context.Context, string, []rate.LimitRequest) (rate.LeaseResponse, error) {
			return rate.LeaseResponse{}, errNobody
		},
	})
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	go limiter.Run(ctx)
	x := New(Options{Limiter: limiter, View: state.New, ReportLimit: func(string, dialect.Limit) {}, Meters: meter.New(), Log: zap.NewNop()})
	x.RecordReport("s", answer(true, "10"))
	borne := 0
	for ctx.Err() == nil {
		if _, refusal := x.Take(ctx, "s", 0); refusal == nil {
			borne++
		}
		time.Sleep(10 * time.Millisecond)
	}
	g.Expect(borne).To(BeNumerically("<=", 4), "a tenth of 20, and what a full bucket holds")
}

// A server that warms up has a limit without a burst that grows with it, of its own word the lower holds; one that could
// not be reached counts as such until its next heartbeat has come to all.
func TestServersThatWarmUpAreLimited(t *testing.T) {
	g := NewWithT(t)
	view := state.New()
	view.Fleet = fleet.New()
	view.Fleet.Pools["p"] = &fleet.Pool{Name: "p", WarmUpRate: 8}
	view.Fleet.WarmsUp = true
	view.Announcements.Set("s", &wire.Announcement{Id: "s", Service: "p"})
	x, _, _ := newThrottle(t, view)
	g.Expect(x.Active()).To(BeTrue())
	g.Expect(x.Limit("s")).To(BeZero())
	view.Announcements.Set("s", &wire.Announcement{Id: "s", Service: "p", Cold: true})
	g.Expect(x.Limit("s").PerSecond()).To(BeEquivalentTo(8))
	x.RecordReport("s", answer(true, "2"))
	g.Expect(x.Limit("s").PerSecond()).To(BeEquivalentTo(2))
	x.RecordReport("s", answer(true))
	g.Expect(x.Limit("s").PerSecond()).To(BeEquivalentTo(8), "an answer without a limit says nothing of warming up")
	view.Announcements.Set("s", &wire.Announcement{Id: "s", Service: "p"})
	g.Expect(x.Limit("s")).To(BeZero())
	x.RecordUnreachable("s")
	g.Expect(x.Limit("s").PerSecond()).To(BeEquivalentTo(8))
	g.Expect(EffectiveLimit(0, 8000)).To(Equal(rate.Limit{PerSecond: 8, Burst: minBurst}))
	g.Expect(EffectiveLimit(2000, 8000)).To(Equal(LimitOf(2000)))
	g.Expect(EffectiveLimit(0, 0).Bounded()).To(BeFalse())
}
