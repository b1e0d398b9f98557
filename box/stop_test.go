package box

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against waiting a second time for streams that exceeded the stop timeout: the platform
// killed the box before it had stopped.
func TestShutdownTimeoutNotWaitedTwice(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	began, ended := make(chan struct{}), make(chan struct{})
	s := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(began)
		<-r.Context().Done()
		close(ended)
	})}
	go s.Serve(l)
	go http.Get("http://" + l.Addr().String())
	<-began
	g.Expect(shutdownHTTP(s, 50*time.Millisecond)).To(MatchError(context.DeadlineExceeded))
	g.Eventually(ended, 10*time.Second).Should(BeClosed(), "the request is aborted")
	const long = time.Minute
	again := time.Now()
	_ = shutdownHTTP(s, long)
	g.Expect(time.Since(again)).To(BeNumerically("<", long/2))
}

// Guards against a stop that takes longer than the grace after which the platform kills the process: requests were cut where it is
// shorter than balancer-lag and stop-timeout together.
func TestStopEndsWithinTheGrace(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	const lag, timeout = 3 * time.Second, 10 * time.Minute
	s := stopTimesFrom(now, lag, timeout, 8*time.Second)
	g.Expect([]time.Duration{s.refuse.Sub(now), s.answer.Sub(now), s.end.Sub(now), s.exit.Sub(now)}).To(Equal([]time.Duration{lag, 7200 * time.Millisecond, 7500 * time.Millisecond, 8 * time.Second}))
	for grace := 100 * time.Millisecond; grace < time.Minute; grace += 100 * time.Millisecond {
		s := stopTimesFrom(now, lag, timeout, grace)
		g.Expect(s.refuse.Before(s.answer) && s.answer.Before(s.end) && s.end.Before(s.exit)).To(BeTrue(), "%v", grace)
		g.Expect(s.exit.After(now.Add(grace))).To(BeFalse(), "%v", grace)
		g.Expect(s.answer.Sub(now)).To(BeNumerically(">=", grace*5/6), "requests get five sixths of %v", grace)
	}
	s = stopTimesFrom(now, lag, timeout, 0)
	g.Expect(s.end.Sub(now)).To(Equal(lag + timeout))
	s = stopTimesFrom(now, lag, 2*time.Second, time.Minute)
	g.Expect(s.end.Sub(now)).To(Equal(lag+2*time.Second), "stop-timeout still bounds the stop")
}
