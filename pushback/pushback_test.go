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

// world is one registry under a clock that the test moves.
type world struct {
	now    time.Duration
	boxes  int
	drains []string
	lines  *observer.ObservedLogs
	*Registry
}

func newWorld(boxes int) *world {
	core, lines := observer.New(zap.InfoLevel)
	w := &world{now: time.Hour, boxes: boxes, lines: lines}
	w.Registry = New(Options{
		Now: func() time.Duration { return w.now }, Boxes: func() int { return w.boxes },
		OnDraining: func(server string) { w.drains = append(w.drains, server) }, Log: zap.New(core),
	})
	return w
}

func (w *world) answer(server string, status int, headers ...string) {
	h := http.Header{}
	for i := 0; i < len(headers); i += 2 {
		h.Add(headers[i], headers[i+1])
	}
	w.Observe(server, "r1", dialect.Own.ReadReport(status, h, time.Now()))
}

func (w *world) turnedAway(server, after string) {
	w.answer(server, http.StatusServiceUnavailable, "Retry-After", after)
}

func (w *world) may(server string, rank int) bool {
	_, blocked := w.Blocked(server, rank)
	return !blocked
}

func TestOfTwoRestsTheLaterEndHolds(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(1)
	g.Expect(w.Active()).To(BeFalse())
	w.turnedAway("s", "3")
	g.Expect(w.Active()).To(BeTrue())
	w.turnedAway("s", "0.5")
	w.answer("s", http.StatusOK)
	w.now += 2900 * time.Millisecond
	g.Expect(w.Sendable("s")).To(BeFalse(), "no answer in between shortens it")
	w.turnedAway("s", "1")
	w.now += 900 * time.Millisecond
	g.Expect(w.Sendable("s")).To(BeFalse())
	w.now += 110 * time.Millisecond
	g.Expect(w.Sendable("s")).To(BeTrue())
	g.Expect(w.Sendable("another")).To(BeTrue())
	g.Expect(w.may("another", 0)).To(BeTrue())
	g.Expect(w.lines.FilterMessage(event.ServerResting.Title).Len()).To(Equal(1), "one line a change")
	w.answer("s", http.StatusOK)
	g.Expect(w.lines.FilterMessage(event.ServerRested.Title).Len()).To(Equal(1))
}

// When a rest has ended the more urgent go first, one at a time until the server has answered one.
func TestABoxComesBackGently(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(1)
	w.turnedAway("s", "1")
	block, blocked := w.Blocked("s", 2)
	g.Expect(blocked).To(BeTrue())
	g.Expect(block.Reason).To(Equal(reason.ServersResting))
	w.now += time.Second + spreadPerBox
	g.Expect(w.may("s", 0)).To(BeTrue())
	g.Expect(w.may("s", 2)).To(BeFalse())
	w.now += 2 * rankStep
	g.Expect(w.may("s", 2)).To(BeTrue())

	permit, refused := w.Acquire(context.Background(), "s", 2)
	g.Expect(refused).To(BeNil())
	_, refused = w.Acquire(context.Background(), "s", 0)
	g.Expect(refused).NotTo(BeNil(), "one at a time")
	g.Expect(refused.RetryAfter).To(BeNumerically("<=", probeEvery))
	permit.Release()
	_, refused = w.Acquire(context.Background(), "s", 0)
	g.Expect(refused).To(BeNil(), "the one before was not sent")
	w.now += probeEvery
	_, refused = w.Acquire(context.Background(), "s", 0)
	g.Expect(refused).To(BeNil(), "an answer that does not come keeps nobody from the server")
	w.answer("s", http.StatusOK)
	for range 5 {
		_, refused = w.Acquire(context.Background(), "s", 3)
		g.Expect(refused).To(BeNil())
	}
}

// Rests in a row count as one; those with a long time between them do not, though no answer came meanwhile.
func TestRestsInARowAreLong(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(1)
	for range 4 {
		w.turnedAway("s", "3")
		w.now += 3200 * time.Millisecond
	}
	g.Expect(w.LongBackoffs()).To(BeEmpty(), "it is over")
	w.turnedAway("s", "3")
	g.Expect(w.LongBackoffs()).To(HaveKeyWithValue("s", 3*time.Second))
	w.now += time.Hour
	w.turnedAway("s", "3")
	g.Expect(w.LongBackoffs()).To(BeEmpty())
	w.turnedAway("s", "11")
	g.Expect(w.LongBackoffs()).To(HaveKey("s"))
}

func TestDrainingHoldsForALifeOrATime(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(1)
	w.Observe("life", "r", dialect.Report{Draining: true})
	w.answer("name", http.StatusOK, "X-Server-Draining", "1")
	w.answer("name", http.StatusOK, "X-Server-Draining", "1")
	g.Expect(w.drains).To(Equal([]string{"life", "name"}), "told once")
	w.now += time.Second
	since, drains := w.Draining("life")
	g.Expect(drains).To(BeTrue())
	g.Expect(since).To(Equal(time.Second))
	w.now += dialect.Own.DrainTTL
	_, drains = w.Draining("life")
	g.Expect(drains).To(BeTrue())
	_, drains = w.Draining("name")
	g.Expect(drains).To(BeFalse())
	w.turnedAway("name", "100")
	w.Forget("name")
	g.Expect(w.Sendable("name")).To(BeTrue(), "a successor begins with nothing")
}

// Values that cannot be read change nothing and are logged once; huge ones overflow nothing.
func TestStrangeValues(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(1)
	for _, v := range []string{"", "soon", "-1", "NaN", "1e999"} {
		w.turnedAway("s", v)
		w.answer("s", http.StatusOK, "X-Server-Draining", v+"x")
	}
	g.Expect(w.Sendable("s")).To(BeTrue())
	g.Expect(w.lines.FilterMessage(event.PushbackMalformed.Title).Len()).To(Equal(1))
	w.turnedAway("s", "1e300")
	w.now += 24 * time.Hour
	g.Expect(w.Sendable("s")).To(BeFalse())
	g.Expect(w.Statuses()).To(HaveLen(1))
	g.Expect(w.Statuses()[0].Lines()).To(HaveLen(1))
}

func TestRecordsAreBounded(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(1)
	for i := range maxRecords {
		w.turnedAway(string(rune(i))+"old", "1")
	}
	w.now += 2 * keepFor
	w.turnedAway("s", "1")
	g.Expect(len(w.records)).To(Equal(1))
}

// A box whose servers say nothing pays no lookup.
func TestSilentServersCostNothing(t *testing.T) {
	w := newWorld(1)
	h := http.Header{"Content-Type": {"text/event-stream"}}
	NewWithT(t).Expect(testing.AllocsPerRun(100, func() {
		w.Observe("s", "r", dialect.Own.ReadReport(http.StatusOK, h, time.Time{}))
		w.Blocked("s", 0)
		w.Sendable("s")
	})).To(BeZero())
}

func BenchmarkObserveSilent(b *testing.B) {
	w := newWorld(1)
	h := http.Header{"Content-Type": {"text/event-stream"}}
	b.ReportAllocs()
	for b.Loop() {
		w.Observe("s", "r", dialect.Own.ReadReport(http.StatusOK, h, time.Time{}))
	}
}
