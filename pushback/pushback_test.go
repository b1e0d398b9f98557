package pushback

import (
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"leverdrum/dialect"
	"leverdrum/event"
	"leverdrum/reason"
)

// fixture is a registry with a clock that the test controls.
type fixture struct {
	now     time.Duration
	boxes   int
	drained []string
	logs    *observer.ObservedLogs
	*Registry
}

func newFixture(boxes int) *fixture {
	core, logs := observer.New(zap.InfoLevel)
	w := &fixture{now: time.Hour, boxes: boxes, logs: logs}
	w.Registry = New(Options{
		Now: func() time.Duration { return w.now }, Boxes: func() int { return w.boxes },
		OnDraining: func(server string) { w.drained = append(w.drained, server) }, Log: zap.New(core),
	})
	return w
}

func (w *fixture) respond(server string, status int, headers ...string) {
	h := http.Header{}
	for i := 0; i < len(headers); i += 2 {
		h.Add(headers[i], headers[i+1])
	}
	w.Observe(server, "r1", dialect.Native.ReadReport(status, h, time.Now()))
}

func (w *fixture) reject(server, after string) {
	w.respond(server, http.StatusServiceUnavailable, "Retry-After", after)
}

func (w *fixture) allowed(server string, rank int) bool {
	_, blocked := w.Blocked(server, rank)
	return !blocked
}

func TestLaterBackoffEndApplies(t *testing.T) {
	g := NewWithT(t)
	w := newFixture(1)
	g.Expect(w.Active()).To(BeFalse())
	w.reject("s", "3")
	g.Expect(w.Active()).To(BeTrue())
	w.reject("s", "0.5")
	w.respond("s", http.StatusOK)
	w.now += 2900 * time.Millisecond
	g.Expect(w.Sendable("s")).To(BeFalse(), "a response in between does not shorten the backoff")
	w.reject("s", "1")
	w.now += 900 * time.Millisecond
	g.Expect(w.Sendable("s")).To(BeFalse())
	w.now += 110 * time.Millisecond
	g.Expect(w.Sendable("s")).To(BeTrue())
	g.Expect(w.Sendable("another")).To(BeTrue())
	g.Expect(w.allowed("another", 0)).To(BeTrue())
	g.Expect(w.logs.FilterMessage(event.ServerInBackoff.Title).Len()).To(Equal(1), "one log line per change")
	w.respond("s", http.StatusOK)
	g.Expect(w.logs.FilterMessage(event.ServerBackoffEnded.Title).Len()).To(Equal(1))
}

// After a backoff, more urgent requests go first, one at a time until the server has answered one.
func TestGradualResumeAfterBackoff(t *testing.T) {
	g := NewWithT(t)
	w := newFixture(1)
	w.reject("s", "1")
	block, blocked := w.Blocked("s", 2)
	g.Expect(blocked).To(BeTrue())
	g.Expect(block.Reason).To(Equal(reason.ServersInBackoff))
	w.now += time.Second + spreadPerBox
	g.Expect(w.allowed("s", 0)).To(BeTrue())
	g.Expect(w.allowed("s", 2)).To(BeFalse())
	w.now += 2 * rankStep
	g.Expect(w.allowed("s", 2)).To(BeTrue())

	permit, refused := w.Acquire(context.Background(), "s", 2)
	g.Expect(refused).To(BeNil())
	_, refused = w.Acquire(context.Background(), "s", 0)
	g.Expect(refused).NotTo(BeNil(), "one at a time")
	g.Expect(refused.RetryAfter).To(BeNumerically("<=", probeInterval))
	permit.Release()
	_, refused = w.Acquire(context.Background(), "s", 0)
	g.Expect(refused).To(BeNil(), "the previous request was not sent")
	w.now += probeInterval
	_, refused = w.Acquire(context.Background(), "s", 0)
	g.Expect(refused).To(BeNil(), "a missing response does not block other requests")
	w.respond("s", http.StatusOK)
	for range 5 {
		_, refused = w.Acquire(context.Background(), "s", 3)
		g.Expect(refused).To(BeNil())
	}
}

// Consecutive backoffs count as one. Those with a long gap between them do not, even without a response in between.
func TestConsecutiveBackoffsCountAsOne(t *testing.T) {
	g := NewWithT(t)
	w := newFixture(1)
	for range 4 {
		w.reject("s", "3")
		w.now += 3200 * time.Millisecond
	}
	g.Expect(w.LongBackoffs()).To(BeEmpty(), "the backoff has ended")
	w.reject("s", "3")
	g.Expect(w.LongBackoffs()).To(HaveKeyWithValue("s", 3*time.Second))
	w.now += time.Hour
	w.reject("s", "3")
	g.Expect(w.LongBackoffs()).To(BeEmpty())
	w.reject("s", "11")
	g.Expect(w.LongBackoffs()).To(HaveKey("s"))
}

func TestDrainingLastsForIncarnationOrTTL(t *testing.T) {
	g := NewWithT(t)
	w := newFixture(1)
	w.Observe("incarnation", "r", dialect.Report{Draining: true})
	w.respond("name", http.StatusOK, "X-Server-Draining", "1")
	w.respond("name", http.StatusOK, "X-Server-Draining", "1")
	g.Expect(w.drained).To(Equal([]string{"incarnation", "name"}), "reported once")
	w.now += time.Second
	since, draining := w.Draining("incarnation")
	g.Expect(draining).To(BeTrue())
	g.Expect(since).To(Equal(time.Second))
	w.now += dialect.Native.DrainTTL
	_, draining = w.Draining("incarnation")
	g.Expect(draining).To(BeTrue())
	_, draining = w.Draining("name")
	g.Expect(draining).To(BeFalse())
	w.reject("name", "100")
	w.Forget("name")
	g.Expect(w.Sendable("name")).To(BeTrue(), "a successor starts without a record")
}

// Malformed values change nothing and are logged once; huge values cause no overflow.
func TestMalformedValues(t *testing.T) {
	g := NewWithT(t)
	w := newFixture(1)
	for _, v := range []string{"", "soon", "-1", "NaN", "1e999"} {
		w.reject("s", v)
		w.respond("s", http.StatusOK, "X-Server-Draining", v+"x")
	}
	g.Expect(w.Sendable("s")).To(BeTrue())
	g.Expect(w.logs.FilterMessage(event.PushbackMalformed.Title).Len()).To(Equal(1))
	w.reject("s", "1e300")
	w.now += 24 * time.Hour
	g.Expect(w.Sendable("s")).To(BeFalse())
	g.Expect(w.Statuses()).To(HaveLen(1))
	g.Expect(w.Statuses()[0].Lines()).To(HaveLen(1))
}

func TestRecordsAreBounded(t *testing.T) {
	g := NewWithT(t)
	w := newFixture(1)
	for i := range maxRecords {
		w.reject(string(rune(i))+"old", "1")
	}
	w.now += 2 * recordTTL
	w.reject("s", "1")
	g.Expect(len(w.records)).To(Equal(1))
}

// Responses without pushback must not cost a lookup.
func TestResponsesWithoutPushbackDoNotAllocate(t *testing.T) {
	w := newFixture(1)
	h := http.Header{"Content-Type": {"text/event-stream"}}
	NewWithT(t).Expect(testing.AllocsPerRun(100, func() {
		w.Observe("s", "r", dialect.Native.ReadReport(http.StatusOK, h, time.Time{}))
		w.Blocked("s", 0)
		w.Sendable("s")
	})).To(BeZero())
}

func BenchmarkObserveSilent(b *testing.B) {
	w := newFixture(1)
	h := http.Header{"Content-Type": {"text/event-stream"}}
	b.ReportAllocs()
	for b.Loop() {
		w.Observe("s", "r", dialect.Native.ReadReport(http.StatusOK, h, time.Time{}))
	}
}
