package box

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"leverdrum/meter"
	"leverdrum/reason"
	"leverdrum/wire"
)

// Reports are retried until they are committed. Their relative times are as of each attempt, and there is a pause between
// attempts if the leader refuses immediately.
func TestCrashReportsRetriedUntilCommitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		c := newCrashReporter("a/1", zap.NewNop(), meter.New())
		began := time.Now()
		var sent []*wire.CrashSign
		calls := 0
		go c.run(ctx, func(_ context.Context, f *wire.Forward) (*wire.ForwardAnswer, *reason.Reason) {
			calls++
			if time.Since(began) < 10*time.Second {
				return nil, reason.DiskFull
			}
			sent = append(sent, f.Crashes.Signs...)
			g.Expect(f.Crashes.Box).To(Equal("a/1"))
			return &wire.ForwardAnswer{}, nil
		})
		for i := range 3 {
			c.add(&wire.CrashReport{Signs: []*wire.CrashSign{{Print: make([]byte, 16), Server: string(rune('a' + i)), SentAgoMs: 100, EndedAgoMs: 40}}})
		}
		time.Sleep(12 * time.Second)
		synctest.Wait()
		g.Expect(calls).To(BeNumerically("<=", 52), "five attempts per second")
		g.Expect(sent).To(HaveLen(3), "one call for all servers that terminated together")
		for _, s := range sent {
			g.Expect(s.EndedAgoMs).To(BeNumerically(">=", 10_000), "the time since the termination includes the retries")
			g.Expect(s.SentAgoMs - s.EndedAgoMs).To(BeEquivalentTo(60))
		}
	})
}
