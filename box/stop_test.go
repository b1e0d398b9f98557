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
