package daemon

import (
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// With one channel for all signals, an unhandled SIGHUP filled it and the following
// SIGTERM was dropped, so the process would have been killed after the grace period.
func TestStopSignalNotLostBehindHangups(t *testing.T) {
	g := NewWithT(t)
	sigs := notifySignals()
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM} {
		g.Expect(syscall.Kill(syscall.Getpid(), s)).To(Succeed())
	}
	g.Eventually(func() int { return len(sigs.stop) }, 10*time.Second).Should(Equal(1))
	reloads := 0
	ended := make(chan error, 1)
	go func() { ended <- sigs.await(nil, func() { reloads++ }) }()
	g.Eventually(ended, 10*time.Second).Should(Receive(BeNil()))
	g.Expect(reloads).To(BeNumerically("<=", 2))
}

func TestHangupReloadsSettings(t *testing.T) {
	g := NewWithT(t)
	sigs := notifySignals()
	reloaded := make(chan struct{}, 1)
	ended := make(chan error, 1)
	go func() { ended <- sigs.await(nil, func() { reloaded <- struct{}{} }) }()
	g.Expect(syscall.Kill(syscall.Getpid(), syscall.SIGHUP)).To(Succeed())
	g.Eventually(reloaded, 10*time.Second).Should(Receive())
	g.Expect(syscall.Kill(syscall.Getpid(), syscall.SIGTERM)).To(Succeed())
	g.Eventually(ended, 10*time.Second).Should(Receive(BeNil()))
}
