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

// limitRecorder collects the limits that are reported to the leader.
type limitRecorder struct {
	mu   sync.Mutex
	list []dialect.Limit
}

func (t *limitRecorder) record(_ string, l dialect.Limit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.list = append(t.list, l)
}

// response returns a report with the given limits; own marks it as certainly the server's own.
func response(own bool, limits ...string) dialect.Report {
	r := dialect.Native.ReadReport(http.StatusOK, http.Header{dialect.Native.Limit: limits}, time.Now())
	r.FromServer = own
	return r
}

func newThrottle(t *testing.T, view *state.State) (*Throttle, *limitRecorder, *observer.ObservedLogs) {
	reported := &limitRecorder{}
	core, logs := observer.New(zap.InfoLevel)
	lessor := rate.NewLessor("p", clock.New().Now)
	limiter := rate.NewLimiter(rate.Options{
		Now: clock.New().Now, Window: 4 * time.Second, Boxes: func() int { return 1 },
		Lease: func(_ context.Context, epoch string, asks []rate.LimitRequest) (rate.LeaseResponse, error) {
			limitOf := func(a rate.LimitRequest) (rate.Limit, bool) { return LimitOf(dialect.NewLimit(a.PerSecond)), true }
			return lessor.Lease("b", epoch, rate.Leadership{IsLeader: true, Term: 1, Boxes: 1}, limitOf, asks), nil
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go limiter.Run(ctx)
	return New(Options{Limiter: limiter, View: func() *state.State { return view }, ReportLimit: reported.record, Meters: meter.New(), Log: zap.New(core)}), reported, logs
}

func commitLimit(view *state.State, milli uint32) {
	view.Limits = map[string]*wire.ServerLimit{}
	if milli != 0 {
		view.Limits["s"] = &wire.ServerLimit{Server: "s", Milli: milli}
	}
}

// The newer of the server's report and the committed limit applies, and differences are reported to the leader.
func TestNewerReportApplies(t *testing.T) {
	g := NewWithT(t)
	view := state.New()
	x, reported, logs := newThrottle(t, view)
	g.Expect(x.Active()).To(BeFalse())
	x.RecordReport("s", response(true))
	g.Expect(x.Active()).To(BeFalse(), "servers without a limit are not recorded")

	x.RecordReport("s", response(true, "2"))
	g.Expect(x.Limit("s")).To(Equal(dialect.Limit(2000)))
	g.Expect(reported.list).To(Equal([]dialect.Limit{2000}))
	commitLimit(view, 2000)
	x.RecordReport("s", response(true, "2.05"))
	g.Expect(x.Limit("s")).To(Equal(dialect.Limit(2050)))
	g.Expect(reported.list).To(HaveLen(1), "a small change is not reported")
	commitLimit(view, 500)
	g.Expect(x.Limit("s")).To(Equal(dialect.Limit(500)), "another box has reported a newer limit")

	x.RecordReport("s", response(false))
	g.Expect(x.Limit("s")).To(Equal(dialect.Limit(500)), "a response that may not be the server's own does not end the limit")
	x.RecordReport("s", response(true, "x"))
	x.RecordReport("s", response(true, "-1"))
	g.Expect(x.Limit("s")).To(Equal(dialect.Limit(500)), "malformed values change nothing")
	g.Expect(logs.FilterMessage(event.LimitMalformed.Title).Len()).To(Equal(1), "logged once, not per response")
	x.RecordReport("s", response(true))
	g.Expect(x.Limit("s")).To(BeZero())
	g.Expect(reported.list).To(Equal([]dialect.Limit{2000, 0}))
	commitLimit(view, 0)
	g.Expect(x.Limit("s")).To(BeZero())
	g.Expect(x.Limit("another incarnation at its address")).To(BeZero())
	g.Expect(x.Active()).To(BeFalse(), "an ended limit is dropped")
}

// A server whose limit is exhausted is skipped for this rank and refuses immediately with a retry time.
func TestExhaustedLimitRefusesImmediately(t *testing.T) {
	g := NewWithT(t)
	x, _, _ := newThrottle(t, state.New())
	x.RecordReport("s", response(true, "0.5"))
	var refusal *rate.Refusal
	for range 5 {
		if _, refusal = x.Take(context.Background(), "s", 0); refusal != nil {
			break
		}
	}
	g.Expect(refusal).NotTo(BeNil())
	g.Expect(refusal.RetryAfter).To(BeNumerically("<", 3*time.Second))
	retryAfter, exhausted := x.Exhausted("s", 0)
	g.Expect(exhausted).To(BeTrue())
	g.Expect(retryAfter).To(BeNumerically(">", 0))
	began := time.Now()
	_, refusal = x.Take(context.Background(), "s", 0)
	g.Expect(refusal).NotTo(BeNil())
	g.Expect(time.Since(began)).To(BeNumerically("<", 50*time.Millisecond))
	charge, refusal := x.Take(context.Background(), "other", 0)
	g.Expect(refusal).To(BeNil(), "a server without a limit admits every attempt")
	charge.Release() // without a limit there is nothing to release
}

// The number of kept reports is bounded, whatever servers report.
func TestReportsAreBounded(t *testing.T) {
	g := NewWithT(t)
	x, _, _ := newThrottle(t, state.New())
	old := time.Now().Add(-time.Hour)
	for i := range maxReports {
		x.reports[string(rune(i))+"old"] = &report{at: old}
	}
	x.RecordReport("s", response(true, "1"))
	g.Expect(len(x.reports)).To(Equal(1))
}

var errUnreachable = errors.New("no box responded")

// A box that reaches no other box keeps to its own share of the reported limit.
func TestIsolatedBoxKeepsToItsShare(t *testing.T) {
	g := NewWithT(t)
	limiter := rate.NewLimiter(rate.Options{
		Now: clock.New().Now, Window: 4 * time.Second, Boxes: func() int { return 10 },
		Lease: func(context.Context, string, []rate.LimitRequest) (rate.LeaseResponse, error) {
			return rate.LeaseResponse{}, errUnreachable
		},
	})
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	go limiter.Run(ctx)
	x := New(Options{Limiter: limiter, View: state.New, ReportLimit: func(string, dialect.Limit) {}, Meters: meter.New(), Log: zap.NewNop()})
	x.RecordReport("s", response(true, "10"))
	admitted := 0
	for ctx.Err() == nil {
		if _, refusal := x.Take(ctx, "s", 0); refusal == nil {
			admitted++
		}
		time.Sleep(10 * time.Millisecond)
	}
	g.Expect(admitted).To(BeNumerically("<=", 4), "a tenth of 20, plus a full bucket")
}

// A server that is warming up has a limit without a proportional burst. The lower of it and the reported limit
// applies. An unreachable server counts as warming up until its next heartbeat has reached all boxes.
func TestWarmingServersAreLimited(t *testing.T) {
	g := NewWithT(t)
	view := state.New()
	view.Fleet = fleet.New()
	view.Fleet.Pools["p"] = &fleet.Pool{Name: "p", WarmUpRate: 8}
	view.Fleet.HasWarmUp = true
	view.Announcements.Set("s", &wire.Announcement{Id: "s", Service: "p"})
	x, _, _ := newThrottle(t, view)
	g.Expect(x.Active()).To(BeTrue())
	g.Expect(x.Limit("s")).To(BeZero())
	view.Announcements.Set("s", &wire.Announcement{Id: "s", Service: "p", Cold: true})
	g.Expect(x.Limit("s").PerSecond()).To(BeEquivalentTo(8))
	x.RecordReport("s", response(true, "2"))
	g.Expect(x.Limit("s").PerSecond()).To(BeEquivalentTo(2))
	x.RecordReport("s", response(true))
	g.Expect(x.Limit("s").PerSecond()).To(BeEquivalentTo(8), "an answer without a limit says nothing of warming up")
	view.Announcements.Set("s", &wire.Announcement{Id: "s", Service: "p"})
	g.Expect(x.Limit("s")).To(BeZero())
	x.RecordUnreachable("s")
	g.Expect(x.Limit("s").PerSecond()).To(BeEquivalentTo(8))
	g.Expect(EffectiveLimit(0, 8000)).To(Equal(rate.Limit{PerSecond: 8, Burst: minBurst}))
	g.Expect(EffectiveLimit(2000, 8000)).To(Equal(LimitOf(2000)))
	g.Expect(EffectiveLimit(0, 0).Bounded()).To(BeFalse())
}
