package liveness_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/internal/liveness"
)

// Guards against an end that is believed because of what its server did before it: a probe under way may have been answered
// before the server ended.
func TestEndWaitsForAProbeThatBeginsAfterIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var probes atomic.Int64
		c := liveness.NewChecker(func(context.Context) liveness.Evidence {
			n := probes.Add(1)
			time.Sleep(50 * time.Millisecond)
			if n == 1 {
				return liveness.Answered
			}
			return liveness.None
		})
		var waiting sync.WaitGroup
		evidence := make([]liveness.Evidence, 21)
		for i := range evidence {
			waiting.Go(func() { evidence[i] = c.Await(t.Context()) })
			if i == 0 {
				synctest.Wait()
				time.Sleep(10 * time.Millisecond) // the others come during the first probe
			}
		}
		waiting.Wait()
		g.Expect(evidence[0]).To(Equal(liveness.Answered))
		g.Expect(evidence[1:]).To(HaveEach(liveness.None))
		g.Expect(probes.Load()).To(BeEquivalentTo(2), "one probe for all ends that came during the first")
	})
}

// Guards against more than one probe of a server at a time, and against probes without a caller of Await.
func TestServerIsProbedOnceAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var probes, running, most atomic.Int64
		c := liveness.NewChecker(func(context.Context) liveness.Evidence {
			probes.Add(1)
			most.Store(max(most.Load(), running.Add(1)))
			time.Sleep(10 * time.Millisecond)
			running.Add(-1)
			return liveness.Answered
		})
		var waiting sync.WaitGroup
		for i := range 1000 {
			waiting.Go(func() {
				time.Sleep(time.Duration(i) * 100 * time.Microsecond)
				c.Await(t.Context())
			})
		}
		waiting.Wait()
		synctest.Wait()
		g.Expect(most.Load()).To(BeEquivalentTo(1))
		g.Expect(probes.Load()).To(BeNumerically("<=", 12), "1,000 ends in 100 ms, probes of 10 ms")
	})
}

// Guards against ends that wait for a probe of their own after another one found that the server has ended.
func TestEndOfTheServerAnswersAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var probes atomic.Int64
		c := liveness.NewChecker(func(context.Context) liveness.Evidence {
			probes.Add(1)
			time.Sleep(10 * time.Millisecond)
			return liveness.Ended
		})
		var waiting sync.WaitGroup
		for i := range 10 {
			waiting.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				g.Expect(c.Await(t.Context())).To(Equal(liveness.Ended))
			})
		}
		waiting.Wait()
		g.Expect(probes.Load()).To(BeEquivalentTo(1))
	})
}

// Guards against an end that waits longer than two probes for a server that shows nothing, or longer than its caller.
func TestWaitIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := liveness.NewChecker(func(ctx context.Context) liveness.Evidence {
			<-ctx.Done()
			return liveness.None
		})
		began := time.Now()
		go c.Await(t.Context())
		synctest.Wait()
		g.Expect(c.Await(t.Context())).To(Equal(liveness.None))
		g.Expect(time.Since(began)).To(Equal(2 * liveness.ProbeTimeout))

		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		began = time.Now()
		g.Expect(c.Await(ctx)).To(Equal(liveness.None))
		g.Expect(time.Since(began)).To(Equal(time.Millisecond))
		time.Sleep(liveness.ProbeTimeout)
	})
}
